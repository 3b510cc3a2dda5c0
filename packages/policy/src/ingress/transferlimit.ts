import type { TransferProgress } from "@filbertrelay/kernel";

/** What a response has to keep up to count as alive. */
export interface TransferLimits {
    /** Longest time without a byte. */
    readonly silenceMs: number;
    /** Lowest mean rate; ends responses of which a byte arrives now and then. */
    readonly slowestBytesPerMs: number;
}

/**
 * When a response counts as dead unless more of it arrives, in milliseconds since the call; infinite before its body has
 * begun. Its length alone never makes it dead.
 */
export function transferDueMs(
    { firstByteMs, lastByteMs, receivedBytes }: TransferProgress,
    { silenceMs, slowestBytesPerMs }: TransferLimits,
): number {
    if (firstByteMs === undefined || lastByteMs === undefined) {
        return Infinity;
    }
    return Math.min(lastByteMs, firstByteMs + receivedBytes / slowestBytesPerMs) + silenceMs;
}
