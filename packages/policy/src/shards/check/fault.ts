import type { NodeModel } from "./node.js";
import type { Random } from "./random.js";
import { checkedKeys, submitSomewhere } from "./schedule.js";
import type { World } from "./world.js";

/** A disturbance that a schedule can contain. */
export type FaultName =
    | "submit"
    | "pause"
    | "pauseOwner"
    | "resume"
    | "crash"
    | "crashOwner"
    | "crashStandby"
    | "restart"
    | "terminateOwner"
    | "terminateStandby"
    | "terminateCrashed"
    | "terminateFormer"
    | "submitOwner"
    | "leaveOwner"
    | "leaveStandby"
    | "startHost"
    | "outage"
    | "outageEnd"
    | "cutOwnerFromStore"
    | "partition"
    | "isolateOwner"
    | "rejoin"
    | "cloudOutage"
    | "cloudOutageEnd"
    | "takeover"
    | "twoSuccessors"
    | "settle"
    | "wait";

/** Sequences of faults that are hard on the protocol; single faults are added at random places. */
export const faultPlans: readonly (readonly FaultName[])[] = [
    ["crashOwner", "takeover", "submit"],
    ["pauseOwner", "twoSuccessors", "submit", "resume", "submit"],
    ["outage", "submit", "crashOwner", "outageEnd", "takeover", "submit"],
    ["outage", "submit", "crashOwner", "terminateStandby", "outageEnd", "takeover", "submit"],
    ["settle", "outage", "submit", "isolateOwner", "outageEnd", "takeover", "submit", "rejoin"],
    ["settle", "outage", "submit", "leaveOwner", "submit", "terminateOwner", "outageEnd", "takeover", "submit"],
    ["outage", "leaveOwner", "crashOwner", "outageEnd", "takeover", "submit"],
    ["leaveOwner", "crashOwner", "takeover", "submit"],
    [
        "settle",
        "outage",
        "terminateStandby",
        "terminateStandby",
        "submit",
        "terminateOwner",
        "outageEnd",
        "twoSuccessors",
        "submit",
    ],
    ["settle", "outage", "terminateStandby", "submit", "pauseOwner", "outageEnd", "takeover", "submit", "resume"],
    ["settle", "outage", "leaveStandby", "submit", "terminateStandby", "terminateOwner", "outageEnd", "takeover", "submit"],
    ["cutOwnerFromStore", "submit", "takeover", "submit", "rejoin"],
    ["settle", "cutOwnerFromStore", "submit", "partition", "takeover", "submit", "rejoin", "submit"],
    ["settle", "cutOwnerFromStore", "submit", "pauseOwner", "takeover", "submit", "resume", "submit"],
    [
        "settle",
        "outage",
        "submit",
        "settle",
        "crashOwner",
        "crashStandby",
        "crashStandby",
        "restart",
        "outageEnd",
        "takeover",
        "submit",
    ],
    [
        "settle",
        "outage",
        "terminateStandby",
        "startHost",
        "settle",
        "terminateStandby",
        "submit",
        "settle",
        "terminateOwner",
        "outageEnd",
        "takeover",
        "submit",
    ],
    ["settle", "cutOwnerFromStore", "leaveOwner", "settle", "terminateOwner", "takeover", "leaveOwner", "submit"],
    [
        "startHost",
        "settle",
        "outage",
        "leaveOwner",
        "settle",
        "terminateFormer",
        "terminateStandby",
        "settle",
        "leaveOwner",
        "settle",
        "terminateFormer",
        "cutOwnerFromStore",
        "outageEnd",
        "startHost",
        "takeover",
        "submit",
        "wait",
        "submitOwner",
        "wait",
        "submit",
    ],
    ["cloudOutage", "terminateOwner", "takeover", "submit", "cloudOutageEnd"],
    ["restart", "pause", "crash", "outage", "restart", "outageEnd", "resume"],
    ["terminateCrashed", "startHost", "outage", "partition", "rejoin", "outageEnd"],
];

