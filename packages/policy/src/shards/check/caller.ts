import type { Random } from "./random.js";
import type { World } from "./world.js";

/** The keys that callers submit. */
export const checkedKeys = ["k0", "k1", "k2"];

/** Submits a key at a host that is likely to own the shard, as callers and forwarding hosts do. */
export function submitSomewhere(world: World, random: Random): void {
    const live = world.nodes.filter(node => node.canAct);
    const owners = live.filter(node => node.state.owner !== undefined);
    const node = random.pick(owners.length > 0 && random.chance(75) ? owners : live);
    const key = random.pick(checkedKeys.filter(candidate => world.mayComeBack(candidate)));
    if (node !== undefined && key !== undefined) {
        world.submit(node, key, random.chance(3) ? "other" : "body", random.pick([100, 600, 2_000]) ?? 600);
    }
}
