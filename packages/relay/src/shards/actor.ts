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
import { machineTopics } from "./topic.js";

/** An attempt goes on for this long after the caller's deadline, so that its result can still be recorded. */
const attemptGraceMs = 30_000;
/** The longest wait for a peer's answer; peers answer from memory. */
const peerTimeoutMs = 1_000;
/** Without an answer the forwarding host would wait until this process has closed its connections. */
const stopped: SubmitResult = { ok: false, code: "shard.notOwned", executed: "unknown" };

/** Runs the state machine of one shard and carries out its effects; it decides nothing itself. */
export class ShardActor {
    readonly shard: number;
    readonly #context: ShardContext;
    readonly #store: ShardStore;
    readonly #calls = new Map<number, { readonly key: string; readonly answered: (answer: SubmitResult) => void; }>();
    readonly #contents = new Map<string, Submission>();
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

    /** The present state of the machine. */
    get state(): ShardState {
        return this.#state;
    }

    /** Stops timers; results that arrive later are dropped, and callers that still wait are sent elsewhere. */
    stop(): void {
        this.#isStopped = true;
        this.#timer?.cancel();
        [...this.#calls.keys()].forEach(call => this.#answer(call, stopped));
    }

    /** Submits a request to the machine and waits for its answer. */
    submit(key: string, fingerprint: string, submission: Submission): Promise<SubmitResult> {
        if (this.#isStopped) {
            return Promise.resolve(stopped);
        }
        const call = this.#nextCall++;
        this.#contents.set(key, submission);
        return new Promise(resolve => {
            this.#calls.set(call, { key, answered: resolve });
            this.feed({
                type: "submit",
                call,
                key,
                fingerprint,
                customer: submission.customer,
                service: submission.service,
                operation: submission.operation,
                endpoints: this.#context.endpoints(submission.service),
                resolution: this.#context.repetition(submission.service),
                deadlineMs: this.#nowMs() + submission.remainingMs,
            });
        });
    }

    /** Answers a request of a peer's machine. */
    request(to: Holder, request: PeerRequest): PeerReply {
        const reply = this.feed({ type: "request", to, request });
        return reply ?? { holder: this.#state.options.self, ok: false };
    }

    /** Makes one step and starts its effects; gives the reply if the input was a peer's request. */
    feed(input: ShardInput): PeerReply | undefined {
        if (this.#isStopped) {
            return undefined;
        }
        const before = this.#state;
        const { state, effects } = stepShard(before, { input, nowMs: this.#nowMs() });
        this.#state = state;
        this.#report(before, state);
        let reply: PeerReply | undefined;
        for (const effect of effects) {
            if (effect.type === "reply") {
                reply = effect.reply;
            }
            else {
                this.#start(effect);
            }
        }
        return reply;
    }

    #nowMs(): number {
        return this.#context.clock.now().getTime();
    }

    #report(before: ShardState, after: ShardState): void {
        const fields = { shard: String(this.shard), epoch: after.owner?.epoch ?? before.owner?.epoch };
        if ((before.owner === undefined) !== (after.owner === undefined)) {
            this.#context.log.write(after.owner === undefined ? shardEvents.lost : shardEvents.acquired, fields);
        }
        else if (before.owner !== undefined && after.owner !== undefined && before.owner.mode !== after.owner.mode) {
            this.#context.log.write(after.owner.mode === "store" ? shardEvents.storeMode : shardEvents.witnessMode, fields);
        }
    }

    #start(effect: Exclude<ShardEffect, { type: "reply"; }>): void {
        match(effect)
            .with({ type: "answer" }, ({ call, answer }) => this.#answer(call, answer))
            .with({ type: "wake" }, ({ atMs }) => this.#wake(atMs))
            .with({ type: "read" }, () => this.#later(this.#store.read(), "unavailable", result => ({ type: "read", result })))
            .with(
                { type: "write" },
                ({ token, expectedVersion, value }) =>
                    this.#later(
                        this.#store.write(value, expectedVersion),
                        "unavailable",
                        result => ({ type: "written", token, result }),
                    ),
            )
            .with(
                { type: "readSegments" },
                () => this.#later(this.#store.readSegments(), undefined, keys => ({ type: "segments", keys })),
            )
            .with({ type: "writeSegment" }, ({ keys }) => {
                const written = keys.map(([key]) => key);
                this.#later(this.#store.writeSegments(keys), false, ok => ({ type: "segmentWritten", keys: written, ok }));
            })
            .with(
                { type: "call" },
                ({ to, request }) =>
                    this.#later(this.#call(to, request), undefined, reply => ({ type: "called", to, request, reply })),
            )
            .with(
                { type: "prove" },
                ({ host }) =>
                    this.#later(this.#context.isTerminated(host), false, terminated => ({ type: "proof", host, terminated })),
            )
            .with(
                { type: "listHosts" },
                () => this.#later(this.#context.listHosts(), undefined, hosts => ({ type: "hosts", hosts })),
            )
            .with({ type: "send" }, send => {
                const { intent, endpoint } = send;
                this.#later(this.#send(send), { type: "unknown" }, outcome => ({ type: "sent", intent, endpoint, outcome }));
            })
            .with(
                { type: "query" },
                ({ key, endpoints }) =>
                    this.#later(this.#query(key, endpoints), undefined, response => ({ type: "queried", key, response })),
            )
            .exhaustive();
    }

    /** Feeds the result of an effect back; an effect that throws gives the result that proves nothing. */
    #later<T>(pending: Promise<T>, fallback: T, toInput: (result: T) => ShardInput): void {
        void pending.catch(() => fallback).then(result => {
            this.feed(toInput(result));
            this.#prune();
        });
    }

    #answer(call: number, answer: SubmitResult): void {
        const pending = this.#calls.get(call);
        this.#calls.delete(call);
        if (!answer.ok && answer.code === "shard.unknown") {
            this.#context.log.write(shardEvents.unknownOutcome, { shard: String(this.shard), key: pending?.key });
        }
        pending?.answered(answer);
        this.#prune();
    }

    /** Drops request contents that no caller and no attempt needs any more. */
    #prune(): void {
        const needed = new Set([...this.#calls.values()].map(call => call.key));
        for (const attempt of this.#state.attempts.values()) {
            needed.add(attempt.entry.key);
        }
        for (const key of this.#contents.keys()) {
            if (!needed.has(key)) {
                this.#contents.delete(key);
            }
        }
    }

    #wake(atMs: number): void {
        this.#wakeTimes.add(atMs);
        this.#schedule();
    }

    #schedule(): void {
        const atMs = Math.min(...this.#wakeTimes);
        if (this.#isStopped || this.#wakeTimes.size === 0 || (this.#timer !== undefined && this.#timer.atMs <= atMs)) {
            return;
        }
        this.#timer?.cancel();
        this.#timer = { atMs, cancel: this.#context.clock.after(Math.max(1, atMs - this.#nowMs()), () => this.#fire()) };
    }

    #fire(): void {
        this.#timer = undefined;
        const nowMs = this.#nowMs();
        this.#wakeTimes = new Set([...this.#wakeTimes].filter(atMs => atMs > nowMs));
        this.feed({ type: "timer" });
        this.#schedule();
    }

