import { EventFrameReader } from "../endpoint/eventframe.js";

/** Stream events that have not been forwarded to the caller yet. */
export interface NewEvents {
    readonly frames: readonly Buffer[];
    /** Whether any of them is not a comment; a stalled engine may still send comments. */
    readonly hasProgress: boolean;
}

/** Tracks which events of a stream were forwarded to the caller, across all engines that produced it. */
export class ForwardedEvents {
    #reader = new EventFrameReader();
    #lastId: string | undefined;
    #count = 0;

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
        return this.#reader.pendingBytes > 0;
    }

    /** Starts reading from another engine; an incomplete event of the previous one is dropped. */
    restart(): void {
        this.#reader = new EventFrameReader();
    }

    /** Parses bytes of an engine and returns the events that are new to the caller; `undefined` when an event is too long. */
    take(bytes: Buffer): NewEvents | undefined {
        const frames = this.#reader.push(bytes);
        if (frames === undefined) {
            return undefined;
        }
        const added = frames.filter(({ id }) => {
            const isNew = id === undefined || isAfter(id, this.#lastId);
            this.#lastId = isNew ? id ?? this.#lastId : this.#lastId;
            return isNew;
        });
        this.#count += added.length;
        return { frames: added.map(frame => frame.bytes), hasProgress: added.some(({ isComment }) => !isComment) };
    }
}

function isAfter(id: string, lastId: string | undefined): boolean {
    const [number, last] = [Number(id), Number(lastId ?? Number.NaN)];
    return !Number.isFinite(number) || !Number.isFinite(last) || number > last;
}