/** Applies one fault; one that does not fit the present state has no effect. */
export function applyFault(world: World, random: Random, fault: FaultName): void {
    world.note(() => `fault ${fault}`);
    const running = world.nodes.filter(node => node.isRunning);
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
        terminateCrashed: random.pick(world.nodes.filter(node => node.isStarted && !node.isRunning)),
        terminateFormer: random.pick(running.filter(node => node.isLeaving && node !== owner)),
        leaveOwner: owner,
        leaveStandby: standby,
        restart: random.pick(world.nodes.filter(node => node.isStarted && !node.isRunning && !node.isTerminated)),
        startHost: random.pick(world.nodes.filter(node => !node.isStarted)),
        cutOwnerFromStore: owner,
        isolateOwner: owner,
    };
    const node = target[fault];
    if (node !== undefined) {
        strike(world, node, fault);
    }
    else {
        applyGlobal(world, random, fault);
    }
}

function isStandbyOf(node: NodeModel, owner: NodeModel | undefined): boolean {
    return owner?.state.owner?.standbys.some(standby => standby.host === node.host) === true;
}

function strike(world: World, node: NodeModel, fault: FaultName): void {
    world.note(() => `... strikes ${node.host}`);
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
        world.nodes.filter(other => other.canAct).forEach(other => world.refresh(other, true));
        world.feed(node, { type: "leave" });
    }
    else if (fault === "restart" || fault === "startHost") {
        node.start(world.nowMs);
        world.nodes.filter(other => other.canAct).forEach(other => world.refresh(other, true));
    }
    else if (fault === "cutOwnerFromStore") {
        node.isCutFromStore = true;
    }
    else if (fault === "isolateOwner") {
        node.group = 9;
    }
}

function terminate(node: NodeModel): void {
    node.crash();
    node.isTerminated = true;
}

function applyGlobal(world: World, random: Random, fault: FaultName): void {
    const live = world.nodes.filter(node => node.canAct);
    if (fault === "submit") {
        submitSomewhere(world, random);
        submitSomewhere(world, random);
    }
    else if (fault === "submitOwner") {
        submitAtOwner(world, live);
    }
    else if (fault === "wait") {
        wait(world);
    }
    else if (fault === "resume") {
        world.nodes.forEach(node => node.isPaused = false);
    }
    else if (fault === "outage" || fault === "outageEnd") {
        world.keyValue.isDown = fault === "outage";
    }
    else if (fault === "cloudOutage" || fault === "cloudOutageEnd") {
        world.isCloudDown = fault === "cloudOutage";
    }
    else if (fault === "partition") {
        world.nodes.forEach(node => node.group = random.below(2));
    }
    else if (fault === "rejoin") {
        world.nodes.forEach(node => {
            node.group = 0;
            node.isCutFromStore = false;
        });
    }
    else if (fault === "takeover" || fault === "twoSuccessors") {
        takeOver(world, random, live, fault === "takeover" ? 1 : 2);
    }
    else if (fault === "settle") {
        run(world, 60, 60);
    }
}

/** More than half of the retention of results in the modelled fleet. */
const waitMs = 12_000;

function wait(world: World): void {
    const untilMs = world.nowMs + waitMs;
    for (let steps = 0; world.nowMs < untilMs && steps < 400; steps++) {
        run(world, 1, 500);
    }
}

function run(world: World, steps: number, quietMs: number): void {
    for (let count = 0; count < steps; count++) {
        if (!world.deliver()) {
            world.advance(quietMs);
        }
    }
}

/** Submits at the owner with the lowest epoch, which does not know of its successor. */
function submitAtOwner(world: World, live: readonly NodeModel[]): void {
    const owners = live.filter(node => node.state.owner !== undefined);
    owners.sort((left, right) => (left.state.owner?.epoch ?? 0) - (right.state.owner?.epoch ?? 0));
    const stale = owners[0];
    if (stale !== undefined) {
        checkedKeys.filter(key => world.mayComeBack(key)).forEach(key => world.submit(stale, key, "body", 2_000));
    }
}

function takeOver(world: World, random: Random, live: readonly NodeModel[], count: number): void {
    const successors = live.filter(node => node.state.owner === undefined);
    for (let index = 0; index < count; index++) {
        const node = random.pick(successors);
        if (node !== undefined) {
            world.refresh(node, true);
            world.feed(node, { type: "acquire", force: true });
        }
    }
    run(world, 30, 50);
}
