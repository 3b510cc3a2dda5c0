import type { HostId } from "@filbertrelay/kernel";
import type {
    AttemptOutcome,
    Holder,
    PeerReply,
    PeerRequest,
    ResolutionMethod,
    RuleName,
    ShardEffect,
    ShardInput,
    VersionedValue,
} from "../index.js";
import { isNewerSet } from "../value.js";
import { CallerModel, EndpointModel, KeyValueModel } from "./model.js";
import { NodeModel, resultRetentionMs } from "./node.js";
import type { Random } from "./random.js";

/** Probabilities of message and endpoint faults, in percent. */
export interface FaultRates {
    lostReply: number;
    lateArrival: number;
    duplicate: number;
    endpointFault: number;
}

interface PendingEvent {
    /** The event is delayed while this node is paused; undefined for events outside the hosts. */
    readonly node: NodeModel | undefined;
    /** The event is dropped once the node has started another process; undefined for any process. */
    readonly incarnation: string | undefined;
    readonly run: () => void;
}

/** The longest time that a submission may wait before it runs. */
const longestWaitMs = 3_000;

type EffectOf<T extends ShardEffect["type"]> = Extract<ShardEffect, { type: T; }>;

/** A modelled fleet and the services around it; pending events are delivered in random order. */
export class Simulation {
    readonly keyValue = new KeyValueModel();
    readonly endpoints: EndpointModel;
    readonly callers: CallerModel;
    readonly nodes: NodeModel[];
    readonly faultRates: FaultRates;
    readonly trace: string[] | undefined;
    readonly pending: PendingEvent[] = [];
    readonly #random: Random;
    isCloudDown = false;
    nowMs = 1_000;

    constructor(random: Random, options: {
        readonly nodeCount: number;
        readonly resolution: ResolutionMethod;
        readonly faultRates: FaultRates;
        readonly disabledRules: ReadonlySet<RuleName>;
        readonly trace: string[] | undefined;
    }) {
        this.#random = random;
        this.endpoints = new EndpointModel(options.resolution);
        this.callers = new CallerModel(this.endpoints);
        this.faultRates = options.faultRates;
        this.trace = options.trace;
        this.nodes = Array.from({ length: options.nodeCount }, (_, index) => new NodeModel(index, options.disabledRules));
    }

    log(text: () => string): void {
        this.trace?.push(`${this.nowMs} ${text()}`);
    }

    /** Makes one step of a node's state machine and queues its effects. */
    step(node: NodeModel, input: ShardInput): PeerReply | undefined {
        this.log(() => `${node.host} <- ${describe(input)}`);
        const { effects, reply } = node.step(input, this.nowMs);
        for (const effect of effects) {
            this.#dispatch(node, effect);
        }
        return reply;
    }

    /** Delivers one random pending event; returns false if none of the picked ones can be delivered now. */
    deliver(): boolean {
        for (let attempt = 0; attempt < 4 && this.pending.length > 0; attempt++) {
            const index = this.#random.below(this.pending.length);
            if (this.deliverAt(index)) {
                return true;
            }
        }
        return false;
    }

    /** Delivers the event at an index unless its process is paused; events of earlier processes are dropped. */
    deliverAt(index: number): boolean {
        const event = this.pending[index];
        if (event === undefined || (event.node?.isPaused === true && event.node.isRunning)) {
            return false;
        }
        const last = this.pending.pop();
        if (last !== undefined && last !== event) {
            this.pending[index] = last;
        }
        if (event.node === undefined || event.incarnation === undefined || event.incarnation === event.node.holder.incarnation) {
            event.run();
        }
        return true;
    }

    /** Advances the clock and fires the timers that are due. */
    advance(ms: number): void {
        this.nowMs += ms;
        for (const node of this.nodes) {
            if (node.canAct && node.timersMs.some(atMs => atMs <= this.nowMs)) {
                node.timersMs = node.timersMs.filter(atMs => atMs > this.nowMs);
                this.step(node, { type: "timer" });
            }
        }
    }

