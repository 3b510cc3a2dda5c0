import type { CloudClient, KeyValueClient } from "@filbertrelay/connectors";
import type { ServiceResponse } from "@filbertrelay/endpoints";
import type { Cancel, CustomerId, HostId, Kernel, Outcome, RequestId, ServiceName } from "@filbertrelay/kernel";
import { brandAs, success } from "@filbertrelay/kernel";
import { digestKey, rankHosts, shardOf, toSubmitResult } from "@filbertrelay/policy";
import type { Candidate, Holder, PeerRequest, ShardOptions, SubmitResult } from "@filbertrelay/policy";
import type { PeerNetwork } from "@filbertrelay/wire";
import type * as z from "zod";
import type {
    ConfigurationService,
    DirectoryService,
    MembershipService,
    ShardEntryView,
    ShardService,
    Submission,
    SubmissionIssue,
} from "../contract.js";
import { startHop } from "../telemetry/hop.js";
import type { Tracing } from "../telemetry/tracing.js";
import { ShardActor } from "./actor.js";
import type { ShardContext } from "./context.js";
import { decodeResponse, fingerprintOf, toFailure } from "./result.js";
import { peerRequestTopics, readTopic, submitTopic } from "./topic.js";

interface Submitted {
    readonly requestId: RequestId;
    readonly response: ServiceResponse;
}
interface Routed {
    readonly result: SubmitResult;
    readonly owner?: Holder | undefined;
    /** Whether the submission may have reached a host that did not reply. */
    readonly isDeliveryUnknown?: boolean;
}

/** Options of the shard service. */
export interface ShardServiceOptions {
    /** Burst limit of a shard's writes to the key-value service. */
    readonly writeBurst?: number;
    /** Delay before a failed call to the key-value service or a peer is retried, in milliseconds. */
    readonly retryMs?: number;
}

/** Delay before a submission is rerouted after the chosen host turned out not to own the shard. */
const rerouteDelayMs = 50;
const openEntryLimit = 512;
/** Bytes of finished entries per shard; with the open ones, the value stays below the key-value service's limit of 1 MB. */
const resultBytesLimit = 524_288;

/** Creates the shard service; it looks up the services that it depends on in the kernel when it uses them. */
export function createShardService(kernel: Kernel, options: ShardServiceOptions = {}): ShardService {
    return new RoutedShardService(kernel, options);
}

class RoutedShardService implements ShardService {
    readonly #kernel: Kernel;
    readonly #options: ShardServiceOptions;
    readonly #actors = new Map<number, ShardActor>();
    readonly #ownerHints = new Map<number, Holder>();
    #cancelMembers: Cancel | undefined;
    #isLeaving = false;

    constructor(kernel: Kernel, options: ShardServiceOptions) {
        this.#kernel = kernel;
        this.#options = options;
    }

