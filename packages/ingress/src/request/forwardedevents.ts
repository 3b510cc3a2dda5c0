import { EventFrameReader } from "../endpoint/eventframe.js";

/** Stream events that have not been forwarded to the caller yet. */
export interface NewEvents {
    readonly frames: readonly Buffer[];
    /** Id of the last event forwarded to the caller once these are. */
    readonly lastId: string | undefined;
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
        return { frames: added.map(frame => frame.bytes), lastId, hasProgress: added.some(({ isComment }) => !isComment) };
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
