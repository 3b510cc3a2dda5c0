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

/** Splits the bytes of a server-sent event stream into complete events without changing them. */
export class EventFrameReader {
    #pending = Buffer.alloc(0);

    /** Length of the incomplete event at the end. */
    get pendingBytes(): number {
        return this.#pending.length;
    }

    /** Returns the events that the chunk completes; `undefined` when an event is too long. */
    push(chunk: Buffer): readonly EventFrame[] | undefined {
        let rest = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
        const frames: EventFrame[] = [];
        for (let end = findEventEnd(rest); end !== -1; end = findEventEnd(rest)) {
            const bytes = rest.subarray(0, end);
            const text = bytes.toString("latin1");
            const id = /^id:[ ]?(.*?)\r?$/m.exec(text)?.[1];
            frames.push({ bytes, isComment: !/^[^:\r\n]/m.test(text), ...(id === undefined ? {} : { id }) });
            rest = rest.subarray(end);
        }
        this.#pending = Buffer.from(rest);
        return this.#pending.length > maximumEventBytes ? undefined : frames;
    }
}

/** The offset after the blank line that ends the first event; -1 when there is none. */
function findEventEnd(bytes: Buffer): number {
    for (let index = bytes.indexOf(0x0a); index !== -1; index = bytes.indexOf(0x0a, index + 1)) {
        if (bytes[index + 1] === 0x0a) {
            return index + 2;
        }
        if (bytes[index + 1] === 0x0d && bytes[index + 2] === 0x0a) {
            return index + 3;
        }
    }
    return -1;
}
