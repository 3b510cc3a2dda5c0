import type { Clock, EventLog, HostId } from "@filbertrelay/kernel";
import type { PeerNetwork } from "@filbertrelay/wire";
import type { EndpointRecord } from "../contract.js";
import type { EndpointLink, LinkSource } from "../endpoint/link.js";
import type { IngressMetrics } from "../telemetry/metrics.js";
import { relayEvents as events } from "./event.js";
import { RelayedLink } from "./relayedlink.js";
import type { RelayResult } from "./relayedlink.js";

/** Options of `EndpointLinks`. */
export interface EndpointLinksOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Pick<IngressMetrics, "recordRelayed">;
    readonly peers: PeerNetwork;
    readonly connections: LinkSource;
}

/** By which way a request goes to an endpoint. */
export interface LinkOptions {
    /** Longest idle time of a connection that is reused, in milliseconds. */
    readonly maximumIdleMs: number;
    /** Time after which the answer is not needed any longer, in milliseconds. */
    readonly remainingMs: number;
    /** The host that sends the request to the endpoint; absent for a connection of this host. */
    readonly relay?: HostId | undefined;
}

/** A host that is full has room again soon, since most requests take no longer. */
const fullPauseMs = 100;
/** A host that stops does not take requests any more; it is forgotten within this time. */
const stoppingPauseMs = 2_000;

/** The links of this host to endpoints, on connections of its own or through other hosts. */
export class EndpointLinks {
    readonly #options: EndpointLinksOptions;
    readonly #inProgress = new Map<HostId, number>();
    readonly #pausedUntilMs = new Map<HostId, number>();

    constructor(options: EndpointLinksOptions) {
        this.#options = options;
    }

    open(endpoint: EndpointRecord, { maximumIdleMs, remainingMs, relay }: LinkOptions): EndpointLink {
        const { peers, connections } = this.#options;
        if (relay === undefined) {
            return connections.acquire(endpoint, maximumIdleMs);
        }
        this.#inProgress.set(relay, this.inProgress(relay) + 1);
        return new RelayedLink({
            peers,
            relay,
            endpoint,
            maximumIdleMs,
            remainingMs,
            onEnd: (result, detail) => this.#recordEnd(relay, endpoint, { result, detail }),
        });
    }

    /** Number of this host's requests that a host sends to endpoints now. */
    inProgress(relay: HostId): number {
        return this.#inProgress.get(relay) ?? 0;
    }

    /** Time until a host that refused may be asked again, in milliseconds; 0 if it may. */
    pauseMs(relay: HostId): number {
        return Math.max(0, (this.#pausedUntilMs.get(relay) ?? 0) - this.#options.clock.monotonicMs());
    }

    #recordEnd(
        relay: HostId,
        { endpointId }: EndpointRecord,
        { result, detail }: { readonly result: RelayResult; readonly detail: string; },
    ): void {
        const { clock, log, metrics } = this.#options;
        const left = this.inProgress(relay) - 1;
        if (left > 0) {
            this.#inProgress.set(relay, left);
        }
        else {
            this.#inProgress.delete(relay);
        }
        metrics.recordRelayed("calling", result);
        switch (result) {
            case "answered":
            case "failed":
            case "cancelled":
                break;
            case "lost":
            case "unsent":
                log.write(events.relayLost, { relay, endpoint: endpointId, wasSent: result === "lost", detail });
                break;
            default:
                log.write(events.relayRefused, { relay, endpoint: endpointId, refusal: result });
        }
        if (result === "full" || result === "stopping") {
            this.#dropPauses();
            this.#pausedUntilMs.set(relay, clock.monotonicMs() + (result === "full" ? fullPauseMs : stoppingPauseMs));
        }
    }

    #dropPauses(): void {
        for (const relay of this.#pausedUntilMs.keys()) {
            if (this.pauseMs(relay) === 0) {
                this.#pausedUntilMs.delete(relay);
            }
        }
    }
}
