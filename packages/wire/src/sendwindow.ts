/** Bounds the bytes of a streamed reply that its receiver has not taken yet. */
export class SendWindow {
    #untakenBytes = 0;
    #isClosed = false;
    readonly #waiting: (() => void)[] = [];

    /** Records the bytes of a frame that was sent. */
    recordSent(bytes: number): void {
        this.#untakenBytes += bytes;
    }

    /** Records bytes that the receiver has taken. */
    recordTaken(bytes: number): void {
        this.#untakenBytes = Math.max(0, this.#untakenBytes - bytes);
        this.#wake();
    }

    /** Resolves when fewer bytes than the limit are untaken, or the reply is no longer wanted. */
    async waitBelow(limitBytes: number): Promise<void> {
        while (this.#untakenBytes >= limitBytes && !this.#isClosed) {
            await new Promise<void>(resolve => this.#waiting.push(resolve));
        }
    }

    /** Ends all waiting, since the reply is no longer wanted. */
    close(): void {
        this.#isClosed = true;
        this.#wake();
    }

    #wake(): void {
        this.#waiting.splice(0).forEach(resolve => resolve());
    }
}