    async #call(to: Holder, request: PeerRequest): Promise<PeerReply | undefined> {
        const { generation, peers } = this.#context;
        const body = { generation, shard: this.shard, to, request };
        // Requests of the machine are read-only, while the schema's input type has mutable arrays.
        const input = body as unknown as Parameters<
            typeof peers.call<typeof machineTopics.copy.request, typeof machineTopics.copy.reply>
        >[2];
        const reply = await peers.call(to.host, machineTopics[request.type], input, { timeoutMs: peerTimeoutMs });
        return reply.ok ? reply.value as PeerReply : undefined;
    }

    async #send(send: Extract<ShardEffect, { type: "send"; }>): Promise<AttemptOutcome> {
        const submission = this.#contents.get(send.key);
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

    async #query(key: string, endpoints: readonly string[]): Promise<StoredResponse | undefined> {
        const submission = this.#contents.get(key);
        if (submission === undefined) {
            return undefined;
        }
        for (const endpoint of endpoints) {
            const response = await this.#queryOne(submission.service, endpoint, submission.idempotencyKey);
            if (response !== undefined) {
                return response;
            }
        }
        return undefined;
    }

    async #queryOne(service: ServiceName, endpoint: string, key: IdempotencyKey): Promise<StoredResponse | undefined> {
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
