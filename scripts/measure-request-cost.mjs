// Measures the processor time that one host spends on each request and at rest: the real program before stand-ins on loopback.
// Usage: node scripts/measure-request-cost.mjs [options]   (after npm run build and npm run bundle)
//     --run NAME=FOLDER[:FLAGS]  A bundle with its run flags, those of deploy/system.toml by default; several runs play side by side.
//     --phase KIND@RATE          `rest`, or `lookup` or `stream` with requests per second; several are played in turn.
//     --seconds N, --hosts N, --endpoints N, --profile (CPU profiles of the measured host under .scratch/profiles)
import {
    describeEngine,
    renderEvent,
    renderResponse,
    renderStreamHead,
    StandinEngine,
    StandinStore,
    streamEnd,
} from "@filbertrelay/platform/standins";
import { fork, spawn, spawnSync } from "node:child_process";
import { copyFileSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { parse } from "smol-toml";

const root = fileURLToPath(new URL("..", import.meta.url));
/** A phase of requests lies between two at rest, whose mean is subtracted. */
const defaultPhases = ["rest", "lookup@6", "rest", "stream@8", "rest", "lookup@120", "stream@60", "rest"];
const startLimitMs = 15_000;
const settleMs = 2_500;
const heartbeatMs = 1_000;
const lookupMs = 20;
const streamEvents = 10;
const eventMs = 25;
const apiKey = "key-of-the-measurement";
const headers = {
    "Host": "shop.example",
    "Authorization": `Bearer ${apiKey}`,
    "X-Filbertrelay-Deadline-Ms": "3000",
};
const promptHeaders = { "X-Filbertrelay-Token-Usage": "1200,40", "X-Filbertrelay-Prefix-Hash": "system:800,chat:400" };

const { values: options } = parseArgs({
    options: {
        run: { type: "string", multiple: true, default: [`here=${join(root, "target")}`] },
        phase: { type: "string", multiple: true, default: defaultPhases },
        seconds: { type: "string", default: "8" },
        hosts: { type: "string", default: "6" },
        endpoints: { type: "string", default: "24" },
        profile: { type: "boolean", default: false },
    },
});

if (process.send === undefined) {
    await compareRuns();
}
else {
    process.once("message", run => void playRun(run).then(figures => process.send(figures, () => process.exit(0))));
}

/** Plays all runs at the same time, so that whatever else uses the machine affects them alike. */
async function compareRuns() {
    const runs = options.run.map((text, index) => prepareRun(text, index));
    const results = await Promise.all(runs.map(run => {
        const child = fork(process.argv[1], process.argv.slice(2));
        child.send(run);
        return new Promise((resolve, reject) => {
            child.once("message", resolve);
            child.once("exit", code => code !== 0 && reject(new Error(`The run ${run.name} ended with code ${code}.`)));
        });
    }));
    runs.forEach(({ folder }) => rmSync(folder, { recursive: true }));
    console.log("| Run | Phase | Processor | Reads | Writes | Wake-ups | Answered | Memory |");
    console.log("|---|---|---|---|---|---|---|---|");
    results.forEach((figures, index) => figures.forEach(figure => console.log(renderRow(runs[index].name, figure))));
}

/** Copies a bundle and stores bytecode for its flags; V8 takes it under the same flags only. */
function prepareRun(text, index) {
    const [name, source] = text.split(/=(.*)/s);
    const [from, given] = source.split(/:(.*)/s);
    const { roles } = parse(readFileSync(join(root, "deploy/system.toml"), "utf8"));
    const flags = (given ?? roles.ingress.run).split(" ").filter(word => word.startsWith("--"));
    const folder = mkdtempSync(join(tmpdir(), "filbertrelay-cost-"));
    for (const file of ["daemon.cjs", "filbertrelayd.cjs"]) {
        copyFileSync(join(from, file), join(folder, file));
    }
    const made = spawnSync(process.execPath, [...flags, join(root, "scripts/bytecode.cjs"), folder], { stdio: "inherit" });
    if (made.status !== 0) {
        throw new Error(`The bytecode of ${name} could not be stored.`);
    }
    return { name, folder, flags, network: `127.${1 + process.pid % 250}.${1 + index}` };
}

async function playRun(run) {
    const deployment = await startDeployment(run);
    const [host] = deployment.hosts;
    const figures = [{ phase: "start", kind: "start", processorMs: readUse(host.pid).processorMs, memory: readMemory(host.pid) }];
    for (const phase of options.phase) {
        const [kind, rate] = phase.split("@");
        const before = readUse(host.pid);
        const startMs = performance.now();
        const { sent, answered } = kind === "rest" ? await rest() : await sendRequests(deployment, kind, Number(rate));
        const elapsedS = (performance.now() - startMs) / 1_000;
        const after = readUse(host.pid);
        const perSecond = Object.fromEntries(
            Object.entries(after).map(([name, value]) => [name, (value - before[name]) / elapsedS]),
        );
        figures.push({ phase, kind, sent, answered, elapsedS, perSecond, memory: readMemory(host.pid) });
    }
    await deployment.stop();
    return figures.map((figure, index) => ({ ...figure, restPerSecond: meanRest(figures, index) }));
}

/** The mean use per second of the nearest phases at rest before and after a phase. */
function meanRest(figures, index) {
    const isRest = figure => figure.kind === "rest";
    const around = [figures.slice(0, index).findLast(isRest), figures.slice(index).find(isRest)].filter(Boolean);
    const mean = name => around.reduce((sum, { perSecond }) => sum + perSecond[name], 0) / Math.max(1, around.length);
    return {
        processorMs: mean("processorMs"),
        ownMs: mean("ownMs"),
        reads: mean("reads"),
        writes: mean("writes"),
        wakeups: mean("wakeups"),
    };
}

function renderRow(name, { phase, kind, sent, answered, elapsedS, perSecond, processorMs, restPerSecond, memory }) {
    if (kind === "start") {
        return `| ${name} | start until ready | ${
            processorMs.toFixed(0)
        } ms | - | - | - | - | ${memory.nowMb} MB, peak ${memory.peakMb} |`;
    }
    const counts = ["reads", "writes", "wakeups"];
    const perRequest = field => (perSecond[field] - restPerSecond[field]) * elapsedS / sent;
    const cells = kind === "rest" ?
        [
            `${(perSecond.processorMs / 10).toFixed(2)}% of a core`,
            ...counts.map(field => `${perSecond[field].toFixed(0)}/s`),
            "-",
        ] :
        [
            `${perRequest("processorMs").toFixed(2)} ms`,
            ...counts.map(field => perRequest(field).toFixed(1)),
            `${answered}/${sent}`,
        ];
    return `| ${[name, phase, ...cells, `${memory.nowMb} MB, peak ${memory.peakMb}`].join(" | ")} |`;
}

async function rest() {
    await delay(Number(options.seconds) * 1_000);
    return { sent: 0, answered: 0 };
}

async function sendRequests({ hosts: [{ callerAddress }], agent }, kind, rate) {
    const count = Math.round(Number(options.seconds) * rate);
    const answers = [];
    const startMs = performance.now();
    for (let index = 0; index < count; index += 1) {
        await delay(startMs + index * 1_000 / rate - performance.now());
        answers.push(ask(callerAddress, agent, kind, `${kind}-${rate}-${index}`));
    }
    const statuses = await Promise.all(answers);
    return { sent: count, answered: statuses.filter(status => status === 200).length };
}

/** Resolves with the status once the answer is complete, or 0. */
function ask(address, agent, kind, requestId) {
    const [host, port] = address.split(":");
    const isStream = kind === "stream";
    return new Promise(resolve => {
        const sent = request({
            host,
            port,
            agent,
            method: isStream ? "POST" : "GET",
            path: `/${kind}/item`,
            headers: { ...headers, ...isStream ? promptHeaders : {}, "X-Filbertrelay-Attempt-Id": requestId },
        }, response => {
            response.resume();
            response.on("error", () => undefined);
            response.on("close", () => resolve(response.complete ? response.statusCode : 0));
        });
        sent.on("error", () => resolve(0));
        sent.end(isStream ? "x".repeat(400) : "");
    });
}

async function startDeployment(run) {
    const store = new StandinStore();
    await store.start();
    const engines = Array.from({ length: Number(options.endpoints) }, () => new StandinEngine(answer));
    await Promise.all(engines.map(engine => engine.start()));
    let sequence = 0;
    const writeEngines = () => {
        sequence += 1;
        engines.forEach((engine, index) => {
            const isModel = index % 2 === 1;
            const entry = describeEngine(engine, { service: isModel ? "assistant" : "records", isModel });
            store.put(`servers/engine-${index}`, { ...entry, sequence });
        });
    };
    writeConfiguration(store);
    writeEngines();
    const heartbeats = setInterval(writeEngines, heartbeatMs);
    const hosts = Array.from({ length: Number(options.hosts) }, (_, index) => startHost(run, store.address, index));
    const agent = new Agent({ keepAlive: true });
    await awaitService(hosts, agent);
    await delay(settleMs);
    const stop = async () => {
        await Promise.all(hosts.map(({ child }) => {
            child.kill(options.profile ? "SIGTERM" : "SIGKILL");
            return new Promise(resolve => child.once("exit", resolve));
        }));
        clearInterval(heartbeats);
        engines.forEach(engine => engine.stop());
        store.stop();
    };
    return { hosts, agent, stop };
}

function answer(engineRequest, connection) {
    if (engineRequest.target.startsWith("/lookup/")) {
        setTimeout(() => connection.send(renderResponse(engineRequest, { body: "x".repeat(600) })), lookupMs);
        return;
    }
    connection.send(renderStreamHead(engineRequest));
    let id = 0;
    const timer = setInterval(() => {
        id += 1;
        connection.send(renderEvent(id));
        if (id === streamEvents) {
            clearInterval(timer);
            connection.send(streamEnd);
        }
    }, eventMs);
    connection.onClosed(() => clearInterval(timer));
}

function writeConfiguration(store) {
    const describe = (name, routeType, backend, further) => ({
        name,
        routeType,
        backend,
        hostname: "shop.example",
        prefix: `/${name}/`,
        timeoutMs: 2_500,
        targetLatencyMs: 2_000,
        priority: 1,
        public: false,
        maxAttempts: 2,
        ...further,
    });
    store.put("op/config", {
        version: 1,
        routeList: [
            describe("lookup", "idempotent", "records", {}),
            describe("stream", "streaming", "assistant", { streamResume: true, itlTargetMs: 600 }),
        ],
        backends: [{ name: "records", maxConnections: 100 }, { name: "assistant", maxConnections: 100 }],
        tenants: [{ name: "crew", apiKeys: [apiKey] }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
    });
}

function startHost({ name, folder, flags, network }, storeAddress, index) {
    const ip = `${network}.${1 + index}`;
    const settingsFile = join(folder, `host-${index}.toml`);
    writeFileSync(
        settingsFile,
        `[host]
id = "host-${index}"
failureDomain = "zone-a"
callerAddress = "${ip}:8001"
peerAddress = "${ip}:8002"
directoryAddress = "${ip}:8003"
readyAddress = "${ip}:8004"
metricsAddress = "${ip}:8005"
[cluster]
keys = ["peers-on-the-machines-of-one-installation"]
[store]
address = "${storeAddress}"
readsPerSecond = 1000
writesPerSecond = 100
`,
    );
    const profiling = options.profile && index === 0 ?
        ["--cpu-prof", "--cpu-prof-interval=200", `--cpu-prof-dir=${join(root, ".scratch/profiles", name)}`] :
        [];
    const child = spawn(process.execPath, [...flags, ...profiling, join(folder, "filbertrelayd.cjs")], {
        env: { PATH: process.env.PATH, FILBERTRELAY_NODE_FILE: settingsFile },
        stdio: ["ignore", "pipe", "inherit"],
    });
    child.stdout.resume();
    return { child, pid: child.pid, callerAddress: `${ip}:8001` };
}

/** Waits until the first host, which is measured, answers each kind. */
async function awaitService([{ callerAddress }], agent) {
    const untilMs = performance.now() + startLimitMs;
    for (let index = 0; performance.now() < untilMs; index += 1) {
        const statuses = await Promise.all(
            ["lookup", "stream"].map(kind => ask(callerAddress, agent, kind, `start-${kind}-${index}`)),
        );
        if (statuses.every(status => status === 200)) {
            return;
        }
        await delay(200);
    }
    throw new Error(`The host did not answer within ${startLimitMs} ms.`);
}

/** Totals of all threads of a process; reads and writes are counted by the kernel, wake-ups are voluntary context switches. */
function readUse(pid) {
    const read = file => readFileSync(`/proc/${pid}/${file}`, "utf8");
    const threads = readdirSync(`/proc/${pid}/task`);
    const sum = count => threads.reduce((total, thread) => total + count(`task/${thread}`), 0);
    const find = (file, name) => Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(read(file))?.[1] ?? 0);
    return {
        processorMs: sum(thread => Number(read(`${thread}/schedstat`).split(" ")[0])) / 1e6,
        reads: find("io", "syscr"),
        writes: find("io", "syscw"),
        wakeups: sum(thread => find(`${thread}/status`, "voluntary_ctxt_switches")),
    };
}

function readMemory(pid) {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const find = name => Math.round(Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(status)?.[1]) / 1_024);
    return { nowMb: find("VmRSS"), peakMb: find("VmHWM") };
}
