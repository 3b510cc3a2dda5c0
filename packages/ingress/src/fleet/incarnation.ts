import { brandAs } from "@filbertrelay/kernel";
import type { Incarnation } from "@filbertrelay/kernel";

/** Names one run of this process. */
export function createIncarnation(now: Date, draw: () => number): Incarnation {
    return brandAs<Incarnation>(`${now.getTime()}-${Math.floor(draw() * 1e9).toString(36)}`);
}
