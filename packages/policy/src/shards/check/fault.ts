import { checkedKeys, submitAtLikelyOwner } from "./caller.js";
import type { NodeModel } from "./node.js";
import type { FaultName } from "./plan.js";
import type { Random } from "./random.js";
import type { Simulation } from "./simulation.js";

/** Applies one fault; a fault that is not possible in the current state has no effect. */
export function applyFault(simulation: Simulation, random: Random, fault: FaultName): void {
    simulation.log(() => `fault ${fault}`);
    const running = simulation.nodes.filter(node => node.isRunning);
    const owner = random.pick(running.filter(node => node.state.owner !== undefined));
    const standby = random.pick(running.filter(node => isStandbyOf(node, owner))) ??
        random.pick(running.filter(node => node !== owner));
    const target: Partial<Record<FaultName, NodeModel | undefined>> = {
        pause: random.pick(running),
        pauseOwner: owner,
        crash: random.pick(running),
        crashOwner: owner,
        crashStandby: standby,
        terminateOwner: owner,
        terminateStandby: standby,
        terminateCrashed: random.pick(simulation.nodes.filter(node => node.isStarted && !node.isRunning)),
        terminateFormer: random.pick(running.filter(node => node.isLeaving && node !== owner)),
        leaveOwner: owner,
        leaveStandby: standby,
        restart: random.pick(simulation.nodes.filter(node => node.isStarted && !node.isRunning && !node.isTerminated)),
        startHost: random.pick(simulation.nodes.filter(node => !node.isStarted)),
        cutOwnerFromStore: owner,
        isolateOwner: owner,
        isolateStandby: standby,
    };
    const node = target[fault];
    if (node !== undefined) {
        applyToNode(simulation, node, fault);
    }
    else {
        applyToFleet(simulation, random, fault);
    }
}

function isStandbyOf(node: NodeModel, owner: NodeModel | undefined): boolean {
    return owner?.state.owner?.standbys.some(standby => standby.host === node.host) === true;
}

function applyToNode(simulation: Simulation, node: NodeModel, fault: FaultName): void {
    simulation.log(() => `fault target ${node.host}`);
    if (fault.startsWith("pause")) {
        node.isPaused = true;
    }
    else if (fault.startsWith("crash")) {
        node.crash();
    }
    else if (fault.startsWith("terminate")) {
        terminate(node);
    }
    else if (fault.startsWith("leave") && node.canAct) {
        node.isLeaving = true;
        simulation.nodes.filter(other => other.canAct).forEach(other => simulation.updateMembers(other, true));
        simulation.step(node, { type: "leave" });
    }
    else if (fault === "restart" || fault === "startHost") {
        node.start(simulation.nowMs);
        simulation.nodes.filter(other => other.canAct).forEach(other => simulation.updateMembers(other, true));
    }
    else if (fault === "cutOwnerFromStore") {
        node.isCutFromStore = true;
    }
    else if (fault === "isolateOwner" || fault === "isolateStandby") {
        node.group = 9;
    }
}

function terminate(node: NodeModel): void {
    node.crash();
    node.isTerminated = true;
}

function applyToFleet(simulation: Simulation, random: Random, fault: FaultName): void {
    const live = simulation.nodes.filter(node => node.canAct);
    if (fault === "submit") {
        submitAtLikelyOwner(simulation, random);
        submitAtLikelyOwner(simulation, random);
    }
    else if (fault === "submitOwner" || fault === "submitAll") {
        submitAtOwners(simulation, live, fault === "submitAll");
    }
    else if (fault === "acquireFresh" || fault === "takeoverFresh") {
        acquireFresh(simulation, random, live);
        runSteps(simulation, fault === "takeoverFresh" ? 30 : 0, 50);
    }
    else if (fault === "terminateWitnesses") {
        const running = simulation.nodes.filter(node => node.isRunning);
        const oldest = oldestOwner(running);
        running.filter(node => isStandbyOf(node, oldest)).forEach(terminate);
    }
    else if (fault === "wait") {
        advanceHalfRetention(simulation);
    }
    else if (fault === "resume") {
        simulation.nodes.forEach(node => node.isPaused = false);
    }
    else if (fault === "outage" || fault === "outageEnd") {
        simulation.keyValue.isDown = fault === "outage";
    }
    else if (fault === "cloudOutage" || fault === "cloudOutageEnd") {
        simulation.isCloudDown = fault === "cloudOutage";
    }
    else if (fault === "partition") {
        simulation.nodes.forEach(node => node.group = random.below(2));
    }
    else if (fault === "rejoin") {
        simulation.nodes.forEach(node => {
            node.group = 0;
            node.isCutFromStore = false;
        });
    }
    else if (fault === "takeover" || fault === "twoSuccessors") {
        startTakeovers(simulation, random, live, fault === "takeover" ? 1 : 2);
    }
    else if (fault === "settle") {
        runSteps(simulation, 60, 60);
    }
}

/** More than half of the result retention in the modelled fleet, so that two of these faults exceed it. */
const advanceMs = 12_000;

function advanceHalfRetention(simulation: Simulation): void {
    const untilMs = simulation.nowMs + advanceMs;
    for (let steps = 0; simulation.nowMs < untilMs && steps < 400; steps++) {
        runSteps(simulation, 1, 500);
    }
}

function runSteps(simulation: Simulation, steps: number, idleAdvanceMs: number): void {
    for (let count = 0; count < steps; count++) {
        if (!simulation.deliver()) {
            simulation.advance(idleAdvanceMs);
        }
    }
}

/** Returns the owner with the lowest epoch: of several owners, the one that does not know of its successor. */
function oldestOwner(nodes: readonly NodeModel[]): NodeModel | undefined {
    const owners = nodes.filter(node => node.state.owner !== undefined);
    return owners.sort((left, right) => (left.state.owner?.epoch ?? 0) - (right.state.owner?.epoch ?? 0))[0];
}

function submitAtOwners(simulation: Simulation, live: readonly NodeModel[], isAll: boolean): void {
    const oldest = oldestOwner(live);
    const owners = live.filter(node => isAll ? node.state.owner !== undefined : node === oldest);
    for (const owner of owners) {
        checkedKeys.filter(key => simulation.canResubmit(key)).forEach(key => simulation.submit(owner, key, "body", 2_000));
    }
}

/** Starts a takeover at a host that has no information about the shard. */
function acquireFresh(simulation: Simulation, random: Random, live: readonly NodeModel[]): void {
    const node = random.pick(live.filter(other => other.state.knownSet === undefined));
    if (node !== undefined) {
        simulation.updateMembers(node, true);
        simulation.step(node, { type: "acquire", force: true });
    }
}

function startTakeovers(simulation: Simulation, random: Random, live: readonly NodeModel[], count: number): void {
    const successors = live.filter(node => node.state.owner === undefined);
    for (let index = 0; index < count; index++) {
        const node = random.pick(successors);
        if (node !== undefined) {
            simulation.updateMembers(node, true);
            simulation.step(node, { type: "acquire", force: true });
        }
    }
    runSteps(simulation, 30, 50);
}
