import type { Cancel, IdempotencyKey, RequestId, ServiceName } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { createShardState, stepShard } from "@filbertrelay/policy";
import type {
    AttemptOutcome,
    Holder,
    PeerReply,
    PeerRequest,
    ShardEffect,
    ShardInput,
    ShardOptions,
    ShardState,
    StoredResponse,
    SubmitResult,
} from "@filbertrelay/policy";
import { match } from "ts-pattern";
import type { Submission } from "../contract.js";
import { startHop } from "../telemetry/hop.js";
import type { ShardContext } from "./context.js";
import { shardEvents } from "./event.js";
import { ShardStore } from "./store.js";
import { peerRequestTopics } from "./topic.js";

/** An attempt continues for this long after the caller's deadline, so that its result can still be recorded. */
const attemptGraceMs = 30_000;
/** Timeout of a request to a peer or an endpoint's key status; peers reply from memory. */
const peerTimeoutMs = 1_000;
/** Resolves pending calls on shutdown; otherwise the forwarding host would wait until this process closes its connections. */
const stoppedResult: SubmitResult = { ok: false, code: "shard.notOwned", executed: "unknown" };

/** Runs the state machine of one shard and executes its effects; all decisions are made by the state machine. */
export class ShardActor {
    readonly shard: number;
    readonly #context: ShardContext;
    readonly #store: ShardStore;
    readonly #pendingCalls = new Map<number, { readonly key: string; readonly resolve: (result: SubmitResult) => void; }>();
    readonly #submissions = new Map<string, Submission>();
    #state: ShardState;
    #nextCall = 0;
    #wakeTimes = new Set<number>();
    #timer: { readonly atMs: number; readonly cancel: Cancel; } | undefined;
    #isStopped = false;

    constructor(context: ShardContext, options: ShardOptions) {
        this.shard = options.shard;
        this.#context = context;
        this.#store = new ShardStore(context, options.shard);
        this.#state = createShardState(options);
    }

    /** The current state of the state machine. */
    get state(): ShardState {
        return this.#state;
    }

