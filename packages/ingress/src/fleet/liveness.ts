import type { Clock, EventLog, HostId } from "@filbertrelay/kernel";
import { fleetEvents as events } from "./event.js";

/** Age of hosts that have not been heard from, in milliseconds; beyond all timeouts of the hosts that it is told. */
const longestAgeMs = 60_000;

/** Options of `PeerLiveness`. */
export interface PeerLivenessOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly self: HostId;
    /** Time without contact after which a host counts as unreachable. */
    readonly timeoutMs: () => number;
}

/** Tracks when each host was last heard from, directly or through the report of another host. */
export class PeerLiveness {
    readonly #options: PeerLivenessOptions;
    readonly #lastContactMs = new Map<HostId, number>();

    constructor(options: PeerLivenessOptions) {
        this.#options = options;
    }

    /** Whether a host was heard from within the timeout. */
    isReachable(hostId: HostId): boolean {
        return this.#sinceContactMs(hostId) < this.#options.timeoutMs();
    }

    /** Milliseconds since a host was last heard from; 0 for this host. */
    ageMs(hostId: HostId): number {
        return hostId === this.#options.self ? 0 : Math.round(Math.min(this.#sinceContactMs(hostId), longestAgeMs));
    }

    /** Records that a host was heard from `ageMs` ago. */
    recordContact(hostId: HostId, ageMs = 0): void {
        const wasReachable = this.isReachable(hostId);
        const contactMs = this.#options.clock.monotonicMs() - ageMs;
        this.#lastContactMs.set(hostId, Math.max(contactMs, this.#lastContactMs.get(hostId) ?? -Infinity));
        if (!wasReachable && this.isReachable(hostId)) {
            this.#options.log.write(events.peerReachable, { peer: hostId });
        }
    }

    /** Logs and removes the hosts that have become unreachable. */
    dropUnreachable(): void {
        for (const hostId of this.#lastContactMs.keys()) {
            if (!this.isReachable(hostId)) {
                this.#options.log.write(events.peerUnreachable, {
                    peer: hostId,
                    ageMs: Math.round(this.#sinceContactMs(hostId)),
                });
                this.#lastContactMs.delete(hostId);
            }
        }
    }

    /** Removes a host that is no longer registered. */
    forget(hostId: HostId): void {
        this.#lastContactMs.delete(hostId);
    }

    #sinceContactMs(hostId: HostId): number {
        return this.#options.clock.monotonicMs() - (this.#lastContactMs.get(hostId) ?? -Infinity);
    }
}
