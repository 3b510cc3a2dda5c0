import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { renderCapacityPage } from "./capacitypage.js";
import type { CapacityFigures } from "./capacitypage.js";
import { launchStreamFleet, measureStreams, runScript } from "./harness.js";
import { measureAdmission, measureChoice, measureHashing, measureIndexBytes, measureSubset, measureTokenBytes } from "./part.js";
import { readProcessUse } from "./process.js";

const membershipScript = fileURLToPath(new URL("../../../relay/dist/measure/membership.js", import.meta.url));
const shardScript = fileURLToPath(new URL("../../../policy/dist/shards/measure.js", import.meta.url));
const page = fileURLToPath(new URL("../../../../docs/CAPACITY.md", import.meta.url));
const shortRequests = 1_200;
const streams = 200;
const tokensPerStream = 200;
const idleSeconds = 10;

const figures: CapacityFigures = {
    choice: measureChoice(),
    subset: measureSubset(),
    hashing: measureHashing(),
    admission: measureAdmission(),
    indexBytes: measureIndexBytes(),
    tokenBytes: measureTokenBytes(),
    ...await measureDaemon(),
    membershipTable: firstTable(await runScript([membershipScript, "9", "60", "180", "360"])),
    shardReport: (await runScript([shardScript, "--shards", "64", "--batch", "200", "--seconds", "30"])).trim(),
};
writeFileSync(page, renderCapacityPage(figures, new Date()));
process.stdout.write(`Wrote ${page}.\n`);

async function measureDaemon(): Promise<
    Pick<CapacityFigures, "tokensPerCoreSecond" | "requestMicroseconds" | "streamBytes" | "idleBytes" | "idleCoreShare">
> {
    const fleet = await launchStreamFleet();
    try {
        const [first] = fleet.entryHosts();
        const pid = first?.process.pid ?? 0;
        await measureStreams(fleet, "one daemon", { streams, tokens: 100, rampMs: 1_000 });
        const before = readProcessUse(pid);
        await new Promise(resolve => setTimeout(resolve, idleSeconds * 1_000));
        const after = readProcessUse(pid);
        const short = await measureStreams(fleet, "one daemon", { streams: shortRequests, tokens: 1, rampMs: 10_000 });
        const long = await measureStreams(fleet, "one daemon", { streams, tokens: tokensPerStream, rampMs: 4_000 });
        const requestMicroseconds = 1e6 * short.processorSeconds / shortRequests;
        const tokenSeconds = long.processorSeconds - streams * requestMicroseconds / 1e6;
        return {
            requestMicroseconds,
            tokensPerCoreSecond: streams * tokensPerStream / tokenSeconds,
            streamBytes: long.bytesPerStream,
            idleBytes: after.residentBytes,
            idleCoreShare: (after.processorSeconds - before.processorSeconds) / idleSeconds,
        };
    }
    finally {
        await fleet.stop();
    }
}

/** The rows of the first table in a report. */
function firstTable(report: string): readonly (readonly string[])[] {
    const lines = report.split("\n");
    const start = lines.findIndex(line => line.startsWith("|"));
    const end = lines.findIndex((line, index) => index > start && !line.startsWith("|"));
    return lines.slice(start, end < 0 ? undefined : end).filter(line => !line.includes("---")).map(line =>
        line.split("|").slice(1, -1).map(cell => cell.trim())
    );
}
