import { parseJson } from "@filbertrelay/kernel";
import { createParser } from "eventsource-parser";
import type { EventSourceMessage } from "eventsource-parser";
import * as z from "zod";
import type { EntryPoint } from "./entrypoints.js";
import { readRelayError } from "./error.js";
import type { RelayError } from "./error.js";

const chunkSchema = z.object({
    choices: z.array(z.object({
        delta: z.object({ content: z.string().optional() }),
        finish_reason: z.string().nullish(),
    })).min(1),
});
const movedSchema = z.object({
    entryPoints: z.array(z.object({ hostId: z.string(), address: z.string(), failureDomain: z.string() })),
});

/** How the reading of one connection ended; `cut` means that the answer goes on elsewhere. */
export type StreamEnd =
    | { readonly type: "complete"; readonly reason: string; }
    | { readonly type: "error"; readonly error: RelayError; }
    | { readonly type: "moved"; readonly entryPoints: readonly EntryPoint[]; }
    | { readonly type: "cut"; readonly message: string; };

/** The tokens of one answer over all connections, with every fault in their order. */
export class AnswerReader {
    readonly tokens: string[] = [];
    /** Tokens that arrived although they were there already, or behind a gap. */
    outOfOrder = 0;
    readonly #onToken: () => void;
    #finishReason: string | undefined;
    #end: StreamEnd | undefined;

    constructor(onToken: () => void) {
        this.#onToken = onToken;
    }

    /** Reads server-sent events until the answer ends or the connection is cut or silent. */
    async read(body: AsyncIterable<Buffer | string>): Promise<StreamEnd> {
        this.#end = undefined;
        const parser = createParser({ onEvent: event => this.#take(event) });
        const decoder = new TextDecoder();
        try {
            for await (const chunk of body) {
                parser.feed(typeof chunk === "string" ? chunk : decoder.decode(chunk, { stream: true }));
                if (this.#end !== undefined) {
                    return this.#end;
                }
            }
        }
        catch (error) {
            return { type: "cut", message: error instanceof Error ? error.message : String(error) };
        }
        return this.#end ?? { type: "cut", message: "The connection ended before the answer did." };
    }

    #take(event: EventSourceMessage): void {
        if (event.event === "error") {
            const error = readRelayError(event.data);
            this.#end = error === undefined ? { type: "cut", message: "An error event is malformed." } : { type: "error", error };
        }
        else if (event.event === "moved") {
            this.#end = { type: "moved", entryPoints: movedSchema.safeParse(parseJson(event.data)).data?.entryPoints ?? [] };
        }
        else if (event.data === "[DONE]") {
            this.#end = this.#finishReason === undefined ?
                { type: "cut", message: "The stream ended without a finish reason." } :
                { type: "complete", reason: this.#finishReason };
        }
        else {
            this.#takeChunk(event);
        }
    }

    #takeChunk(event: EventSourceMessage): void {
        const choice = chunkSchema.safeParse(parseJson(event.data)).data?.choices[0];
        this.#finishReason = choice?.finish_reason ?? this.#finishReason;
        if (choice?.delta.content === undefined) {
            return;
        }
        if (Number(event.id) !== this.tokens.length + 1) {
            this.outOfOrder += 1;
            return;
        }
        this.tokens.push(choice.delta.content);
        this.#onToken();
    }
}
