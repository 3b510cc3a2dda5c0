/** Several changes within this time are announced together. */
const joinMs = 5;

/**
 * Decides when changes are announced to other hosts: the first one soon, and those that follow it together. A round of announcements
 * costs as much as one of regular reports, which carry the same news, so the rounds are no closer than those.
 */
export class AnnouncementPace {
    #lastMs = -Infinity;
    #dueMs: number | undefined;

    /**
     * Records a change; returns the milliseconds until it is announced, or `undefined` if an announcement is due already. `intervalMs` is
     * that of the regular reports.
     */
    recordChange(nowMs: number, intervalMs: number): number | undefined {
        if (this.#dueMs !== undefined) {
            return undefined;
        }
        this.#dueMs = Math.max(nowMs + joinMs, this.#lastMs + intervalMs);
        return this.#dueMs - nowMs;
    }

    /** Records that all changes so far are announced now. */
    recordAnnouncement(nowMs: number): void {
        this.#dueMs = undefined;
        this.#lastMs = nowMs;
    }
}
