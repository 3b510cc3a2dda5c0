import { attributeCrashes } from "./attribution.js";
import { isContentTrait, matchesCause } from "./crash.js";
import type { CrashCause, EndpointCrash, RequestTrait, RequestTraits } from "./crash.js";
import { CrashEvidence } from "./evidence.js";
import type { EvidenceReport } from "./evidence.js";

/** The causes that are rejected and the evidence of others, as sent to other hosts; times relative to the sending. */
export interface QuarantineReport extends EvidenceReport {
    readonly quarantined: Readonly<
        Record<string, {
            /** Time since the last crash that was attributed to the cause. */
            readonly ageMs: number;
            readonly trialInMs: number;
            readonly trialDelayMs: number;
        }>
    >;
}

/** Whether a request may run. */
export type QuarantineDecision =
    | { readonly type: "run"; }
    /** Run, to find out whether the cause still crashes endpoints. */
    | { readonly type: "trial"; readonly cause: string; }
    | { readonly type: "reject"; readonly cause: string; readonly retryAfterMs: number; };

/** Options of `createQuarantine`. */
export interface QuarantineOptions {
    /** Whether this host makes the trials of a cause; one host at a time should. */
    readonly isTrialHost: (cause: string) => boolean;
    /** Called when this host learns that a cause crashes endpoints, or that it no longer does. */
    readonly onChange?: (cause: string, change: "quarantined" | "released") => void;
    /** Time until the first trial; doubled with each one that fails. 10 minutes by default. */
    readonly trialDelayMs?: number;
}

/**
 * Finds the requests that crash endpoints, from what all hosts see, and rejects them everywhere. Hosts exchange reports; merging
 * them in any order, also repeatedly, gives the same state. All times are monotonic milliseconds of this host.
 */
export interface Quarantine {
    /** Records requests that broke off when an endpoint crashed; also repeatedly for one crash, as they become known. */
    recordCrash(crash: EndpointCrash, nowMs: number): void;
    /** Records that an endpoint has answered at least a part of a request, which clears all of its traits. */
    recordProgress(request: RequestTraits, nowMs: number): void;
    /** Decides on a request; a decision for a trial is made once per delay. */
    decide(request: RequestTraits, nowMs: number): QuarantineDecision;
    /** The causes that are rejected at present. */
    quarantined(): readonly string[];
    /** What other hosts have to know; `undefined` if there is nothing. */
    report(nowMs: number): QuarantineReport | undefined;
    /** `elapsedMs` is how long ago the report was written at most. */
    merge(report: QuarantineReport, nowMs: number, elapsedMs: number): void;
}

interface Quarantined {
    readonly traits: CrashCause;
    readonly crashedMs: number;
    trialMs: number;
    trialDelayMs: number;
}

/** Evidence is evaluated at most this often; it takes time proportional to the number of crashes. */
const evaluationIntervalMs = 100;
/** Longer would exceed what callers wait for. */
const longestRetryAfterMs = 60_000;
const shortestRetryAfterMs = 1_000;
/** Separates the traits of a cause in its name. */
const separator = "&";