    /** Stops timers and drops later results; pending calls fail with `shard.notOwned`, so that they are routed to another host. */
    stop(): void {
        this.#isStopped = true;
        this.#timer?.cancel();
        [...this.#pendingCalls.keys()].forEach(call => this.#resolveCall(call, stoppedResult));
    }

    /** Submits a request to the state machine and waits for its result. */
    submit(key: string, fingerprint: string, submission: Submission): Promise<SubmitResult> {
        if (this.#isStopped) {
            return Promise.resolve(stoppedResult);
        }
        const call = this.#nextCall++;
        this.#submissions.set(key, submission);
        return new Promise(resolve => {
            this.#pendingCalls.set(call, { key, resolve });
            this.feed({
                type: "submit",
                call,
                key,
                fingerprint,
                customer: submission.customer,
                service: submission.service,
                operation: submission.operation,
                endpoints: this.#context.endpoints(submission.service),
                resolution: this.#context.resolutionMethod(submission.service),
                deadlineMs: this.#nowMs() + submission.remainingMs,
            });
        });
    }

    /** Handles a request from a peer's state machine. */
    handlePeerRequest(to: Holder, request: PeerRequest): PeerReply {
        const reply = this.feed({ type: "request", to, request });
        return reply ?? { holder: this.#state.options.self, ok: false };
    }

    /** Feeds an input to the state machine and starts the effects; returns the reply if the input was a peer's request. */
    feed(input: ShardInput): PeerReply | undefined {
        if (this.#isStopped) {
            return undefined;
        }
        const before = this.#state;
        const { state, effects } = stepShard(before, { input, nowMs: this.#nowMs() });
        this.#state = state;
        this.#logOwnerChange(before, state);
        let reply: PeerReply | undefined;
        for (const effect of effects) {
            if (effect.type === "reply") {
                reply = effect.reply;
            }
            else {
                this.#runEffect(effect);
            }
        }
        return reply;
    }

    #nowMs(): number {
        return this.#context.clock.now().getTime();
    }

    #logOwnerChange(before: ShardState, after: ShardState): void {
        const fields = { shard: String(this.shard), epoch: after.owner?.epoch ?? before.owner?.epoch };
        if ((before.owner === undefined) !== (after.owner === undefined)) {
            this.#context.log.write(after.owner === undefined ? shardEvents.lost : shardEvents.acquired, fields);
        }
        else if (before.owner !== undefined && after.owner !== undefined && before.owner.mode !== after.owner.mode) {
            this.#context.log.write(after.owner.mode === "store" ? shardEvents.storeMode : shardEvents.witnessMode, fields);
        }
    }

    #runEffect(effect: Exclude<ShardEffect, { type: "reply"; }>): void {
        match(effect)
            .with({ type: "answer" }, ({ call, answer }) => this.#resolveCall(call, answer))
            .with({ type: "wake" }, ({ atMs }) => this.#scheduleWake(atMs))
            .with(
                { type: "read" },
                () => this.#feedResult(this.#store.read(), "unavailable", result => ({ type: "read", result })),
            )
            .with(
                { type: "write" },
                ({ token, expectedVersion, value }) =>
                    this.#feedResult(
                        this.#store.write(value, expectedVersion),
                        "unavailable",
                        result => ({ type: "written", token, result }),
                    ),
            )
            .with(
                { type: "readSegments" },
                () => this.#feedResult(this.#store.readSegments(), undefined, keys => ({ type: "segments", keys })),
            )
            .with({ type: "writeSegment" }, ({ keys }) => {
                const written = keys.map(([key]) => key);
                this.#feedResult(this.#store.writeSegments(keys), false, ok => ({ type: "segmentWritten", keys: written, ok }));
            })
            .with(
                { type: "call" },
                ({ to, request }) =>
                    this.#feedResult(this.#callPeer(to, request), undefined, reply => ({ type: "called", to, request, reply })),
            )
            .with(
                { type: "prove" },
                ({ host }) =>
                    this.#feedResult(
                        this.#context.isTerminated(host),
                        false,
                        terminated => ({ type: "proof", host, terminated }),
                    ),
            )
            .with(
                { type: "listHosts" },
                () => this.#feedResult(this.#context.listHosts(), undefined, hosts => ({ type: "hosts", hosts })),
            )
            .with({ type: "send" }, send => {
                const { intent, endpoint } = send;
                this.#feedResult(
                    this.#sendToEndpoint(send),
                    { type: "unknown" },
                    outcome => ({ type: "sent", intent, endpoint, outcome }),
                );
            })
            .with(
                { type: "query" },
                ({ key, endpoints }) =>
                    this.#feedResult(
                        this.#queryEndpoints(key, endpoints),
                        undefined,
                        response => ({ type: "queried", key, response }),
                    ),
            )
            .exhaustive();
    }

    /** Feeds the result of an effect back; if the effect throws, the inconclusive fallback is fed instead. */
    #feedResult<T>(pending: Promise<T>, fallback: T, toInput: (result: T) => ShardInput): void {
        void pending.catch(() => fallback).then(result => {
            this.feed(toInput(result));
            this.#pruneSubmissions();
        });
    }

    #resolveCall(call: number, result: SubmitResult): void {
        const pending = this.#pendingCalls.get(call);
        this.#pendingCalls.delete(call);
        if (!result.ok && result.code === "shard.unknown") {
            this.#context.log.write(shardEvents.unknownOutcome, { shard: String(this.shard), key: pending?.key });
        }
        pending?.resolve(result);
        this.#pruneSubmissions();
    }

    /** Drops submissions that no caller and no attempt needs any more. */
    #pruneSubmissions(): void {
        const needed = new Set([...this.#pendingCalls.values()].map(call => call.key));
        for (const attempt of this.#state.attempts.values()) {
            needed.add(attempt.entry.key);
        }
        for (const key of this.#submissions.keys()) {
            if (!needed.has(key)) {
                this.#submissions.delete(key);
            }
        }
    }

    #scheduleWake(atMs: number): void {
        this.#wakeTimes.add(atMs);
        this.#armTimer();
    }

    #armTimer(): void {
        const atMs = Math.min(...this.#wakeTimes);
        if (this.#isStopped || this.#wakeTimes.size === 0 || (this.#timer !== undefined && this.#timer.atMs <= atMs)) {
            return;
        }
        this.#timer?.cancel();
        this.#timer = { atMs, cancel: this.#context.clock.after(Math.max(1, atMs - this.#nowMs()), () => this.#handleTimer()) };
    }

    #handleTimer(): void {
        this.#timer = undefined;
        const nowMs = this.#nowMs();
        this.#wakeTimes = new Set([...this.#wakeTimes].filter(atMs => atMs > nowMs));
        this.feed({ type: "timer" });
        this.#armTimer();
    }

    async #callPeer(to: Holder, request: PeerRequest): Promise<PeerReply | undefined> {
        const { generation, peers } = this.#context;
        const body = { generation, shard: this.shard, to, request };
        // The state machine's requests are read-only, while the schema's input type has mutable arrays.
        const input = body as unknown as Parameters<
            typeof peers.call<typeof peerRequestTopics.copy.request, typeof peerRequestTopics.copy.reply>
        >[2];
        const reply = await peers.call(to.host, peerRequestTopics[request.type], input, { timeoutMs: peerTimeoutMs });
        return reply.ok ? reply.value as PeerReply : undefined;
    }

    async #sendToEndpoint(send: Extract<ShardEffect, { type: "send"; }>): Promise<AttemptOutcome> {
        const submission = this.#submissions.get(send.key);
        const address = submission === undefined ? undefined : this.#context.address(submission.service, send.endpoint);
        if (submission === undefined || address === undefined) {
            return { type: "notRun", code: "endpoint.unreachable" };
        }
        const hop = startHop(this.#context.tracing, "endpoint attempt", submission.headers, { endpoint: send.endpoint });
        const request = {
            requestId: this.requestId(send.key),
            method: submission.method,
            path: submission.path,
            headers: hop.headers,
            body: submission.body,
            idempotencyKey: submission.idempotencyKey,
            fencingToken: send.epoch,
        };
        const timeoutMs = Math.max(1, send.deadlineMs - this.#nowMs()) + attemptGraceMs;
        const outcome = await this.#context.services.send(address, request, { timeoutMs });
        hop.end(outcome.ok ? undefined : outcome.issue.code);
        if (outcome.ok) {
            return { type: "response", response: encodeResponse(outcome.value) };
        }
        return match(outcome.issue.executed)
            .returnType<AttemptOutcome>()
            .with("no", () => ({ type: "notRun", code: outcome.issue.code }))
            .with("yes", () => ({ type: "ran" }))
            .with("unknown", () => ({ type: "unknown" }))
            .exhaustive();
    }

    /** The request id that callers see. */
    requestId(key: string): RequestId {
        return brandAs<RequestId>(`n.${this.shard}.${key}`);
    }

    async #queryEndpoints(key: string, endpoints: readonly string[]): Promise<StoredResponse | undefined> {
        const submission = this.#submissions.get(key);
        if (submission === undefined) {
            return undefined;
        }
        for (const endpoint of endpoints) {
            const response = await this.#queryEndpoint(submission.service, endpoint, submission.idempotencyKey);
            if (response !== undefined) {
                return response;
            }
        }
        return undefined;
    }

    async #queryEndpoint(service: ServiceName, endpoint: string, key: IdempotencyKey): Promise<StoredResponse | undefined> {
        const address = this.#context.address(service, endpoint);
        if (address === undefined) {
            return undefined;
        }
        const outcome = await this.#context.services.queryKey(address, key, { timeoutMs: peerTimeoutMs });
        const response = outcome.ok && outcome.value.executed === "yes" ? outcome.value.response : undefined;
        return response === undefined ? undefined : encodeResponse(response);
    }
}

function encodeResponse(
    response: { status: number; headers: Readonly<Record<string, string>>; body: Uint8Array; },
): StoredResponse {
    return { status: response.status, headers: response.headers, body: Buffer.from(response.body).toString("base64") };
}
