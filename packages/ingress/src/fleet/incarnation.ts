import { brandAs } from "@filbertrelay/kernel";
import type { Incarnation } from "@filbertrelay/kernel";

/** Creates an identifier for this run of the process. */
export function createIncarnation(now: Date, draw: () => number): Incarnation {
    return brandAs<Incarnation>(`${now.getTime()}-${Math.floor(draw() * 1e9).toString(36)}`);
}
