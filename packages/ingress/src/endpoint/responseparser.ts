import { HTTPParser } from "http-parser-js";
import type { HeaderList } from "../contract.js";
import { isFieldLine, isStatusLine, isStatusLineStart } from "./headgrammar.js";

/** Status line and headers of a response. */
export interface ResponseHead {
    readonly status: number;
    readonly statusText: string;
    readonly headers: HeaderList;
    /** Whether the connection can be reused for another request. */
    readonly isReusable: boolean;
}

export interface ResponseHandler {
    onHead(head: ResponseHead): void;
    onBody(chunk: Buffer): void;
    onComplete(): void;
}

/** Internals of http-parser-js that the stricter checks need; see its `consumeLine`. */
interface ParserInternals {
    state: string;
    line: string;
    consumeLine(): string | undefined;
}

/** Longest line of a response head, a chunk size or a trailer, in characters. */
const maximumLineLength = 32_768;
/** Most trailer lines; the library limits only the header lines. */
const maximumTrailerLines = 100;

// One character a byte: with the default, ASCII, the library drops the highest bit of each byte of a header.
HTTPParser.encoding = "latin1";

/** Most interim heads before an answer. */
const maximumInterimHeads = 32;
/** Chunks of a body that may be of any size; more of them need a mean size. */
const uncheckedChunks = 1_024;
const minimumMeanChunkBytes = 4;
/** No Content and Not Modified have no body, whatever length their heads state. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
/** Switching Protocols. */
const upgradeStatus = 101;

const chunkSizePattern = /^[0-9a-f]{1,8}[ \t]*(;.*)?$/i;

/**
 * Parses the responses on one connection. http-parser-js accepts any text as a header, as the size of the last chunk or as the content
 * length, and lines of unlimited length; these are rejected here, so that every head that is passed on is valid HTTP.
 */
export class ResponseParser {
    readonly #parser = new HTTPParser(HTTPParser.RESPONSE);

    /** `expectsNoBody` returns whether the next response is that of a HEAD request. */
    constructor(handler: ResponseHandler, expectsNoBody: () => boolean) {
        const parser = this.#parser;
        const internals = parser as unknown as ParserInternals;
        const consumeLine = internals.consumeLine.bind(parser);
        let trailerLines = 0;
        let isInterim = false;
        let interimHeads = 0;
        let chunks = 0;
        let chunkBytes = 0;
        internals.consumeLine = () => {
            const line = consumeLine();
            if ((line ?? internals.line).length > maximumLineLength) {
                throw new Error(`A line is longer than ${maximumLineLength} characters.`);
            }
            checkLine(internals.state, line, internals.line);
            if (internals.state === "BODY_CHUNKHEAD" && line !== undefined) {
                chunks += 1;
                chunkBytes += Number.parseInt(line, 16);
                checkChunks(chunks, chunkBytes);
            }
            trailerLines = internals.state === "BODY_CHUNKTRAILERS" ? trailerLines + Number(line !== undefined) : 0;
            if (trailerLines > maximumTrailerLines) {
                throw new Error(`The answer has more than ${maximumTrailerLines} trailers.`);
            }
            return line;
        };
        parser[HTTPParser.kOnHeadersComplete] = info => {
            const headers = toPairs(info.headers);
            checkFraming(headers);
            isInterim = info.statusCode < 200;
            interimHeads = isInterim ? interimHeads + 1 : 0;
            checkInterim(info.statusCode, interimHeads);
            [chunks, chunkBytes] = [0, 0];
            if (!isInterim) {
                handler.onHead({
                    status: info.statusCode,
                    statusText: info.statusMessage,
                    headers,
                    isReusable: info.shouldKeepAlive,
                });
            }
            return isInterim || bodilessStatuses.has(info.statusCode) || expectsNoBody() ? 1 : 0;
        };
        parser[HTTPParser.kOnBody] = (chunk, offset, length) => handler.onBody(chunk.subarray(offset, offset + length));
        parser[HTTPParser.kOnMessageComplete] = () => {
            if (!isInterim) {
                handler.onComplete();
            }
        };
    }

    /** Parses bytes; returns the error message if they are not a valid response. */
    push(bytes: Buffer): string | undefined {
        try {
            const parsed = this.#parser.execute(bytes);
            return parsed instanceof Error ? parsed.message : undefined;
        }
        catch (error) {
            return error instanceof Error ? error.message : String(error);
        }
    }

    /** Whether no byte has arrived after the last complete response. */
    get isBetweenResponses(): boolean {
        const { state, line } = this.#parser as unknown as ParserInternals;
        return state === "RESPONSE_LINE" && line === "";
    }

    /** Whether the body of the current response is delimited by the end of the connection. */
    get isDelimitedByClose(): boolean {
        return (this.#parser as unknown as ParserInternals).state === "BODY_RAW";
    }

    /** Handles the orderly end of the connection, which completes a response without a length; returns an error message if truncated. */
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

/** Checks a line in a state of the parser; `line` is absent while only the start has arrived. An empty line ends headers. */
function checkLine(state: string, line: string | undefined, start: string): void {
    if (line === undefined) {
        if (state === "RESPONSE_LINE" && !isStatusLineStart(start)) {
            throw new Error("The answer does not begin with a status line.");
        }
        return;
    }
    if (state === "RESPONSE_LINE" && line !== "" && !isStatusLine(line)) {
        throw new Error("The status line is malformed.");
    }
    if ((state === "HEADER" || state === "BODY_CHUNKTRAILERS") && line !== "" && !isFieldLine(line)) {
        throw new Error("A header is malformed.");
    }
    if (state === "BODY_CHUNKHEAD" && !chunkSizePattern.test(line)) {
        throw new Error("The size of a chunk is malformed.");
    }
}

/** Each chunk costs the work of reading a line, whatever it holds. */
function checkChunks(chunks: number, bytes: number): void {
    if (chunks > uncheckedChunks && bytes < chunks * minimumMeanChunkBytes) {
        throw new Error(`The body has ${chunks} chunks for ${bytes} bytes.`);
    }
}

/** Interim heads are passed over; a change of protocol was never asked for. */
function checkInterim(status: number, interimHeads: number): void {
    if (status === upgradeStatus) {
        throw new Error("The endpoint switches to another protocol.");
    }
    if (interimHeads > maximumInterimHeads) {
        throw new Error(`More than ${maximumInterimHeads} interim heads come before the answer.`);
    }
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
