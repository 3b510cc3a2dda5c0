/** A report as it was received. */
export interface ReceivedReport<Report> {
    readonly report: Report;
    readonly receivedMs: number;
}

/** The last report of each sender; one that is older than its life does not count any more. */
export class ReceivedReports<Report> {
    readonly #lifeMs: number;
    readonly #reports = new Map<string, ReceivedReport<Report>>();

    constructor(lifeMs: number) {
        this.#lifeMs = lifeMs;
    }

    record(sender: string, report: Report, nowMs: number): void {
        this.#reports.set(sender, { report, receivedMs: nowMs });
    }

    /** Forgets the senders that the predicate picks. */
    forgetWhere(isOutdated: (sender: string) => boolean): void {
        [...this.#reports.keys()].filter(isOutdated).forEach(sender => this.#reports.delete(sender));
    }

    /** The reports that count; drops the others. */
    live(nowMs: number): readonly ReceivedReport<Report>[] {
        return this.senders(nowMs).map(([, report]) => report);
    }

    /** The reports that count, with their senders; drops the others. */
    senders(nowMs: number): readonly (readonly [string, ReceivedReport<Report>])[] {
        for (const [sender, { receivedMs }] of this.#reports) {
            if (nowMs - receivedMs > this.#lifeMs) {
                this.#reports.delete(sender);
            }
        }
        return [...this.#reports];
    }
}
