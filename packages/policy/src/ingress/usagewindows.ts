import type { CustomerCounts } from "./usageledger.js";

/** The counts of a window as they are stored for the next duty holder. */
export interface StoredWindow {
    readonly counts: CustomerCounts;
    /** Final counts may have been reported and must not change. */
    readonly isFinal: boolean;
    /** Era of the store in which they were stored. Absent in older versions. */
    readonly era?: number | undefined;
    /** Other counts may have been reported before a restore of the store, so the window is not reported again. */
    readonly isLost?: boolean | undefined;
}

/** The stored windows by number. */
export type StoredWindows = Readonly<Record<string, StoredWindow>>;

/** What a duty holder knows of the windows that it counts; times are milliseconds since 1970. */
export interface WindowKnowledge {
    readonly stored: StoredWindows;
    readonly finals: FinalCounts;
    /** Era of the store, and when this host learned of it, or started. */
    readonly era: number;
    readonly eraKnownMs: number;
    /** Since when no other host can have held the duties. */
    readonly heldSinceMs: number;
    /** When the counts of a window could be stored as final at the earliest. */
    readonly settledMs: (window: number) => number;
    /** The counts of a window as this host knows them. */
    readonly count: (window: number) => CustomerCounts;
}

/**
 * Returns the windows to store when a window is to be reported: this one as final, and the later ones that have ended as preliminary,
 * which keeps them if all hosts are killed.
 */
export function finalizeWindow(
    window: number,
    { lastEnded, retained, ...knowledge }: WindowKnowledge & { readonly lastEnded: number; readonly retained: number; },
): StoredWindows {
    const kept = Object.entries(knowledge.stored).filter(([number]) => Number(number) > window - retained);
    const windows: Record<string, StoredWindow> = {
        ...Object.fromEntries(kept),
        [window]: describeWindow(window, true, knowledge),
    };
    for (let later = window + 1; later <= lastEnded; later += 1) {
        windows[later] = describeWindow(later, false, knowledge);
    }
    return windows;
}

function describeWindow(window: number, isFinal: boolean, knowledge: WindowKnowledge): StoredWindow {
    const { stored, finals, era, count } = knowledge;
    const known = stored[window];
    const final = finals.get(window)?.counts;
    if (known?.isFinal === true) {
        return known;
    }
    if (final !== undefined) {
        return { counts: final, isFinal: true, era };
    }
    return mayBeReported(window, knowledge) ?
        { counts: {}, isFinal: false, isLost: true, era } :
        { counts: count(window), isFinal, era };
}

/**
 * Whether final counts of a window may have been reported that a restore of the store has undone. A holder must not count such a
 * window anew.
 */
function mayBeReported(window: number, { stored, era, settledMs, eraKnownMs, heldSinceMs }: WindowKnowledge): boolean {
    if (stored[window]?.isLost === true) {
        return true;
    }
    const isWrittenInEra = Object.values(stored).some(entry => (entry.era ?? era) === era);
    return !isWrittenInEra && settledMs(window) <= eraKnownMs && heldSinceMs > settledMs(window);
}

/** Final counts by window number, which outlive a restore of the store. The first counts of a window stay. */
export class FinalCounts {
    readonly #counts = new Map<number, { readonly counts: CustomerCounts; readonly knownMs: number; }>();
    #stored: StoredWindows = {};

    /** `nowMs` is monotonic. */
    record(window: number, counts: CustomerCounts, nowMs: number): void {
        if (!this.#counts.has(window)) {
            this.#counts.set(window, { counts, knownMs: nowMs });
        }
    }

    /** Records what the store holds. */
    recordStored(stored: StoredWindows, nowMs: number): void {
        this.#stored = stored;
        for (const [window, { counts, isFinal }] of Object.entries(stored)) {
            if (isFinal) {
                this.record(Number(window), counts, nowMs);
            }
        }
    }

    /** The counts of a window, and since when this host has known them. */
    get(window: number): { readonly counts: CustomerCounts; readonly knownMs: number; } | undefined {
        return this.#counts.get(window);
    }

    /** The counts that the store lacks; `undefined` if there are none. */
    missing(): Record<string, Record<string, number>> | undefined {
        const missing = [...this.#counts].filter(([window]) => this.#stored[window]?.isFinal !== true);
        return missing.length === 0 ?
            undefined :
            Object.fromEntries(missing.map(([window, { counts }]) => [window, { ...counts }]));
    }

    forgetBefore(window: number): void {
        [...this.#counts.keys()].filter(number => number < window).forEach(number => this.#counts.delete(number));
    }
}
