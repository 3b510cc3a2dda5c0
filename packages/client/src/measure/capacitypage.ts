import { costAt } from "./slope.js";
import type { Slope } from "./slope.js";
import { assumption, target } from "./target.js";

/** Everything that the capacity page is worked out from. */
export interface CapacityFigures {
    /** Microseconds; sizes are engines, engines, characters and customers. */
    readonly choice: Slope;
    readonly subset: Slope;
    readonly hashing: Slope;
    readonly admission: Slope;
    /** Bytes per block and per token. */
    readonly indexBytes: number;
    readonly tokenBytes: number;
    readonly tokensPerCoreSecond: number;
    readonly requestMicroseconds: number;
    readonly streamBytes: number;
    readonly idleBytes: number;
    readonly idleCoreShare: number;
    /** The steady-state table of the membership measurement with its head. */
    readonly membershipTable: readonly (readonly string[])[];
    readonly shardReport: string;
}

interface Row {
    readonly role: string;
    readonly state: string;
    readonly messages: string;
    readonly processor: string;
    readonly memory: string;
    readonly mechanism: string;
}

const megabyte = 1_048_576;
const microsecondsPerSecond = 1e6;

/** Writes the page. */
export function renderCapacityPage(figures: CapacityFigures, at: Date): string {
    return [
        renderTarget(at),
        renderSlopes(figures),
        renderRoles(figures),
        renderKeyValue(),
        renderLatency(figures),
        renderFailures(),
        renderLimits(figures),
    ].join("\n");
}

function renderTarget(at: Date): string {
    return `# Capacity

What each role of filbertrelay needs at the size that the users expect in about two years, worked out from slopes measured on one machine.
The command below measures the slopes again and writes this page. Written on ${at.toISOString().slice(0, 10)}.

    node --expose-gc packages/client/dist/measure/capacity.js

## Target

| Figure | Value | Per node |
|---|---|---|
| Nodes before engines and accelerators | ${target.nodes} before ${group(target.engines)} on ${group(target.accelerators)} | ${
        fixed(target.engines / target.nodes, 1)
    } engines |
| Requests at peak | ${group(target.requestsPerSecond)}/s | ${fixed(perNode(target.requestsPerSecond), 1)}/s |
| Tokens generated at peak | ${group(target.tokensPerSecond)}/s | ${group(Math.round(perNode(target.tokensPerSecond)))}/s |
| First token, 95 in 100 | ${target.firstTokenSeconds} s | |
| Between tokens, 95 in 100 | ${target.betweenTokensMs} ms | |
| Hosts that can be reclaimed | ${percent(target.reclaimableShare, 0)}, a failure domain at once | |
| Regions and failure domains | ${target.regions} and ${target.failureDomains} | ${
        target.nodes / target.failureDomains
    } nodes in a failure domain |
| Changes of configuration | ${
        group(target.configurationsPerDay)
    } a day, in effect everywhere within ${target.configurationSeconds} s | one every ${
        fixed(86_400 / target.configurationsPerDay, 1)
    } s |
| Control budget of a node | | ${
        percent(target.controlCoreShare, 1)
    } of a core, ${target.controlMegabytes} MB, ${target.controlKilobytesPerSecond} KB/s |
| Failed, restarted or replaced hosts | ${target.failuresPerDay} and ${target.replacementsPerDay} a day | one change of membership every ${
        fixed(86_400 / (target.failuresPerDay + target.replacementsPerDay), 0)
    } s in the fleet |
| Larger losses | a rack or switch weekly, a failure domain every other month, regions cut off from each other for an hour at times | |

Assumed where the target says nothing: ${assumption.tokenMs} ms between tokens, so ${
        fixed(openStreams(), 0)
    } open streams per node; prompts of ${group(assumption.promptCharacters)} characters;
${assumption.customers} customers; ${percent(assumption.nonIdempotentShare, 0)} of the requests non-idempotent.
`;
}

