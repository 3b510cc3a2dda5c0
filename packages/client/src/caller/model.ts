import type { Clock } from "@filbertrelay/kernel";
import { request as send } from "undici";
import type { Dispatcher } from "undici";
import type { EntryPoints } from "./entrypoints.js";
import { isTransient, readRelayError } from "./error.js";
import type { RelayError } from "./error.js";
import { AnswerReader } from "./stream.js";
import type { StreamEnd } from "./stream.js";

/** A chat request with streaming. */
export interface ModelCall {
    readonly customerKey: string;
    readonly model: string;
    readonly messages: readonly { readonly role: string; readonly content: string; }[];
    readonly maxTokens: number;
    readonly seed: number;
    /** How long the caller waits for acceptance and first token. */
    readonly deadlineMs: number;
    /** How long the caller goes on asking for the rest of an accepted answer. */
    readonly patienceMs: number;
}

/** What a caller knows at the end of a model call. */
export interface ModelAnswer {
    /** `refused`: not accepted. `failed`: accepted, then ended with an error. `incomplete`: accepted, and the rest never came. */
    readonly outcome: "complete" | "refused" | "failed" | "incomplete";
    readonly requestId: string | undefined;
    readonly tokens: readonly string[];
    readonly outOfOrder: number;
    readonly firstTokenMs: number | undefined;
    readonly betweenTokensMs: readonly number[];
    /** Connections that continued the answer after a cut, a silence or a move. */
    readonly reconnects: number;
    /** Times that the request was sent until a host accepted it. */
    readonly attempts: number;
    readonly error: RelayError | undefined;
}

/** What callers share: time, connections and entry points. */
export interface CallerContext {
    readonly clock: Clock;
    readonly dispatcher: Dispatcher;
    readonly entryPoints: EntryPoints;
}

/** Longer than the relay's stall timeout of 2 s, so that the relay resumes a stalled engine before its caller reconnects. */
const silenceMs = 5_000;
const headerTimeoutMs = 10_000;
const retryIntervalMs = 250;

/** Sends a chat request and reads its whole answer, over as many connections as that takes. */
export async function callModel(context: CallerContext, call: ModelCall): Promise<ModelAnswer> {
    return new ModelCaller(context, call).run();
}

interface Connected {
    readonly address: string;
    readonly response: Dispatcher.ResponseData;
    readonly controller: AbortController;
}

class ModelCaller {
    readonly #context: CallerContext;
    readonly #call: ModelCall;
    readonly #startMs: number;
    readonly #reader: AnswerReader;
    readonly #gapsMs: number[] = [];
    #lastTokenMs: number | undefined;
    #firstTokenMs: number | undefined;
    #requestId: string | undefined;
    #reconnects = 0;
    #attempts = 0;
    /** Offset at the last attempt to continue. */
    #continuedOffset: number | undefined;
    #error: RelayError | undefined;

    constructor(context: CallerContext, call: ModelCall) {
        this.#context = context;
        this.#call = call;
        this.#startMs = context.clock.monotonicMs();
        this.#reader = new AnswerReader(() => this.#countToken());
    }

    async run(): Promise<ModelAnswer> {
        const accepted = await this.#submit();
        if (accepted === undefined) {
            return this.#finish("refused");
        }
        let end = await this.#read(accepted);
        const patienceEndMs = this.#context.clock.monotonicMs() + this.#call.patienceMs;
        while (end.type === "cut" || end.type === "moved") {
            if (this.#context.clock.monotonicMs() > patienceEndMs) {
                return this.#finish("incomplete");
            }
            end = await this.#continue(end);
        }
        if (end.type === "error") {
            this.#error = end.error;
            return this.#finish("failed");
        }
        return this.#finish("complete");
    }

