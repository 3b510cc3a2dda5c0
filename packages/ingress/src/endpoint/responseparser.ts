import { HTTPParser } from "http-parser-js";
import type { HeaderList } from "../contract.js";

/** The first lines of an endpoint's answer. */
export interface ResponseHead {
    readonly status: number;
    readonly statusText: string;
    readonly headers: HeaderList;
    /** Another request may follow on the connection. */
    readonly isReusable: boolean;
}

/** What a parser reports of the bytes it is given. */
export interface ResponseHandler {
    onHead(head: ResponseHead): void;
    onBody(chunk: Buffer): void;
    onComplete(): void;
}

/** The library's internals that are checked more strictly here; see `consumeLine` of http-parser-js. */
interface ParserInternals {
    state: string;
    line: string;
    consumeLine(): string | undefined;
}

/** Longest line of an answer's head, of the size of a chunk or of a trailer. */
const lineLimit = 32_768;
/** Most lines behind the last chunk; the library limits only those of the head. */
const trailerLinesLimit = 100;

const chunkSizePattern = /^[0-9a-f]{1,8}[ \t]*(;.*)?$/i;

/**
 * Parses the answers on one connection. The library accepts any text as the size of a last chunk and any text as a length, which
 * would make a damaged answer look complete, and lines without end, which would fill the memory; all are rejected.
 */
export class ResponseParser {
    readonly #parser = new HTTPParser(HTTPParser.RESPONSE);

    /** `expectsNoBody` says whether the answer to come is that of a HEAD request. */
    constructor(handler: ResponseHandler, expectsNoBody: () => boolean) {
        const parser = this.#parser;
        const internals = parser as unknown as ParserInternals;
        const consumeLine = internals.consumeLine.bind(parser);
        let trailerLines = 0;
        internals.consumeLine = () => {
            const line = consumeLine();
            if ((line ?? internals.line).length > lineLimit) {
                throw new Error(`A line is longer than ${lineLimit} characters.`);
            }
            trailerLines = internals.state === "BODY_CHUNKTRAILERS" ? trailerLines + Number(line !== undefined) : 0;
            if (trailerLines > trailerLinesLimit) {
                throw new Error(`The answer has more than ${trailerLinesLimit} trailers.`);
            }
            if (line !== undefined && internals.state === "BODY_CHUNKHEAD" && !chunkSizePattern.test(line)) {
                throw new Error("The size of a chunk is malformed.");
            }
            return line;
        };
        parser[HTTPParser.kOnHeadersComplete] = info => {
            const headers = toPairs(info.headers);
            checkFraming(headers);
            if (info.statusCode >= 200) {
                handler.onHead({
                    status: info.statusCode,
                    statusText: info.statusMessage,
                    headers,
                    isReusable: info.shouldKeepAlive,
                });
            }
            return expectsNoBody() ? 1 : 0;
        };
        parser[HTTPParser.kOnBody] = (chunk, offset, length) => handler.onBody(chunk.subarray(offset, offset + length));
        parser[HTTPParser.kOnMessageComplete] = () => handler.onComplete();
    }

    /** Parses bytes; gives the reason when they are no answer. */
    push(bytes: Buffer): string | undefined {
        try {
            const parsed = this.#parser.execute(bytes);
            return parsed instanceof Error ? parsed.message : undefined;
        }
        catch (error) {
            return error instanceof Error ? error.message : String(error);
        }
    }

    /** Whether no byte of a further answer has arrived behind the last complete one. */
    get isBetweenAnswers(): boolean {
        const { state, line } = this.#parser as unknown as ParserInternals;
        return state === "RESPONSE_LINE" && line === "";
    }

    /** Whether an answer has begun that only the end of the connection completes. */
    get endsWithConnection(): boolean {
        return (this.#parser as unknown as ParserInternals).state === "BODY_RAW";
    }

    /** Notes the orderly end of the connection, which completes an answer without a length; gives the reason when it is cut off. */
    finish(): string | undefined {
        const finished = this.#parser.finish();
        return finished instanceof Error ? finished.message : undefined;
    }
}

function toPairs(flat: readonly string[]): HeaderList {
    const pairs: [string, string][] = [];
    for (let index = 0; index + 1 < flat.length; index += 2) {
        pairs.push([flat[index] ?? "", flat[index + 1] ?? ""]);
    }
    return pairs;
}

function checkFraming(headers: HeaderList): void {
    const lengths = headers.filter(([name]) => name.toLowerCase() === "content-length").map(([, value]) => value);
    const codings = headers.filter(([name]) => name.toLowerCase() === "transfer-encoding").map(([, value]) => value);
    if (lengths.some(length => !/^\d{1,15}$/.test(length)) || lengths.length > 1) {
        throw new Error("The length of the body is malformed.");
    }
    if (codings.length > 1 || codings.some(coding => coding.trim().toLowerCase() !== "chunked")) {
        throw new Error("The transfer coding is not supported.");
    }
    if (lengths.length > 0 && codings.length > 0) {
        throw new Error("The answer has both a length and a transfer coding.");
    }
}
