import type { HostId } from "@filbertrelay/kernel";

/**
 * Keeps at most one report on its way to each peer. A peer that is late would otherwise get reports faster than it reads them, and the
 * older ones only take the time in which it could read the newest.
 */
export class PeerCalls {
    /** Peers with a report on its way, with whether something urgent has become known since it was written. */
    readonly #waiting = new Map<HostId, boolean>();

    /** Whether a report may be sent to a peer now; if it is urgent and may not, another one follows the present one at once. */
    begin(peer: HostId, isUrgent: boolean): boolean {
        const isWaiting = this.#waiting.has(peer);
        this.#waiting.set(peer, isWaiting && (isUrgent || this.#waiting.get(peer) === true));
        return !isWaiting;
    }

    /** Records that a report was answered or given up; returns whether another one is due at once. */
    end(peer: HostId): boolean {
        const isDue = this.#waiting.get(peer) === true;
        this.#waiting.delete(peer);
        return isDue;
    }
}
