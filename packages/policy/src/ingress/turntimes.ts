/** Times of the event loop's last turns, from which follows how long input was readable before it is read. */
export class TurnTimes {
    #startMs: number | undefined;
    #previousMs = 0;

    /** Whether the turns are followed: there was no pause since the last one. */
    get isFollowed(): boolean {
        return this.#startMs !== undefined;
    }

    /** Length of the last turn, in milliseconds. */
    get previousMs(): number {
        return this.#previousMs;
    }

    /** Records the end of a turn, after which the next one begins. */
    endTurn(nowMs: number): void {
        this.#previousMs = this.#startMs === undefined ? 0 : nowMs - this.#startMs;
        this.#startMs = nowMs;
    }

    /** Records that the loop waits for input. */
    recordIdle(): void {
        this.#startMs = undefined;
        this.#previousMs = 0;
    }

    /**
     * Returns the mean time for which input that is read now was readable, since it came at any time of the previous turn, in
     * milliseconds; `undefined` if the loop waited for it. From then on the turns are followed.
     */
    recordRead(nowMs: number): number | undefined {
        if (this.#startMs === undefined) {
            this.#startMs = nowMs;
            return undefined;
        }
        return nowMs - this.#startMs + this.#previousMs / 2;
    }
}
