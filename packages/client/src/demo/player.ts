import type { Configuration } from "@filbertrelay/configuration";
import { expandMessages } from "@filbertrelay/emulator";
import type { ModelEntry, ServiceEntry, Trace, TraceEntry } from "@filbertrelay/emulator";
import { parseJson } from "@filbertrelay/kernel";
import type { Clock } from "@filbertrelay/kernel";
import { createHash } from "node:crypto";
import { Agent } from "undici";
import * as z from "zod";
import { EntryPoints } from "../caller/entrypoints.js";
import { callModel } from "../caller/model.js";
import type { CallerContext, ModelAnswer } from "../caller/model.js";
import { callService } from "../caller/service.js";
import type { ServiceAnswer, ServiceCall } from "../caller/service.js";
import type { AnswerOutcome } from "./check.js";
import type { RequestRecord } from "./record.js";

/** The whole answer of the stand-in engines to a chat. */
export type ExpectedAnswer = (
    messages: readonly { readonly role: string; readonly content: string; }[],
    tokens: number,
) => string;

/** How a trace is played. */
export interface PlayOptions {
    readonly clock: Clock;
    readonly trace: Trace;
    /** Time from the first to the last request; the trace's times are scaled to it. */
    readonly durationMs: number;
    readonly configuration: Configuration;
    /** Plain keys by customer. */
    readonly customerKeys: Readonly<Record<string, string>>;
    /** Callers' addresses of some entry hosts. */
    readonly seeds: readonly string[];
    /** Checks answers when the engines are the stand-ins; otherwise only order and completeness are checked. */
    readonly expectedAnswer?: ExpectedAnswer | undefined;
    /** Makes idempotency keys of different runs differ. */
    readonly runName: string;
    /** Upper limit of every caller's deadline. */
    readonly longestDeadlineMs: number;
    readonly patienceMs: number;
    /** Start of the run on the clock's monotonic time; the times of requests count from here. */
    readonly originMs: number;
}

/** What the callers of a played trace know. */
export interface Played {
    readonly requests: readonly RequestRecord[];
    readonly answers: readonly AnswerOutcome[];
    readonly keys: ReadonlyMap<string, readonly ServiceAnswer["outcome"][]>;
    readonly firstTokenMs: readonly number[];
    readonly betweenTokensMs: readonly number[];
    readonly serviceMs: readonly number[];
}

/** Lists what a trace names and a configuration does not have. */
export function findUnplayable(trace: Trace, configuration: Configuration): readonly string[] {
    const customers = new Set(configuration.customers.map(customer => customer.name));
    const operations = new Set(
        configuration.services.flatMap(service => service.operations.map(item => `${service.name}/${item.name}`)),
    );
    const faults = trace.entries.flatMap(entry => [
        ...(customers.has(entry.customer) ? [] : [`customer '${entry.customer}'`]),
        ...(entry.type === "model" || operations.has(`${entry.service}/${entry.operation}`) ?
            [] :
            [`operation '${entry.service}/${entry.operation}'`]),
        ...(entry.type === "model" && configuration.models.length === 0 ? ["a model"] : []),
    ]);
    return [...new Set(faults)];
}

/** Plays a trace as its callers would and waits for all outcomes. */
export async function playTrace(options: PlayOptions): Promise<Played> {
    const player = new Player(options);
    try {
        return await player.play();
    }
    finally {
        await player.close();
    }
}

const echoSchema = z.object({ method: z.string(), path: z.string(), bodySha256: z.string() });

class Player {
    readonly #options: PlayOptions;
    readonly #startMs: number;
    readonly #dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0, connect: { timeout: 2_000 } });
    readonly #contexts = new Map<string, CallerContext>();
    readonly #texts = new Map<string, string>();
    readonly #requests: RequestRecord[] = [];
    readonly #answers: AnswerOutcome[] = [];
    readonly #keys = new Map<string, ServiceAnswer["outcome"][]>();
    readonly #firstTokenMs: number[] = [];
    readonly #betweenTokensMs: number[] = [];
    readonly #serviceMs: number[] = [];

    constructor(options: PlayOptions) {
        this.#options = options;
        this.#startMs = options.clock.monotonicMs();
    }