/** Creates a quarantine without any evidence. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
    return new CauseQuarantine(options);
}

class CauseQuarantine implements Quarantine {
    readonly #options: Required<QuarantineOptions>;
    readonly #evidence = new CrashEvidence();
    readonly #quarantined = new Map<string, Quarantined>();
    #evaluatedMs = -Infinity;
    /** Whether crashes without a known cause may be due to the content of a request. */
    #hasUnexplained = false;

    constructor(options: QuarantineOptions) {
        this.#options = { trialDelayMs: 600_000, onChange: () => undefined, ...options };
    }

    recordCrash(crash: EndpointCrash, nowMs: number): void {
        this.#evidence.recordCrash(crash, nowMs);
        this.#hasUnexplained = true;
        this.#evaluatedMs = -Infinity;
    }

    recordProgress(request: RequestTraits, nowMs: number): void {
        for (const trait of [...this.#relevantContent(request), ...request.parts]) {
            this.#evidence.recordProgress(trait, nowMs, nowMs);
        }
        for (const [name] of this.#findMatching(request)) {
            this.#evidence.recordProgress(name as RequestTrait, nowMs, nowMs);
        }
        this.#releaseCleared();
    }

    decide(request: RequestTraits, nowMs: number): QuarantineDecision {
        this.#evaluate(nowMs);
        for (const [cause, entry] of this.#findMatching(request)) {
            if (nowMs < entry.trialMs || !this.#options.isTrialHost(cause)) {
                const untilTrialMs = Math.max(shortestRetryAfterMs, entry.trialMs - nowMs);
                return { type: "reject", cause, retryAfterMs: Math.min(longestRetryAfterMs, untilTrialMs) };
            }
            entry.trialDelayMs *= 2;
            entry.trialMs = nowMs + entry.trialDelayMs;
            return { type: "trial", cause };
        }
        return { type: "run" };
    }

    quarantined(): readonly string[] {
        return [...this.#quarantined.keys()];
    }

    report(nowMs: number): QuarantineReport | undefined {
        this.#evaluate(nowMs);
        const evidence = this.#evidence.report(nowMs);
        const quarantined = [...this.#quarantined].map(([name, { crashedMs, trialMs, trialDelayMs }]) =>
            [name, {
                ageMs: Math.round(nowMs - crashedMs),
                trialInMs: Math.round(trialMs - nowMs),
                trialDelayMs,
            }] as const
        );
        const isEmpty = quarantined.length + evidence.crashes.length + Object.keys(evidence.progress).length === 0;
        return isEmpty ? undefined : { ...evidence, quarantined: Object.fromEntries(quarantined) };
    }

    merge(report: QuarantineReport, nowMs: number, elapsedMs: number): void {
        this.#evidence.merge(report, nowMs, elapsedMs);
        for (const [name, { ageMs, trialInMs, trialDelayMs }] of Object.entries(report.quarantined)) {
            const traits = name.split(separator) as RequestTrait[];
            this.#add({ traits, crashedMs: nowMs - ageMs, trialMs: nowMs + trialInMs, trialDelayMs }, nowMs);
        }
        this.#releaseCleared();
        this.#hasUnexplained ||= report.crashes.length > 0;
        this.#evaluate(nowMs);
    }

    #add(entry: Quarantined, nowMs: number): void {
        const name = entry.traits.join(separator);
        const known = this.#quarantined.get(name);
        this.#evidence.track(name as RequestTrait, nowMs);
        if (known !== undefined) {
            known.trialMs = Math.max(known.trialMs, entry.trialMs);
            known.trialDelayMs = Math.max(known.trialDelayMs, entry.trialDelayMs);
        }
        else if (!this.#hasProgressedSince(name, entry.crashedMs)) {
            this.#quarantined.set(name, entry);
            this.#options.onChange(name, "quarantined");
        }
    }

    #findMatching(request: RequestTraits): readonly (readonly [string, Quarantined])[] {
        if (this.#quarantined.size === 0) {
            return [];
        }
        const traits = new Set([...this.#relevantContent(request), ...request.parts]);
        return [...this.#quarantined].filter(([, entry]) => entry.traits.every(trait => traits.has(trait)));
    }

    /** The content of a request is digested only while it matters, since that takes time proportional to its length. */
    #relevantContent({ content }: RequestTraits): readonly RequestTrait[] {
        const isNeeded = this.#hasUnexplained ||
            [...this.#quarantined.values()].some(({ traits }) => traits.some(isContentTrait));
        return isNeeded ? [content()] : [];
    }

    #evaluate(nowMs: number): void {
        if (nowMs - this.#evaluatedMs < evaluationIntervalMs) {
            return;
        }
        this.#evaluatedMs = nowMs;
        const known = [...this.#quarantined.values()].map(({ traits }) => traits);
        this.#evidence.prune(nowMs);
        this.#evidence.reduceExplained(known);
        const crashes = this.#evidence.list();
        const { lastAnyProgressMs } = this.#evidence;
        const { trialDelayMs } = this.#options;
        const lastProgressMs = (trait: RequestTrait): number | undefined => this.#evidence.lastProgressMs(trait);
        const found = attributeCrashes({ crashes, lastProgressMs, lastAnyProgressMs, knownCauses: known, nowMs });
        for (const traits of found) {
            const crashedMs = Math.max(...crashes.filter(crash => isCause(traits, crash)).map(crash => crash.crashedMs));
            this.#add({ traits, crashedMs, trialMs: nowMs + trialDelayMs, trialDelayMs }, nowMs);
        }
        this.#hasUnexplained = crashes.some(crash => ![...known, ...found].some(cause => isCause(cause, crash)));
    }

    #hasProgressedSince(name: string, crashedMs: number): boolean {
        return (this.#evidence.lastProgressMs(name as RequestTrait) ?? -Infinity) > crashedMs;
    }

    #releaseCleared(): void {
        for (const [name, { crashedMs }] of this.#quarantined) {
            if (this.#hasProgressedSince(name, crashedMs)) {
                this.#quarantined.delete(name);
                this.#options.onChange(name, "released");
            }
        }
    }
}

function isCause(cause: CrashCause, { interrupted }: EndpointCrash): boolean {
    return interrupted.some(request => matchesCause(request, cause));
}
