import type { Repetition, RuleName } from "../index.js";
import { applyFault, faultPlans } from "./fault.js";
import type { FaultName } from "./fault.js";
import { heal } from "./heal.js";
import { Violation } from "./model.js";
import { Random } from "./random.js";
import { World } from "./world.js";

/** The keys that callers submit. */
export const checkedKeys = ["k0", "k1", "k2"];

/** The verdict on one schedule. */
export interface ScheduleResult {
    readonly seed: number;
    readonly violation: string | undefined;
    readonly steps: number;
    readonly faults: readonly FaultName[];
    readonly runs: number;
    readonly unknowns: number;
}

/** Options of one schedule. */
export interface ScheduleOptions {
    readonly seed: number;
    readonly disabledRules: ReadonlySet<RuleName>;
    /** Receives what happened when given. */
    readonly trace?: string[];
}

/** Runs one generated interleaving and checks the invariants. */
export function runSchedule(options: ScheduleOptions): ScheduleResult {
    const random = new Random(options.seed);
    const world = createWorld(random, options);
    const faults = planFaults(random);
    let steps = 0;
    let violation: string | undefined;
    try {
        steps = disturb(world, random, faults);
        steps += heal(world, random);
    }
    catch (error) {
        if (!(error instanceof Violation)) {
            throw error;
        }
        violation = error.message;
    }
    const runs = [...world.endpoints.runs.values()].reduce((sum, count) => sum + count, 0);
    const unknowns = world.callers.calls.filter(call => call.answer === "unknown").length;
    return { seed: options.seed, violation, steps, faults, runs, unknowns };
}

function createWorld(random: Random, options: ScheduleOptions): World {
    const repetition = random.pick<Repetition>(["none", "none", "none", "deduplicates", "status"]) ?? "none";
    const isNoisy = random.chance(50);
    const disorder = {
        lostReply: isNoisy ? random.below(25) : 0,
        lateArrival: isNoisy ? random.below(20) : 0,
        duplicate: isNoisy ? random.below(20) : 0,
        endpointFault: random.below(20),
    };
    const { disabledRules, trace } = options;
    const world = new World(random, { nodeCount: 6, repetition, disorder, disabledRules, trace });
    const startCount = 3 + random.below(2);
    world.nodes.slice(0, startCount).forEach(node => node.start(world.nowMs));
    world.nodes.slice(0, startCount).forEach(node => world.refresh(node, true));
    return world;
}

const singleFaults = faultPlans.flat();

/** A plan from the table with single faults added, in the order in which they strike. */
function planFaults(random: Random): FaultName[] {
    const plan = [...random.pick(faultPlans) ?? []];
    const extra = random.below(4);
    for (let count = 0; count < extra || plan.length < 2; count++) {
        const fault = random.pick(singleFaults) ?? "pause";
        plan.splice(random.below(plan.length + 1), 0, fault);
    }
    return plan;
}

const stepsBetweenFaults = 24;

function disturb(world: World, random: Random, faults: readonly FaultName[]): number {
    let steps = 0;
    for (const fault of ["submit" as const, ...faults]) {
        applyFault(world, random, fault);
        const quietSteps = 3 + random.below(stepsBetweenFaults);
        for (let count = 0; count < quietSteps; count++) {
            steps += 1;
            act(world, random);
        }
    }
    return steps;
}

function act(world: World, random: Random): void {
    const choice = random.below(100);
    if (choice < 74) {
        if (!world.deliver()) {
            world.advance(random.pick([10, 50, 150]) ?? 10);
        }
    }
    else if (choice < 84) {
        world.advance(random.pick([5, 30, 120, 600]) ?? 5);
    }
    else if (choice < 94) {
        submitSomewhere(world, random);
    }
    else {
        const node = random.pick(world.nodes.filter(candidate => candidate.canAct));
        if (node !== undefined) {
            world.refresh(node, random.chance(50));
        }
    }
}

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
