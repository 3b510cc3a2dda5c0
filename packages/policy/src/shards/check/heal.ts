import { Violation } from "./model.js";
import type { NodeModel } from "./node.js";
import type { Random } from "./random.js";
import { checkedKeys } from "./schedule.js";
import type { World } from "./world.js";

const attemptsPerKey = 24;
const waitMs = 3_000;
/** Above this many steps for one answer the machines exchange messages without making progress. */
const stepLimit = 3_000;

/** Ends all faults and checks that every resubmitted key gets an answer; gives the number of steps. */
export function heal(world: World, random: Random): number {
    world.note(() => "all faults end");
    endFaults(world);
    let steps = 0;
    for (const key of checkedKeys) {
        steps += resubmit(world, random, key);
    }
    return steps;
}

function endFaults(world: World): void {
    world.keyValue.isDown = false;
    world.isCloudDown = false;
    Object.assign(world.disorder, { lostReply: 0, lateArrival: 0, duplicate: 0, endpointFault: 0 });
    for (const node of world.nodes) {
        node.group = 0;
        node.isCutFromStore = false;
        node.isPaused = false;
        if (!node.isRunning && !node.isTerminated) {
            node.start(world.nowMs);
        }
    }
}

function resubmit(world: World, random: Random, key: string): number {
    let steps = 0;
    for (let attempt = 0; attempt < attemptsPerKey; attempt++) {
        refreshAll(world);
        const live = world.nodes.filter(node => node.canAct && !node.isLeaving);
        const owners = live.filter(node => node.state.owner !== undefined);
        const named = live.filter(other => live.some(node => node.state.known?.owner.host === other.host));
        const likely = owners.length > 0 ? owners : named;
        const node = random.pick(likely.length > 0 && random.chance(70) ? likely : live);
        if (node === undefined || !world.mayComeBack(key)) {
            return steps;
        }
        const call = world.submit(node, key, "body", waitMs);
        steps += waitForAnswer(world, call);
        if (isFinal(world, node, key, call)) {
            return steps;
        }
    }
    throw new Violation(`The key '${key}' got no answer after all faults ended.`);
}

function refreshAll(world: World): void {
    world.nodes.filter(node => node.canAct).forEach(node => world.refresh(node, true));
}

function waitForAnswer(world: World, call: number): number {
    const untilMs = world.nowMs + 2 * waitMs;
    let steps = 0;
    while (world.callers.calls[call]?.answer === undefined) {
        steps += 1;
        if (!world.deliver()) {
            world.advance(50);
        }
        if (world.nowMs > untilMs || steps > stepLimit) {
            throw new Violation(`The call ${call} was never answered.`);
        }
    }
    return steps;
}

/** A result, or `unknown` or `yes` for a key that ran or may have run. */
function isFinal(world: World, node: NodeModel, key: string, call: number): boolean {
    const answer = world.callers.calls[call]?.answer;
    if (answer === "ok" || answer === "yes" || world.callers.calls[call]?.code === "shard.keyReused") {
        return true;
    }
    const { owner } = node.state;
    const isLost = owner !== undefined && world.nowMs < owner.unknownUntilMs;
    return answer === "unknown" && (isLost || owner?.entries.get(key)?.state === "unknown");
}
