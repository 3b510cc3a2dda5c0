// A small deployment: the project's own program on a few hosts, as processes of their own, with stand-ins around them.
import { spawn } from "node:child_process";
import { appendFileSync, createWriteStream, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Engine } from "./engine.mjs";
import { Store } from "./store.mjs";

const root = fileURLToPath(new URL("../..", import.meta.url));
const heartbeatMs = 1_200;
/** Longest time that a deployment may take to serve; its start is no part of a case. */
const startLimitMs = 15_000;
/** A case has to end within 120 s. */
const caseLimitMs = 115_000;
/** The platform starts a process that has ended again after a short delay. */
const restartMs = 400;

export const hostname = "caller.example";
/** A loopback network of this run, so that no port is taken by an outgoing connection of another process. */
const network = `127.${16 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}`;
const platformIp = `${network}.250`;
const engineIp = `${network}.200`;
/** `X-Filbertrelay-Deadline-Ms` and time limits of the routes, as on the sheets. */
const routes = [
    { prefix: "/look/", routeType: "idempotent", backend: "ledger", maxAttempts: 2 },
    { prefix: "/post/", routeType: "non_idempotent", backend: "ledger", maxAttempts: 1 },
    { prefix: "/stream/", routeType: "streaming", backend: "model", maxAttempts: 2, streamResume: true, itlTargetMs: 600 },
];

/** Whether a case runs with its disruption. */
export const isTrouble = process.env.TROUBLE !== "0";

/** Hosts, engines and the platform of one case, and its record. */
export class Deployment {
    store = new Store();
    engines = [];
    hosts = [];
    /** Ends of processes that nobody asked for. */
    ownEnds = [];
    #folder = mkdtempSync(join(tmpdir(), "filbertrelay-review-"));
    #record;
    #heartbeats = [];
    #isEnding = false;
    #counts;
    #cloudAddress;
    #tenants;

