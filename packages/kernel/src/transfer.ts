/** How much of a response has arrived. Times are in milliseconds since the call, sizes in bytes of the body. */
export interface TransferProgress {
    readonly elapsedMs: number;
    /** When the first byte of the body arrived; absent before. */
    readonly firstByteMs?: number;
    /** When the last byte so far arrived; absent before the first one. */
    readonly lastByteMs?: number;
    readonly receivedBytes: number;
    /** Absent if the response does not name its length. */
    readonly totalBytes?: number;
}