    /** Updates a node's member list; an inaccurate one may list unreachable nodes as dead. */
    updateMembers(node: NodeModel, isAccurate: boolean): void {
        const started = this.nodes.filter(other => other.isStarted);
        const members = started.map(other => {
            const isUnreachable = other !== node && (other.isPaused || other.group !== node.group);
            return other.toCandidate(!isAccurate && isUnreachable && this.#random.chance(50));
        });
        this.step(node, { type: "members", members });
    }

    /** After copies were lost, keys are protected only while callers may resubmit them, which is for the retention of results. */
    canResubmit(key: string): boolean {
        const firstRunAtMs = this.endpoints.firstRunAtMs.get(key) ?? this.nowMs;
        return !this.keyValue.hasLostCopies || this.nowMs + longestWaitMs < firstRunAtMs + resultRetentionMs;
    }

    /** Submits a key at a node. */
    submit(node: NodeModel, key: string, fingerprint: string, waitMs: number): number {
        const call = this.callers.submit(key, fingerprint, this.nowMs + waitMs);
        this.step(node, {
            type: "submit",
            call,
            key,
            fingerprint,
            customer: "c",
            service: "s",
            operation: "o",
            endpoints: ["e0", "e1"],
            resolution: this.endpoints.resolution,
            deadlineMs: this.nowMs + waitMs,
        });
        return call;
    }

    #dispatch(node: NodeModel, effect: ShardEffect): void {
        if (effect.type === "answer") {
            this.#answer(node, effect);
        }
        else if (effect.type === "wake") {
            node.timersMs.push(effect.atMs);
        }
        else if (effect.type !== "reply") {
            this.#enqueue(node, () => this.#execute(node, effect));
        }
    }

