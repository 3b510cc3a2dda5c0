import type { ServerResponse } from "node:http";
import { answerToken, escapedAnswerToken } from "./answer.js";

/** What an engine needs to know of a request. */
export interface GenerationRequest {
    readonly requestId: string;
    readonly model: string;
    /** Rendered prompt followed by the known part of the answer. */
    readonly text: string;
    /** Length of the prompt within the text. */
    readonly promptLength: number;
    readonly promptHash: number;
    /** Tokens of the answer that were known before. */
    readonly startOffset: number;
    /** Length of the whole answer, known part included. */
    readonly endOffset: number;
    readonly finishReason: "stop" | "length";
    /** Smaller is more urgent. */
    readonly priority: number;
    readonly isPoison: boolean;
}

interface Reader {
    readonly outgoing: ServerResponse;
    offset: number;
}

// Tokens that are joined into one write while a reader catches up.
const tokensPerWrite = 64;

/** An answer in progress or finished, with the connections that read it. */
export class Generation {
    readonly request: GenerationRequest;
    /** Offset of the last token produced. */
    offset: number;
    promptTokens = 0;
    cachedTokens = 0;
    /** Monotonic time at which the next token is due. */
    dueMs = Infinity;
    stallEndsAtMs = 0;
    finishedAtMs: number | undefined;
    readonly #readers = new Set<Reader>();
    readonly #head: string;

    constructor(request: GenerationRequest) {
        this.request = request;
        this.offset = request.startOffset;
        this.#head = `data: {"id":${JSON.stringify(request.requestId)},"object":"chat.completion.chunk",` +
            `"model":${JSON.stringify(request.model)},"choices":[{"index":0,"delta":`;
    }

    get isComplete(): boolean {
        return this.offset >= this.request.endOffset;
    }

    get hasStarted(): boolean {
        return this.offset > this.request.startOffset;
    }

    /** True if a reader can't take more at the moment. */
    get isBlocked(): boolean {
        for (const reader of this.#readers) {
            if (reader.outgoing.writableNeedDrain) {
                return true;
            }
        }
        return false;
    }

    /** Sends the answer from an offset to a response, including everything produced later. */
    attach(outgoing: ServerResponse, offset: number): void {
        const reader = { outgoing, offset };
        outgoing.writeHead(200, {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
            "x-request-id": this.request.requestId,
        });
        outgoing.flushHeaders();
        this.#readers.add(reader);
        outgoing.on("close", () => this.#readers.delete(reader));
        outgoing.on("error", () => this.#readers.delete(reader));
        outgoing.on("drain", () => this.#pump(reader));
        this.#pump(reader);
    }

    /** Produces up to `count` tokens and writes them. */
    produce(count: number): number {
        const produced = Math.min(count, this.request.endOffset - this.offset);
        this.offset += produced;
        this.#readers.forEach(reader => this.#pump(reader));
        return produced;
    }

    /** Ends the streams with the finish event after all tokens are produced. */
    finish(nowMs: number): void {
        this.finishedAtMs = nowMs;
        this.#readers.forEach(reader => this.#pump(reader));
    }

    /** Shows waiting readers that the engine is alive. */
    sendComment(): void {
        this.#readers.forEach(reader => reader.outgoing.write(": waiting\n\n"));
    }

    /** Ends all connections without a finish event. */
    abandon(): void {
        this.#readers.forEach(reader => reader.outgoing.destroy());
        this.#readers.clear();
    }

    #pump(reader: Reader): void {
        const { outgoing } = reader;
        while (reader.offset < this.offset && !outgoing.writableNeedDrain && !outgoing.destroyed) {
            const end = Math.min(this.offset, reader.offset + tokensPerWrite);
            outgoing.write(this.#format(reader.offset, end));
            reader.offset = end;
        }
        if (reader.offset >= this.request.endOffset && this.finishedAtMs !== undefined) {
            this.#readers.delete(reader);
            outgoing.end(this.#formatFinish());
        }
    }

    #format(afterOffset: number, endOffset: number): string {
        let text = "";
        for (let offset = afterOffset + 1; offset <= endOffset; offset++) {
            const token = escapedAnswerToken(this.request.promptHash, offset);
            text += `id: ${offset}\n${this.#head}{"content":"${token}"},"finish_reason":null}]}\n\n`;
        }
        return text;
    }

    #formatFinish(): string {
        const { startOffset, endOffset, finishReason } = this.request;
        const usage = {
            prompt_tokens: this.promptTokens,
            completion_tokens: endOffset - startOffset,
            prompt_tokens_details: { cached_tokens: this.cachedTokens },
        };
        return `id: ${endOffset}\n${this.#head}{},"finish_reason":"${finishReason}"}],"usage":${JSON.stringify(usage)}}\n\n` +
            "data: [DONE]\n\n";
    }
}

/** Prompt and answer up to the last token produced. */
export function sequenceText(generation: Generation): string {
    const { text, promptHash, startOffset } = generation.request;
    const tokens: string[] = [];
    for (let offset = startOffset + 1; offset <= generation.offset; offset++) {
        tokens.push(answerToken(promptHash, offset));
    }
    return text + tokens.join("");
}
