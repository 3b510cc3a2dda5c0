import { checkedKeys, submitSomewhere } from "./caller.js";
import type { NodeModel } from "./node.js";
import type { FaultName } from "./plan.js";
import type { Random } from "./random.js";
import type { World } from "./world.js";

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
        isolateStandby: standby,
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
    else if (fault === "isolateOwner" || fault === "isolateStandby") {
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
    else if (fault === "submitOwner" || fault === "submitAll") {
        submitAtOwners(world, live, fault === "submitAll");
    }
    else if (fault === "acquireFresh" || fault === "takeoverFresh") {
        acquireFresh(world, random, live);
        run(world, fault === "takeoverFresh" ? 30 : 0, 50);
    }
    else if (fault === "terminateWitnesses") {
        const running = world.nodes.filter(node => node.isRunning);
        const stale = oldestOwner(running);
        running.filter(node => isStandbyOf(node, stale)).forEach(terminate);
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

/** The owner with the lowest epoch, which does not know of its successor. */
function oldestOwner(nodes: readonly NodeModel[]): NodeModel | undefined {
    const owners = nodes.filter(node => node.state.owner !== undefined);
    return owners.sort((left, right) => (left.state.owner?.epoch ?? 0) - (right.state.owner?.epoch ?? 0))[0];
}

function submitAtOwners(world: World, live: readonly NodeModel[], isAll: boolean): void {
    const oldest = oldestOwner(live);
    const owners = live.filter(node => isAll ? node.state.owner !== undefined : node === oldest);
    for (const owner of owners) {
        checkedKeys.filter(key => world.mayComeBack(key)).forEach(key => world.submit(owner, key, "body", 2_000));
    }
}

/** Starts a takeover at a host that knows nothing about the shard. */
function acquireFresh(world: World, random: Random, live: readonly NodeModel[]): void {
    const node = random.pick(live.filter(other => other.state.known === undefined));
    if (node !== undefined) {
        world.refresh(node, true);
        world.feed(node, { type: "acquire", force: true });
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
