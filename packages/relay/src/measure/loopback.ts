import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { formatDelays, printTable } from "./report.js";
import type { NodeCommand, NodeReport } from "./report.js";

const nodeProgram = fileURLToPath(new URL("./node.js", import.meta.url));
const waitTimeoutMs = 60_000;
const steadyStateMs = 20_000;
const pauseMs = 1_000;
const changesPerKind = 5;
const sizes = process.argv.length > 2 ? process.argv.slice(2).map(Number) : [9, 20, 40, 60];

type Usage = NodeReport & { readonly kind: "usage"; };

class MeasuredProcess {
    readonly id: string;
    readonly states = new Map<string, { readonly state: string; readonly timeMs: number; }>();
    readonly versions = new Map<number, number>();
    address: string | undefined;
    usage: Usage | undefined;
    removals = 0;
    readonly #child: ChildProcess;

    constructor(id: string, failureDomain: string, seed: string | undefined) {
        this.id = id;
        this.#child = fork(nodeProgram, [id, failureDomain, ...seed === undefined ? [] : [seed]]);
        this.#child.on("message", (report: NodeReport) => this.#handleReport(report));
    }

    send(command: NodeCommand): void {
        this.#child.send(command);
    }

    signal(signal: NodeJS.Signals): void {
        this.#child.kill(signal);
    }

    async readUsage(): Promise<Usage> {
        this.usage = undefined;
        this.send({ kind: "usage" });
        await waitUntil(() => this.usage !== undefined);
        return this.usage as unknown as Usage;
    }

    #handleReport(report: NodeReport): void {
        if (report.kind === "started") {
            this.address = report.address;
        }
        else if (report.kind === "change") {
            this.states.set(report.hostId, report);
            this.removals += report.state === "dead" ? 1 : 0;
        }
        else if (report.kind === "version") {
            this.versions.set(report.version, report.timeMs);
        }
        else {
            this.usage = report;
        }
    }
}

async function waitUntil(condition: () => boolean): Promise<void> {
    const endMs = Date.now() + waitTimeoutMs;
    while (!condition()) {
        if (Date.now() > endMs) {
            throw new Error(`The condition was not met within ${waitTimeoutMs} ms.`);
        }
        await delay(20);
    }
}

async function startFleet(size: number): Promise<MeasuredProcess[]> {
    const fleet: MeasuredProcess[] = [];
    for (let index = 0; index < size; index++) {
        const node = new MeasuredProcess(`entry-${index}`, `domain-${index % 3}`, fleet[0]?.address);
        fleet.push(node);
        await waitUntil(() => node.address !== undefined);
    }
    await waitUntil(() =>
        fleet.every(node => [...node.states.values()].filter(({ state }) => state === "alive").length === size - 1)
    );
    return fleet;
}

async function measureSteadyState(fleet: readonly MeasuredProcess[]): Promise<string[]> {
    await delay(5_000);
    const before = await Promise.all(fleet.map(node => node.readUsage()));
    await delay(steadyStateMs);
    const after = await Promise.all(fleet.map(node => node.readUsage()));
    const rates = after.map((usage, index) => {
        const start = before[index] ?? usage;
        const seconds = (usage.timeMs - start.timeMs) / 1_000;
        return {
            core: (usage.processorMs - start.processorMs) / 10 / seconds,
            bytes: (usage.bytes - start.bytes) / seconds,
            frames: (usage.frames - start.frames) / seconds,
        };
    });
    const mean = (values: readonly number[]) => values.reduce((total, value) => total + value, 0) / values.length;
    return [
        mean(rates.map(({ frames }) => frames)).toFixed(1),
        mean(rates.map(({ bytes }) => bytes)).toFixed(0),
        mean(rates.map(({ core }) => core)).toFixed(2),
        Math.max(...rates.map(({ core }) => core)).toFixed(2),
        (mean(after.map(({ residentBytes }) => residentBytes)) / 1e6).toFixed(0),
    ];
}

async function measureVersions(fleet: readonly MeasuredProcess[]): Promise<number[]> {
    const delays: number[] = [];
    for (let version = 1; version <= changesPerKind; version++) {
        const startMs = Date.now();
        fleet.slice(0, 6).forEach(node => node.send({ kind: "version", version }));
        await waitUntil(() => fleet.every(node => node.versions.has(version)));
        delays.push(Math.max(...fleet.map(node => node.versions.get(version) ?? 0)) - startMs);
        await delay(500);
    }
    return delays;
}

/** Pauses up to ten processes for one second each and counts how often another process declared one dead. */
async function countFalseRemovals(fleet: readonly MeasuredProcess[]): Promise<number> {
    const before = fleet.reduce((total, node) => total + node.removals, 0);
    for (const node of fleet.slice(0, 10)) {
        node.signal("SIGSTOP");
        await delay(pauseMs);
        node.signal("SIGCONT");
        await delay(pauseMs);
    }
    await delay(5_000);
    return fleet.reduce((total, node) => total + node.removals, 0) - before;
}

async function measureChanges(
    fleet: MeasuredProcess[],
    state: string,
    change: (node: MeasuredProcess) => void,
): Promise<number[]> {
    const delays: number[] = [];
    for (let count = 0; count < Math.min(changesPerKind, fleet.length / 4); count++) {
        const target = fleet.pop();
        if (target === undefined) {
            break;
        }
        const startMs = Date.now();
        change(target);
        await waitUntil(() => fleet.every(node => node.states.get(target.id)?.state === state));
        delays.push(Math.max(...fleet.map(node => node.states.get(target.id)?.timeMs ?? 0)) - startMs);
        target.signal("SIGKILL");
        await delay(1_000);
    }
    return delays;
}

const rows: string[][] = [];
for (const size of sizes) {
    const launched = await startFleet(size);
    const fleet = [...launched];
    try {
        const steady = await measureSteadyState(fleet);
        const versions = await measureVersions(fleet);
        const falseRemovals = await countFalseRemovals(fleet);
        const deaths = await measureChanges(fleet, "dead", node => node.signal("SIGKILL"));
        const leaves = await measureChanges(fleet, "leaving", node => node.send({ kind: "leave" }));
        rows.push([
            String(size),
            ...steady,
            formatDelays(leaves),
            formatDelays(deaths),
            formatDelays(versions),
            String(falseRemovals),
        ]);
    }
    finally {
        launched.forEach(node => node.signal("SIGKILL"));
    }
}
console.log("Processes on loopback; delays in seconds until all processes knew, 50% / 99% / max (count).\n");
printTable([
    [
        "processes",
        "frames/s",
        "bytes/s",
        "% of a core",
        "% of a core, busiest",
        "resident MB",
        "leave",
        "death",
        "version",
        "false removals with SIGSTOP for 1 s",
    ],
    ...rows,
]);
process.exit(0);
