import { ByteBuffer } from "./bytebuffer.js";

/** The bytes of one server-sent event with its trailing blank line. */
export interface EventFrame {
    readonly bytes: Buffer;
    /** The event's id; absent for comments and events without one. */
    readonly id?: string;
    /** Whether it consists of comments only; a stalled engine may send them to keep the connection open. */
    readonly isComment: boolean;
}

/** Longest event that is accepted; a longer one means that the bytes are not an event stream. */
const maximumEventBytes = 1_048_576;
/** Bytes of a blank line that may have arrived without its end. */
const blankLineBytes = 3;

/** Splits the bytes of a server-sent event stream into complete events without changing them. */
export class EventFrameReader {
    readonly #pending = new ByteBuffer();

    /** Length of the incomplete event at the end. */
    get pendingBytes(): number {
        return this.#pending.length;
    }

    /** Returns the events that the chunk completes; `undefined` when an event is too long. */
    push(chunk: Buffer): readonly EventFrame[] | undefined {
        const knownBytes = this.#pending.length;
        if (knownBytes > 0) {
            this.#pending.append(chunk);
        }
        const bytes = knownBytes > 0 ? this.#pending.view() : chunk;
        const frames: EventFrame[] = [];
        let start = 0;
        // What was pending before holds no complete event, but may hold the beginning of a blank line.
        let end = findEventEnd(bytes, Math.max(0, knownBytes - blankLineBytes));
        for (; end !== -1; end = findEventEnd(bytes, start)) {
            frames.push(readFrame(bytes.subarray(start, end)));
            start = end;
        }
        if (knownBytes === 0 || start > 0) {
            this.#pending.clear();
            this.#pending.append(bytes.subarray(start));
        }
        return this.#pending.length > maximumEventBytes ? undefined : frames;
    }
}

function readFrame(bytes: Buffer): EventFrame {
    const text = bytes.toString("latin1");
    const id = /^id:[ ]?(.*?)\r?$/m.exec(text)?.[1];
    return { bytes, isComment: !/^[^:\r\n]/m.test(text), ...(id === undefined ? {} : { id }) };
}

/** The offset after the first blank line from an offset on; -1 when there is none. */
function findEventEnd(bytes: Buffer, from: number): number {
    for (let index = bytes.indexOf(0x0a, from); index !== -1; index = bytes.indexOf(0x0a, index + 1)) {
        if (bytes[index + 1] === 0x0a) {
            return index + 2;
        }
        if (bytes[index + 1] === 0x0d && bytes[index + 2] === 0x0a) {
            return index + 3;
        }
    }
    return -1;
}
