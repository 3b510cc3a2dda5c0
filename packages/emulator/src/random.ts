import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { skipN } from "pure-rand/utils/skipN";

/** Seeded random numbers. */
export interface Random {
    /** Uniform in [0, 1). */
    unit(): number;
    /** Uniform integer, both limits included. */
    integer(from: number, to: number): number;
    /** Exponentially distributed with the given mean. */
    exponential(mean: number): number;
    /** Index chosen with probability in proportion to its weight. */
    weighted(weights: readonly number[]): number;
    /** One of the items, all equally likely. */
    pick<T>(items: readonly T[]): T;
}

/** Creates a generator; equal seeds give equal numbers. */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    // The first outputs of nearby seeds resemble each other.
    skipN(generator, 16);
    const unit = (): number => uniformFloat64(generator);
    return {
        unit,
        integer: (from, to) => uniformInt(generator, from, to),
        exponential: mean => -mean * Math.log(1 - unit()),
        weighted: weights => chooseWeighted(weights, unit()),
        pick: items => {
            const item = items[uniformInt(generator, 0, items.length - 1)];
            if (item === undefined) {
                throw new RangeError("There is no item to pick.");
            }
            return item;
        },
    };
}

function chooseWeighted(weights: readonly number[], unit: number): number {
    let remaining = unit * weights.reduce((sum, weight) => sum + weight, 0);
    const index = weights.findIndex(weight => {
        remaining -= weight;
        return remaining < 0;
    });
    return index < 0 ? weights.length - 1 : index;
}
