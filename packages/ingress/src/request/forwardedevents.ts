import { EventFrameReader } from "../endpoint/eventframe.js";

/** Events that the caller does not have yet. */
export interface NewEvents {
    readonly frames: readonly Buffer[];
    /** Whether there are any besides comments, which an engine that makes no progress may send as well. */
    readonly hasProgress: boolean;
}

/** Which events of a stream the caller has got, over all engines that it came from. */
export class ForwardedEvents {
    #reader = new EventFrameReader();
    #lastId: string | undefined;
    #count = 0;

    /** `lastId` names the last event that the caller had before its request. */
    constructor(lastId: string | undefined) {
        this.#lastId = lastId;
    }

    /** Id of the last event that the caller has. */
    get lastId(): string | undefined {
        return this.#lastId;
    }

    /** Events passed on by this host. */
    get count(): number {
        return this.#count;
    }

    /** Whether the engine's bytes ended within an event. */
    get isWithinEvent(): boolean {
        return this.#reader.pendingBytes > 0;
    }

    /** Begins with the bytes of another engine; an event that the former one did not end is dropped. */
    restart(): void {
        this.#reader = new EventFrameReader();
    }

    /** Takes an engine's bytes and gives the new events among them; `undefined` when an event is too long. */
    take(bytes: Buffer): NewEvents | undefined {
        const frames = this.#reader.push(bytes);
        if (frames === undefined) {
            return undefined;
        }
        const added = frames.filter(({ id }) => {
            const isNew = id === undefined || isBehind(id, this.#lastId);
            this.#lastId = isNew ? id ?? this.#lastId : this.#lastId;
            return isNew;
        });
        this.#count += added.length;
        return { frames: added.map(frame => frame.bytes), hasProgress: added.some(({ isComment }) => !isComment) };
    }
}

function isBehind(id: string, lastId: string | undefined): boolean {
    const [number, last] = [Number(id), Number(lastId ?? Number.NaN)];
    return !Number.isFinite(number) || !Number.isFinite(last) || number > last;
}
