// Builds the workspace, runs all scenarios with cucumber and prints the counts from the runner's own result.
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const build = spawnSync("npx", ["tsc", "-b"], { stdio: "inherit" });
if (build.status !== 0) {
    process.exit(build.status ?? 1);
}

// Once for all scenarios: several workers would bundle into the same folder at the same moment.
const bundle = spawnSync(process.execPath, ["scripts/bundle.mjs"], { stdio: "inherit" });
if (bundle.status !== 0) {
    process.exit(bundle.status ?? 1);
}

const folder = mkdtempSync(join(tmpdir(), "filbertrelay-test-"));
// Scenarios that measure a process run one at a time, after all others.
const runs = [runScenarios("together", ["--parallel", "4", "--tags", "not @alone"]), runScenarios("alone", ["--tags", "@alone"])];

const knownRed = readKnownRed("KNOWN-RED.txt");
const scenarios = runs.flatMap(run => readScenarios(run.resultFile));
const failed = scenarios.filter(scenario => !scenario.passed);
const known = failed.filter(scenario => knownRed.has(scenario.name));
const unexpected = failed.filter(scenario => !knownRed.has(scenario.name));
known.forEach(scenario => console.log(`Known failure (KNOWN-RED.txt): ${scenario.name}`));
unexpected.forEach(scenario => console.log(`Failed: ${scenario.name}`));
const passed = scenarios.length - failed.length;
console.log(`${passed} passed, ${unexpected.length} failed${known.length > 0 ? `, ${known.length} skipped` : ""}`);
const isGreen = unexpected.length === 0 && passed > 0 && (runs.every(run => run.status === 0) || known.length > 0);
process.exit(isGreen ? 0 : 1);

/** Runs the scenarios that the words choose among those of the command line. */
function runScenarios(name, words) {
    const resultFile = join(folder, `${name}.ndjson`);
    const common = ["cucumber-js", "--import", "features/steps/**/*.ts", "--format", "progress"];
    const { status } = spawnSync("npx", [...common, "--format", `message:${resultFile}`, ...words, ...process.argv.slice(2)], {
        stdio: "inherit",
        env: { ...process.env, NODE_OPTIONS: "--import tsx", FILBERTRELAY_BUNDLED: "1" },
    });
    return { status, resultFile };
}

/** Reads the names of scenarios that fail because of a recorded fault. */
function readKnownRed(file) {
    if (!existsSync(file)) {
        return new Set();
    }
    const lines = readFileSync(file, "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith("scenario: ")).map(line => line.slice("scenario: ".length).trim()));
}

/** Reads each scenario's final verdict from cucumber's message stream. */
function readScenarios(file) {
    const pickles = new Map();
    const cases = new Map();
    const attempts = new Map();
    const verdicts = new Map();
    const messages = existsSync(file) ? readFileSync(file, "utf8").split("\n").filter(line => line !== "") : [];
    for (const message of messages.map(line => JSON.parse(line))) {
        if (message.pickle) {
            pickles.set(message.pickle.id, message.pickle.name);
        }
        if (message.testCase) {
            cases.set(message.testCase.id, message.testCase.pickleId);
        }
        if (message.testCaseStarted) {
            attempts.set(message.testCaseStarted.id, message.testCaseStarted.testCaseId);
            verdicts.set(message.testCaseStarted.id, true);
        }
        if (message.testStepFinished && message.testStepFinished.testStepResult.status !== "PASSED") {
            verdicts.set(message.testStepFinished.testCaseStartedId, false);
        }
    }
    return [...verdicts].map(([id, isPassed]) => ({ name: pickles.get(cases.get(attempts.get(id))), passed: isPassed }));
}