    async play(): Promise<Played> {
        const { entries } = this.#options.trace;
        const firstAt = entries[0]?.at ?? 0;
        const scale = this.#options.durationMs / Math.max(1, (entries.at(-1)?.at ?? 0) - firstAt);
        const running: Promise<void>[] = [];
        for (const entry of entries) {
            const waitMs = (entry.at - firstAt) * scale - (this.#options.clock.monotonicMs() - this.#startMs);
            if (waitMs > 0) {
                await this.#options.clock.sleep(waitMs);
            }
            running.push(entry.type === "model" ? this.#playModel(entry) : this.#playService(entry));
        }
        await Promise.all(running);
        return {
            requests: this.#requests,
            answers: this.#answers,
            keys: this.#keys,
            firstTokenMs: this.#firstTokenMs,
            betweenTokensMs: this.#betweenTokensMs,
            serviceMs: this.#serviceMs,
        };
    }

    close(): Promise<void> {
        return this.#dispatcher.destroy();
    }

    #elapsedMs(): number {
        return this.#options.clock.monotonicMs() - this.#options.originMs;
    }

    // Each customer is a caller of its own, with its own failure domain and its own cached entry points.
    #contextOf(customer: string): CallerContext {
        const known = this.#contexts.get(customer);
        if (known !== undefined) {
            return known;
        }
        const { clock, configuration, seeds } = this.#options;
        const failureDomain = configuration.failureDomains[this.#contexts.size % configuration.failureDomains.length];
        const entryPoints = new EntryPoints({ clock, dispatcher: this.#dispatcher, seeds, failureDomain });
        const context = { clock, dispatcher: this.#dispatcher, entryPoints };
        this.#contexts.set(customer, context);
        return context;
    }

    #deadlineMs(entry: TraceEntry): number {
        const kind = this.#options.trace.header.callerKinds.find(candidate => candidate.name === entry.caller);
        return Math.min(kind?.deadlineMs ?? Infinity, this.#options.longestDeadlineMs);
    }

    async #playModel(entry: ModelEntry): Promise<void> {
        const atMs = this.#elapsedMs();
        const messages = expandMessages(entry.parts, this.#texts);
        const answer = await callModel(this.#contextOf(entry.customer), {
            customerKey: this.#options.customerKeys[entry.customer] ?? "",
            model: this.#options.configuration.models[0]?.name ?? "",
            messages,
            maxTokens: entry.answer,
            seed: entry.at,
            deadlineMs: this.#deadlineMs(entry),
            patienceMs: this.#options.patienceMs,
        });
        const own = this.#options.expectedAnswer?.(messages, entry.answer) === answer.tokens.join("");
        this.#keepModel(entry, answer, atMs, this.#options.expectedAnswer === undefined || own);
    }

    #keepModel(entry: ModelEntry, answer: ModelAnswer, atMs: number, own: boolean): void {
        const accepted = answer.requestId !== undefined;
        const complete = answer.outcome === "complete";
        const name = `${answer.requestId ?? "unaccepted"} (${entry.kind}, ${answer.tokens.length}/${entry.answer} tokens, ${
            answer.error?.code ?? answer.outcome
        })`;
        this.#answers.push({ name, accepted, complete, own, outOfOrder: answer.outOfOrder });
        if (answer.firstTokenMs !== undefined) {
            this.#firstTokenMs.push(answer.firstTokenMs);
        }
        this.#betweenTokensMs.push(...answer.betweenTokensMs);
        this.#requests.push({
            kind: entry.kind,
            customer: entry.customer,
            atMs,
            outcome: answer.outcome,
            ...(answer.requestId === undefined ? {} : { requestId: answer.requestId }),
            ...(answer.firstTokenMs === undefined ? {} : { firstTokenMs: answer.firstTokenMs }),
            durationMs: this.#elapsedMs() - atMs,
            reconnects: answer.reconnects,
            attempts: answer.attempts,
            ...(answer.error === undefined ? {} : { errorCode: answer.error.code }),
        });
    }

    async #playService(entry: ServiceEntry): Promise<void> {
        const atMs = this.#elapsedMs();
        const call = this.#serviceCall(entry);
        const answer = await callService(this.#contextOf(entry.customer), call);
        const { idempotencyKey } = call;
        if (idempotencyKey !== undefined) {
            this.#keys.set(idempotencyKey, [...this.#keys.get(idempotencyKey) ?? [], answer.outcome]);
        }
        const isAnswered = answer.outcome === "done";
        const own = isAnswered && isOwnAnswer(call, answer);
        const name = `${answer.requestId ?? "unaccepted"} (${entry.service}/${entry.operation}, ${
            answer.error?.code ?? answer.outcome
        })`;
        // A non-idempotent request without a definite outcome is a fault of its key, counted by the checks of keys.
        this.#answers.push({ name, accepted: isAnswered, complete: isAnswered, own, outOfOrder: 0 });
        this.#serviceMs.push(answer.durationMs);
        this.#requests.push({
            kind: `${entry.service}/${entry.operation}`,
            customer: entry.customer,
            atMs,
            outcome: answer.outcome,
            ...(answer.requestId === undefined ? {} : { requestId: answer.requestId }),
            durationMs: answer.durationMs,
            reconnects: 0,
            attempts: answer.attempts,
            ...(answer.error === undefined ? {} : { errorCode: answer.error.code }),
        });
    }

    #serviceCall(entry: ServiceEntry): ServiceCall {
        const service = this.#options.configuration.services.find(candidate => candidate.name === entry.service);
        const operation = service?.operations.find(candidate => candidate.name === entry.operation);
        const reference = entry.key ?? `${entry.at}`;
        const hasBody = operation?.method !== "GET" && operation?.method !== "HEAD";
        return {
            customerKey: this.#options.customerKeys[entry.customer] ?? "",
            service: entry.service,
            method: operation?.method ?? "GET",
            path: `${operation?.path ?? "/"}/${reference}`,
            ...(hasBody ? { body: JSON.stringify({ customer: entry.customer, operation: entry.operation, reference }) } : {}),
            ...(entry.key === undefined ? {} : { idempotencyKey: `${this.#options.runName}-${entry.customer}-${entry.key}` }),
            deadlineMs: this.#deadlineMs(entry),
            patienceMs: this.#options.patienceMs,
        };
    }
}

function isOwnAnswer(call: ServiceCall, answer: ServiceAnswer): boolean {
    const echo = answer.status === 200 ? echoSchema.safeParse(parseJson(answer.body)).data : undefined;
    const bodySha256 = createHash("sha256").update(call.body ?? "").digest("hex");
    return echo?.method === call.method && echo.path === call.path && echo.bodySha256 === bodySha256;
}
