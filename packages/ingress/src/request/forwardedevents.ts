import { EventFrameReader } from "../endpoint/eventframe.js";

/** Stream events that have not been forwarded to the caller yet. */
export interface NewEvents {
    readonly frames: readonly Buffer[];
    /** Id of the last event forwarded to the caller once these are. */
    readonly lastId: string | undefined;
    /** Whether any of them is not a comment; a stalled engine may still send comments. */
    readonly hasProgress: boolean;
}

/** Most bytes of comments and repeated events in a row; an engine that sends more sends them without end. */
const maximumIdleBytes = 1_048_576;

/** Tracks which events of a stream were forwarded to the caller, across all engines that produced it. */
export class ForwardedEvents {
    #reader = new EventFrameReader();
    #lastId: string | undefined;
    #count = 0;
    #idleBytes = 0;

    /** `lastId` is the last event that the caller had received before this request. */
    constructor(lastId: string | undefined) {
        this.#lastId = lastId;
    }

    /** Id of the last event forwarded to the caller. */
    get lastId(): string | undefined {
        return this.#lastId;
    }

    /** Events forwarded by this host. */
    get count(): number {
        return this.#count;
    }

    /** Whether the bytes so far end in the middle of an event. */
    get isWithinEvent(): boolean {
        return this.pendingBytes > 0;
    }

    /** Length of the incomplete event at the end. */
    get pendingBytes(): number {
        return this.#reader.pendingBytes;
    }

    /** Starts reading from another engine; an incomplete event of the previous one is dropped. */
    restart(): void {
        this.#reader = new EventFrameReader();
        this.#idleBytes = 0;
    }

    /**
     * Parses bytes of an engine and returns the events that are new to the caller; `undefined` when an event is too long or too many
     * bytes come without a new one.
     */
    read(bytes: Buffer): NewEvents | undefined {
        const frames = this.#reader.push(bytes);
        if (frames === undefined) {
            return undefined;
        }
        let lastId = this.#lastId;
        const added = frames.filter(({ id }) => {
            const isNew = id === undefined || isAfter(id, lastId);
            lastId = isNew ? id ?? lastId : lastId;
            return isNew;
        });
        const hasProgress = added.some(({ isComment }) => !isComment);
        const readBytes = frames.reduce((sum, frame) => sum + frame.bytes.length, 0);
        this.#idleBytes = hasProgress ? 0 : this.#idleBytes + readBytes;
        if (this.#idleBytes > maximumIdleBytes) {
            return undefined;
        }
        return { frames: added.map(frame => frame.bytes), lastId, hasProgress };
    }

    /** Records that events were forwarded. */
    record({ frames, lastId }: NewEvents): void {
        this.#lastId = lastId;
        this.#count += frames.length;
    }
}

function isAfter(id: string, lastId: string | undefined): boolean {
    const [number, last] = [Number(id), Number(lastId ?? Number.NaN)];
    return !Number.isFinite(number) || !Number.isFinite(last) || number > last;
}
