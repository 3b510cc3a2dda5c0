import { answersSchema } from "@filbertrelay/configuration";
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";
import { exampleFile } from "../fleet/binary.js";
import { launchFleet } from "../fleet/fleet.js";
import type { Fleet } from "../fleet/fleet.js";
import type { FleetHost } from "../fleet/host.js";
import { readProcessUse } from "./process.js";
import type { Percentiles, StreamLoad, StreamLoadResult } from "./streamload.js";

/** The path of a stream from its engine to its caller. */
export type StreamPath = "direct" | "one daemon" | "two daemons";

/** What a number of concurrent streams took. */
export interface StreamMeasurement {
    readonly path: StreamPath;
    readonly streams: number;
    readonly result: StreamLoadResult;
    /** Of all daemons on the path. */
    readonly processorSeconds: number;
    readonly bytesPerStream: number;
}

const customerKey = "test-key-chaulage-farm-union";
const loaderScript = fileURLToPath(new URL("./loader.js", import.meta.url));
const loaderProcesses = 4;
const tokenIntervalMs = 20;
const settleMs = 1_500;
const peakPeriodMs = 100;

/** Starts two daemons and two engines that are never the bottleneck. */
export function launchStreamFleet(): Promise<Fleet> {
    const answers = answersSchema.parse(parse(readFileSync(exampleFile("chaulage.toml"), "utf8")));
    const customers = answers.customers.map(customer => ({ ...customer, concurrencyLimit: 100_000 }));
    const engine = ["--batch-slots", "4000", "--prefill-tokens-per-second", "100000000", "--queue-limit", "10000"];
    return launchFleet({
        answers: { ...answers, customers },
        entryHosts: 2,
        enginesPerModel: 2,
        instancesPerService: 0,
        standIns: { "model-engine": [...engine, "--token-interval-ms", String(tokenIntervalMs)] },
    });
}

/** Runs concurrent streams over one path. */
export async function measureStreams(
    fleet: Fleet,
    path: StreamPath,
    load: { readonly streams: number; readonly tokens: number; readonly rampMs: number; },
): Promise<StreamMeasurement> {
    const daemons = fleet.entryHosts().slice(0, 2);
    const engines = [...fleet.hosts.values()].filter(host => host.role === "engine");
    const before = daemons.map(host => readProcessUse(host.process.pid));
    const peaks = daemons.map(host => trackPeak(host));
    const loaders = Math.min(loaderProcesses, load.streams);
    const results = await Promise.all(Array.from({ length: loaders }, (...[, index]) =>
        runLoader({
            openAddress: (path === "direct" ? engines[index % engines.length]?.address : daemons[0]?.callerAddress) ?? "",
            readAddress: path === "two daemons" ? daemons[1]?.callerAddress : undefined,
            customerKey,
            model: "assistant",
            streams: Math.floor(load.streams / loaders),
            tokensPerStream: load.tokens,
            rampMs: load.rampMs,
        })));
    const after = daemons.map(host => readProcessUse(host.process.pid));
    const bytes = peaks.map(peak => peak.stop()).reduce((sum, grown) => sum + grown, 0);
    await new Promise(resolve => setTimeout(resolve, settleMs));
    const processorSeconds = after.reduce(
        (sum, use, index) => sum + use.processorSeconds - (before[index]?.processorSeconds ?? 0),
        0,
    );
    return { path, streams: load.streams, result: join(results), processorSeconds, bytesPerStream: bytes / load.streams };
}

function trackPeak(host: FleetHost): { readonly stop: () => number; } {
    const startBytes = readProcessUse(host.process.pid).residentBytes;
    let peak = startBytes;
    const timer = setInterval(() => {
        peak = Math.max(peak, readProcessUse(host.process.pid).residentBytes);
    }, peakPeriodMs);
    return {
        stop: () => {
            clearInterval(timer);
            return peak - startBytes;
        },
    };
}

async function runLoader(load: StreamLoad): Promise<StreamLoadResult> {
    return JSON.parse(await runScript([loaderScript, JSON.stringify(load)])) as StreamLoadResult;
}

/** Runs a script of this workspace and gives what it prints. */
export async function runScript(words: readonly string[]): Promise<string> {
    const child = spawn(process.execPath, words, { stdio: ["ignore", "pipe", "inherit"] });
    let output = "";
    for await (const chunk of child.stdout) {
        output += String(chunk);
    }
    return output;
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