function renderSlopes(figures: CapacityFigures): string {
    const line = (what: string, slope: Slope, unit: string): string =>
        `| ${what} | ${fixed(slope.base, 1)} µs | ${fixed(1_000 * slope.perUnit, 1)} ns per ${unit} |`;
    return `## Measured slopes

| Work | Base | Slope |
|---|---|---|
${line("Choose an engine (score caches and load)", figures.choice, "engine considered")}
${line("Compute the subset of engines, when the list changes", figures.subset, "engine of the fleet")}
${line("Hash a prompt's blocks", figures.hashing, "character")}
${line("Admit and finish a request", figures.admission, "customer with requests")}
| A request through one daemon, all work but its tokens | ${fixed(figures.requestMicroseconds, 0)} µs | |
| A token through one daemon | ${fixed(microsecondsPerSecond / figures.tokensPerCoreSecond, 1)} µs | ${
        group(Math.round(figures.tokensPerCoreSecond))
    } tokens per core-second |
| An open stream of 200 tokens, process memory | ${fixed(figures.streamBytes / 1_024, 0)} KB | |
| A token of an answer that is kept | | ${fixed(figures.tokenBytes, 0)} bytes |
| A block in the prefix index | | ${fixed(figures.indexBytes, 0)} bytes |
| An idle daemon in a fleet of 2 | ${fixed(figures.idleBytes / megabyte, 0)} MB, ${
        percent(figures.idleCoreShare, 2)
    } of a core | |

Membership and configuration per node (2% loss, one-second pauses, ${
        group(target.configurationsPerDay)
    } configurations a day; [measurements/membership.md](measurements/membership.md)):

${
        figures.membershipTable.map((cells, index) =>
            `| ${cells.join(" | ")} |${index === 0 ? `\n|${"---|".repeat(cells.length)}` : ""}`
        ).join("\n")
    }

Non-idempotent requests at ${assumption.shards} shards and a batch interval of ${assumption.batchSeconds} s (\`node packages/policy/dist/shards/measure.js --shards 64 --batch 200 --seconds 30\`):

${figures.shardReport}
`;
}

function renderRoles(figures: CapacityFigures): string {
    const rows = [entryRow(figures), routingRow(figures), membershipRow(figures), shardRow(), standbyRow(), plannerRow()];
    const cells = rows.map(row =>
        `| ${[row.role, row.state, row.messages, row.processor, row.memory, row.mechanism].join(" | ")} |`
    );
    return `## Each role at the target

| Role | State | Messages | Processor time | Memory | Mechanism |
|---|---|---|---|---|---|
${cells.join("\n")}

Control on one node adds up to ${percent(controlShare(figures), 2)} of a core against ${
        percent(target.controlCoreShare, 1)
    }, and ${fixed(controlKilobytes(figures), 1)} KB/s against ${target.controlKilobytesPerSecond} KB/s.
`;
}

function entryRow(figures: CapacityFigures): Row {
    const requests = perNode(target.requestsPerSecond);
    const cores = requests * figures.requestMicroseconds / microsecondsPerSecond +
        perNode(target.tokensPerSecond) / figures.tokensPerCoreSecond;
    return {
        role: "Entry host, request path",
        state: `${fixed(openStreams(), 0)} answers in progress, as many copies for other hosts`,
        messages: `${fixed(requests, 0)} requests/s, ${
            group(Math.round(perNode(target.tokensPerSecond)))
        } tokens/s in and out, 10 backup messages/s per backup host`,
        processor: `${fixed(cores, 2)} cores`,
        memory: `${fixed(2 * openStreams() * figures.streamBytes / megabyte, 0)} MB`,
        mechanism: "one process and event loop; answers copied in batches of 100 ms to a host in another failure domain",
    };
}

