import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded pseudo-random generator. */
export class Random {
    readonly #generator;

    constructor(seed: number) {
        this.#generator = xoroshiro128plus(seed);
    }

    /** Returns an integer from 0 to `limit - 1`. */
    below(limit: number): number {
        return uniformInt(this.#generator, 0, limit - 1);
    }

    /** Returns true with the given probability in percent. */
    chance(percent: number): boolean {
        return this.below(100) < percent;
    }

    /** Returns one of the items, or `undefined` if there are none. */
    pick<T>(items: readonly T[]): T | undefined {
        return items.length === 0 ? undefined : items[this.below(items.length)];
    }
}
