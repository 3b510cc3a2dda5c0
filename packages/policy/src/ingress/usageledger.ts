/** Number of started requests by customer. */
export type CustomerCounts = Readonly<Record<string, number>>;

/** Counts of one host by window number. */
export type WindowCounts = Readonly<Record<string, CustomerCounts>>;

/** Counts started requests over all hosts in fixed wall-clock windows. */
export interface UsageLedger {
    /** Records a started request. */
    record(customer: string, now: Date): void;
    /** Counts of this process in all windows that were not dropped; sent to the peers. */
    ownCounts(): WindowCounts;
    /** Stores a peer's counts; `source` identifies the process run, so that a restarted peer doesn't overwrite its earlier counts. */
    recordPeerCounts(source: string, counts: WindowCounts): void;
    /** Sums the counts of all hosts in one window. */
    total(windowNumber: number): CustomerCounts;
    /** Number of the window that contains the time. */
    windowAt(now: Date): number;
    /** Drops windows before the given one. */
    forgetBefore(windowNumber: number): void;
}

/** Creates an empty ledger for windows of the given length. */
export function createUsageLedger(windowMs: number): UsageLedger {
    const own = new Map<number, Map<string, number>>();
    const peers = new Map<string, Map<number, CustomerCounts>>();
    const windowAt = (now: Date): number => Math.floor(now.getTime() / windowMs);
    return {
        windowAt,
        record: (customer, now) => {
            const number = windowAt(now);
            const counts = own.get(number) ?? new Map<string, number>();
            own.set(number, counts.set(customer, (counts.get(customer) ?? 0) + 1));
        },
        ownCounts: () => Object.fromEntries([...own].map(([number, counts]) => [String(number), Object.fromEntries(counts)])),
        recordPeerCounts: (source, counts) => {
            const known = peers.get(source) ?? new Map<number, CustomerCounts>();
            peers.set(source, known);
            for (const [number, customers] of Object.entries(counts)) {
                known.set(Number(number), customers);
            }
        },
        total: windowNumber => {
            const sum: Record<string, number> = Object.fromEntries(own.get(windowNumber) ?? []);
            for (const counts of peers.values()) {
                for (const [customer, count] of Object.entries(counts.get(windowNumber) ?? {})) {
                    sum[customer] = (sum[customer] ?? 0) + count;
                }
            }
            return sum;
        },
        forgetBefore: windowNumber => {
            for (const [source, counts] of [...peers, ["", own] as const]) {
                for (const number of counts.keys()) {
                    if (number < windowNumber) {
                        counts.delete(number);
                    }
                }
                if (counts.size === 0) {
                    peers.delete(source);
                }
            }
        },
    };
}
