import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { launchStreamFleet, measureStreams } from "./harness.js";
import type { StreamMeasurement } from "./harness.js";
import type { Percentiles } from "./streamload.js";

const bytesPerKilobyte = 1_024;
const paths = ["direct", "one daemon", "two daemons"] as const;

const commandLine = await yargs(hideBin(process.argv))
    .usage("$0 [options]\n\nMeasures the time that daemons add to streams, and what streams cost them.")
    .option("streams", { type: "array", default: [1, 100, 600, 2_000], describe: "Concurrent streams" })
    .option("tokens", { type: "number", default: 200, describe: "Tokens per stream" })
    .option("ramp-ms", { type: "number", default: 4_000, describe: "Time over which the streams start" })
    .strict()
    .parseAsync();

const fleet = await launchStreamFleet();
try {
    // The first run warms up the daemons' compiled code and is not reported.
    await measureStreams(fleet, "two daemons", { streams: 100, tokens: 100, rampMs: 1_000 });
    const rows: StreamMeasurement[] = [];
    for (const streams of commandLine.streams.map(Number)) {
        for (const path of paths) {
            rows.push(await measureStreams(fleet, path, { streams, tokens: commandLine.tokens, rampMs: commandLine.rampMs }));
        }
    }
    process.stdout.write(renderTable(rows));
}
finally {
    await fleet.stop();
}

function renderTable(rows: readonly StreamMeasurement[]): string {
    const head = [
        "| path | streams | failed | first token p50/p95/p99 (ms) | between tokens p50/p95/p99 (ms) | tokens per core-second | KB per stream |",
        "|---|---|---|---|---|---|---|",
    ];
    return [...head, ...rows.map(renderRow)].join("\n") + "\n";
}

function renderRow({ path, streams, result, processorSeconds, bytesPerStream }: StreamMeasurement): string {
    const times = ({ p50, p95, p99 }: Percentiles): string => [p50, p95, p99].map(value => value.toFixed(1)).join(" / ");
    const rate = path === "direct" ? "" : Math.round(result.tokens / processorSeconds).toString();
    const memory = path === "direct" ? "" : (bytesPerStream / bytesPerKilobyte).toFixed(0);
    return `| ${path} | ${streams} | ${result.failed} | ${times(result.firstToken)} | ${
        times(result.betweenTokens)
    } | ${rate} | ${memory} |`;
}