    #answer(node: NodeModel, { call, answer }: EffectOf<"answer">): void {
        this.log(() =>
            `${node.host} answers call ${call}: ${answer.ok ? answer.response.body : `${answer.code}/${answer.executed}`}`
        );
        const outcome = answer.ok ?
            { ok: true, text: answer.response.body, code: "" } :
            { ok: false, text: answer.executed, code: answer.code };
        const mayLoseResults = this.keyValue.hasLostCopies || !this.#isNewestOwner(node);
        this.callers.answer(call, outcome, { nowMs: this.nowMs, mayLoseResults });
    }

    /** A former owner that does not know of its successor can't know the results that the successor has recorded. */
    #isNewestOwner(node: NodeModel): boolean {
        const stored = this.keyValue.read();
        const { owner } = node.state;
        const sets = this.nodes.filter(other => other.isRunning).flatMap(other => other.state.owner ?? []);
        return owner !== undefined && !(stored !== "missing" && isNewerSet(stored.value, owner)) &&
            !sets.some(set => isNewerSet(set, owner));
    }

    /** Queues an event for the current process of a node. */
    #enqueue(node: NodeModel, run: () => void): void {
        this.pending.push({ node, incarnation: node.holder.incarnation, run });
    }

    /** Queues an event outside the hosts, or for whichever process runs on a node at delivery. */
    #enqueueExternal(run: () => void, node?: NodeModel): void {
        this.pending.push({ node, incarnation: undefined, run });
    }

    /** Queues an input for one process of a node. */
    #enqueueInput(node: NodeModel, incarnation: string, input: ShardInput): void {
        this.pending.push({ node, incarnation, run: () => void this.step(node, input) });
    }

    #execute(node: NodeModel, effect: Exclude<ShardEffect, { type: "answer" | "wake" | "reply"; }>): void {
        const incarnation = node.holder.incarnation;
        switch (effect.type) {
            case "read":
                return this.#callKeyValue<VersionedValue | "missing" | "unavailable">(
                    node,
                    () => this.keyValue.read(),
                    "unavailable",
                    result => ({ type: "read", result }),
                );
            case "write":
                return this.#callKeyValue<number | "conflict" | "unavailable">(
                    node,
                    () => this.keyValue.compareAndSwap(effect.value, effect.expectedVersion),
                    "unavailable",
                    result => ({ type: "written", token: effect.token, result }),
                );
            case "readSegments":
                return this.#callKeyValue(node, () => this.keyValue.segments, undefined, keys => ({ type: "segments", keys }));
            case "writeSegment":
                return this.#callKeyValue(
                    node,
                    () => {
                        this.keyValue.segments = [...this.keyValue.segments, ...effect.keys];
                        return true;
                    },
                    false,
                    ok => ({ type: "segmentWritten", keys: effect.keys.map(([key]) => key), ok }),
                );
            case "call":
                return this.#call(node, effect.to, effect.request);
            case "prove":
                return this.#enqueueInput(node, incarnation, {
                    type: "proof",
                    host: effect.host,
                    terminated: this.#isTerminated(effect.host),
                });
            case "listHosts":
                return this.#enqueueInput(node, incarnation, { type: "hosts", hosts: this.#listHosts() });
            case "send":
                return this.#send(node, effect);
            case "query":
                return this.#enqueueInput(node, incarnation, {
                    type: "queried",
                    key: effect.key,
                    response: this.endpoints.query(effect.endpoints, effect.key),
                });
        }
    }

    #isTerminated(host: HostId): boolean {
        return !this.isCloudDown && this.nodes.some(node => node.host === host && node.isTerminated);
    }

    #listHosts(): HostId[] | undefined {
        return this.isCloudDown ?
            undefined :
            this.nodes.filter(node => node.isStarted && !node.isTerminated).map(node => node.host);
    }

    /** Calls the key-value service; the call may fail, lose its reply, or take effect after the caller has timed out. */
    #callKeyValue<T>(node: NodeModel, apply: () => T, failed: T, toInput: (result: T) => ShardInput): void {
        const incarnation = node.holder.incarnation;
        const isUnreachable = this.keyValue.isDown || node.isCutFromStore;
        if (isUnreachable && !this.#random.chance(this.faultRates.lateArrival)) {
            this.#enqueueInput(node, incarnation, toInput(failed));
            return;
        }
        const isLate = isUnreachable || this.#random.chance(this.faultRates.lateArrival);
        if (isLate) {
            this.#enqueueInput(node, incarnation, toInput(failed));
        }
        this.#enqueueExternal(() => {
            const result = apply();
            if (!isLate) {
                this.#enqueueInput(node, incarnation, toInput(this.#random.chance(this.faultRates.lostReply) ? failed : result));
            }
        });
    }

    /** Calls a peer; the call may be lost, duplicated, or arrive after the caller has timed out. */
    #call(node: NodeModel, to: Holder, request: PeerRequest): void {
        const incarnation = node.holder.incarnation;
        const target = this.nodes.find(other => other.host === to.host);
        const reportFailure = (): void =>
            this.#enqueueInput(node, incarnation, { type: "called", to, request, reply: undefined });
        if (target === undefined || !target.isRunning || target.group !== node.group) {
            reportFailure();
            return;
        }
        if (target.isPaused || this.#random.chance(this.faultRates.lateArrival)) {
            reportFailure();
            this.#enqueueExternal(() => target.isRunning && void this.step(target, { type: "request", to, request }), target);
            return;
        }
        if (this.#random.chance(this.faultRates.duplicate)) {
            this.#enqueueExternal(() => target.isRunning && void this.step(target, { type: "request", to, request }), target);
        }
        this.#enqueueExternal(() => {
            const reply = target.isRunning ? this.step(target, { type: "request", to, request }) : undefined;
            const isLost = reply === undefined || this.#random.chance(this.faultRates.lostReply);
            this.#enqueueInput(node, incarnation, { type: "called", to, request, reply: isLost ? undefined : reply });
        }, target);
    }

    /** Sends to an endpoint; the request may be refused, lose its response, or run after the sender has timed out. */
    #send(node: NodeModel, { intent, endpoint, key }: EffectOf<"send">): void {
        const incarnation = node.holder.incarnation;
        const finish = (outcome: AttemptOutcome): void =>
            this.#enqueueInput(node, incarnation, { type: "sent", intent, endpoint, outcome });
        if (this.#random.chance(this.faultRates.endpointFault)) {
            finish({ type: "notRun", code: "endpoint.refused" });
            return;
        }
        const isSilent = this.#random.chance(this.faultRates.endpointFault);
        if (isSilent) {
            finish({ type: "unknown" });
        }
        this.#enqueueExternal(() => {
            this.log(() => `${endpoint} runs ${key} for ${node.host}, intent ${intent}`);
            const response = this.endpoints.run(endpoint, key, this.nowMs);
            this.callers.checkRun(key);
            if (!isSilent) {
                finish({ type: "response", response });
            }
        });
    }
}

function describe(input: ShardInput): string {
    if (input.type === "members") {
        return `members ${input.members.map(member => `${member.host}:${member.state}`).join(" ")}`;
    }
    const { type, ...rest } = input;
    return `${type} ${JSON.stringify(rest)}`;
}
