import { checkedKeys } from "./caller.js";
import { Violation } from "./model.js";
import type { NodeModel } from "./node.js";
import type { Random } from "./random.js";
import type { Simulation } from "./simulation.js";

const attemptsPerKey = 24;
const waitMs = 3_000;
/** A call that takes more steps than this indicates that the state machines exchange messages without progress. */
const stepLimit = 3_000;

/** Ends all faults and checks that every resubmitted key gets a final response; returns the number of steps. */
export function checkRecovery(simulation: Simulation, random: Random): number {
    simulation.log(() => "end of all faults");
    endFaults(simulation);
    let steps = 0;
    for (const key of checkedKeys) {
        steps += resubmit(simulation, random, key);
    }
    return steps;
}

function endFaults(simulation: Simulation): void {
    simulation.keyValue.isDown = false;
    simulation.isCloudDown = false;
    Object.assign(simulation.faultRates, { lostReply: 0, lateArrival: 0, duplicate: 0, endpointFault: 0 });
    for (const node of simulation.nodes) {
        node.group = 0;
        node.isCutFromStore = false;
        node.isPaused = false;
        if (!node.isRunning && !node.isTerminated) {
            node.start(simulation.nowMs);
        }
    }
}

function resubmit(simulation: Simulation, random: Random, key: string): number {
    let steps = 0;
    for (let attempt = 0; attempt < attemptsPerKey; attempt++) {
        updateAllMembers(simulation);
        const live = simulation.nodes.filter(node => node.canAct && !node.isLeaving);
        const owners = live.filter(node => node.state.owner !== undefined);
        const knownOwners = live.filter(other => live.some(node => node.state.knownSet?.owner.host === other.host));
        const likely = owners.length > 0 ? owners : knownOwners;
        const node = random.pick(likely.length > 0 && random.chance(70) ? likely : live);
        if (node === undefined || !simulation.canResubmit(key)) {
            return steps;
        }
        const call = simulation.submit(node, key, "body", waitMs);
        steps += waitForAnswer(simulation, call);
        if (isFinal(simulation, node, key, call)) {
            return steps;
        }
    }
    throw new Violation(`Key '${key}' got no final response after all faults ended.`);
}

function updateAllMembers(simulation: Simulation): void {
    simulation.nodes.filter(node => node.canAct).forEach(node => simulation.updateMembers(node, true));
}

function waitForAnswer(simulation: Simulation, call: number): number {
    const untilMs = simulation.nowMs + 2 * waitMs;
    let steps = 0;
    while (simulation.callers.calls[call]?.answer === undefined) {
        steps += 1;
        if (!simulation.deliver()) {
            simulation.advance(50);
        }
        if (simulation.nowMs > untilMs || steps > stepLimit) {
            throw new Violation(`Call ${call} got no response within ${2 * waitMs} ms or ${stepLimit} steps.`);
        }
    }
    return steps;
}

/** Returns whether a response is final: a result, `yes`, or `unknown` for a key that may have run. */
function isFinal(simulation: Simulation, node: NodeModel, key: string, call: number): boolean {
    const answer = simulation.callers.calls[call]?.answer;
    if (answer === "ok" || answer === "yes" || simulation.callers.calls[call]?.code === "shard.keyReused") {
        return true;
    }
    const { owner } = node.state;
    const isLost = owner !== undefined && simulation.nowMs < owner.unknownUntilMs;
    return answer === "unknown" && (isLost || owner?.entries.get(key)?.state === "unknown");
}
