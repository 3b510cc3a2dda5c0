import type { EndpointId } from "@filbertrelay/kernel";
import { longestSoundSilenceMs, shortestTimeoutMs } from "./silence.js";

/** How an attempt at an endpoint failed; `unfinished` is an answer that still arrived but did not get on in time. */
export type AttemptFailure = "unreachable" | "broken" | "silent" | "unfinished" | "error";

/** Endpoint health as observed by one host. */
export interface EndpointHealth {
    /** Records that a request was sent. */
    recordSent(endpointId: EndpointId, nowMs: number): void;
    /** Records a sign of life: any part of an answer. */
    recordHeard(endpointId: EndpointId, nowMs: number): void;
    recordSuccess(endpointId: EndpointId): void;
    recordFailure(endpointId: EndpointId, failure: AttemptFailure, nowMs: number): void;
    /** Whether the endpoint should get no requests at present. */
    isQuarantined(endpointId: EndpointId, nowMs: number): boolean;
    /** Exponentially smoothed fraction of failed attempts, 0 to 1. */
    failureRatio(endpointId: EndpointId, nowMs: number): number;
    forget(endpointId: EndpointId): void;
}

/** Weight of one attempt in the smoothed failure ratio; 0.12 averages over about eight attempts. */
const smoothing = 0.12;
/** First quarantine after a failed connection; doubled with each consecutive failure. */
const firstQuarantineMs = 400;
/** A restarted endpoint is back within seconds, so a longer quarantine would leave it idle. */
const longestQuarantineMs = 3_000;
/** Unanswered requests further apart than this don't show one silence; longer than a quarantine, after which few are sent. */
const joinedSilenceMs = 5_000;
/** Time for which a silent endpoint is avoided; only new requests show whether it goes on. */
const avoidMs = 300;

interface Health {
    /** When the endpoint was last heard from, and when the first unanswered request since then was sent. */
    heardMs: number | undefined;
    unansweredMs: number | undefined;
    /** When a request was last sent there or given up. */
    awaitedMs: number;
    /** Requests given up since it was last heard from. */
    givenUp: number;
    givenUpMs: number;
    /** Smoothed fraction of the attempts that were given up in a silence which shows no failure; of use for `avoidMs` only. */
    silentRatio: number;
    failureRatio: number;
    consecutive: number;
    quarantinedUntilMs: number;
}

/** Creates a health record without failures. */
export function createEndpointHealth(): EndpointHealth {
    const endpoints = new Map<EndpointId, Health>();
    const healthOf = (endpointId: EndpointId): Health => {
        const known = endpoints.get(endpointId) ?? createHealth();
        endpoints.set(endpointId, known);
        return known;
    };
    return {
        recordSent: (endpointId, nowMs) => {
            const health = healthOf(endpointId);
            if (health.unansweredMs === undefined || nowMs - health.awaitedMs > joinedSilenceMs) {
                health.unansweredMs = nowMs;
                health.givenUp = 0;
            }
            health.awaitedMs = nowMs;
        },
        recordHeard: (endpointId, nowMs) => {
            const health = healthOf(endpointId);
            health.heardMs = nowMs;
            health.unansweredMs = undefined;
            health.givenUp = 0;
            health.silentRatio = 0;
        },
        recordSuccess: endpointId => {
            const health = healthOf(endpointId);
            health.failureRatio *= 1 - smoothing;
            health.consecutive = 0;
            health.quarantinedUntilMs = 0;
        },
        recordFailure: (endpointId, failure, nowMs) => {
            const health = healthOf(endpointId);
            const isPause = failure === "silent" && !recordSilence(health, nowMs);
            // A request that stays without an answer while others get one tells of the endpoint, a silence of all of them doesn't.
            if (isPause && nowMs - (health.heardMs ?? -Infinity) > shortestTimeoutMs) {
                return;
            }
            health.failureRatio += (1 - health.failureRatio) * smoothing;
            // An error response shows that the endpoint runs; only endpoints that don't respond are quarantined.
            if (failure === "error" || isPause) {
                return;
            }
            health.consecutive += 1;
            if (failure === "unreachable" || failure === "silent" || health.consecutive >= 2) {
                const delayMs = firstQuarantineMs * 2 ** (health.consecutive - 1);
                health.quarantinedUntilMs = nowMs + Math.min(longestQuarantineMs, delayMs);
            }
        },
        isQuarantined: (endpointId, nowMs) => (endpoints.get(endpointId)?.quarantinedUntilMs ?? 0) > nowMs,
        failureRatio: (endpointId, nowMs) => {
            const health = endpoints.get(endpointId);
            return health === undefined ? 0 : Math.max(health.failureRatio, silentRatioOf(health, nowMs));
        },
        forget: endpointId => void endpoints.delete(endpointId),
    };
}

function createHealth(): Health {
    return {
        heardMs: undefined,
        unansweredMs: undefined,
        awaitedMs: -Infinity,
        givenUp: 0,
        givenUpMs: -Infinity,
        silentRatio: 0,
        failureRatio: 0,
        consecutive: 0,
        quarantinedUntilMs: 0,
    };
}

/** Records a request that was given up; returns whether the endpoint has been silent on all of them for longer than sound ones are. */
function recordSilence(health: Health, nowMs: number): boolean {
    const formerRatio = silentRatioOf(health, nowMs);
    health.silentRatio = formerRatio + (1 - formerRatio) * smoothing;
    health.givenUpMs = nowMs;
    health.givenUp += 1;
    health.awaitedMs = nowMs;
    const sinceMs = health.unansweredMs ?? health.heardMs ?? nowMs;
    return health.givenUp >= 2 && nowMs - sinceMs > longestSoundSilenceMs;
}

function silentRatioOf({ silentRatio, givenUpMs }: Health, nowMs: number): number {
    return nowMs - givenUpMs < avoidMs ? silentRatio : 0;
}
