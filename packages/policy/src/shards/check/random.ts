import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded source of choices. */
export class Random {
    readonly #generator;

    constructor(seed: number) {
        this.#generator = xoroshiro128plus(seed);
    }

    /** An integer from 0 to below the limit. */
    below(limit: number): number {
        return uniformInt(this.#generator, 0, limit - 1);
    }

    /** True with the given chance in percent. */
    chance(percent: number): boolean {
        return this.below(100) < percent;
    }

    /** One of the given items; `undefined` when there are none. */
    pick<T>(items: readonly T[]): T | undefined {
        return items.length === 0 ? undefined : items[this.below(items.length)];
    }
}
