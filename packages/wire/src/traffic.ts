/** Frames and bytes of one topic since the process started; bytes include the length in front of each frame. */
export interface TopicTraffic {
    readonly topic: string;
    readonly framesSent: number;
    readonly bytesSent: number;
    readonly framesReceived: number;
    readonly bytesReceived: number;
}

type Counts = { -readonly [Name in keyof TopicTraffic]: TopicTraffic[Name]; };

/** Counts frames and bytes by topic. */
export class Traffic {
    readonly #topics = new Map<string, Counts>();

    /** Counts one frame that was sent. */
    sent(topic: string, bytes: number): void {
        const counts = this.#of(topic);
        counts.framesSent += 1;
        counts.bytesSent += bytes;
    }

    /** Counts one frame that was received. */
    received(topic: string, bytes: number): void {
        const counts = this.#of(topic);
        counts.framesReceived += 1;
        counts.bytesReceived += bytes;
    }

    /** The counts of all topics, in order of first use. */
    list(): readonly TopicTraffic[] {
        return [...this.#topics.values()].map(counts => ({ ...counts }));
    }

    #of(topic: string): Counts {
        const known = this.#topics.get(topic);
        if (known !== undefined) {
            return known;
        }
        const counts = { topic, framesSent: 0, bytesSent: 0, framesReceived: 0, bytesReceived: 0 };
        this.#topics.set(topic, counts);
        return counts;
    }
}
