import fc from "fast-check";

/** Number of hosts in a simulation. */
export const simulatedHosts = 3;
/** Time of one step, in milliseconds. */
export const stepMs = 200;

/** One step of a simulated schedule; the numbers choose hosts, times and changes. */
export interface Step<Kind extends string> {
    readonly kind: Kind;
    readonly host: number;
    readonly pick: number;
}

/** Schedules in which some steps are rarer than others. */
export function createSchedules<Kind extends string>(
    common: readonly Kind[],
    rare: readonly Kind[],
): fc.Arbitrary<readonly Step<Kind>[]> {
    return fc.array(
        fc.record({
            kind: fc.oneof(
                { weight: 8, arbitrary: fc.constantFrom(...common) },
                { weight: 3, arbitrary: fc.constantFrom(...rare) },
            ),
            host: fc.nat(simulatedHosts - 1),
            pick: fc.nat(9),
        }),
        { minLength: 10, maxLength: 80, size: "max" },
    );
}
