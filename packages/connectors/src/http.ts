import { BaseError, failure, success } from "@filbertrelay/kernel";
import type { Clock, Issue, Outcome, TransferProgress } from "@filbertrelay/kernel";
import { Agent } from "undici";
import type { Dispatcher } from "undici";
import type * as z from "zod";
import { ResponseTimer } from "./responsetimer.js";
import { TransferMeter } from "./transfermeter.js";

/** Options that all platform clients share. */
export interface ClientOptions {
    /** Root of the service, such as `http://127.0.0.1:7801`. */
    readonly url: string;
    readonly clock: Clock;
    /** Timeout of one call; the `waitMs` of a long poll is added to it. */
    readonly timeoutMs?: number;
    /**
     * When a response whose body has begun counts as dead unless more of it arrives, in milliseconds since the call. By default the
     * timeout of the call holds for the whole response.
     */
    readonly transferDueMs?: (progress: TransferProgress) => number;
    /** Maximum response size in bytes; a faulty service may send an endless response. */
    readonly maxResponseBytes?: number;
}

/** One HTTP call with a JSON body and a JSON response. */
export interface JsonCall {
    readonly method: Dispatcher.HttpMethod;
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** How long the service may hold a long poll; added to the timeout. */
    readonly waitMs?: number;
    /**
     * Sends the call on a connection of its own. On a pooled one, a late duplicate of an earlier response could be taken for the
     * response to this call, which must not happen where the response grants a right.
     */
    readonly needsOwnConnection?: boolean;
    /** Time after which the call must no longer reach the service; applies if it is shorter than the timeout. */
    readonly limitMs?: number;
    readonly signal?: AbortSignal | undefined;
    /** Asked as the body arrives; false gives up the rest of it. */
    readonly isWorthwhile?: ((progress: TransferProgress) => boolean) | undefined;
}

/** A complete response of the service; `body` is undefined if it was empty. */
export interface JsonResponse {
    readonly status: number;
    /** By lower-case name; a repeated header has several values. */
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
    readonly body: unknown;
    readonly transfer: TransferProgress;
}

/** No usable response was received: the call may or may not have taken effect. */
export interface NoResponseIssue extends Issue {
    /**
     * `http.tooLong`: the response exceeds the limit, as it will when the call is repeated. `http.abandoned`: its rest was not
     * worthwhile.
     */
    readonly code: "http.noAnswer" | "http.tooLong" | "http.abandoned";
    /** What had arrived of the response; absent if it was complete but unusable. */
    readonly transfer?: TransferProgress;
}

/** What one call in progress uses. */
interface CallState {
    readonly agent: Agent;
    readonly meter: TransferMeter;
    readonly timer: ResponseTimer;
    readonly signal: AbortSignal;
}

/** Timeout of a call unless the options name another, in milliseconds. */
export const defaultTimeoutMs = 2_000;
// Larger than any valid response: a list of the 64 shard values of 1 MB each.
const defaultMaxResponseBytes = 80_000_000;

/** Sends JSON calls over pooled connections; never retries a call. */
export class JsonClient {
    readonly #origin: string;
    readonly #clock: Clock;
    readonly #timeoutMs: number;
    readonly #maxResponseBytes: number;
    readonly #transferDueMs: ClientOptions["transferDueMs"];
    readonly #retired = new Set<Agent>();
    #agent = createAgent();

    constructor(options: ClientOptions) {
        this.#origin = options.url.replace(/\/+$/, "");
        this.#clock = options.clock;
        this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
        this.#maxResponseBytes = options.maxResponseBytes ?? defaultMaxResponseBytes;
        this.#transferDueMs = options.transferDueMs;
    }

