import { isContentTrait, listTraits, matchesCause } from "./crash.js";
import type { CrashCause, EndpointCrash, InterruptedRequest, RequestTrait } from "./crash.js";

/** Crashes and progress as sent to other hosts; all times as ages in milliseconds. */
export interface EvidenceReport {
    readonly crashes: readonly {
        readonly crashId: string;
        readonly ageMs: number;
        readonly interrupted: readonly {
            readonly content: string;
            readonly parts: readonly string[];
            readonly sentAgeMs: number;
        }[];
    }[];
    /** Time since the last progress of traits that were interrupted. */
    readonly progress: Readonly<Record<string, number>>;
}

/** Crashes without a known cause are kept for this long. */
const crashTtlMs = 120_000;
/** A request that was interrupted once is resubmitted within this time, or not at all. */
const resubmissionMs = 20_000;
/** News are sent to other hosts for this long, so that they reach hosts that were unreachable for a moment. */
const newsTtlMs = 4_000;
/** The hosts' times of one crash differ by less. */
const sameCrashMs = 500;
const maximumCrashes = 64;
const maximumProgressEntries = 4_000;

interface KnownCrash {
    readonly crashId: string;
    crashedMs: number;
    changedMs: number;
    readonly interrupted: Map<string, InterruptedRequest>;
}

interface Progress {
    atMs: number;
    changedMs: number;
}

/** Crashes seen by any host, with the requests that they interrupted, and the progress that clears these. */
export class CrashEvidence {
    readonly #crashes = new Set<KnownCrash>();
    /** Least recent first. */
    readonly #progress = new Map<RequestTrait, Progress>();
    /** When each trait was last interrupted, as far as this host has learned; other hosts need the progress of these. */
    readonly #tracked = new Map<RequestTrait, number>();
    #lastAnyProgressMs = -Infinity;

    /** When any request last made progress. */
    get lastAnyProgressMs(): number {
        return this.#lastAnyProgressMs;
    }

    lastProgressMs(trait: RequestTrait): number | undefined {
        return this.#progress.get(trait)?.atMs;
    }

