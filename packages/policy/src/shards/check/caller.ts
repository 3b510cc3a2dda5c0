import type { Random } from "./random.js";
import type { Simulation } from "./simulation.js";

/** The keys that callers submit. */
export const checkedKeys = ["k0", "k1", "k2"];

/** Submits a random key, mostly at a host that owns the shard, as callers and forwarding hosts do. */
export function submitAtLikelyOwner(simulation: Simulation, random: Random): void {
    const live = simulation.nodes.filter(node => node.canAct);
    const owners = live.filter(node => node.state.owner !== undefined);
    const node = random.pick(owners.length > 0 && random.chance(75) ? owners : live);
    const key = random.pick(checkedKeys.filter(candidate => simulation.canResubmit(candidate)));
    if (node !== undefined && key !== undefined) {
        simulation.submit(node, key, random.chance(3) ? "other" : "body", random.pick([100, 600, 2_000]) ?? 600);
    }
}
