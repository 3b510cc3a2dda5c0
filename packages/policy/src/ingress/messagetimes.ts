/** Sent with a message; lets the receiver bound when the message was written. */
export interface MessageTime {
    /** The run of the sender whose monotonic time `sentMs` is, in milliseconds; meaningful only to that run, when it is echoed. */
    readonly run: string;
    readonly sentMs: number;
    /** The last message that the sender got from the receiver, and the milliseconds since then. */
    readonly echo?: { readonly run: string; readonly sentMs: number; readonly elapsedMs: number; } | undefined;
}

/**
 * Bounds when the messages of peers were written, in this host's monotonic time. An age in a message counts from then: a message may
 * have waited for long on a slow link or in front of a paused process.
 */
export class MessageTimes {
    readonly #run: string;
    readonly #received = new Map<string, { readonly run: string; readonly sentMs: number; readonly receivedMs: number; }>();

    /** `run` differs for each start of a host, since the monotonic time starts anew. */
    constructor(run: string) {
        this.#run = run;
    }

    /** Describes a message to a peer that is written now. */
    describe(peer: string, nowMs: number): MessageTime {
        const received = this.#received.get(peer);
        return {
            run: this.#run,
            sentMs: nowMs,
            ...(received === undefined ?
                {} :
                { echo: { run: received.run, sentMs: received.sentMs, elapsedMs: nowMs - received.receivedMs } }),
        };
    }

    /** Records a message of a peer. Returns a time before which it was not written, or `undefined` if it echoes nothing of this run. */
    receive(peer: string, { run, sentMs, echo }: MessageTime, nowMs: number): number | undefined {
        this.#received.set(peer, { run, sentMs, receivedMs: nowMs });
        return echo === undefined || echo.run !== this.#run ? undefined : Math.min(nowMs, echo.sentMs + echo.elapsedMs);
    }

    /** Forgets a peer that is no longer registered. */
    forget(peer: string): void {
        this.#received.delete(peer);
    }
}
