// Runs ingress hosts of two builds behind one store: every host is replaced by the new build and then by the old one again, while callers
// stay connected. Guards against renames that change messages between hosts, settings or values in the store.
//   node scripts/mixed-ingress.mjs OLD NEW [HOSTS]
// OLD and NEW are checkouts after `npm install && npm run build && npm run bundle`. The harness is taken from OLD, which must be commit
// de8cdbb or have its names. HOSTS is 3 by default; from 13 on, some of them report through others. Exits with 1 if a promise is broken or a host doesn't stop in time.
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { pathToFileURL } from "node:url";
const [old, fresh] = process.argv.slice(2, 4).map(directory => path.resolve(directory));
const indexes = Array.from({ length: Number(process.argv[4] ?? 3) }, (_, index) => index);
/** Up to this size all hosts serve and hear each other. */
const largestAllServingFleet = 12;
const load = file => import(pathToFileURL(path.join(old, file)).href);
const { StandinStore } = await load("platform/dist/standins/store.js");
const { SoakCallers, soakKey } = await load("platform/dist/soak/callers.js");
const { SoakEngines } = await load("platform/dist/soak/engines.js");
const { findViolations } = await load("platform/dist/soak/promises.js");
const { createRandom } = await load("packages/emulator/dist/index.js");
const folder = mkdtempSync(path.join(tmpdir(), "filbertrelay-mixed-"));
console.log("folder", folder);
const program = repo => path.join(repo, "target/filbertrelayd.cjs");
const store = new StandinStore();
await store.start();
const engines = new SoakEngines(createRandom(8));
await engines.start(4);
let sequence = 1;
const writeEngines = () => {
    sequence += 1;
    engines.entries(new Map(), sequence).forEach(([key, entry]) => store.put(key, entry));
};
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
    ...further,
});
store.put("op/config", {
    version: 2,
    routeList: [
        describe("idempotent", "idempotent", "records", { maxAttempts: 2 }),
        describe("nonIdempotent", "non_idempotent", "records", { maxAttempts: 1 }),
        describe("stream", "streaming", "assistant", { maxAttempts: 2, streamResume: true, itlTargetMs: 600 }),
    ],
    backends: [{ name: "records", maxConnections: 100 }, { name: "assistant", maxConnections: 100 }],
    tenants: [{ name: "crew", apiKeys: [soakKey] }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
});
writeEngines();
const beats = setInterval(writeEngines, 1_000);
class MixedHost {
    constructor(index, repo) {
        const ip = `127.77.${process.pid % 250}.${index + 1}`;
        this.callerAddress = `${ip}:8001`;
        this.repo = repo;
        this.ownEnds = [];
        this.settingsFile = path.join(folder, `host-${index}.toml`);
        this.log = createWriteStream(path.join(folder, `host-${index}.log`), { flags: "a" });
        writeFileSync(
            this.settingsFile,
            `[host]
id = "host-${index}"
failureDomain = "zone-${index % 3}"
callerAddress = "${ip}:8001"
peerAddress = "${ip}:8002"
directoryAddress = "${ip}:8003"
readyAddress = "${ip}:8004"
metricsAddress = "${ip}:8005"
[cluster]
keys = ["peers-on-the-machines-of-one-installation"]
[store]
address = "${store.address}"
readsPerSecond = 1000
writesPerSecond = 100
[promises]
stopLimitSeconds = 8
`,
        );
    }
    start() {
        this.child = spawn(process.execPath, [program(this.repo)], {
            env: { PATH: process.env.PATH, FILBERTRELAY_NODE_FILE: this.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child.stdout.pipe(this.log, { end: false });
        this.child.stderr.pipe(this.log, { end: false });
        this.ended = new Promise(resolve =>
            this.child.once("exit", (code, signal) => {
                if (!this.isAsked) { this.ownEnds.push(signal ?? code); }
                resolve(signal ?? code);
            })
        );
    }
    /** A planned stop; gives the exit code, or the signal when the process did not end within its limit. */
    async stop() {
        this.isAsked = true;
        this.child.kill("SIGTERM");
        const timer = setTimeout(() => this.child.kill("SIGKILL"), 9_000);
        const end = await this.ended;
        clearTimeout(timer);
        return end;
    }
    async end() {
        this.isAsked = true;
        this.child.kill("SIGKILL");
        await this.ended;
    }
}
const makeHost = (index, repo) => new MixedHost(index, repo);
const hosts = indexes.map(index => makeHost(index, old));
hosts.forEach(host => host.start());
const callers = new SoakCallers({
    addresses: hosts.map(host => host.callerAddress),
    random: createRandom(9),
    isUndisturbed: () => true,
});
const until = async (what, check, limitMs = 15_000) => {
    const end = performance.now() + limitMs;
    while (!(await check().catch(() => false))) {
        if (performance.now() > end) { throw new Error(`Waited ${limitMs} ms for ${what}.`); }
        await delay(100);
    }
};
const metric = async (index, name) => {
    const text = await (await fetch(`http://${hosts[index].callerAddress.replace(":8001", ":8005")}/metrics`)).text();
    return Number(new RegExp(`^filbertrelay_${name}(?:\\{[^}]*\\})? (\\S+)$`, "m").exec(text)?.[1]);
};
const ready = async () => {
    const reached = indexes.length <= largestAllServingFleet ? indexes.length : 2;
    for (const index of indexes) {
        await until(
            `host ${index} to reach ${reached} hosts`,
            async () => await metric(index, "reachable_hosts") >= reached && await metric(index, "configuration_version") === 2,
        );
    }
};
let requests, isBroken = false;
const exits = [];
try {
    await ready();
    requests = setInterval(() => callers.send(), 15);
    for (const repo of [fresh, old]) {
        for (const index of indexes) {
            const host = hosts[index];
            const exit = await host.stop();
            exits.push(...host.ownEnds, ...(exit === 0 ? [] : [`host ${index}: ${exit}`]));
            hosts[index] = makeHost(index, repo);
            hosts[index].start();
            await ready();
            await delay(2_500);
            console.log(
                `host ${index} now runs ${repo === old ? "old" : "new"}; requests ${callers.records.length}, 200s ${
                    callers.records.filter(({ status }) => status === 200).length
                }`,
            );
        }
    }
    clearInterval(requests);
    await callers.drain();
    const before = callers.records.length;
    for (let index = 0; index < 60; index += 1) {
        callers.send();
        await delay(15);
    }
    await callers.drain();
    const violations = findViolations(callers.records, engines.runs).filter(({ promise }) => promise !== "lost");
    const lost = findViolations(callers.records, engines.runs).filter(({ promise }) => promise === "lost");
    const last = callers.records.slice(before).filter(({ status }) => status !== 200);
    const tally = {};
    callers.records.forEach(({ status }) => tally[status] = (tally[status] ?? 0) + 1);
    console.log(JSON.stringify({ requests: callers.records.length, tally, violations, lost, last: last.length, exits }));
    isBroken = violations.length > 0 || lost.length > 0 || last.length > 0 || exits.length > 0;
}
catch (error) {
    console.error(error);
    isBroken = true;
}
finally {
    clearInterval(requests);
    clearInterval(beats);
    callers.stop();
    await Promise.all(hosts.map(host => host.end()));
    await engines.stop();
    store.stop();
}
process.exit(isBroken ? 1 : 0);
