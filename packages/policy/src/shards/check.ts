import { parseArgs } from "node:util";
import { checkSchedules, traceSchedule } from "./check/run.js";
import type { RuleName } from "./index.js";

const { values } = parseArgs({
    options: {
        schedules: { type: "string", default: "20000" },
        seed: { type: "string", default: "1" },
        disable: { type: "string", multiple: true, default: [] },
        violations: { type: "string", default: "1" },
        lines: { type: "string", default: "60" },
    },
});

const disabledRules = values.disable as RuleName[];
const startMs = performance.now();
const report = checkSchedules({
    schedules: Number(values.schedules),
    seed: Number(values.seed),
    disabledRules,
    violationLimit: Number(values.violations),
});
const seconds = (performance.now() - startMs) / 1_000;
for (const violation of report.violations) {
    console.log(`Seed ${violation.seed}: ${violation.violation}`);
    console.log(`Faults: ${violation.faults.join(", ")}`);
}
const first = report.violations[0];
if (first !== undefined) {
    traceSchedule(first.seed, disabledRules, Number(values.lines)).forEach(line => console.log(line.slice(0, 300)));
}
const { schedules, steps, faults, runs, unknowns } = report;
console.log(
    `${schedules} schedules from seed ${values.seed}: ${report.violations.length} violations, ${steps} steps, ${faults} faults, ` +
        `${runs} runs, ${unknowns} unknown results, ${seconds.toFixed(1)} s, ${(schedules / seconds).toFixed(0)} schedules/s`,
);
process.exitCode = report.violations.length > 0 ? 1 : 0;
