import type { Clock, EventLog, HostId } from "@filbertrelay/kernel";
import { fleetEvents as events } from "./event.js";

/** Options of `HeardHosts`. */
export interface HeardHostsOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly self: HostId;
    /** Silence after which a host does not count as heard any more, in milliseconds. */
    readonly silenceMs: () => number;
}

/** When each host was last heard, by this host or by another one that reports it. */
export class HeardHosts {
    readonly #options: HeardHostsOptions;
    readonly #heardMs = new Map<HostId, number>();

    constructor(options: HeardHostsOptions) {
        this.#options = options;
    }

    /** Whether a host was heard lately. */
    isHeard(hostId: HostId): boolean {
        return this.#ageOf(hostId) < this.#options.silenceMs();
    }

    /** Time since a host was heard, in milliseconds; 0 for this host, the longest that counts for one that never was. */
    ageMs(hostId: HostId): number {
        return hostId === this.#options.self ? 0 : Math.round(Math.min(this.#ageOf(hostId), this.#options.silenceMs()));
    }

    /** Notes that a host was heard some time ago, in milliseconds. */
    note(hostId: HostId, ageMs = 0): void {
        const wasHeard = this.isHeard(hostId);
        const heardMs = this.#options.clock.monotonicMs() - ageMs;
        this.#heardMs.set(hostId, Math.max(heardMs, this.#heardMs.get(hostId) ?? -Infinity));
        if (!wasHeard && this.isHeard(hostId)) {
            this.#options.log.write(events.peerRegained, { peer: hostId });
        }
    }

    /** Forgets and logs the hosts that have become silent. */
    dropSilent(): void {
        for (const hostId of this.#heardMs.keys()) {
            if (!this.isHeard(hostId)) {
                this.#options.log.write(events.peerLost, { peer: hostId, ageMs: Math.round(this.#ageOf(hostId)) });
                this.#heardMs.delete(hostId);
            }
        }
    }

    /** Forgets a host that is not registered any more. */
    forget(hostId: HostId): void {
        this.#heardMs.delete(hostId);
    }

    #ageOf(hostId: HostId): number {
        return this.#options.clock.monotonicMs() - (this.#heardMs.get(hostId) ?? -Infinity);
    }
}
