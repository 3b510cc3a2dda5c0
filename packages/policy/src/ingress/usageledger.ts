/** Requests that began to run, by customer. */
export type CustomerCounts = Readonly<Record<string, number>>;

/** Counts of one host by number of the window. */
export type WindowCounts = Readonly<Record<string, CustomerCounts>>;

/** Counts the requests that began to run in fixed windows of wall-clock time, over all hosts. */
export interface UsageLedger {
    /** Notes that a request began to run. */
    record(customer: string, now: Date): void;
    /** What this process counted in the windows that are still open; sent to the peers. */
    ownCounts(): WindowCounts;
    /** Takes a peer's counts; `source` names the run of its process, so that a restart does not take back what was counted. */
    recordPeerCounts(source: string, counts: WindowCounts): void;
    /** Sums the counts of all hosts in one window. */
    total(windowNumber: number): CustomerCounts;
    /** Number of the window of a time. */
    windowAt(now: Date): number;
    /** Forgets windows before the given one. */
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
