/** A report with the time of its receipt. */
export interface ReceivedReport<Report> {
    readonly report: Report;
    readonly receivedMs: number;
}

/** The latest report of each sender; reports expire after a fixed time to live. */
export class ReceivedReports<Report> {
    readonly #ttlMs: number;
    readonly #reports = new Map<string, ReceivedReport<Report>>();

    constructor(ttlMs: number) {
        this.#ttlMs = ttlMs;
    }

    record(sender: string, report: Report, nowMs: number): void {
        this.#reports.set(sender, { report, receivedMs: nowMs });
    }

    /** Drops the reports of senders that match the predicate. */
    forgetWhere(isOutdated: (sender: string) => boolean): void {
        [...this.#reports.keys()].filter(isOutdated).forEach(sender => this.#reports.delete(sender));
    }

    /** The reports that have not expired; drops the others. */
    live(nowMs: number): readonly ReceivedReport<Report>[] {
        return this.entries(nowMs).map(([, report]) => report);
    }

    /** The reports that have not expired, with their senders; drops the others. */
    entries(nowMs: number): readonly (readonly [string, ReceivedReport<Report>])[] {
        for (const [sender, { receivedMs }] of this.#reports) {
            if (nowMs - receivedMs > this.#ttlMs) {
                this.#reports.delete(sender);
            }
        }
        return [...this.#reports];
    }
}