    start(): Promise<void> {
        this.#cancelMembers = this.#membership.onChange(() => this.#refreshMembers());
        this.#handlePeerRequests();
        const peers = this.#peers;
        peers.handle(submitTopic, async body => {
            const { generation, shard, ...rest } = body;
            if (generation !== this.#generation) {
                return { answer: notOwned };
            }
            return this.#toReply(await this.#submitLocally(shard, rest as unknown as Submission));
        });
        peers.handle(readTopic, body => Promise.resolve(this.#toReply(this.#readLocally(body.shard, body.key, body.customer))));
        return Promise.resolve();
    }

    async stop(deadlineMs: number): Promise<void> {
        await this.release(deadlineMs);
        this.#cancelMembers?.();
        this.#actors.forEach(actor => actor.stop());
    }

    async submit(submission: Submission): Promise<Outcome<Submitted, SubmissionIssue>> {
        const key = digestKey(submission.customer, submission.idempotencyKey);
        const shard = shardOf(key, this.#shardCount);
        const deadlineMs = this.#nowMs() + submission.remainingMs;
        const result = await this.#route(shard, deadlineMs, target => {
            const remainingMs = Math.max(1, deadlineMs - this.#nowMs());
            const forwarded = { ...submission, remainingMs };
            return target === undefined ? this.#submitLocally(shard, forwarded) : this.#forwardToPeer(target, shard, forwarded);
        });
        return result.ok ?
            success({ requestId: brandAs<RequestId>(`n.${shard}.${key}`), response: decodeResponse(result.response) }) :
            toFailure(result);
    }

    async read(requestId: RequestId, customer: CustomerId): Promise<Outcome<ServiceResponse, SubmissionIssue>> {
        const [kind, shardText, key] = requestId.split(".");
        const shard = Number(shardText);
        if (kind !== "n" || key === undefined || !Number.isInteger(shard) || shard < 0 || shard >= this.#shardCount) {
            return toFailure({ ok: false, code: "shard.unknown", executed: "unknown" });
        }
        const deadlineMs = this.#nowMs() + readTimeoutMs;
        const result = await this.#route(shard, deadlineMs, target =>
            target === undefined ?
                Promise.resolve(this.#readLocally(shard, key, customer)) :
                this.#readFromPeer(target, shard, key, customer));
        return result.ok ? success(decodeResponse(result.response)) : toFailure(result);
    }

    entries(): readonly ShardEntryView[] {
        return [...this.#actors.values()].flatMap(actor =>
            [...actor.state.owner?.entries.values() ?? []].map(entry => ({
                requestId: actor.requestId(entry.key),
                customer: brandAs<CustomerId>(entry.customer),
                service: brandAs<ServiceName>(entry.service),
                operation: entry.operation,
                state: entry.state,
                since: new Date(entry.sinceMs),
            }))
        );
    }

    owned(): readonly { readonly shard: number; readonly epoch: number; readonly mode: "store" | "witness"; }[] {
        return [...this.#actors.values()].flatMap(actor => {
            const owner = actor.state.owner;
            return owner === undefined ? [] : [{ shard: actor.shard, epoch: owner.epoch, mode: owner.mode }];
        });
    }

    async release(deadlineMs: number): Promise<void> {
        this.#isLeaving = true;
        this.#refreshMembers();
        this.#actors.forEach(actor => actor.feed({ type: "leave" }));
        while (this.owned().length > 0 && this.#kernel.clock.monotonicMs() < deadlineMs) {
            await this.#kernel.clock.sleep(20);
        }
    }

    get #membership(): MembershipService {
        return this.#kernel.get<MembershipService>("membership");
    }

    get #configuration(): ConfigurationService {
        return this.#kernel.get<ConfigurationService>("configuration");
    }

