/** Times of services as this host measures them. */
export interface ServiceTimings {
    /** Takes the time from sending a request to its first event, with what was expected. */
    recordStart(service: string, actualMs: number, expectedMs: number): void;
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
/** A single start says little beyond a factor of two, since the prompts before it are only estimated. */
const largestRatio = 2;
/** Expected times below this say nothing about the time of a token. */
const smallestExpectedMs = 40;

/** Creates timings without measurements. */
export function createServiceTimings(): ServiceTimings {
    const tokens = new Map<string, number>();
    const holds = new Map<string, number>();
    return {
        recordStart: (service, actualMs, expectedMs) => {
            if (expectedMs < smallestExpectedMs) {
                return;
            }
            const ratio = Math.min(largestRatio, Math.max(1 / largestRatio, actualMs / expectedMs));
            const updated = (tokens.get(service) ?? defaultTokenMs) * (1 + startSmoothing * (ratio - 1));
            tokens.set(service, Math.min(longestTokenMs, Math.max(shortestTokenMs, updated)));
        },
        recordHold: (service, holdMs) => {
            const known = holds.get(service);
            holds.set(service, known === undefined ? holdMs : known + holdSmoothing * (holdMs - known));
        },
        tokenMs: service => tokens.get(service) ?? defaultTokenMs,
        holdMs: service => holds.get(service),
    };
}
