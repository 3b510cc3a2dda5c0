import type { Clock } from "@filbertrelay/kernel";
import { ReceivedReports } from "./receivedreports.js";

/** Wall-clock time on which most hosts agree; a host whose own clock is set wrong for a while still gives it. */
export interface FleetClock {
    now(): Date;
    /** Takes the wall-clock time that a peer has just sent. */
    recordPeerTime(peer: string, at: Date): void;
}

/** A peer that has not sent its time for this long may have ended, or its clock may have been set since. */
const peerTimeLifeMs = 10_000;

/** Creates the clock of a host that knows no peers yet. */
export function createFleetClock(options: { readonly clock: Clock; }): FleetClock {
    return new MedianClock(options.clock);
}

class MedianClock implements FleetClock {
    readonly #clock: Clock;
    /** Wall-clock time of the peers at the origin of this host's monotonic time. */
    readonly #peers = new ReceivedReports<number>(peerTimeLifeMs);

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    now(): Date {
        const monotonicMs = this.#clock.monotonicMs();
        const ownMs = this.#clock.now().getTime() - monotonicMs;
        const origins = [ownMs, ...this.#peers.live(monotonicMs).map(({ report }) => report)];
        return new Date(medianNear(origins, ownMs) + monotonicMs);
    }

    recordPeerTime(peer: string, at: Date): void {
        const receivedMs = this.#clock.monotonicMs();
        this.#peers.record(peer, at.getTime() - receivedMs, receivedMs);
    }
}

/** The median; of the two middle values of an even number, the one nearer to the preferred value. */
function medianNear(values: readonly number[], preferred: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    const upper = sorted[Math.floor(sorted.length / 2)] ?? preferred;
    const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? preferred;
    return Math.abs(upper - preferred) < Math.abs(lower - preferred) ? upper : lower;
}