    /** Sends the request until a host accepts it or refuses it for good, or the deadline passes. */
    async #submit(): Promise<Connected | undefined> {
        const endMs = this.#startMs + this.#call.deadlineMs;
        for (let remainingMs = this.#call.deadlineMs; remainingMs > 0; remainingMs = endMs - this.#context.clock.monotonicMs()) {
            const address = await this.#context.entryPoints.choose();
            this.#attempts += 1;
            const connected = await this.#connect(address, {
                method: "POST",
                path: "/v1/chat/completions",
                headers: { "content-type": "application/json", "x-request-deadline-ms": String(Math.ceil(remainingMs)) },
                body: this.#body(),
            });
            if (connected?.response.statusCode === 200) {
                this.#requestId = String(connected.response.headers["x-request-id"]);
                return connected;
            }
            if (connected !== undefined && !await this.#isWorthRepeating(connected)) {
                return undefined;
            }
            await this.#context.clock.sleep(Math.max(retryIntervalMs, this.#error?.retryAfterMs ?? 0));
        }
        return undefined;
    }

    #body(): string {
        const { model, messages, maxTokens, seed } = this.#call;
        return JSON.stringify({ model, messages, max_tokens: maxTokens, seed, stream: true });
    }

    async #continue(end: StreamEnd): Promise<StreamEnd> {
        if (end.type === "moved") {
            this.#context.entryPoints.learn(end.entryPoints);
        }
        // The first attempt after progress is made at once; without progress the hosts get time to settle.
        if (this.#reader.tokens.length === this.#continuedOffset) {
            await this.#context.clock.sleep(retryIntervalMs);
        }
        this.#continuedOffset = this.#reader.tokens.length;
        const address = await this.#context.entryPoints.choose();
        const path = `/v1/requests/${encodeURIComponent(this.#requestId ?? "")}?offset=${this.#reader.tokens.length}`;
        const connected = await this.#connect(address, { method: "GET", path, headers: {} });
        if (connected === undefined) {
            return { type: "cut", message: `The entry host at ${address} gave no answer.` };
        }
        if (connected.response.statusCode === 200) {
            this.#reconnects += 1;
            return this.#read(connected);
        }
        // A host that does not find the holder yet may find it once the membership has settled.
        await this.#isWorthRepeating(connected);
        return { type: "cut", message: this.#error?.message ?? "The request was not found." };
    }

    async #connect(
        address: string,
        exchange: {
            readonly method: "GET" | "POST";
            readonly path: string;
            readonly headers: Record<string, string>;
            readonly body?: string;
        },
    ): Promise<Connected | undefined> {
        const controller = new AbortController();
        const cancel = this.#context.clock.after(headerTimeoutMs, () => controller.abort());
        try {
            const response = await send(`http://${address}${exchange.path}`, {
                method: exchange.method,
                dispatcher: this.#context.dispatcher,
                signal: controller.signal,
                headers: { ...exchange.headers, authorization: `Bearer ${this.#call.customerKey}` },
                ...(exchange.body === undefined ? {} : { body: exchange.body }),
            });
            return { address, response, controller };
        }
        catch {
            this.#context.entryPoints.markFailed(address);
            return undefined;
        }
        finally {
            cancel();
        }
    }

    async #read(connected: Connected): Promise<StreamEnd> {
        const watched = watchSilence(connected, this.#context.clock);
        const end = await this.#reader.read(watched);
        if (end.type === "cut") {
            this.#context.entryPoints.markFailed(connected.address);
        }
        connected.controller.abort();
        return end;
    }

    async #isWorthRepeating({ address, response }: Connected): Promise<boolean> {
        const text = await response.body.text().catch(() => "");
        this.#error = readRelayError(text);
        // Only a host that names others takes no requests at all; another refusal concerns this request alone.
        if (this.#error?.entryPoints !== undefined) {
            this.#context.entryPoints.markFailed(address);
        }
        this.#context.entryPoints.learn(this.#error?.entryPoints ?? []);
        return isTransient(response.statusCode);
    }

    #countToken(): void {
        const nowMs = this.#context.clock.monotonicMs();
        this.#firstTokenMs ??= nowMs - this.#startMs;
        if (this.#lastTokenMs !== undefined) {
            this.#gapsMs.push(nowMs - this.#lastTokenMs);
        }
        this.#lastTokenMs = nowMs;
    }

    #finish(outcome: ModelAnswer["outcome"]): ModelAnswer {
        return {
            outcome,
            requestId: this.#requestId,
            tokens: this.#reader.tokens,
            outOfOrder: this.#reader.outOfOrder,
            firstTokenMs: this.#firstTokenMs,
            betweenTokensMs: this.#gapsMs,
            reconnects: this.#reconnects,
            attempts: this.#attempts,
            error: this.#error,
        };
    }
}

async function* watchSilence(connected: Connected, clock: Clock): AsyncGenerator<Buffer> {
    const expire = (): void => connected.controller.abort(new Error(`Nothing arrived for ${silenceMs} ms.`));
    let cancel = clock.after(silenceMs, expire);
    try {
        for await (const chunk of connected.response.body as AsyncIterable<Buffer>) {
            cancel();
            yield chunk;
            cancel = clock.after(silenceMs, expire);
        }
    }
    finally {
        cancel();
    }
}