    async call(call: JsonCall): Promise<Outcome<JsonResponse, NoResponseIssue>> {
        const controller = new AbortController();
        const meter = new TransferMeter(this.#clock);
        const agent = call.needsOwnConnection === true ? createAgent() : this.#agent;
        const timer = new ResponseTimer({
            clock: this.#clock,
            leftMs: () => this.#dueMs(call, meter.progress) - meter.progress.elapsedMs,
            onDue: () => {
                this.#retire(agent);
                controller.abort(new Error(describeTimeout(meter.progress)));
            },
        });
        const abort = (): void => controller.abort(call.signal?.reason);
        call.signal?.addEventListener("abort", abort, { once: true });
        if (call.signal?.aborted === true) {
            abort();
        }
        try {
            return success(await this.#send(call, { agent, meter, timer, signal: controller.signal }));
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            return failure({
                code: chooseCode(error),
                message: `'${call.method} ${this.#origin}${call.path}' got no response: ${reason}`,
                transfer: meter.progress,
            });
        }
        finally {
            timer.cancel();
            call.signal?.removeEventListener("abort", abort);
            if (call.needsOwnConnection === true) {
                await agent.destroy();
            }
        }
    }

    /** Stops reusing the open connections; called when a response on one of them did not match its call. */
    retireConnections(): void {
        this.#retire(this.#agent);
    }

    /** Closes the pooled connections; calls in progress end without a response. */
    async close(): Promise<void> {
        await Promise.all([this.#agent, ...this.#retired].map(agent => agent.destroy()));
    }

    /** Replaces the connection pool, because after a timeout its other connections may be black-holed as well. */
    #retire(agent: Agent): void {
        if (agent !== this.#agent) {
            return;
        }
        this.#agent = createAgent();
        this.#retired.add(agent);
        const remove = (): void => void this.#retired.delete(agent);
        agent.close().then(remove, remove);
    }

    /** When a call is given up, in milliseconds since its begin. */
    #dueMs({ waitMs = 0, limitMs = Infinity }: JsonCall, progress: TransferProgress): number {
        // A service may send the head of a long poll at once and its body at the end of the wait.
        const isArriving = progress.firstByteMs !== undefined && this.#transferDueMs !== undefined;
        return Math.min(isArriving ? this.#transferDueMs(progress) : this.#timeoutMs + waitMs, limitMs);
    }

    async #send(call: JsonCall, { agent, meter, timer, signal }: CallState): Promise<JsonResponse> {
        const response = await agent.request({
            origin: this.#origin,
            path: call.path,
            method: call.method,
            signal,
            headers: { ...call.headers, ...(call.body === undefined ? {} : { "content-type": "application/json" }) },
            ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
        });
        meter.recordHead(response.headers["content-length"]);
        const text = await readText(response.body, progress => {
            if (progress.firstByteMs === progress.lastByteMs) {
                timer.restart();
            }
            if (progress.receivedBytes > this.#maxResponseBytes) {
                throw new LengthError(`The response is longer than ${this.#maxResponseBytes} bytes.`);
            }
            if (call.isWorthwhile?.(progress) === false) {
                throw new AbandonedError(`The rest of the response was given up after ${progress.receivedBytes} bytes.`);
            }
        }, meter);
        return { status: response.statusCode, headers: response.headers, body: parseJson(text), transfer: meter.progress };
    }
}

function createAgent(): Agent {
    return new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: { timeout: 2_000 } });
}

function describeTimeout({ elapsedMs, receivedBytes }: TransferProgress): string {
    return receivedBytes > 0 ?
        `The response was not complete after ${Math.round(elapsedMs)} ms, of which ${receivedBytes} bytes had arrived.` :
        `No response within ${Math.round(elapsedMs)} ms.`;
}

const LengthError = BaseError.subclass("LengthError");
const AbandonedError = BaseError.subclass("AbandonedError");

function chooseCode(error: unknown): NoResponseIssue["code"] {
    if (error instanceof LengthError) {
        return "http.tooLong";
    }
    return error instanceof AbandonedError ? "http.abandoned" : "http.noAnswer";
}

/** Reads a body to its end; `check` is called after each piece and throws to give up the rest. */
async function readText(
    body: AsyncIterable<Buffer>,
    check: (progress: TransferProgress) => void,
    meter: TransferMeter,
): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of body) {
        meter.recordBytes(chunk.length);
        check(meter.progress);
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

function parseJson(text: string): unknown {
    if (text === "") {
        return undefined;
    }
    try {
        return JSON.parse(text);
    }
    catch {
        throw new Error("The response is not JSON.");
    }
}

/** Validates a response's body against a schema; an invalid body counts as no response. */
export function parseResponse<T>(schema: z.ZodType<T>, response: JsonResponse): Outcome<T, NoResponseIssue> {
    const checked = schema.safeParse(response.body);
    if (checked.success) {
        return success(checked.data);
    }
    const first = checked.error.issues[0];
    const detail = first === undefined ? "" : ` at '${first.path.join(".")}': ${first.message}`;
    return failure({
        code: "http.noAnswer",
        message: `The response with status ${response.status} has an unexpected shape${detail}.`,
    });
}
