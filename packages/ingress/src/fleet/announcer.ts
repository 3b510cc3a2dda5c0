import type { Clock } from "@filbertrelay/kernel";
import { AnnouncementPace } from "@filbertrelay/policy/ingress";

/** Has urgent changes announced to other hosts, several of them together. */
export class Announcer {
    readonly #clock: Clock;
    readonly #send: () => void;
    readonly #pace = new AnnouncementPace();
    #cancel: () => void = () => undefined;

    /** `send` tells the other hosts what is known at that moment. */
    constructor(clock: Clock, send: () => void) {
        this.#clock = clock;
        this.#send = send;
    }

    /** Records that something urgent has become known. */
    announce(): void {
        const delayMs = this.#pace.recordChange(this.#clock.monotonicMs());
        if (delayMs !== undefined) {
            this.#cancel = this.#clock.after(delayMs, () => {
                this.#pace.recordAnnouncement(this.#clock.monotonicMs());
                this.#send();
            });
        }
    }

    stop(): void {
        this.#cancel();
    }
}
