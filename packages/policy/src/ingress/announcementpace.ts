/** Several changes within this time are announced together. */
const joinMs = 5;
/** Announcements are no closer than this; regular reports carry the same news, and each costs as much as one of those. */
const shortestPauseMs = 200;

/** Decides when changes are announced to other hosts: the first one soon, and those that follow it together. */
export class AnnouncementPace {
    #lastMs = -Infinity;
    #dueMs: number | undefined;

    /** Records a change; returns the milliseconds until it is announced, or `undefined` if an announcement is due already. */
    recordChange(nowMs: number): number | undefined {
        if (this.#dueMs !== undefined) {
            return undefined;
        }
        this.#dueMs = Math.max(nowMs + joinMs, this.#lastMs + shortestPauseMs);
        return this.#dueMs - nowMs;
    }

    /** Records that all changes so far are announced now. */
    recordAnnouncement(nowMs: number): void {
        this.#dueMs = undefined;
        this.#lastMs = nowMs;
    }
}
