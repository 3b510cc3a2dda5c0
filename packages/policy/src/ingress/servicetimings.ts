/** How long a request occupied a slot. */
export interface SlotHold {
    readonly durationMs: number;
    /** Monotonic time of its end. */
    readonly nowMs: number;
    /** Whether it was started to find out whether the service has become faster. */
    readonly isTrial: boolean;
}

/** Per-service timings as measured by this host. */
export interface ServiceTimings {
    /** Records the time from sending a request to its first event, at an engine without other prompts to compute. */
    recordStart(service: string, startMs: number, computedTokens: number): void;
    /** Counts a request without a stream as in progress until the returned function is called. */
    startWork(service: string, nowMs: number): () => void;
    /** Whether no request is in progress, or none was sent lately, so that none may soon show that the service has become faster. */
    isTrialDue(service: string, nowMs: number): boolean;
    /** Records how long a request occupied a slot; a trial that was faster than the mean replaces it. */
    recordSlotHold(service: string, hold: SlotHold): void;
    /** Time to compute one prompt token. */
    tokenMs(service: string): number;
    /** Mean time that a request occupies a slot; `undefined` until one has ended. */
    slotHoldMs(service: string): number | undefined;
    /** The same as far as it says something of the service now; `undefined` if no request was in progress for a while before the present ones. */
    presentSlotHoldMs(service: string, nowMs: number): number | undefined;
    /** Records how long an endpoint took for a request of a route. */
    recordDuration(route: string, durationMs: number): void;
    /** Time that few requests of a route exceed at an endpoint: a slowly decaying maximum; `undefined` until one has ended. */
    longDurationMs(route: string): number | undefined;
}

/** Assumed until starts are measured: 50 tokens per millisecond. */
const defaultTokenMs = 0.02;
/** Bounds of the measured time, wider than the difference between a fast and a slow model. */
const shortestTokenMs = 0.008;
const longestTokenMs = 0.08;
/** Weights of one observation in the moving averages. */
const tokenSmoothing = 0.03;
const holdSmoothing = 0.05;
const longDurationSmoothing = 0.01;
/** A mean that no request has confirmed for this long says nothing of the service now; a request sent longer ago may hang. */
const recentHoldMs = 1_500;
/** Start latency without the prompt computation; see `baseStartMs`. */
const startOverheadMs = 25;
/** Shorter prompts are ignored, since they give an imprecise time per token. */
const minimumPromptTokens = 1_500;

/** Creates timings without measurements. */
export function createServiceTimings(): ServiceTimings {
    const tokens = new Map<string, number>();
    const holds = new Map<string, { readonly meanMs: number; readonly atMs: number; readonly isOutdated: boolean; }>();
    const longDurations = new Map<string, number>();
    const works = new Map<string, { readonly inProgress: Set<symbol>; readonly sentMs: number; }>();
    // Not while a trial takes long: its service is still slow.
    const isQuiet = (service: string, nowMs: number): boolean =>
        (works.get(service)?.inProgress.size ?? 0) === 0 && nowMs - (holds.get(service)?.atMs ?? nowMs) > recentHoldMs;
    return {
        recordStart: (service, startMs, computedTokens) => {
            if (computedTokens < minimumPromptTokens) {
                return;
            }
            const measuredMs = Math.max(0, startMs - startOverheadMs) / computedTokens;
            const bounded = Math.min(longestTokenMs, Math.max(shortestTokenMs, measuredMs));
            const known = tokens.get(service) ?? defaultTokenMs;
            tokens.set(service, known + tokenSmoothing * (bounded - known));
        },
        startWork: (service, nowMs) => {
            const work = works.get(service) ?? { inProgress: new Set<symbol>(), sentMs: nowMs };
            const hold = holds.get(service);
            if (hold !== undefined && isQuiet(service, nowMs)) {
                holds.set(service, { ...hold, isOutdated: true });
            }
            const key = Symbol(service);
            work.inProgress.add(key);
            works.set(service, { ...work, sentMs: nowMs });
            return () => void work.inProgress.delete(key);
        },
        isTrialDue: (service, nowMs) => {
            const work = works.get(service);
            return work === undefined || work.inProgress.size === 0 || nowMs - work.sentMs > recentHoldMs;
        },
        recordSlotHold: (service, { durationMs, nowMs, isTrial }) => {
            const known = holds.get(service);
            const isConfirming = known !== undefined && nowMs - known.atMs <= recentHoldMs &&
                !(isTrial && durationMs < known.meanMs);
            const meanMs = isConfirming ? known.meanMs + holdSmoothing * (durationMs - known.meanMs) : durationMs;
            holds.set(service, { meanMs, atMs: nowMs, isOutdated: false });
        },
        tokenMs: service => tokens.get(service) ?? defaultTokenMs,
        slotHoldMs: service => holds.get(service)?.meanMs,
        presentSlotHoldMs: (service, nowMs) => {
            const hold = holds.get(service);
            return hold === undefined || hold.isOutdated || isQuiet(service, nowMs) ? undefined : hold.meanMs;
        },
        recordDuration: (route, durationMs) => {
            const long = longDurations.get(route) ?? 0;
            longDurations.set(route, Math.max(durationMs, long + longDurationSmoothing * (durationMs - long)));
        },
        longDurationMs: route => longDurations.get(route),
    };
}
