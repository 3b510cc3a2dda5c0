import type { Clock, Service } from "@filbertrelay/kernel";
import type { EndpointReach } from "@filbertrelay/policy/ingress";
import type { EndpointRecord } from "../contract.js";
import type { LinkObserver } from "./linkobserver.js";
import type { ProbeResult } from "./statusprobe.js";

/** Interval of the checks; short against the time in which a cut is recognised. */
const checkIntervalMs = 150;
/** A failure is examined again after this time while its cause is in doubt. */
const confirmIntervalMs = 50;

/** Options of `LinkMonitor`. */
export interface LinkMonitorOptions {
    readonly clock: Clock;
    readonly reach: EndpointReach;
    readonly listEndpoints: () => readonly EndpointRecord[];
    /** Whether an endpoint has ended or said that it leaves: it may accept no connections while others still hear it. */
    readonly isLeaving: (endpoint: EndpointRecord) => boolean;
    readonly probe: (endpoint: EndpointRecord) => Promise<ProbeResult>;
    /** Called at each check. */
    readonly onCheck: () => void;
}

/** Watches this host's links to endpoints: records what happens on its connections, and opens some to find out whether cuts are over. */
export class LinkMonitor implements LinkObserver, Service {
    readonly #options: LinkMonitorOptions;
    #cancelCheck: () => void = () => undefined;

    constructor(options: LinkMonitorOptions) {
        this.#options = options;
    }

    start(): Promise<void> {
        this.#check();
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#cancelCheck();
        return Promise.resolve();
    }

    connected(endpoint: EndpointRecord): void {
        this.#options.reach.recordConnected(endpoint, this.#nowMs());
    }

    connectFailed(endpoint: EndpointRecord): void {
        const { reach, isLeaving } = this.#options;
        if (!isLeaving(endpoint)) {
            reach.recordConnectFailure(endpoint, this.#nowMs());
        }
    }

    sent(connection: string, endpoint: EndpointRecord): void {
        this.#options.reach.recordSent(connection, endpoint, this.#nowMs());
    }

    ended(connection: string): void {
        this.#options.reach.recordEnded(connection);
    }

    heard(endpoint: EndpointRecord): void {
        this.#options.reach.recordHeard(endpoint, this.#nowMs());
    }

    lost(endpoint: EndpointRecord): void {
        this.#options.reach.recordLost(endpoint, this.#nowMs());
    }

    /** Whether a failure at an endpoint may be one of this host's own links. */
    isSuspected(endpoint: EndpointRecord): boolean {
        return this.#options.reach.isOwnLinkSuspected(endpoint, this.#nowMs());
    }

    /** Resolves to whether a failure at an endpoint is the endpoint's own, as soon as that is known. */
    async confirmFailure(endpoint: EndpointRecord): Promise<boolean> {
        const { clock, reach } = this.#options;
        while (this.isSuspected(endpoint)) {
            if (reach.wayTo(endpoint, this.#nowMs()) !== "direct") {
                return false;
            }
            await clock.sleep(confirmIntervalMs);
        }
        return true;
    }

    /** Calls back once it is certain that a failure at an endpoint is the endpoint's own; at once if nothing speaks against it. */
    whenConfirmed(endpoint: EndpointRecord, callback: () => void): void {
        if (!this.isSuspected(endpoint)) {
            callback();
            return;
        }
        void this.confirmFailure(endpoint).then(isConfirmed => isConfirmed && callback());
    }

    #check(): void {
        const { clock, reach, listEndpoints, onCheck } = this.#options;
        const due = reach.takeDueProbes(listEndpoints(), this.#nowMs());
        due.forEach(({ endpointId }) => void this.#probe(listEndpoints().find(known => known.endpointId === endpointId)));
        onCheck();
        this.#cancelCheck = clock.after(checkIntervalMs, () => this.#check());
    }

    async #probe(endpoint: EndpointRecord | undefined): Promise<void> {
        if (endpoint !== undefined) {
            const startedMs = this.#nowMs();
            const result = await this.#options.probe(endpoint);
            this.#options.reach.recordProbe(endpoint, { result, startedMs }, this.#nowMs());
        }
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }
}
