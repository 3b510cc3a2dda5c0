import type { Clock, EventLog } from "@filbertrelay/kernel";
import { createCrashId } from "@filbertrelay/policy/ingress";
import type { InterruptedRequest, Quarantine } from "@filbertrelay/policy/ingress";
import type { EndpointRecord } from "../contract.js";
import type { Reachability } from "../endpoint/reachability.js";
import type { EndpointTable } from "../state/endpoints.js";
import type { IngressMetrics } from "../telemetry/metrics.js";
import { requestEvents as events } from "./event.js";

/** All connections to an endpoint that crashed break off within this time. */
const sameCrashMs = 500;

/** Options of `CrashMonitor`. */
export interface CrashMonitorOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Pick<IngressMetrics, "recordCrash">;
    readonly endpoints: Pick<EndpointTable, "isServing">;
    readonly quarantine: Quarantine;
    readonly probe: (address: string) => Promise<Reachability>;
    /** Whether a failure at an endpoint is its own, rather than one of this host's links. */
    readonly confirmFailure: (endpoint: EndpointRecord) => Promise<boolean>;
    /** Called for an endpoint at whose address nothing listens. */
    readonly recordRefusal: (endpoint: EndpointRecord) => void;
}

interface Break {
    readonly atMs: number;
    readonly interrupted: InterruptedRequest[];
    isCrash: boolean;
    examined: Promise<void>;
}

/**
 * Tells crashes of endpoints from lost connections and planned stops: after a crash, an endpoint that has not announced its leaving
 * refuses connections.
 */
export class CrashMonitor {
    readonly #options: CrashMonitorOptions;
    readonly #breaks = new Map<string, Break>();

    constructor(options: CrashMonitorOptions) {
        this.#options = options;
    }

    /**
     * Records a connection that broke off, with its request if the endpoint had answered nothing of it; resolves when the reason is
     * known.
     */
    recordInterruption(endpoint: EndpointRecord, request: InterruptedRequest | undefined): Promise<void> {
        const interrupted = request === undefined ? [] : [request];
        const nowMs = this.#options.clock.monotonicMs();
        const crashId = createCrashId(endpoint.endpointId, endpoint.startedAtMs);
        const known = this.#breaks.get(crashId);
        if (known === undefined || nowMs - known.atMs > sameCrashMs) {
            const created = this.#createBreak(interrupted);
            this.#breaks.set(crashId, created);
            created.examined = this.#examine(endpoint, crashId, created);
            return created.examined;
        }
        known.interrupted.push(...interrupted);
        if (known.isCrash && request !== undefined) {
            this.#options.quarantine.recordCrash({ crashId, crashedMs: known.atMs, interrupted }, nowMs);
        }
        return known.examined;
    }

    #createBreak(interrupted: InterruptedRequest[]): Break {
        return { atMs: this.#options.clock.monotonicMs(), interrupted, isCrash: false, examined: Promise.resolve() };
    }

    async #examine(endpoint: EndpointRecord, crashId: string, lost: Break): Promise<void> {
        const { clock, log, metrics, endpoints, quarantine, probe, confirmFailure } = this.#options;
        const reachability = await probe(endpoint.address);
        clock.after(sameCrashMs, () => {
            if (this.#breaks.get(crashId) === lost) {
                this.#breaks.delete(crashId);
            }
        });
        if (reachability === "refused") {
            this.#options.recordRefusal(endpoint);
        }
        // Asked first: by the time the cause is certain, the next process may have taken the place of the one that crashed.
        if (reachability !== "refused" || !endpoints.isServing(endpoint) || !await confirmFailure(endpoint)) {
            return;
        }
        lost.isCrash = true;
        if (lost.interrupted.length === 0) {
            return;
        }
        metrics.recordCrash(endpoint.service);
        log.write(events.endpointCrashed, {
            endpoint: endpoint.endpointId,
            service: endpoint.service,
            interrupted: lost.interrupted.length,
        });
        quarantine.recordCrash({ crashId, crashedMs: lost.atMs, interrupted: lost.interrupted }, clock.monotonicMs());
    }
}
