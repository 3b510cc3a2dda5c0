import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy/ingress";
import { createRandom } from "./random.js";

/** A run of hosts that share endpoints, some of which fall silent; times are milliseconds. */
export interface SilentDay {
    readonly kind: "idempotent" | "stream";
    readonly hosts: number;
    readonly endpoints: number;
    /** Endpoints that fall silent, and for how long; without end if infinite. */
    readonly silentEndpoints: number;
    readonly silenceMs: number;
    readonly seed: number;
}

/** What the hosts did. */
export interface SilentResult {
    /** Quarantines and setbacks, with the time since the host had the last sign of the endpoint. */
    readonly quarantines: readonly { readonly host: number; readonly endpoint: number; readonly afterMs: number; }[];
    readonly setbacks: number;
    readonly givenUp: number;
    /** When requests were sent to an endpoint that is silent, since its last sign. */
    readonly sentMs: readonly number[];
}

const answerMs = 60;
const silentFromMs = 1_000;
const dayMs = 10_000;
const stepMs = 5;
const requestsPerStep = 0.3;
const objectiveMs = 800;

/** Plays a day; each request is answered after the same time, or when the silence of its endpoint ends. */
export function playSilentDay(day: SilentDay): SilentResult {
    const random = createRandom(day.seed);
    const hostIds = Array.from({ length: day.hosts }, (_, index) => brandAs<HostId>(`host-${index}`));
    const endpoints = Array.from(
        { length: day.endpoints },
        (_, index) => ({ endpointId: brandAs<EndpointId>(`endpoint-${index}`), startedAtMs: index, capacity: 16 }),
    );
    const timeoutMs = policy.computeSilenceTimeout({
        kind: day.kind,
        isRepeatable: true,
        objectiveMs,
        pauseLimitMs: 600,
        expectedStartMs: answerMs,
        hasStarted: false,
    })!;
    const quarantines: { host: number; endpoint: number; afterMs: number; }[] = [];
    const sentMs: number[] = [];
    let setbacks = 0;
    let givenUp = 0;
    const hosts = hostIds.map((hostId, host) => ({
        host,
        health: policy.createEndpointHealth(),
        paces: policy.createEndpointPaces({
            hostId,
            listHosts: () => hostIds,
            onChange: (_, change) => {
                setbacks += Number(change === "failed");
            },
        }),
        signMs: new Map<number, number>(),
        waiting: [] as { readonly endpoint: number; readonly sentMs: number; readonly answerMs: number; }[],
    }));
    const answerTime = (endpoint: number, nowMs: number): number => {
        const atMs = nowMs + answerMs;
        const isHeld = endpoint < day.silentEndpoints && atMs >= silentFromMs && atMs < silentFromMs + day.silenceMs;
        return isHeld ? silentFromMs + day.silenceMs : atMs;
    };
    for (let nowMs = 0; nowMs < dayMs; nowMs += stepMs) {
        for (const { host, health, paces, signMs, waiting } of hosts) {
            for (const request of waiting.splice(0)) {
                const { endpoint } = request;
                const { endpointId } = endpoints[endpoint]!;
                if (request.answerMs <= nowMs) {
                    health.recordHeard(endpointId, nowMs);
                    health.recordSuccess(endpointId);
                    signMs.set(endpoint, nowMs);
                }
                else if (nowMs - request.sentMs >= timeoutMs) {
                    givenUp += 1;
                    health.recordFailure(endpointId, "silent", nowMs);
                    if (health.isQuarantined(endpointId, nowMs)) {
                        paces.recordSetback(endpoints[endpoint]!, nowMs);
                        quarantines.push({ host, endpoint, afterMs: nowMs - (signMs.get(endpoint) ?? 0) });
                    }
                }
                else {
                    waiting.push(request);
                }
            }
            if (random() < requestsPerStep) {
                const usable = endpoints.flatMap(({ endpointId }, index) =>
                    health.isQuarantined(endpointId, nowMs) ? [] : [index]
                );
                const chosen = usable[Math.floor(random() * usable.length)] ?? Math.floor(random() * day.endpoints);
                health.recordSent(endpoints[chosen]!.endpointId, nowMs);
                waiting.push({ endpoint: chosen, sentMs: nowMs, answerMs: answerTime(chosen, nowMs) });
                if (chosen < day.silentEndpoints && nowMs >= silentFromMs) {
                    sentMs.push(nowMs - silentFromMs);
                }
            }
        }
    }
    return { quarantines, setbacks, givenUp, sentMs };
}
