/** Times of services as this host measures them. */
export interface ServiceTimings {
    /** Takes the time from sending a request to its first event at an engine that had no other prompts to compute. */
    recordStart(service: string, startMs: number, computedTokens: number): void;
    /** Takes the time that a request occupied a place. */
    recordHold(service: string, holdMs: number): void;
    /** Time to compute one prompt token. */
    tokenMs(service: string): number;
    /** Mean time that a request occupies a place; `undefined` until one has ended. */
    holdMs(service: string): number | undefined;
}

/** Assumed until starts are measured: 50 tokens a millisecond. */
const defaultTokenMs = 0.02;
/** Bounds of the measured time; a fast and a slow model differ by less. */
const shortestTokenMs = 0.008;
const longestTokenMs = 0.08;
/** Weight of one observation. */
const startSmoothing = 0.03;
const holdSmoothing = 0.05;
/** Time of a start besides the prompt; see `baseStartMs`. */
const startOverheadMs = 25;
/** Shorter prompts say little about the time of a token. */
const fewestTokens = 1_500;

/** Creates timings without measurements. */
export function createServiceTimings(): ServiceTimings {
    const tokens = new Map<string, number>();
    const holds = new Map<string, number>();
    return {
        recordStart: (service, startMs, computedTokens) => {
            if (computedTokens < fewestTokens) {
                return;
            }
            const measuredMs = Math.max(0, startMs - startOverheadMs) / computedTokens;
            const bounded = Math.min(longestTokenMs, Math.max(shortestTokenMs, measuredMs));
            const known = tokens.get(service) ?? defaultTokenMs;
            tokens.set(service, known + startSmoothing * (bounded - known));
        },
        recordHold: (service, holdMs) => {
            const known = holds.get(service);
            holds.set(service, known === undefined ? holdMs : known + holdSmoothing * (holdMs - known));
        },
        tokenMs: service => tokens.get(service) ?? defaultTokenMs,
        holdMs: service => holds.get(service),
    };
}