    /** `cloudAddress` and `tenants` are there where hosts have duties. */
    constructor({ caseFolder, hosts = 2, engines = 3, cloudAddress, tenants }) {
        this.#record = join(caseFolder, "record.txt");
        writeFileSync(this.#record, "");
        this.#counts = { hosts, engines };
        this.#cloudAddress = cloudAddress;
        this.#tenants = tenants;
    }

    /** Writes a line to the record. */
    note(event, fields = {}) {
        appendFileSync(this.#record, `${new Date().toISOString()} ${event} ${JSON.stringify(fields)}\n`);
    }

    /** Starts everything and waits until each host serves. */
    async start() {
        const storeAddress = await this.store.start(platformIp);
        for (const service of ["ledger", "model"]) {
            for (let index = 0; index < this.#counts.engines; index += 1) {
                const engine = new Engine(`i-${service}-${index}`);
                await engine.start(engineIp);
                Object.assign(engine, { service, zone: `zone-${index % 3}` });
                this.engines.push(engine);
            }
        }
        this.writeConfiguration();
        for (const [index, engine] of this.engines.entries()) {
            this.#writeEntry(engine);
            engine.onBack = async () => this.#writeEntry(engine);
            // Each engine reports at a moment of its own.
            setTimeout(() => {
                this.#heartbeats.push(setInterval(() => this.#writeEntry(engine), heartbeatMs));
            }, index * heartbeatMs / this.engines.length);
        }
        for (let index = 0; index < this.#counts.hosts; index += 1) {
            this.hosts.push(await this.#createHost(index, storeAddress));
        }
        this.hosts.forEach(host => this.#startHost(host));
        const untilMs = Date.now() + startLimitMs;
        for (const host of this.hosts) {
            while (!await isReady(host)) {
                if (Date.now() > untilMs) {
                    throw new Error(`${host.name} isn't ready after ${startLimitMs} ms.`);
                }
                await delay(100);
            }
        }
        // Peers find each other, and the first engines are known everywhere.
        await delay(2_000);
    }

    /** Engines of a service. */
    enginesOf(service) {
        return this.engines.filter(engine => engine.service === service);
    }

    /** Ends all processes and sockets. */
    async stop() {
        this.#isEnding = true;
        this.#heartbeats.forEach(timer => clearInterval(timer));
        await Promise.all(this.hosts.map(async ({ child }) => {
            if (child !== undefined && child.exitCode === null && child.signalCode === null) {
                const ended = new Promise(resolve => child.once("exit", resolve));
                child.kill("SIGKILL");
                await ended;
            }
        }));
        this.engines.forEach(engine => engine.stop());
        this.store.stop();
        rmSync(this.#folder, { recursive: true, force: true });
    }

    /** The operator's write, which it repeats after a restore of the store. */
    writeConfiguration() {
        this.store.put("op/config", { ...describeConfiguration(), ...(this.#tenants === undefined ? {} : { tenants: this.#tenants }) });
    }

    /** A report of an engine; while the store is down it fails, and the next one follows at its time. */
    #writeEntry(engine) {
        if (engine.isDown || this.store.isDown) {
            return;
        }
        const { id, service, zone, address, version, bornMs } = engine;
        const isModel = service === "model";
        engine.sequence = engine.bornMs === engine.reportedBornMs ? engine.sequence + 1 : 1;
        engine.reportedBornMs = bornMs;
        this.store.put(`servers/${id}`, {
            backend: service,
            address,
            zone,
            version,
            capacity: isModel ? 64 : 6,
            state: "ready",
            coldRemainingMs: 0,
            ...(isModel ? { phase: "unified", modelList: [{ name: "m", version: 1, adapters: [] }] } : {}),
            sequence: engine.sequence,
            born: bornMs,
        });
    }

    async #createHost(index, storeAddress) {
        const ip = `${network}.${index + 1}`;
        const [frontend, peer, directory, ready, metrics] = await findFreePorts(ip, 5);
        const name = `edge-zone-${index % 3}-${index}`;
        const settingsFile = join(this.#folder, `${name}.toml`);
        writeFileSync(
            settingsFile,
            `[host]
id = "${name}"
failureDomain = "zone-${index % 3}"
callerAddress = "${ip}:${frontend}"
peerAddress = "${ip}:${peer}"
directoryAddress = "${ip}:${directory}"
readyAddress = "${ip}:${ready}"
metricsAddress = "${ip}:${metrics}"
processorShare = 0.675
processorSpeed = 1
[cluster]
keys = ["peers-on-the-machines-of-one-installation"]
[store]
address = "${storeAddress}"
readsPerSecond = 2000
writesPerSecond = 400
${this.#cloudAddress === undefined ? "" : `[duties]\naddress = "${this.#cloudAddress}"`}
[promises]
quotaWindowSeconds = 8
quotaTolerance = 110000
repeatWindowSeconds = 10
repeatRatio = 0.2
repeatExtra = 58
usageWindowSeconds = 5
usageDueSeconds = 10
stopLimitSeconds = 8
endpointLeaveMs = 2000
endpointHeartbeatMs = ${heartbeatMs}
configurationApplyMs = 2000
leadPauseMs = 3000
`,
        );
        return { name, settingsFile, address: `${ip}:${frontend}`, ready: `${ip}:${ready}`, child: undefined, isAsked: false };
    }

    /** Kills a process; the platform starts it again. */
    kill(host) {
        host.isAsked = true;
        host.child.kill("SIGKILL");
    }

    #startHost(host) {
        const [program, ...parts] = readRunCommand();
        const child = spawn(program === "node" ? process.execPath : program, parts, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, FILBERTRELAY_NODE_FILE: host.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(this.#folder, `${host.name}.log`), { flags: "a" });
        child.stdout.on("data", bytes => this.#receiveLog(host, bytes, log));
        child.stderr.on("data", bytes => this.#receiveLog(host, bytes, log));
        host.child = child;
        host.isAsked = false;
        child.once("exit", (code, signal) => {
            log.end();
            if (!this.#isEnding) {
                if (!host.isAsked) {
                    this.ownEnds.push({ host: host.name, code, signal, atMs: Date.now() });
                }
                this.note("process ended", { host: host.name, pid: child.pid, code, signal, wasAsked: host.isAsked });
                setTimeout(() => this.#isEnding || this.#startHost(host), restartMs);
            }
        });
    }

    /** The error with which a process ends goes into the record. */
    #receiveLog(host, bytes, log) {
        const text = bytes.toString("utf8");
        if (log.writable) {
            log.write(bytes);
        }
        text.split("\n").filter(line => line.includes("\"event\":1306") || line.includes("uncaught")).forEach(line =>
            this.note("log of the process", { host: host.name, line: line.replaceAll(root, "").slice(0, 900) })
        );
    }
}

/** Runs a case: `play` gets a deployment that serves, and returns the violations that it found. */
export async function runCase({ caseFolder, play, ...options }) {
    if (!existsSync(join(root, "target/filbertrelayd.cjs"))) {
        process.stderr.write("The program isn't built.\n");
        process.exit(2);
    }
    const deployment = new Deployment({ caseFolder, ...options });
    const giveUp = async reason => {
        deployment.note("the case could not run", { reason: String(reason) });
        await deployment.stop();
        process.exit(2);
    };
    // The processes of the deployment end with the case, however it ends.
    ["uncaughtException", "unhandledRejection", "SIGTERM", "SIGINT"].forEach(event => process.on(event, giveUp));
    setTimeout(() => void giveUp(`It took longer than ${caseLimitMs} ms.`), caseLimitMs).unref();
    let status = 2;
    try {
        await deployment.start();
        deployment.note("deployment serves", { isTrouble, hosts: deployment.hosts.map(({ name, address }) => `${name} ${address}`) });
        const violations = await play(deployment);
        violations.forEach(violation => deployment.note("violation", violation));
        deployment.note("result", { isTrouble, violations: violations.length });
        process.stdout.write(`${violations.length === 0 ? "held" : `broken: ${violations.length} violations`}\n`);
        status = violations.length === 0 ? 0 : 1;
    }
    catch (error) {
        deployment.note("the case could not run", { error: error.stack });
        process.stderr.write(`${error.stack}\n`);
    }
    await deployment.stop();
    process.exit(status);
}

function describeConfiguration() {
    return {
        version: 1,
        routeList: routes.map((route, index) => ({
            name: `r-${index}`,
            hostname,
            timeoutMs: 4_000,
            targetLatencyMs: 800,
            priority: 1,
            public: true,
            ...route,
        })),
        backends: [
            { name: "ledger", healthPath: "/healthz", maxConnections: 110, protocol: "h1", tlsEnabled: false },
            { name: "model", healthPath: "/healthz", maxConnections: 370, protocol: "h1", tlsEnabled: false },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

/** The words of the command with which the deploy file runs the program. */
function readRunCommand() {
    const line = /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"));
    return line[1].split(" ");
}

async function isReady({ ready }) {
    try {
        return (await fetch(`http://${ready}/readyz`)).status === 200;
    }
    catch {
        return false;
    }
}

async function findFreePorts(ip, count) {
    const servers = [];
    for (let index = 0; index < count; index += 1) {
        const server = createServer();
        await new Promise(resolve => server.listen(0, ip, resolve));
        servers.push(server);
    }
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
