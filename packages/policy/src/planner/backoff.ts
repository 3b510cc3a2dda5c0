import { hashText } from "../rendezvous.js";

/** Tracks refused starts per offer. */
export interface StartBackoff {
    /** Records a refused start; returns the time in milliseconds until which the offer is not tried again. */
    recordRefusal(offerName: string, nowMs: number): number;
    /** Records a successful start, which ends the backoff. */
    recordStart(offerName: string): void;
    /** Offers that are currently backing off. */
    excluded(nowMs: number): ReadonlySet<string>;
}

/** Options of `createStartBackoff`. */
export interface StartBackoffOptions {
    /** Delay after the first refusal, doubled with each further one; 5 s by default. */
    readonly initialMs?: number;
    /** Upper limit of the delay; 5 minutes by default. */
    readonly maximumMs?: number;
}

/** Creates an exponential backoff. Each delay has a jitter of up to half, from a hash of the offer and the number of refusals. */
export function createStartBackoff(options: StartBackoffOptions = {}): StartBackoff {
    const initialMs = options.initialMs ?? 5_000;
    const maximumMs = options.maximumMs ?? 300_000;
    const refused = new Map<string, { readonly refusals: number; readonly untilMs: number; }>();
    return {
        recordRefusal: (offerName, nowMs) => {
            const refusals = (refused.get(offerName)?.refusals ?? 0) + 1;
            const delayMs = Math.min(maximumMs, initialMs * 2 ** (refusals - 1));
            const jitter = 1 - hashText(`${offerName}#${refusals}`) / 4_294_967_296 / 2;
            const untilMs = nowMs + delayMs * jitter;
            refused.set(offerName, { refusals, untilMs });
            return untilMs;
        },
        recordStart: offerName => void refused.delete(offerName),
        excluded: nowMs => new Set([...refused].filter(([, entry]) => entry.untilMs > nowMs).map(([name]) => name)),
    };
}
