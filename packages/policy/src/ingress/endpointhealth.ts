import type { EndpointId } from "@filbertrelay/kernel";

/** How an attempt at an endpoint failed. */
export type AttemptFailure = "unreachable" | "broken" | "silent" | "error";

/** What a host has seen of the endpoints' health. */
export interface EndpointHealth {
    recordSuccess(endpointId: EndpointId): void;
    recordFailure(endpointId: EndpointId, failure: AttemptFailure, nowMs: number): void;
    /** Whether the endpoint should be left alone for now. */
    isQuarantined(endpointId: EndpointId, nowMs: number): boolean;
    /** Smoothed part of the attempts that failed, 0 to 1. */
    failureRatio(endpointId: EndpointId): number;
    forget(endpointId: EndpointId): void;
}

/** Weight of one attempt in the smoothed failure ratio: about the last eight attempts count. */
const smoothing = 0.12;
/** First quarantine after a failed connection; doubled by each further one. */
const firstQuarantineMs = 400;
/** A restarted endpoint is back within seconds, so a longer quarantine would waste it. */
const longestQuarantineMs = 3_000;

interface Health {
    failureRatio: number;
    consecutive: number;
    quarantinedUntilMs: number;
}

/** Creates a record without failures. */
export function createEndpointHealth(): EndpointHealth {
    const endpoints = new Map<EndpointId, Health>();
    const healthOf = (endpointId: EndpointId): Health => {
        const known = endpoints.get(endpointId) ?? { failureRatio: 0, consecutive: 0, quarantinedUntilMs: 0 };
        endpoints.set(endpointId, known);
        return known;
    };
    return {
        recordSuccess: endpointId => {
            const health = healthOf(endpointId);
            health.failureRatio *= 1 - smoothing;
            health.consecutive = 0;
            health.quarantinedUntilMs = 0;
        },
        recordFailure: (endpointId, failure, nowMs) => {
            const health = healthOf(endpointId);
            health.failureRatio += (1 - health.failureRatio) * smoothing;
            // An answered error says that the endpoint runs; only those that don't answer are left alone at once.
            if (failure === "error") {
                return;
            }
            health.consecutive += 1;
            if (failure === "unreachable" || health.consecutive >= 2) {
                const delayMs = firstQuarantineMs * 2 ** (health.consecutive - 1);
                health.quarantinedUntilMs = nowMs + Math.min(longestQuarantineMs, delayMs);
            }
        },
        isQuarantined: (endpointId, nowMs) => (endpoints.get(endpointId)?.quarantinedUntilMs ?? 0) > nowMs,
        failureRatio: endpointId => endpoints.get(endpointId)?.failureRatio ?? 0,
        forget: endpointId => void endpoints.delete(endpointId),
    };
}