    /** Records a crash or more interrupted requests of a known one; returns whether it was news. */
    recordCrash(crash: EndpointCrash, nowMs: number): boolean {
        if (nowMs - crash.crashedMs > crashTtlMs) {
            return false;
        }
        const known = this.#find(crash) ?? { ...crash, changedMs: nowMs, interrupted: new Map<string, InterruptedRequest>() };
        const before = known.interrupted.size;
        known.crashedMs = Math.min(known.crashedMs, crash.crashedMs);
        for (const request of crash.interrupted) {
            listTraits(request).forEach(trait => this.track(trait, nowMs));
            if (listTraits(request).some(trait => this.#isSuspect(trait, crash.crashedMs))) {
                const key = listTraits(request).join();
                known.interrupted.set(key, known.interrupted.get(key) ?? request);
            }
        }
        if (known.interrupted.size === before) {
            return false;
        }
        known.changedMs = nowMs;
        this.#crashes.add(known);
        this.#dropOldest();
        return true;
    }

    /** Sends the progress of a trait to other hosts from now on. */
    track(trait: RequestTrait, nowMs: number): void {
        this.#tracked.set(trait, nowMs);
    }

    recordProgress(trait: RequestTrait, atMs: number, nowMs: number): void {
        this.#lastAnyProgressMs = Math.max(this.#lastAnyProgressMs, atMs);
        const known = this.#progress.get(trait);
        if (known !== undefined && known.atMs >= atMs) {
            return;
        }
        this.#progress.delete(trait);
        this.#progress.set(trait, { atMs, changedMs: nowMs });
        const [oldest] = this.#progress.keys();
        if (this.#progress.size > maximumProgressEntries && oldest !== undefined) {
            this.#progress.delete(oldest);
        }
    }

    /** The crashes that are not explained by progress or by age. */
    list(): readonly EndpointCrash[] {
        return [...this.#crashes].map(crash => ({ ...crash, interrupted: [...crash.interrupted.values()] }));
    }

    /** Reduces the crashes with one of these causes to the requests that have it, so that what other hosts report of them is explained too. */
    reduceExplained(causes: readonly CrashCause[]): void {
        for (const { interrupted } of this.#crashes) {
            const others = [...interrupted].filter(([, request]) => !causes.some(cause => matchesCause(request, cause)));
            if (others.length < interrupted.size) {
                others.forEach(([key]) => interrupted.delete(key));
            }
        }
    }

    /** Drops requests whose traits have all made progress since, and old ones. */
    prune(nowMs: number): void {
        for (const crash of this.#crashes) {
            for (const [key, request] of crash.interrupted) {
                const suspects = listTraits(request).filter(trait => this.#isSuspect(trait, crash.crashedMs));
                const isPast = nowMs - crash.crashedMs > resubmissionMs && suspects.every(isContentTrait);
                if (suspects.length === 0 || isPast) {
                    crash.interrupted.delete(key);
                }
            }
            if (crash.interrupted.size === 0 || nowMs - crash.crashedMs > crashTtlMs) {
                this.#crashes.delete(crash);
            }
        }
        for (const [trait, trackedMs] of this.#tracked) {
            if (nowMs - trackedMs > resubmissionMs) {
                this.#tracked.delete(trait);
            }
        }
    }

    /** What changed recently, for other hosts. */
    report(nowMs: number): EvidenceReport {
        const isNews = (changedMs: number): boolean => nowMs - changedMs <= newsTtlMs;
        const crashes = [...this.#crashes].filter(({ changedMs }) => isNews(changedMs)).map((
            { crashId, crashedMs, interrupted },
        ) => ({
            crashId,
            ageMs: Math.round(nowMs - crashedMs),
            interrupted: [...interrupted.values()].map(({ content, parts, sentMs }) => ({
                content,
                parts: [...parts],
                sentAgeMs: Math.round(nowMs - sentMs),
            })),
        }));
        const progress = [...this.#tracked].flatMap(([trait, trackedMs]) => {
            const known = this.#progress.get(trait);
            return known !== undefined && (isNews(trackedMs) || isNews(known.changedMs)) ?
                [[trait, Math.round(nowMs - known.atMs)] as const] :
                [];
        });
        return { crashes, progress: Object.fromEntries(progress) };
    }

    /** `elapsedMs` is how long ago the report was written at most. */
    merge({ crashes, progress }: EvidenceReport, nowMs: number, elapsedMs: number): void {
        for (const [trait, ageMs] of Object.entries(progress)) {
            // The earliest possible time, so that progress doesn't count as later each time it is passed on.
            this.recordProgress(trait as RequestTrait, nowMs - ageMs - elapsedMs, nowMs);
        }
        for (const { crashId, ageMs, interrupted } of crashes) {
            const crashedMs = nowMs - ageMs;
            this.recordCrash({
                crashId,
                crashedMs,
                interrupted: interrupted.map(({ content, parts, sentAgeMs }) => ({
                    content: content as RequestTrait,
                    parts: parts as RequestTrait[],
                    sentMs: nowMs - sentAgeMs,
                })),
            }, nowMs);
        }
    }

    #isSuspect(trait: RequestTrait, crashedMs: number): boolean {
        return (this.#progress.get(trait)?.atMs ?? -Infinity) < crashedMs;
    }

    /** An endpoint that restarts under the same id may crash again before its new start is known. */
    #find({ crashId, crashedMs }: EndpointCrash): KnownCrash | undefined {
        return [...this.#crashes].find(known => known.crashId === crashId && Math.abs(known.crashedMs - crashedMs) < sameCrashMs);
    }

    #dropOldest(): void {
        if (this.#crashes.size > maximumCrashes) {
            const [oldest] = [...this.#crashes].sort((left, right) => left.crashedMs - right.crashedMs);
            if (oldest !== undefined) {
                this.#crashes.delete(oldest);
            }
        }
    }
}
