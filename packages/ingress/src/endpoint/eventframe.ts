/** One event of a stream as it was sent, with its trailing blank line. */
export interface EventFrame {
    readonly bytes: Buffer;
    /** The event's id; absent for comments and events without one. */
    readonly id?: string;
    /** Whether it has nothing but comments, by which an engine that makes no progress may keep a connection open. */
    readonly isComment: boolean;
}

/** Longest event that is accepted; a longer one means that the bytes are no event stream. */
const eventLimitBytes = 1_048_576;

/** Cuts the bytes of a stream into whole events without changing them. */
export class EventFrameReader {
    #pending = Buffer.alloc(0);

    /** Bytes of an event that has not ended yet. */
    get pendingBytes(): number {
        return this.#pending.length;
    }

    /** Takes bytes and gives the events that they complete; `undefined` when an event is too long. */
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
        return this.#pending.length > eventLimitBytes ? undefined : frames;
    }
}

/** The offset behind the blank line that ends the first event; -1 when there is none. */
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
