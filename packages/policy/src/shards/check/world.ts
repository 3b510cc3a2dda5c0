import type { HostId } from "@filbertrelay/kernel";
import type {
    AttemptOutcome,
    Holder,
    PeerReply,
    PeerRequest,
    Repetition,
    RuleName,
    ShardEffect,
    ShardInput,
    VersionedValue,
} from "../index.js";
import { isNewerSet } from "../value.js";
import { CallerModel, EndpointModel, KeyValueModel } from "./model.js";
import { NodeModel, resultRetentionMs } from "./node.js";
import type { Random } from "./random.js";

/** How often messages go wrong, in percent. */
export interface Disorder {
    lostReply: number;
    lateArrival: number;
    duplicate: number;
    endpointFault: number;
}

interface Pending {
    /** The process that must be able to act before the event can happen; undefined for events outside the hosts. */
    readonly node: NodeModel | undefined;
    readonly incarnation: string | undefined;
    readonly run: () => void;
}

/** The longest time that a submission may wait before it is run. */
const longestWaitMs = 3_000;

type EffectOf<T extends ShardEffect["type"]> = Extract<ShardEffect, { type: T; }>;

/** A modelled fleet with its platform; every event in flight is delivered in an order that the scheduler chooses. */
export class World {
    readonly keyValue = new KeyValueModel();
    readonly endpoints: EndpointModel;
    readonly callers: CallerModel;
    readonly nodes: NodeModel[];
    readonly disorder: Disorder;
    readonly trace: string[] | undefined;
    readonly pending: Pending[] = [];
    readonly #random: Random;
    isCloudDown = false;
    nowMs = 1_000;

    constructor(random: Random, options: {
        readonly nodeCount: number;
        readonly repetition: Repetition;
        readonly disorder: Disorder;
        readonly disabledRules: ReadonlySet<RuleName>;
        readonly trace: string[] | undefined;
    }) {
        this.#random = random;
        this.endpoints = new EndpointModel(options.repetition);
        this.callers = new CallerModel(this.endpoints);
        this.disorder = options.disorder;
        this.trace = options.trace;
        this.nodes = Array.from({ length: options.nodeCount }, (_, index) => new NodeModel(index, options.disabledRules));
    }

    note(text: () => string): void {
        this.trace?.push(`${this.nowMs} ${text()}`);
    }

    /** Gives an input to a node's machine and puts the effects in flight. */
    feed(node: NodeModel, input: ShardInput): PeerReply | undefined {
        this.note(() => `${node.host} <- ${describe(input)}`);
        const { effects, reply } = node.step(input, this.nowMs);
        for (const effect of effects) {
            this.#launch(node, effect);
        }
        return reply;
    }

    /** Delivers one event in flight; false when none can be delivered now. */
    deliver(): boolean {
        for (let attempt = 0; attempt < 4 && this.pending.length > 0; attempt++) {
            const index = this.#random.below(this.pending.length);
            if (this.deliverAt(index)) {
                return true;
            }
        }
        return false;
    }

    /** Delivers the event at an index unless its process is paused; events of dead processes are dropped. */
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

    /** Lets time pass and fires the timers that fall due. */
    advance(ms: number): void {
        this.nowMs += ms;
        for (const node of this.nodes) {
            if (node.canAct && node.wakes.some(atMs => atMs <= this.nowMs)) {
                node.wakes = node.wakes.filter(atMs => atMs > this.nowMs);
                this.feed(node, { type: "timer" });
            }
        }
    }

    /** Gives a node a new view of the fleet. */
    refresh(node: NodeModel, isAccurate: boolean): void {
        const started = this.nodes.filter(other => other.isStarted);
        const members = started.map(other => {
            const isUnreachable = other !== node && (other.isPaused || other.group !== node.group);
            return other.view(!isAccurate && isUnreachable && this.#random.chance(50));
        });
        this.feed(node, { type: "members", members });
    }

    /** After copies were lost, keys are protected only for as long as a caller may come back, which is the retention of results. */
    mayComeBack(key: string): boolean {
        const firstRunAtMs = this.endpoints.firstRunAtMs.get(key) ?? this.nowMs;
        return !this.keyValue.hasLostCopies || this.nowMs + longestWaitMs < firstRunAtMs + resultRetentionMs;
    }

    /** Submits a key at a node. */
    submit(node: NodeModel, key: string, fingerprint: string, waitMs: number): number {
        const call = this.callers.submit(key, fingerprint, this.nowMs + waitMs);
        this.feed(node, {
            type: "submit",
            call,
            key,
            fingerprint,
            customer: "c",
            service: "s",
            operation: "o",
            endpoints: ["e0", "e1"],
            repetition: this.endpoints.repetition,
            deadlineMs: this.nowMs + waitMs,
        });
        return call;
    }

    #launch(node: NodeModel, effect: ShardEffect): void {
        if (effect.type === "answer") {
            this.#answer(node, effect);
        }
        else if (effect.type === "wake") {
            node.wakes.push(effect.atMs);
        }
        else if (effect.type !== "reply") {
            this.#at(node, () => this.#execute(node, effect));
        }
    }

