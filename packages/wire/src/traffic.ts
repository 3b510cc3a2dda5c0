/** Frame and byte counts of one topic since the process started; bytes include the length prefix of each frame. */
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

    /** Counts a sent frame. */
    sent(topic: string, bytes: number): void {
        const counts = this.#getOrCreate(topic);
        counts.framesSent += 1;
        counts.bytesSent += bytes;
    }

    /** Counts a received frame. */
    received(topic: string, bytes: number): void {
        const counts = this.#getOrCreate(topic);
        counts.framesReceived += 1;
        counts.bytesReceived += bytes;
    }

    /** Lists the counts of all topics in order of first use. */
    list(): readonly TopicTraffic[] {
        return [...this.#topics.values()].map(counts => ({ ...counts }));
    }

    #getOrCreate(topic: string): Counts {
        const known = this.#topics.get(topic);
        if (known !== undefined) {
            return known;
        }
        const counts = { topic, framesSent: 0, bytesSent: 0, framesReceived: 0, bytesReceived: 0 };
        this.#topics.set(topic, counts);
        return counts;
    }
}