function routingRow(figures: CapacityFigures): Row {
    const perRequest = costAt(figures.choice, assumption.enginesPerHost) + costAt(figures.hashing, assumption.promptCharacters) +
        costAt(figures.admission, assumption.customers);
    const cores = perNode(target.requestsPerSecond) * perRequest / microsecondsPerSecond;
    const blocks = assumption.enginesPerHost * 8_192;
    return {
        role: "Entry host, routing and admission",
        state: `${assumption.enginesPerHost} of ${
            group(target.engines)
        } engines, at most 8,192 blocks each; use of ${assumption.customers} customers`,
        messages: `${
            assumption.enginesPerHost / assumption.loadReadSeconds
        } load reads/s, ${assumption.enginesPerHost} waiting reads of cache events`,
        processor: `${percent(cores, 2)} of a core (part of the request path)`,
        memory: `${fixed(blocks * figures.indexBytes / megabyte, 0)} MB`,
        mechanism: "subset by rendezvous hashing, near-best choice, shares published with membership messages",
    };
}

function membershipRow(figures: CapacityFigures): Row {
    return {
        role: "Every node, membership and configuration",
        state: `${target.nodes} members, one configuration head`,
        messages: `${membership(figures, "messages/s")} messages/s, ${membership(figures, "bytes/s")} bytes/s`,
        processor: `${membership(figures, "% of a core")}% of a core`,
        memory: "under 1 MB",
        mechanism:
            "probe of one random peer per period with changes piggybacked; head fetched as a difference from the peer that announces it",
    };
}

function shardRow(): Row {
    const rate = target.requestsPerSecond * assumption.nonIdempotentShare;
    return {
        role: "Shard owner",
        state: `${fixed(assumption.shards / target.nodes, 2)} shards per node; ${
            fixed(rate / assumption.shards, 1)
        } keys/s per shard`,
        messages: `${fixed(1 / assumption.batchSeconds, 0)} writes/s per shard at most, ${
            fixed(assumption.shards / assumption.batchSeconds, 0)
        }/s in the fleet`,
        processor: "see the report above",
        memory: "value under 1 MB per shard",
        mechanism: "group commit by compare-and-swap; the number of shards follows from the write budget, not from the fleet",
    };
}

function standbyRow(): Row {
    return {
        role: "Standby (only in an outage of the key-value service)",
        state: "copies of the open entries of its shards",
        messages: "2 per batch and standby",
        processor: "as the owner's commit",
        memory: "under 1 MB per shard",
        mechanism: "all standbys acknowledge before the first byte is sent",
    };
}

function plannerRow(): Row {
    return {
        role: "Planner (one node at a time)",
        state: `${group(target.engines)} engines, read each round`,
        messages: `${group(target.engines)} reads of an engine's state every 5 s today`,
        processor: "not measured at this size",
        memory: `about ${fixed(target.engines * 300 / megabyte, 1)} MB`,
        mechanism: "lease with fencing token, desired state by compare-and-swap",
    };
}

function renderKeyValue(): string {
    const watchers = target.failureDomains * assumption.watchersPerFailureDomain;
    const watchReads = watchers / assumption.watchSeconds + watchers * target.configurationsPerDay / 86_400;
    const writes = assumption.shards / assumption.batchSeconds;
    return `## Calls to the key-value service

| Purpose | Reads/s | Writes/s | Grows with |
|---|---|---|---|
| Configuration (${watchers} waiting watches, renewed every ${assumption.watchSeconds} s and at each change) | ${
        fixed(watchReads, 1)
    } | ${fixed(target.configurationsPerDay / 86_400, 2)} | failure domains, changes |
| Shards, at most | ${
        fixed(assumption.shards * (target.failuresPerDay + target.replacementsPerDay) / target.nodes / 86_400 * 3, 2)
    } | ${fixed(writes, 0)} | write budget; takeovers with lost hosts |
| Planner (lease and desired state of one host, 2 candidates that look) | 0.8 | 0.4 | nothing |
| Sum | ${fixed(watchReads + 1, 1)} | ${fixed(writes + 1, 0)} | |

The service gives about 2,000 reads and several hundred writes a second. No purpose grows with the number of nodes.
`;
}

function renderLatency(figures: CapacityFigures): string {
    const choice = costAt(figures.choice, assumption.enginesPerHost);
    return `## Latency

Of the ${target.firstTokenSeconds} s to the first token a daemon takes ${
        fixed((figures.requestMicroseconds + choice) / 1_000, 1)
    } ms of processor time plus one exchange with the backup host;
the rest is the engine's queue and prompt computation, which routing and admission decide (docs/measurements/routing.md). Between tokens a daemon adds what docs/measurements/speed.md shows.
`;
}

