import type { ResolutionMethod, RuleName } from "../index.js";
import { submitAtLikelyOwner } from "./caller.js";
import { applyFault } from "./fault.js";
import { Violation } from "./model.js";
import { faultPlans } from "./plan.js";
import type { FaultName } from "./plan.js";
import { Random } from "./random.js";
import { checkRecovery } from "./recovery.js";
import { Simulation } from "./simulation.js";

/** The result of one schedule. */
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
    /** Faults to use instead of a generated plan. */
    readonly plan?: readonly FaultName[];
    /** Receives the trace if given. */
    readonly trace?: string[];
}

/** Runs one randomly generated interleaving and checks the invariants. */
export function runSchedule(options: ScheduleOptions): ScheduleResult {
    const random = new Random(options.seed);
    const simulation = createSimulation(random, options);
    const faults = options.plan ?? generatePlan(random);
    let steps = 0;
    let violation: string | undefined;
    try {
        steps = injectFaults(simulation, random, faults);
        steps += checkRecovery(simulation, random);
    }
    catch (error) {
        if (!(error instanceof Violation)) {
            throw error;
        }
        violation = error.message;
    }
    const runs = [...simulation.endpoints.runs.values()].reduce((sum, count) => sum + count, 0);
    const unknowns = simulation.callers.calls.filter(call => call.answer === "unknown").length;
    return { seed: options.seed, violation, steps, faults, runs, unknowns };
}

function createSimulation(random: Random, options: ScheduleOptions): Simulation {
    const resolution = random.pick<ResolutionMethod>(["none", "none", "none", "deduplicates", "status"]) ?? "none";
    const hasNetworkFaults = random.chance(50);
    const faultRates = {
        lostReply: hasNetworkFaults ? random.below(25) : 0,
        lateArrival: hasNetworkFaults ? random.below(20) : 0,
        duplicate: hasNetworkFaults ? random.below(20) : 0,
        endpointFault: random.below(20),
    };
    const { disabledRules, trace } = options;
    const simulation = new Simulation(random, { nodeCount: 6, resolution, faultRates, disabledRules, trace });
    const startCount = 3 + random.below(2);
    simulation.nodes.slice(0, startCount).forEach(node => node.start(simulation.nowMs));
    simulation.nodes.slice(0, startCount).forEach(node => simulation.updateMembers(node, true));
    return simulation;
}

const singleFaults = faultPlans.flat();

/** Picks a fault plan and inserts single faults at random positions. */
function generatePlan(random: Random): FaultName[] {
    const plan = [...random.pick(faultPlans) ?? []];
    const extra = random.below(4);
    for (let count = 0; count < extra || plan.length < 2; count++) {
        const fault = random.pick(singleFaults) ?? "pause";
        plan.splice(random.below(plan.length + 1), 0, fault);
    }
    return plan;
}

const maxStepsBetweenFaults = 24;

function injectFaults(simulation: Simulation, random: Random, faults: readonly FaultName[]): number {
    let steps = 0;
    for (const fault of ["submit" as const, ...faults]) {
        applyFault(simulation, random, fault);
        const stepCount = 3 + random.below(maxStepsBetweenFaults);
        for (let count = 0; count < stepCount; count++) {
            steps += 1;
            takeRandomStep(simulation, random);
        }
    }
    return steps;
}

function takeRandomStep(simulation: Simulation, random: Random): void {
    const choice = random.below(100);
    if (choice < 74) {
        if (!simulation.deliver()) {
            simulation.advance(random.pick([10, 50, 150]) ?? 10);
        }
    }
    else if (choice < 84) {
        simulation.advance(random.pick([5, 30, 120, 600]) ?? 5);
    }
    else if (choice < 94) {
        submitAtLikelyOwner(simulation, random);
    }
    else {
        const node = random.pick(simulation.nodes.filter(candidate => candidate.canAct));
        if (node !== undefined) {
            simulation.updateMembers(node, random.chance(50));
        }
    }
}
