import { failure, success } from "@filbertrelay/kernel";
import type { Issue, Outcome } from "@filbertrelay/kernel";
import { Encoder, setSizeLimits } from "cbor-x";
import * as z from "zod";

/** The size of the big-endian length prefix of each frame, in bytes. */
export const lengthBytes = 4;

// A short frame can declare a huge array or map, which the decoder would allocate before it finds the data missing.
setSizeLimits({ maxArraySize: 1_000_000, maxMapSize: 1_000_000, maxObjectSize: 1_000_000 });

// Decoded byte strings are copied, since a view would keep the whole socket chunk in memory.
const codec = new Encoder({
    useRecords: false,
    mapsAsObjects: true,
    variableMapSize: true,
    tagUint8Array: false,
    copyBuffers: true,
});

const maximumTopicLength = 100;
const maximumId = 0xffff_ffff;
const kindSchema = z.enum(["request", "reply", "event", "chunk", "end"]);
const frameKinds: ReadonlySet<string> = new Set(kindSchema.options);

const frameSchema = z.strictObject({
    kind: kindSchema,
    /** Empty in reply, chunk and end frames, which are matched by the request's id. */
    topic: z.string().max(maximumTopicLength),
    id: z.int().min(0).max(maximumId),
    body: z.unknown(),
    /** Present in a `reply` or `end` that reports a failure. */
    issue: z.strictObject({ code: z.enum(["refused", "invalid"]), message: z.string().max(1_000) }).optional(),
});

/** One message on a connection. */
export type Frame = z.infer<typeof frameSchema>;

/** Why a frame can't be encoded or decoded; after a decoding failure the connection must be closed. */
export interface FrameIssue extends Issue {
    readonly code: "frame.tooLarge" | "frame.malformed";
}

/** Encodes a frame with its length prefix; fails if the body exceeds the limit in bytes. */
export function encodeFrame(frame: Frame, limitBytes: number): Outcome<Buffer, FrameIssue> {
    let body: Buffer;
    try {
        body = codec.encode(frame);
    }
    catch (error) {
        return malformed(String(error));
    }
    if (body.length > limitBytes) {
        return failure({
            code: "frame.tooLarge",
            message: `A frame of ${body.length} bytes exceeds the limit of ${limitBytes}.`,
        });
    }
    const bytes = Buffer.allocUnsafe(lengthBytes + body.length);
    bytes.writeUInt32BE(body.length, 0);
    body.copy(bytes, lengthBytes);
    return success(bytes);
}

/** Decodes and validates the body of a frame. */
export function decodeFrame(body: Uint8Array): Outcome<Frame, FrameIssue> {
    try {
        const decoded: unknown = codec.decode(body);
        if (isPlainFrame(decoded)) {
            return success(decoded);
        }
        const checked = frameSchema.safeParse(decoded);
        return checked.success ? success(checked.data) : malformed(z.prettifyError(checked.error));
    }
    catch (error) {
        return malformed(String(error));
    }
}

/** Whether a value is a valid frame without an issue, as almost all are; the schema takes much longer to tell. */
function isPlainFrame(value: unknown): value is Frame {
    if (
        typeof value !== "object" || value === null || !("kind" in value && "topic" in value && "id" in value && "body" in value)
    ) {
        return false;
    }
    const { kind, topic, id } = value;
    return typeof kind === "string" && frameKinds.has(kind) && typeof topic === "string" && topic.length <= maximumTopicLength &&
        Number.isInteger(id) && Number(id) >= 0 && Number(id) <= maximumId && Object.keys(value).length === 4;
}

function malformed(message: string): { readonly ok: false; readonly issue: FrameIssue; } {
    return failure({ code: "frame.malformed", message });
}

/** Splits a byte stream into frames. */
export class FrameReader {
    /** The largest body accepted, in bytes. */
    limitBytes: number;
    #chunks: Buffer[] = [];
    #size = 0;

    constructor(limitBytes: number) {
        this.limitBytes = limitBytes;
    }

    /** Adds received bytes. */
    push(chunk: Buffer): void {
        this.#chunks.push(chunk);
        this.#size += chunk.length;
    }

    /** Returns the next complete frame and its size in bytes, or `undefined` if more bytes are needed. */
    next(): Outcome<{ readonly frame: Frame; readonly bytes: number; }, FrameIssue> | undefined {
        if (this.#size < lengthBytes) {
            return undefined;
        }
        const bodyBytes = this.#peekLength();
        if (bodyBytes > this.limitBytes) {
            const message = `A frame of ${bodyBytes} bytes exceeds the limit of ${this.limitBytes}.`;
            return failure({ code: "frame.tooLarge", message });
        }
        const bytes = lengthBytes + bodyBytes;
        if (this.#size < bytes) {
            return undefined;
        }
        const decoded = decodeFrame(this.#take(bytes).subarray(lengthBytes));
        return decoded.ok ? success({ frame: decoded.value, bytes }) : decoded;
    }

    #peekLength(): number {
        const first = this.#chunks[0];
        if (first !== undefined && first.length >= lengthBytes) {
            return first.readUInt32BE(0);
        }
        return this.#concatenate().readUInt32BE(0);
    }

    #take(bytes: number): Buffer {
        const first = this.#chunks[0];
        const joined = first !== undefined && first.length >= bytes ? first : this.#concatenate();
        const rest = joined.subarray(bytes);
        this.#chunks.splice(0, 1, ...(rest.length > 0 ? [rest] : []));
        this.#size -= bytes;
        return joined.subarray(0, bytes);
    }

    #concatenate(): Buffer {
        const joined = Buffer.concat(this.#chunks);
        this.#chunks = [joined];
        return joined;
    }
}
