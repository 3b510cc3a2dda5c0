import { formatDelays, printTable } from "./report.js";
import { Scenario } from "./scenario.js";
import type { RunResult } from "./scenario.js";

const seed = 20_261_204;
const loss = 0.02;
const maximumClockSkewMs = 10_000;
const warmUpMs = 20_000;
const steadyStateMs = 60_000;
const changePeriodMs = 6_000;
const changesPerKind = 10;
const sizes = process.argv.length > 2 ? process.argv.slice(2).map(Number) : [9, 60, 180, 360];

function runSteadyState(size: number): RunResult {
    const scenario = new Scenario({ size, failureDomains: size >= 180 ? 10 : 3, loss, seed });
    scenario.submitAtTargetRate();
    // Each node is paused for one second about every 30 seconds.
    scenario.repeat(30_000 / size, () => {
        const node = scenario.fleet.nodes[scenario.fleet.draw(size)];
        if (node !== undefined) {
            scenario.fleet.pause(node, 1_000);
        }
    });
    scenario.fleet.clock.advance(warmUpMs);
    scenario.startCounting();
    scenario.fleet.clock.advance(steadyStateMs);
    return scenario.result();
}

function runChanges(size: number, clockSkewMs: number): RunResult {
    const scenario = new Scenario({ size, failureDomains: size >= 180 ? 10 : 3, loss, seed: seed + 1, clockSkewMs });
    const { fleet } = scenario;
    scenario.submitAtTargetRate();
    fleet.clock.advance(warmUpMs);
    scenario.startCounting();
    const count = Math.min(changesPerKind, Math.floor(size / 4));
    for (let index = 0; index < count; index++) {
        const [leaving, crashing] = [fleet.serving()[fleet.draw(fleet.serving().length - 1)], fleet.serving().at(-1)];
        if (leaving !== undefined && crashing !== undefined) {
            scenario.leave(leaving);
            fleet.clock.advance(changePeriodMs / 2 + fleet.draw(500));
            scenario.kill([crashing], "death");
            fleet.clock.advance(changePeriodMs);
        }
    }
    scenario.kill(fleet.nodes.filter(node => node.isRunning && node.failureDomain === "domain-0"), "domain");
    fleet.clock.advance(20_000);
    return scenario.result();
}

const steady = sizes.map(size => ({ size, result: runSteadyState(size) }));
console.log(`Steady state: ${loss * 100}% loss, one-second pauses, 24,000 configurations a day; seed ${seed}.\n`);
printTable([
    ["nodes", "messages/s", "bytes/s", "bytes/s, busiest node", "% of a core", "suspicions seen", "false removals"],
    ...steady.map(({ size, result }) => [
        String(size),
        result.messages.toFixed(1),
        result.bytes.toFixed(0),
        result.largestBytes.toFixed(0),
        (100 * result.coreShare).toFixed(2),
        String(result.falseSuspicions),
        String(result.falseRemovals),
    ]),
]);
console.log(`New versions with pauses, seconds until all nodes had it, 50% / 99% / max (count).\n`);
printTable([["nodes", "version"], ...steady.map(({ size, result }) => [String(size), formatDelays(result.delays.version)])]);

for (const clockSkewMs of [0, maximumClockSkewMs]) {
    const changes = sizes.map(size => ({ size, result: runChanges(size, clockSkewMs) }));
    console.log(`Changes: ${loss * 100}% loss, no pauses, clocks up to ${clockSkewMs} ms apart; seed ${seed + 1}.`);
    console.log("Seconds until all nodes knew, 50% / 99% / max (count).\n");
    printTable([
        [
            "nodes",
            "leave",
            "death",
            "death in the loss of a failure domain",
            "version",
            "not known after 10 s",
            "bytes/s",
            "false removals",
        ],
        ...changes.map(({ size, result }) => [
            String(size),
            formatDelays(result.delays.leave),
            formatDelays(result.delays.death),
            formatDelays(result.delays.domain),
            formatDelays(result.delays.version),
            String(result.unfinished),
            result.bytes.toFixed(0),
            String(result.falseRemovals),
        ]),
    ]);
}
