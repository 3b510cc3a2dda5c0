import type { Clock } from "@filbertrelay/kernel";
import { AnnouncementPace } from "@filbertrelay/policy/ingress";

/** Options of `Announcer`. */
export interface AnnouncerOptions {
    /** Tells the other hosts what is known at that moment. */
    readonly send: () => void;
    /** Interval between the rounds of regular reports, in milliseconds. */
    readonly intervalMs: () => number;
}

/** Has urgent changes announced to other hosts, several of them together. */
export class Announcer {
    readonly #clock: Clock;
    readonly #options: AnnouncerOptions;
    readonly #pace = new AnnouncementPace();
    #cancel: () => void = () => undefined;

    constructor(clock: Clock, options: AnnouncerOptions) {
        this.#clock = clock;
        this.#options = options;
    }

    /** Records that something urgent has become known. */
    announce(): void {
        const delayMs = this.#pace.recordChange(this.#clock.monotonicMs(), this.#options.intervalMs());
        if (delayMs !== undefined) {
            this.#cancel = this.#clock.after(delayMs, () => {
                this.#pace.recordAnnouncement(this.#clock.monotonicMs());
                this.#options.send();
            });
        }
    }

    stop(): void {
        this.#cancel();
    }
}
