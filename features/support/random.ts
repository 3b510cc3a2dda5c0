/** Creates a deterministic generator of pseudo-random numbers in [0, 1). */
export function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296;
        return state / 4_294_967_296;
    };
}
