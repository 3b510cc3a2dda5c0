import type { Clock } from "@filbertrelay/kernel";
import { ReceivedReports } from "./receivedreports.js";

/** The median wall-clock time of the hosts; correct even on a host whose own clock is wrong, while most clocks are right. */
export interface FleetClock {
    now(): Date;
    /** Records the wall-clock time that a peer has just sent. */
    recordPeerTime(peer: string, at: Date): void;
    /** Records the median that a peer has just sent, which hears more hosts than this one; it counts alone while it is recent. */
    recordFleetTime(at: Date): void;
}

/** A peer that has not sent its time for this long may have stopped, or its clock may have been changed since. */
const peerTimeTtlMs = 10_000;
/** A median that was received longer ago is no longer used. */
const fleetTimeTtlMs = 3_000;

/** Creates the clock of a host without known peers. */
export function createFleetClock(options: { readonly clock: Clock; }): FleetClock {
    return new MedianClock(options.clock);
}

class MedianClock implements FleetClock {
    readonly #clock: Clock;
    /** Each peer's wall-clock time at the zero point of this host's monotonic clock. */
    readonly #peers = new ReceivedReports<number>(peerTimeTtlMs);

    /** The median that a peer sent, at the zero point of this host's monotonic clock. */
    #fleet: { readonly originMs: number; readonly receivedMs: number; } | undefined;

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    now(): Date {
        const monotonicMs = this.#clock.monotonicMs();
        if (this.#fleet !== undefined && monotonicMs - this.#fleet.receivedMs <= fleetTimeTtlMs) {
            return new Date(this.#fleet.originMs + monotonicMs);
        }
        const ownMs = this.#clock.now().getTime() - monotonicMs;
        const origins = [ownMs, ...this.#peers.live(monotonicMs).map(({ report }) => report)];
        return new Date(medianNear(origins, ownMs) + monotonicMs);
    }

    recordPeerTime(peer: string, at: Date): void {
        const receivedMs = this.#clock.monotonicMs();
        this.#peers.record(peer, at.getTime() - receivedMs, receivedMs);
    }

    recordFleetTime(at: Date): void {
        const receivedMs = this.#clock.monotonicMs();
        this.#fleet = { originMs: at.getTime() - receivedMs, receivedMs };
    }
}

/** The median; with an even number of values, the middle one that is nearer to `preferred`. */
function medianNear(values: readonly number[], preferred: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    const upper = sorted[Math.floor(sorted.length / 2)] ?? preferred;
    const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? preferred;
    return Math.abs(upper - preferred) < Math.abs(lower - preferred) ? upper : lower;
}
