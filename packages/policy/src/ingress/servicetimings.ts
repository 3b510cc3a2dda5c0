/** Per-service timings as measured by this host. */
export interface ServiceTimings {
    /** Records the time from sending a request to its first event, at an engine without other prompts to compute. */
    recordStart(service: string, startMs: number, computedTokens: number): void;
    /** Records how long a request occupied a slot. */
    recordSlotHold(service: string, durationMs: number, nowMs: number): void;
    /** Time to compute one prompt token. */
    tokenMs(service: string): number;
    /** Mean time that a request occupies a slot; `undefined` until one has ended. */
    slotHoldMs(service: string): number | undefined;
    /** The same if a request has ended lately; `undefined` otherwise. */
    recentSlotHoldMs(service: string, nowMs: number): number | undefined;
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
/** A mean that no request has confirmed for this long says nothing of the service now. */
const recentHoldMs = 1_500;
/** Start latency without the prompt computation; see `baseStartMs`. */
const startOverheadMs = 25;
/** Shorter prompts are ignored, since they give an imprecise time per token. */
const minimumPromptTokens = 1_500;

/** Creates timings without measurements. */
export function createServiceTimings(): ServiceTimings {
    const tokens = new Map<string, number>();
    const holds = new Map<string, { readonly meanMs: number; readonly atMs: number; }>();
    const longDurations = new Map<string, number>();
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
        recordSlotHold: (service, durationMs, nowMs) => {
            const known = holds.get(service);
            const isRecent = known !== undefined && nowMs - known.atMs <= recentHoldMs;
            const meanMs = isRecent ? known.meanMs + holdSmoothing * (durationMs - known.meanMs) : durationMs;
            holds.set(service, { meanMs, atMs: nowMs });
        },
        tokenMs: service => tokens.get(service) ?? defaultTokenMs,
        slotHoldMs: service => holds.get(service)?.meanMs,
        recentSlotHoldMs: (service, nowMs) => {
            const known = holds.get(service);
            return known !== undefined && nowMs - known.atMs <= recentHoldMs ? known.meanMs : undefined;
        },
        recordDuration: (route, durationMs) => {
            const long = longDurations.get(route) ?? 0;
            longDurations.set(route, Math.max(durationMs, long + longDurationSmoothing * (durationMs - long)));
        },
        longDurationMs: route => longDurations.get(route),
    };
}