    #answer(node: NodeModel, { call, answer }: EffectOf<"answer">): void {
        this.note(() =>
            `${node.host} answers call ${call}: ${answer.ok ? answer.response.body : `${answer.code}/${answer.executed}`}`
        );
        const outcome = answer.ok ?
            { ok: true, text: answer.response.body, code: "" } :
            { ok: false, text: answer.executed, code: answer.code };
        const mayLoseResults = this.keyValue.hasLostCopies || !this.#isNewestOwner(node);
        this.callers.answer(call, outcome, { nowMs: this.nowMs, mayLoseResults });
    }

    /** A former owner that hasn't heard of its successor can't know what the successor was told. */
    #isNewestOwner(node: NodeModel): boolean {
        const stored = this.keyValue.read();
        const { owner } = node.state;
        const sets = this.nodes.filter(other => other.isRunning).flatMap(other => other.state.owner ?? []);
        return owner !== undefined && !(stored !== "missing" && isNewerSet(stored.value, owner)) &&
            !sets.some(set => isNewerSet(set, owner));
    }

    /** Queues an event that needs the present process of a node. */
    #at(node: NodeModel, run: () => void): void {
        this.pending.push({ node, incarnation: node.holder.incarnation, run });
    }

    /** Queues an event that needs no process, or whichever process runs on a node. */
    #outside(run: () => void, node?: NodeModel): void {
        this.pending.push({ node, incarnation: undefined, run });
    }

    #back(node: NodeModel, incarnation: string, input: ShardInput): void {
        this.pending.push({ node, incarnation, run: () => void this.feed(node, input) });
    }

    #execute(node: NodeModel, effect: Exclude<ShardEffect, { type: "answer" | "wake" | "reply"; }>): void {
        const incarnation = node.holder.incarnation;
        switch (effect.type) {
            case "read":
                return this.#store<VersionedValue | "missing" | "unavailable">(
                    node,
                    () => this.keyValue.read(),
                    "unavailable",
                    result => ({ type: "read", result }),
                );
            case "write":
                return this.#store<number | "conflict" | "unavailable">(
                    node,
                    () => this.keyValue.swap(effect.value, effect.expectedVersion),
                    "unavailable",
                    result => ({ type: "written", token: effect.token, result }),
                );
            case "readSegments":
                return this.#store(node, () => this.keyValue.segments, undefined, keys => ({ type: "segments", keys }));
            case "writeSegment":
                return this.#store(
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
                return this.#back(node, incarnation, {
                    type: "proof",
                    host: effect.host,
                    terminated: this.#isTerminated(effect.host),
                });
            case "listHosts":
                return this.#back(node, incarnation, { type: "hosts", hosts: this.#listHosts() });
            case "send":
                return this.#send(node, effect);
            case "query":
                return this.#back(node, incarnation, {
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

    /** A call to the key-value service: it may fail, lose its reply, or take effect after the caller has given up. */
    #store<T>(node: NodeModel, apply: () => T, failed: T, toInput: (result: T) => ShardInput): void {
        const incarnation = node.holder.incarnation;
        const isUnreachable = this.keyValue.isDown || node.isCutFromStore;
        if (isUnreachable && !this.#random.chance(this.disorder.lateArrival)) {
            this.#back(node, incarnation, toInput(failed));
            return;
        }
        const isLate = isUnreachable || this.#random.chance(this.disorder.lateArrival);
        if (isLate) {
            this.#back(node, incarnation, toInput(failed));
        }
        this.#outside(() => {
            const result = apply();
            if (!isLate) {
                this.#back(node, incarnation, toInput(this.#random.chance(this.disorder.lostReply) ? failed : result));
            }
        });
    }

    /** A call to a peer; it may be lost, duplicated, or arrive after the caller has given up. */
    #call(node: NodeModel, to: Holder, request: PeerRequest): void {
        const incarnation = node.holder.incarnation;
        const target = this.nodes.find(other => other.host === to.host);
        const giveUp = (): void => this.#back(node, incarnation, { type: "called", to, request, reply: undefined });
        if (target === undefined || !target.isRunning || target.group !== node.group) {
            giveUp();
            return;
        }
        if (target.isPaused || this.#random.chance(this.disorder.lateArrival)) {
            giveUp();
            this.#outside(() => target.isRunning && void this.feed(target, { type: "request", to, request }), target);
            return;
        }
        if (this.#random.chance(this.disorder.duplicate)) {
            this.#outside(() => target.isRunning && void this.feed(target, { type: "request", to, request }), target);
        }
        this.#outside(() => {
            const reply = target.isRunning ? this.feed(target, { type: "request", to, request }) : undefined;
            const isLost = reply === undefined || this.#random.chance(this.disorder.lostReply);
            this.#back(node, incarnation, { type: "called", to, request, reply: isLost ? undefined : reply });
        }, target);
    }

    /** An attempt at an endpoint; it may be refused, lose its answer, or run after the sender has given up. */
    #send(node: NodeModel, { intent, endpoint, key }: EffectOf<"send">): void {
        const incarnation = node.holder.incarnation;
        const finish = (outcome: AttemptOutcome): void =>
            this.#back(node, incarnation, { type: "sent", intent, endpoint, outcome });
        if (this.#random.chance(this.disorder.endpointFault)) {
            finish({ type: "notRun", code: "endpoint.refused" });
            return;
        }
        const isSilent = this.#random.chance(this.disorder.endpointFault);
        if (isSilent) {
            finish({ type: "unknown" });
        }
        this.#outside(() => {
            this.note(() => `${endpoint} runs ${key} for ${node.host}, intent ${intent}`);
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
