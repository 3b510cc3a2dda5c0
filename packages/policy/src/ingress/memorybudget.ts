/** What a holding is for, which decides whether it may be ended. */
export interface HoldingState {
    /** Bytes still to come from a caller, or still to be taken by one. */
    readonly remainingBytes: number;
    /** Bytes that have come or were taken so far. */
    readonly movedBytes: number;
    readonly startedMs: number;
    /** When bytes last moved. */
    readonly movedMs: number;
}

/** Estimated time until a transfer is complete, in milliseconds: at its mean speed, and at least as long as it has stood still. */
export function estimateCompletionMs(state: HoldingState, nowMs: number): number {
    const { remainingBytes, movedBytes, startedMs, movedMs } = state;
    const atMeanSpeedMs = remainingBytes * (nowMs - startedMs) / Math.max(1, movedBytes);
    return Math.max(atMeanSpeedMs, nowMs - movedMs);
}

/** Memory of one host that callers' requests hold, with the load it answers: callers that leave bodies or answers unfinished. */
export class MemoryBudget {
    readonly #totalBytes: number;
    readonly #transfers = new Set<MemoryHolding>();
    #heldBytes = 0;

    constructor(totalBytes: number) {
        this.#totalBytes = totalBytes;
    }

    get heldBytes(): number {
        return this.#heldBytes;
    }

    /** Ends the slowest transfers while more is held than planned; returns false if that was not enough. */
    makeRoom(nowMs: number): boolean {
        while (this.#heldBytes > this.#totalBytes && this.endSlowest(nowMs)) {
            // Each pass releases one holding.
        }
        return this.#heldBytes <= this.#totalBytes;
    }

    /** Counts bytes that no transfer has, or no longer counts them. */
    add(bytes: number): void {
        this.#heldBytes += bytes;
    }

    /** Changes what a holding has; ends the slowest transfers, perhaps this one, if that is too much. For `MemoryHolding` only. */
    change(bytes: number, nowMs: number): void {
        this.#heldBytes += bytes;
        if (bytes > 0) {
            this.makeRoom(nowMs);
        }
    }

    /** Records whether a holding may be ended. For `MemoryHolding` only. */
    setTransfer(holding: MemoryHolding, isTransfer: boolean): void {
        if (isTransfer) {
            this.#transfers.add(holding);
        }
        else {
            this.#transfers.delete(holding);
        }
    }

    /** Ends the transfer that is furthest from its end; returns false if there is none. */
    endSlowest(nowMs: number): boolean {
        let slowest: MemoryHolding | undefined;
        let longestMs = -1;
        for (const holding of this.#transfers) {
            const completionMs = estimateCompletionMs(holding.state, nowMs);
            if (completionMs > longestMs) {
                slowest = holding;
                longestMs = completionMs;
            }
        }
        slowest?.end();
        return slowest !== undefined;
    }
}

const noTransfer: HoldingState = { remainingBytes: 0, movedBytes: 0, startedMs: 0, movedMs: 0 };

/** The memory of one request, in bytes. Only while bytes are moved from or to the caller may it be ended for others. */
export class MemoryHolding {
    readonly #budget: MemoryBudget;
    readonly #onShort: () => void;
    #bytes = 0;
    #isReleased = false;
    #isTransfer = false;
    #state = noTransfer;

    /** `onShort` is called when the holding has been ended for others. */
    constructor(budget: MemoryBudget, onShort: () => void) {
        this.#budget = budget;
        this.#onShort = onShort;
    }

    get state(): HoldingState {
        return this.#state;
    }

    get isReleased(): boolean {
        return this.#isReleased;
    }

    /** Records what is held and the state of the transfer from or to the caller; may end holdings, this one included. */
    transfer(bytes: number, state: HoldingState, nowMs: number): void {
        if (this.#isReleased) {
            return;
        }
        this.#state = state;
        this.#setTransfer(true);
        this.#resize(bytes, nowMs);
    }

    /** Keeps what is held while an endpoint works on the request; it can't be ended then. */
    settle(bytes: number, nowMs: number): void {
        if (!this.#isReleased) {
            this.#setTransfer(false);
            this.#resize(bytes, nowMs);
        }
    }

    /** Gives everything back. */
    release(): void {
        if (!this.#isReleased) {
            this.#isReleased = true;
            this.#setTransfer(false);
            this.#resize(0, 0);
        }
    }

    /** Ends the request for others. */
    end(): void {
        this.release();
        this.#onShort();
    }

    #resize(bytes: number, nowMs: number): void {
        const added = bytes - this.#bytes;
        this.#bytes = bytes;
        this.#budget.change(added, nowMs);
    }

    #setTransfer(isTransfer: boolean): void {
        if (this.#isTransfer !== isTransfer) {
            this.#isTransfer = isTransfer;
            this.#budget.setTransfer(this, isTransfer);
        }
    }
}
