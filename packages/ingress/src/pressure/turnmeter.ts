import type { Clock } from "@filbertrelay/kernel";
import { TurnTimes } from "@filbertrelay/policy/ingress";

/** The measurement ends with a turn shorter than this: input that arrives later is read without delay. */
const shortestTurnMs = 4;

/**
 * Measures how long input waits for the event loop. It follows the loop only from the arrival of a request until a turn is short,
 * so that an idle process isn't woken.
 */
export class TurnMeter {
    readonly #clock: Clock;
    readonly #afterTurn: (callback: () => void) => void;
    readonly #turns = new TurnTimes();

    /** `afterTurn` calls back at the end of the loop's turn, after all input that was readable has been read. */
    constructor(clock: Clock, afterTurn: (callback: () => void) => void = callback => void setImmediate(callback)) {
        this.#clock = clock;
        this.#afterTurn = afterTurn;
    }

    /** Returns how long input that is read now was readable, in milliseconds; `undefined` if the loop waited for it. */
    recordRead(nowMs: number): number | undefined {
        if (!this.#turns.isFollowed) {
            this.#afterTurn(() => this.#endTurn());
        }
        return this.#turns.recordRead(nowMs);
    }

    #endTurn(): void {
        this.#turns.endTurn(this.#clock.monotonicMs());
        if (this.#turns.previousMs < shortestTurnMs) {
            this.#turns.recordIdle();
        }
        else {
            this.#afterTurn(() => this.#endTurn());
        }
    }
}