function renderFailures(): string {
    const perDomain = target.nodes / target.failureDomains;
    return `## Losses

- Hosts that fail or are replaced (${
        target.failuresPerDay + target.replacementsPerDay
    } a day): changes of membership reach all nodes within the times of docs/measurements/membership.md; each lost owner costs one takeover per shard it owned (${
        fixed(assumption.shards / target.nodes, 2)
    } on average): promises from 2 standbys, one read, one write.
- A failure domain (${perDomain} nodes, ${fixed(assumption.shards / target.failureDomains, 1)} shards, up to ${
        percent(target.reclaimableShare, 0)
    } of hosts being reclaimable): the other domains' hosts take the answers over from copies, which are never kept in the same failure domain; placement keeps the needed engines without it.
- Regions cut off from each other: each side keeps its configuration and the last shares; shards whose owner is on the other side answer "unknown", so that the caller sends the same key again, or are taken over when all standbys promise.
`;
}

function renderLimits(figures: CapacityFigures): string {
    const cores = perNode(target.tokensPerSecond) / figures.tokensPerCoreSecond;
    return `## Where today's mechanisms stop

| Mechanism | Reaches the target | Stops at | Next step |
|---|---|---|---|
| Request path in one event loop | ${cores < 0.7 ? "yes" : "no"}, at ${fixed(cores, 2)} of a core for tokens | ${
        group(Math.round(0.7 * figures.tokensPerCoreSecond))
    } tokens/s per node (70% of a core); goal 100,000 tokens per core-second is ${
        figures.tokensPerCoreSecond >= 100_000 ? "met" : "not met"
    } | pass token events on without decoding them; several daemons per host |
| New connections | yes, at ${
        fixed(perNode(target.requestsPerSecond), 0)
    }/s | one accept per turn of the event loop; a burst of hundreds within a second waits when the loop is busy | callers keep connections; several listening processes per host |
| Planner reads every engine's state each round | no | about 500 engines | read states by subset: each host reports its engines with membership messages |
| Use of customers in one published value of 1 KB | no | about 25 customers with requests per host and model | publish differences, largest users first (today the smallest are left out) |
| Idle work of a daemon (polls of admission, suspects, engines, membership ticks) | ${
        figures.idleCoreShare < target.controlCoreShare ? "yes" : "no"
    }, ${
        percent(figures.idleCoreShare, 2)
    } of a core, measured in the ten seconds after a load | | profile; timers that run only while there is work |
| Membership in one flat fleet | yes | the measured table | none needed before 1,000 nodes |
| One value per shard | yes, at ${
        fixed(target.requestsPerSecond * assumption.nonIdempotentShare / assumption.shards, 1)
    } keys/s per shard | ${assumption.shards} shards and the batch interval; values under 1 MB | more shards by a new generation when the service's write rate grows |
`;
}

function membership(figures: CapacityFigures, column: string): string {
    const [head = [], ...rows] = figures.membershipTable;
    return rows.at(-1)?.[head.indexOf(column)] ?? "not measured";
}

function controlShare(figures: CapacityFigures): number {
    return Number(membership(figures, "% of a core")) / 100 + figures.idleCoreShare;
}

function controlKilobytes(figures: CapacityFigures): number {
    const reads = assumption.enginesPerHost / assumption.loadReadSeconds * assumption.bytesPerLoadRead;
    return (Number(membership(figures, "bytes/s")) + reads) / 1_000;
}

function openStreams(): number {
    const tokensPerRequest = target.tokensPerSecond / target.requestsPerSecond;
    return perNode(target.requestsPerSecond) * tokensPerRequest * assumption.tokenMs / 1_000;
}

function perNode(value: number): number {
    return value / target.nodes;
}

function fixed(value: number, digits: number): string {
    return value.toFixed(digits);
}

function percent(value: number, digits: number): string {
    return `${(100 * value).toFixed(digits)}%`;
}

function group(value: number): string {
    return value.toLocaleString("en-US");
}
