import type { EndpointId } from "@filbertrelay/kernel";

/** How an attempt at an endpoint failed. */
export type AttemptFailure = "unreachable" | "broken" | "silent" | "error";

/** Endpoint health as observed by one host. */
export interface EndpointHealth {
    recordSuccess(endpointId: EndpointId): void;
    recordFailure(endpointId: EndpointId, failure: AttemptFailure, nowMs: number): void;
    /** Whether the endpoint should get no requests at present. */
    isQuarantined(endpointId: EndpointId, nowMs: number): boolean;
    /** Exponentially smoothed fraction of failed attempts, 0 to 1. */
    failureRatio(endpointId: EndpointId): number;
    forget(endpointId: EndpointId): void;
}

/** Weight of one attempt in the smoothed failure ratio; 0.12 averages over about eight attempts. */
const smoothing = 0.12;
/** First quarantine after a failed connection; doubled with each consecutive failure. */
const firstQuarantineMs = 400;
/** A restarted endpoint is back within seconds, so a longer quarantine would leave it idle. */
const longestQuarantineMs = 3_000;

interface Health {
    failureRatio: number;
    consecutive: number;
    quarantinedUntilMs: number;
}

/** Creates a health record without failures. */
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
            // An error response shows that the endpoint runs; only endpoints that don't respond are quarantined.
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
