import { answersSchema } from "@filbertrelay/configuration";
import type { Answers } from "@filbertrelay/configuration";
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { exampleFile } from "../fleet/binary.js";
import { launchFleet } from "../fleet/fleet.js";
import type { Fleet } from "../fleet/fleet.js";
import type { FleetHost } from "../fleet/host.js";
import { readProcessUse } from "./process.js";
import type { Percentiles, StreamLoad, StreamLoadResult } from "./streamload.js";

const customerKey = "test-key-chaulage-farm-union";
const loaderScript = fileURLToPath(new URL("./loader.js", import.meta.url));
const loaderProcesses = 4;
const rampMs = 1_000;
const tokenIntervalMs = 20;
const settleMs = 1_500;
const bytesPerKilobyte = 1_024;

interface Row {
    readonly path: "direct" | "one daemon" | "two daemons";
    readonly streams: number;
    readonly result: StreamLoadResult;
    readonly processorSeconds: number;
    readonly bytesPerStream: number;
}

const commandLine = await yargs(hideBin(process.argv))
    .usage("$0 [options]\n\nMeasures the time that daemons add to streams, and what streams cost them.")
    .option("streams", { type: "array", default: [1, 100, 600, 2_000], describe: "Concurrent streams" })
    .option("tokens", { type: "number", default: 200, describe: "Tokens per stream" })
    .strict()
    .parseAsync();

const fleet = await launchFleet({
    answers: withLargeCustomer(),
    entryHosts: 2,
    enginesPerModel: 2,
    instancesPerService: 0,
    standIns: {
        "model-engine": [
            "--batch-slots",
            "4000",
            "--prefill-tokens-per-second",
            "100000000",
            "--token-interval-ms",
            String(tokenIntervalMs),
            "--queue-limit",
            "10000",
        ],
    },
});
try {
    const rows: Row[] = [];
    for (const streams of commandLine.streams.map(Number)) {
        for (const path of ["direct", "one daemon", "two daemons"] as const) {
            rows.push(await measure(fleet, path, streams));
        }
    }
    process.stdout.write(renderTable(rows));
}
finally {
    await fleet.stop();
}

function withLargeCustomer(): Answers {
    const answers = answersSchema.parse(parse(readFileSync(exampleFile("chaulage.toml"), "utf8")));
    return { ...answers, customers: answers.customers.map(customer => ({ ...customer, concurrencyLimit: 100_000 })) };
}

async function measure(running: Fleet, path: Row["path"], streams: number): Promise<Row> {
    const [first, second] = running.entryHosts();
    const engines = [...running.hosts.values()].filter(host => host.role === "engine");
    const daemons = [first, second].filter(host => host !== undefined);
    const before = daemons.map(host => readProcessUse(host.process.pid));
    const peaks = daemons.map((host, index) => trackPeak(host, before[index]?.residentBytes ?? 0));
    const results = await Promise.all(Array.from({ length: Math.min(loaderProcesses, streams) }, (...[, index]) =>
        runLoader({
            openAddress: path === "direct" ? engines[index % engines.length]?.address ?? "" : first?.callerAddress ?? "",
            readAddress: path === "two daemons" ? second?.callerAddress : undefined,
            customerKey,
            model: "assistant",
            streams: Math.floor(streams / Math.min(loaderProcesses, streams)),
            tokensPerStream: commandLine.tokens,
            rampMs,
        })));
    const after = daemons.map(host => readProcessUse(host.process.pid));
    await new Promise(resolve => setTimeout(resolve, settleMs));
    const processorSeconds = after.reduce(
        (sum, use, index) => sum + use.processorSeconds - (before[index]?.processorSeconds ?? 0),
        0,
    );
    const peakBytes = peaks.map(peak => peak.stop()).reduce((sum, bytes) => sum + bytes, 0);
    return { path, streams, result: join(results), processorSeconds, bytesPerStream: peakBytes / streams };
}

function trackPeak(host: FleetHost, startBytes: number): { readonly stop: () => number; } {
    let peak = startBytes;
    const timer = setInterval(() => {
        peak = Math.max(peak, readProcessUse(host.process.pid).residentBytes);
    }, 100);
    return {
        stop: () => {
            clearInterval(timer);
            return peak - startBytes;
        },
    };
}

async function runLoader(load: StreamLoad): Promise<StreamLoadResult> {
    const child = spawn(process.execPath, [loaderScript, JSON.stringify(load)], { stdio: ["ignore", "pipe", "inherit"] });
    let output = "";
    for await (const chunk of child.stdout) {
        output += String(chunk);
    }
    return JSON.parse(output) as StreamLoadResult;
}

// The loads run side by side and are equal, so the worst percentile of the processes bounds that of all.
function join(results: readonly StreamLoadResult[]): StreamLoadResult {
    const worst = (read: (result: StreamLoadResult) => Percentiles): Percentiles => ({
        p50: Math.max(...results.map(result => read(result).p50)),
        p95: Math.max(...results.map(result => read(result).p95)),
        p99: Math.max(...results.map(result => read(result).p99)),
    });
    return {
        tokens: results.reduce((sum, result) => sum + result.tokens, 0),
        failed: results.reduce((sum, result) => sum + result.failed, 0),
        durationMs: Math.max(...results.map(result => result.durationMs)),
        firstToken: worst(result => result.firstToken),
        betweenTokens: worst(result => result.betweenTokens),
    };
}

function renderTable(rows: readonly Row[]): string {
    const head = [
        "| path | streams | failed | first token p50/p95/p99 (ms) | between tokens p50/p95/p99 (ms) | tokens per core-second | KB per stream |",
        "|---|---|---|---|---|---|---|",
    ];
    return [...head, ...rows.map(renderRow)].join("\n") + "\n";
}

function renderRow({ path, streams, result, processorSeconds, bytesPerStream }: Row): string {
    const times = ({ p50, p95, p99 }: Percentiles): string => [p50, p95, p99].map(value => value.toFixed(1)).join(" / ");
    const isDirect = path === "direct";
    const rate = isDirect ? "" : Math.round(result.tokens / processorSeconds).toString();
    const memory = isDirect ? "" : (bytesPerStream / bytesPerKilobyte).toFixed(0);
    return `| ${path} | ${streams} | ${result.failed} | ${times(result.firstToken)} | ${
        times(result.betweenTokens)
    } | ${rate} | ${memory} |`;
}
