import type { RequestId } from "@filbertrelay/kernel";
import { createParser } from "eventsource-parser";
import type { EventSourceMessage, EventSourceParser } from "eventsource-parser";
import * as z from "zod";
import type { EndpointIssue, EngineFinish, EngineItem } from "./engine.js";

const chunkSchema = z.object({
    id: z.string(),
    choices: z.array(z.object({
        delta: z.object({ content: z.string().optional() }),
        finish_reason: z.enum(["stop", "length"]).nullish(),
    })).length(1),
    usage: z.object({
        prompt_tokens: z.int().min(0),
        completion_tokens: z.int().min(0),
        prompt_tokens_details: z.object({ cached_tokens: z.int().min(0) }).optional(),
    }).nullish(),
});

// Longest event that is accepted; a token's event has some hundred bytes.
const eventLimitBytes = 1_000_000;

/** Turns the bytes of an engine's event stream into items; checks request id and order of offsets. */
export class EngineStreamReader {
    readonly #requestId: RequestId;
    readonly #parser: EventSourceParser;
    #offset: number;
    #items: EngineItem[] = [];
    #isFinished = false;
    #hasFailed = false;

    constructor(requestId: RequestId, offset: number) {
        this.#requestId = requestId;
        this.#offset = offset;
        this.#parser = createParser({
            maxBufferSize: eventLimitBytes,
            onEvent: event => this.#onEvent(event),
            onError: error => error.type === "max-buffer-size-exceeded" && this.#fail("An event is too long."),
        });
    }

    /** True after the finish or an issue was read. */
    get isFinished(): boolean {
        return this.#isFinished;
    }

    /** True after an invalid event; nothing more is read. */
    get hasFailed(): boolean {
        return this.#hasFailed;
    }

    /** Reads a piece of the stream and gives the items that became complete. */
    feed(text: string): readonly EngineItem[] {
        try {
            this.#parser.feed(text);
        }
        catch (error) {
            this.#fail(error instanceof Error ? error.message : String(error));
        }
        const items = this.#items;
        this.#items = [];
        return items;
    }

    #onEvent(event: EventSourceMessage): void {
        if (this.#isFinished || event.data === "[DONE]") {
            return;
        }
        const chunk = parseChunk(event.data);
        if (chunk === undefined) {
            this.#fail("An event has an unexpected shape.");
            return;
        }
        if (chunk.id !== this.#requestId) {
            this.#fail(`An event belongs to request '${chunk.id}'.`);
            return;
        }
        if (chunk.content !== "") {
            this.#onToken(event.id, chunk.content);
        }
        if (chunk.finish !== undefined && !this.#isFinished) {
            this.#isFinished = true;
            this.#items.push({ type: "finish", finish: chunk.finish });
        }
    }

    #onToken(id: string | undefined, text: string): void {
        const offset = Number(id);
        if (id === undefined || !Number.isSafeInteger(offset) || offset > this.#offset + 1) {
            this.#fail(`The token after offset ${this.#offset} has the offset '${id ?? ""}'.`);
            return;
        }
        // A token that was already read is dropped, so that every token is given once.
        if (offset === this.#offset + 1) {
            this.#offset = offset;
            this.#items.push({ type: "token", token: { offset, text } });
        }
    }

    #fail(reason: string): void {
        if (!this.#isFinished) {
            this.#isFinished = true;
            this.#hasFailed = true;
            this.#items.push({ type: "issue", issue: invalidStream(reason) });
        }
    }
}

interface Chunk {
    readonly id: string;
    readonly content: string;
    readonly finish: EngineFinish | undefined;
}

function parseChunk(data: string): Chunk | undefined {
    let value: unknown;
    try {
        value = JSON.parse(data);
    }
    catch {
        return undefined;
    }
    return readPlainToken(value) ?? checkChunk(value);
}

interface PlainToken {
    readonly id?: unknown;
    readonly usage?: unknown;
    readonly choices?: readonly { readonly delta?: { readonly content?: unknown; }; readonly finish_reason?: unknown; }[];
}

/** Reads the event of one token without the schema, which took most of the driver's time; other events give undefined. */
function readPlainToken(value: unknown): Chunk | undefined {
    if (typeof value !== "object" || value === null) {
        return undefined;
    }
    const { id, usage, choices } = value as PlainToken;
    const choice = Array.isArray(choices) && choices.length === 1 ?
        (choices[0] as NonNullable<PlainToken["choices"]>[number] | null) :
        undefined;
    const content = choice?.delta?.content;
    const isPlain = typeof id === "string" && typeof content === "string" && choice?.finish_reason === null &&
        usage === undefined;
    return isPlain ? { id, content, finish: undefined } : undefined;
}

function checkChunk(value: unknown): Chunk | undefined {
    const checked = chunkSchema.safeParse(value);
    const choice = checked.data?.choices[0];
    if (!checked.success || choice === undefined) {
        return undefined;
    }
    const { id, usage } = checked.data;
    const reason = choice.finish_reason ?? undefined;
    const finish = reason === undefined ? undefined : {
        reason,
        promptTokens: usage?.prompt_tokens ?? 0,
        cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
        generatedTokens: usage?.completion_tokens ?? 0,
    };
    return { id, content: choice.delta.content ?? "", finish };
}

function invalidStream(reason: string): EndpointIssue {
    return { code: "endpoint.invalid", executed: "unknown", message: `The engine's stream is invalid: ${reason}` };
}
