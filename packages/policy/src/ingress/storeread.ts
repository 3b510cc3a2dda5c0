import type { TransferProgress } from "@filbertrelay/kernel";
import type { StoreCopy } from "./storecopy.js";

/** A watch may take this share of `applyMs` to transfer, whatever it brings. */
const patienceShare = 0.25;
/** Below this share of `applyMs`, a change during a listing is seen in time by the watch that follows. */
const longListingShare = 0.1;
/** The rate of a transfer is not judged by what has come in its first milliseconds, which had waited in buffers. */
const shortestSampleMs = 50;
/** Encoded length of an item beside its key and value. */
const itemBytes = 80;
/** Base64 has four characters for three bytes. */
const encodedPerCharacter = 4 / 3;

/** A listing that brought something. */
export interface CompletedListing {
    /** From the call to the last byte, in milliseconds. */
    readonly elapsedMs: number;
    /** Length of the values that had changed, in characters. */
    readonly changedCharacters: number;
    /** Estimated length of the listing, in bytes. */
    readonly listingBytes: number;
}

/**
 * Chooses between the two ways to read the store. A watch brings every version since a position, a listing only the newest one: where
 * long values change faster than they are transferred, watches get longer and longer, and listings don't.
 */
export class StoreReadPlan {
    readonly #applyMs: number;
    #isListingDue = false;

    /** `applyMs` is the time within which a change must be applied. */
    constructor(applyMs: number) {
        this.#applyMs = applyMs;
    }

    /** Whether the next read is a listing. */
    get isListingDue(): boolean {
        return this.#isListingDue;
    }

    /** Whether a watch in progress is read to its end: soon, or with fewer bytes than a listing would take. */
    isWatchWorthwhile({ elapsedMs, firstByteMs, receivedBytes, totalBytes }: TransferProgress, listingBytes: number): boolean {
        const transferMs = elapsedMs - (firstByteMs ?? elapsedMs);
        if (transferMs < shortestSampleMs) {
            return true;
        }
        // A response of unknown length is expected to be as long again.
        const leftBytes = totalBytes === undefined ? receivedBytes : totalBytes - receivedBytes;
        const leftMs = leftBytes * transferMs / Math.max(1, receivedBytes);
        return transferMs + leftMs <= this.#applyMs * patienceShare || leftBytes <= listingBytes;
    }

    /** Records that a watch was not read to its end. */
    recordAbandonedWatch(): void {
        this.#isListingDue = true;
    }

    /** Records a watch that was read to its end. */
    recordWatch(): void {
        this.#isListingDue = false;
    }

    /** Records a listing. If much of it had changed, a watch would bring the versions since then in full. */
    recordListing({ elapsedMs, changedCharacters, listingBytes }: CompletedListing): void {
        const isMostlyChanged = 2 * changedCharacters * encodedPerCharacter >= listingBytes;
        this.#isListingDue = isMostlyChanged && elapsedMs >= this.#applyMs * longListingShare;
    }
}

/** Estimated length of a listing of all items of a copy, in bytes. */
export function estimateListingBytes({ size, characters }: Pick<StoreCopy, "size" | "characters">): number {
    return size * itemBytes + characters * encodedPerCharacter;
}