    get #directory(): DirectoryService {
        return this.#kernel.get<DirectoryService>("directory");
    }

    get #peers(): PeerNetwork {
        return this.#kernel.get("peers") as unknown as PeerNetwork;
    }

    get #generation(): number {
        return this.#configuration.current().shards.generation;
    }

    get #shardCount(): number {
        return this.#configuration.current().shards.count;
    }

    #nowMs(): number {
        return this.#kernel.clock.now().getTime();
    }

    #handlePeerRequests(): void {
        for (const topic of Object.values(peerRequestTopics)) {
            this.#peers.handle(topic, body => {
                const request = body.request as unknown as PeerRequest;
                if (body.generation !== this.#generation) {
                    return Promise.resolve({ holder: this.#self(), ok: false });
                }
                const reply = this.#actor(body.shard).handlePeerRequest(body.to as Holder, request);
                return Promise.resolve(reply as unknown as { holder: Holder; ok: boolean; });
            });
        }
    }

    #self(): Holder {
        const { hostId, incarnation } = this.#membership.self();
        return { host: hostId, incarnation };
    }

    #actor(shard: number): ShardActor {
        const existing = this.#actors.get(shard);
        if (existing !== undefined) {
            return existing;
        }
        const actor = new ShardActor(this.#createContext(), this.#shardOptions(shard));
        this.#actors.set(shard, actor);
        actor.feed({ type: "members", members: this.#candidates(shard) });
        if (this.#isLeaving) {
            actor.feed({ type: "leave" });
        }
        return actor;
    }

    #shardOptions(shard: number): ShardOptions {
        const { batchIntervalMs, resultRetentionMs, keyRetentionMs } = this.#configuration.current().shards;
        return {
            self: this.#self(),
            shard,
            batchIntervalMs,
            writeBurst: this.#options.writeBurst ?? 4,
            retryMs: this.#options.retryMs ?? 500,
            resultRetentionMs,
            keyRetentionMs,
            openEntryLimit,
            resultBytesLimit,
            disabledRules: new Set(),
        };
    }

    #createContext(): ShardContext {
        const cloud = this.#kernel.get("cloud") as unknown as CloudClient;
        return {
            clock: this.#kernel.clock,
            log: this.#kernel.log,
            generation: this.#generation,
            keyValue: this.#kernel.get("keyValue") as unknown as KeyValueClient,
            peers: this.#peers,
            services: this.#kernel.get("services") as unknown as ShardContext["services"],
            keyRetentionMs: this.#configuration.current().shards.keyRetentionMs,
            tracing: this.#kernel.find<Tracing>("tracing"),
            endpoints: service =>
                this.#directory.endpoints(service).filter(entry => !entry.leaving).map(entry => entry.endpointId),
            address: (service, endpointId) =>
                this.#directory.endpoints(service).find(entry => entry.endpointId === endpointId)?.address,
            resolutionMethod: service => this.#resolutionMethod(service),
            isTerminated: async host => {
                const outcome = await cloud.getHost(host);
                return outcome.ok && outcome.value.state === "terminated";
            },
            listHosts: async () => {
                const outcome = await cloud.listHosts();
                return outcome.ok ?
                    outcome.value.filter(host => host.role === "entry" && host.state !== "terminated").map(host => host.hostId) :
                    undefined;
            },
        };
    }

    #resolutionMethod(name: string): "none" | "deduplicates" | "status" {
        const service = this.#configuration.current().services.find(candidate => candidate.name === name);
        if (service?.deduplicates === true) {
            return "deduplicates";
        }
        return service?.answersStatus === true ? "status" : "none";
    }

    #candidates(shard: number): Candidate[] {
        const members = this.#membership.members().some(member => member.hostId === this.#membership.self().hostId) ?
            this.#membership.members() :
            [...this.#membership.members(), this.#membership.self()];
        const candidates = members.map(({ hostId, incarnation, failureDomain, state }) => ({
            host: hostId,
            incarnation,
            failureDomain,
            state,
        }));
        return rankHosts(shard, this.#generation, candidates);
    }

    /** Passes the members to the state machines; the preferred live host takes over shards whose owner is dead or no longer a member. */
    #refreshMembers(): void {
        for (const actor of this.#actors.values()) {
            const members = this.#candidates(actor.shard);
            actor.feed({ type: "members", members });
            const { owner, knownSet } = actor.state;
            const isOrphaned = knownSet !== undefined && owner === undefined &&
                !members.some(member => isSameHolder(member, knownSet.owner) && member.state !== "dead");
            const preferred = members.find(member => member.state === "alive");
            if (isOrphaned && preferred?.host === this.#self().host && !this.#isLeaving) {
                actor.feed({ type: "acquire", force: false });
            }
        }
    }

    /** Asks the owner, or the host that should become the owner, until one returns a result or the deadline passes. */
    async #route(
        shard: number,
        deadlineMs: number,
        ask: (target: HostId | undefined) => Promise<Routed>,
    ): Promise<SubmitResult> {
        let lastResult: SubmitResult = notOwned;
        let isHintTrusted = true;
        let isDeliveryUnknown = false;
        while (this.#nowMs() < deadlineMs) {
            const target = this.#chooseHost(shard, isHintTrusted);
            const routed = await ask(target === this.#self().host ? undefined : target);
            isDeliveryUnknown ||= routed.isDeliveryUnknown === true;
            if (routed.result.ok || !isNotOwned(routed.result)) {
                return isDeliveryUnknown ? withUnknownExecution(routed.result) : routed.result;
            }
            lastResult = routed.result;
            isHintTrusted = routed.owner !== undefined;
            if (routed.owner !== undefined) {
                this.#ownerHints.set(shard, routed.owner);
            }
            await this.#kernel.clock.sleep(Math.min(rerouteDelayMs, Math.max(1, deadlineMs - this.#nowMs())));
        }
        return lastResult.ok ? lastResult : { ...lastResult, code: "shard.unavailable", executed: "unknown" };
    }

    #chooseHost(shard: number, isHintTrusted: boolean): HostId {
        const actor = this.#actors.get(shard);
        const members = this.#candidates(shard);
        const isLive = (holder: Holder | undefined): holder is Holder =>
            holder !== undefined && members.some(member => isSameHolder(member, holder) && isServing(member.state));
        if (actor?.state.owner !== undefined) {
            return this.#self().host;
        }
        const hint = this.#ownerHints.get(shard) ?? actor?.state.knownSet?.owner;
        if (isHintTrusted && isLive(hint)) {
            return hint.host;
        }
        return members.find(member => member.state === "alive")?.host ?? this.#self().host;
    }

    async #submitLocally(shard: number, submission: Submission): Promise<Routed> {
        const actor = this.#actor(shard);
        const key = digestKey(submission.customer, submission.idempotencyKey);
        const hop = startHop(this.#kernel.find<Tracing>("tracing"), "owner", submission.headers, { shard });
        const result = await actor.submit(key, fingerprintOf(submission), { ...submission, headers: hop.headers });
        hop.end(result.ok ? undefined : result.code);
        return { result, owner: actor.state.owner === undefined ? actor.state.knownSet?.owner : this.#self() };
    }

    async #forwardToPeer(target: HostId, shard: number, submission: Submission): Promise<Routed> {
        const body = { ...submission, headers: { ...submission.headers }, generation: this.#generation, shard };
        const reply = await this.#peers.call(target, submitTopic, body, { timeoutMs: submission.remainingMs + replyGraceMs });
        if (reply.ok) {
            return { result: reply.value.answer as SubmitResult, owner: reply.value.owner as Holder | undefined };
        }
        // A submission can be retried through another host at any time, because its key is executed at most once.
        return { result: notOwned, isDeliveryUnknown: reply.issue.sent };
    }

    #readLocally(shard: number, key: string, customer: string): Routed {
        const state = this.#actor(shard).state;
        const entry = state.owner?.entries.get(key);
        if (state.owner === undefined) {
            return { result: notOwned, owner: state.knownSet?.owner };
        }
        const isKnown = entry !== undefined && entry.customer === customer && entry.state !== "notRun";
        return {
            result: isKnown ? toSubmitResult(entry) : { ok: false, code: "shard.unknown", executed: "unknown" },
            owner: this.#self(),
        };
    }

    async #readFromPeer(target: HostId, shard: number, key: string, customer: string): Promise<Routed> {
        const body = { generation: this.#generation, shard, key, customer };
        const reply = await this.#peers.call(target, readTopic, body, { timeoutMs: readTimeoutMs });
        return reply.ok ?
            { result: reply.value.answer as SubmitResult, owner: reply.value.owner as Holder | undefined } :
            { result: notOwned };
    }

    #toReply(routed: Routed): { answer: ReplyResult; owner?: Holder; } {
        const answer = routed.result as ReplyResult;
        return routed.owner === undefined ? { answer } : { answer, owner: routed.owner };
    }
}

type ReplyResult = z.input<typeof submitTopic.reply>["answer"];

const readTimeoutMs = 2_000;
/** Allowance for transferring the reply, because the owner may respond as late as the caller's deadline. */
const replyGraceMs = 500;
const notOwned: Extract<SubmitResult, { ok: false; }> = { ok: false, code: "shard.notOwned", executed: "unknown" };

/** Replaces `no` by `unknown`: a host that did not reply may still execute an earlier copy of the submission. */
function withUnknownExecution(result: SubmitResult): SubmitResult {
    return !result.ok && result.executed === "no" && result.code !== "shard.keyReused" ?
        { ...result, executed: "unknown" } :
        result;
}

function isNotOwned(result: Extract<SubmitResult, { ok: false; }>): boolean {
    return result.code === "shard.notOwned";
}

function isServing(state: Candidate["state"]): boolean {
    return state === "alive" || state === "suspect";
}

function isSameHolder(member: Holder, owner: Holder): boolean {
    return member.host === owner.host && member.incarnation === owner.incarnation;
}
