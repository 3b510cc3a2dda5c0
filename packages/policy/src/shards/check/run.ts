import type { RuleName } from "../index.js";
import { runSchedule } from "./schedule.js";
import type { ScheduleResult } from "./schedule.js";

/** The totals and violations of a run of the checker. */
export interface CheckReport {
    readonly schedules: number;
    readonly steps: number;
    readonly faults: number;
    readonly runs: number;
    readonly unknowns: number;
    readonly violations: readonly ScheduleResult[];
}

/** Options of `checkSchedules`. */
export interface CheckOptions {
    readonly schedules: number;
    /** Schedule i uses the seed `seed + i`. */
    readonly seed: number;
    readonly disabledRules?: readonly RuleName[];
    /** The run stops after this many violations. */
    readonly violationLimit?: number;
}

/** Runs schedules with consecutive seeds and collects the violations. */
export function checkSchedules(options: CheckOptions): CheckReport {
    const disabledRules = new Set(options.disabledRules ?? []);
    const violations: ScheduleResult[] = [];
    const totals = { schedules: 0, steps: 0, faults: 0, runs: 0, unknowns: 0 };
    for (let index = 0; index < options.schedules; index++) {
        const result = runSchedule({ seed: options.seed + index, disabledRules });
        totals.schedules += 1;
        totals.steps += result.steps;
        totals.faults += result.faults.length;
        totals.runs += result.runs;
        totals.unknowns += result.unknowns;
        if (result.violation !== undefined) {
            violations.push(result);
        }
        if (violations.length >= (options.violationLimit ?? 1)) {
            break;
        }
    }
    return { ...totals, violations };
}

/** Reruns one seed and returns the last lines of its trace. */
export function traceSchedule(seed: number, disabledRules: readonly RuleName[], lineLimit: number): string[] {
    const trace: string[] = [];
    runSchedule({ seed, disabledRules: new Set(disabledRules), trace });
    return trace.slice(-lineLimit);
}
