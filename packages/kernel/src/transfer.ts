/** How much of a response has arrived. Times are in milliseconds since the call, sizes in bytes of the body. */
export interface TransferProgress {
    readonly elapsedMs: number;
    /** When the head was complete; absent before. */
    readonly headMs?: number;
    /** When the last byte arrived; absent before the head. */
    readonly lastByteMs?: number;
    readonly receivedBytes: number;
    /** Absent if the response does not name its length. */
    readonly totalBytes?: number;
}
