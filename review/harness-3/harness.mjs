// What the cases 11 to 15 share: the project's program as separate processes, its own store and engine stand-ins, and raw clients.
import { spawn } from "node:child_process";
import { appendFileSync, createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { StandinEngine, StandinStore } from "../../platform/dist/standins/index.js";

export { delay };
export const root = fileURLToPath(new URL("../..", import.meta.url));
/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";
export const customerKey = "key-of-customer-one";
export const customerName = "customer-one";

/** The words of the command that the deploy file gives for the role. */
function readCommand() {
    const line = readFileSync(join(root, "deploy/system.toml"), "utf8").split("\n").find(text => text.startsWith("run = "));
    return JSON.parse(line.slice("run = ".length)).split(" ");
}

async function freePort(host) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, host, resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** A deployment of some hosts on loopback addresses, before a store. */
export class Deployment {
    store = new StandinStore();
    hosts = [];
    engines = new Map();
    #folder = mkdtempSync(join(tmpdir(), "review-"));
    #sequence = 1;
    #beats;
    #recordFile;

    constructor(recordFile) {
        this.#recordFile = recordFile;
        writeFileSync(recordFile, "");
        this.startMs = performance.now();
    }

    get folder() {
        return this.#folder;
    }

    note(text) {
        const seconds = ((performance.now() - this.startMs) / 1_000).toFixed(3);
        appendFileSync(this.#recordFile, `${seconds} ${text}\n`);
    }

    async start({ hosts, configuration, settings = {}, cloudAddress }) {
        await this.store.start();
        this.store.put("op/config", configuration);
        this.#beats = setInterval(() => this.#beat(), 1_200);
        for (let index = 0; index < hosts; index += 1) {
            this.hosts.push(new Host(this, index, settings, cloudAddress));
            await this.hosts[index].start();
        }
        for (const host of this.hosts) {
            await host.awaitReady();
        }
        this.note(`${hosts} hosts are ready`);
    }

    /** Adds an engine; `entry` is what it says of itself beside its address. */
    async addEngine(id, entry, behaviour) {
        const engine = new StandinEngine(behaviour);
        await engine.start();
        this.engines.set(id, { engine, entry: { zone: "zone-0", version: "v1", capacity: 64, state: "ready", coldRemainingMs: 0, born: Date.now(), ...entry } });
        this.#write(id);
        return engine;
    }

    #beat() {
        this.#sequence += 1;
        [...this.engines.keys()].forEach(id => this.#write(id));
    }

    #write(id) {
        const { engine, entry } = this.engines.get(id);
        this.store.put(`servers/${id}`, { ...entry, address: engine.address, sequence: this.#sequence });
    }

    async stop() {
        clearInterval(this.#beats);
        await Promise.all(this.hosts.map(host => host.end()));
        this.engines.forEach(({ engine }) => engine.stop());
        this.store.stop();
        rmSync(this.#folder, { recursive: true, force: true });
    }
}

/** One host: the program with the command of the deploy file. */
export class Host {
    ownEnds = [];
    #deployment;
    #settings;
    #cloudAddress;
    #child;
    #isAsked = false;

    constructor(deployment, index, settings, cloudAddress) {
        this.#deployment = deployment;
        this.#settings = settings;
        this.#cloudAddress = cloudAddress;
        this.index = index;
        this.ip = `127.${10 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}.${index + 1}`;
        this.logFile = join(process.env.LOGS ?? deployment.folder, `host-${index}.log`);
    }

    get pid() {
        return this.#child.pid;
    }

    async start() {
        const { ip, index } = this;
        const ports = [];
        for (let count = 0; count < 5; count += 1) {
            ports.push(await freePort(ip));
        }
        [this.callerPort, this.peerPort, this.directoryPort, this.readyPort, this.metricsPort] = ports;
        const file = join(this.#deployment.folder, `host-${index}.toml`);
        writeFileSync(file, `[host]
id = "host-${index}"
failureDomain = "zone-${index % 3}"
callerAddress = "${ip}:${this.callerPort}"
peerAddress = "${ip}:${this.peerPort}"
directoryAddress = "${ip}:${this.directoryPort}"
readyAddress = "${ip}:${this.readyPort}"
metricsAddress = "${ip}:${this.metricsPort}"
processorShare = 0.675
processorSpeed = 1
[cluster]
keys = ["peers-on-the-machines-of-one-installation"]
[store]
address = "${this.#deployment.store.address}"
readsPerSecond = 2000
writesPerSecond = 400
${this.#cloudAddress === undefined ? "" : `[duties]\naddress = "${this.#cloudAddress}"`}
[limits]
memoryMb = 350
descriptors = ${this.#settings.descriptors ?? 4_100}
[promises]
quotaWindowSeconds = 8
quotaTolerance = 110000
repeatWindowSeconds = 10
repeatRatio = 0.2
repeatExtra = 52
usageWindowSeconds = 5
usageDueSeconds = 10
stopLimitSeconds = 8
endpointLeaveMs = 2000
endpointHeartbeatMs = 1200
configurationApplyMs = 2000
leadPauseMs = 3000
eventDelayMs = 120
`);
        const [program, ...words] = readCommand();
        const log = createWriteStream(this.logFile, { flags: "a" });
        this.#isAsked = false;
        const child = spawn(program, words, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, FILBERTRELAY_NODE_FILE: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.#child = child;
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.once("exit", (code, signal) => {
            if (!this.#isAsked) {
                this.ownEnds.push(signal ?? String(code));
                this.#deployment.note(`host ${index} has ended by itself: ${signal ?? code}`);
            }
        });
    }

    async awaitReady(limitMs = 10_000) {
        const untilMs = performance.now() + limitMs;
        while (performance.now() < untilMs) {
            const status = await askStatus(this.ip, this.readyPort, "/readyz");
            if (status === 200) {
                return;
            }
            await delay(50);
        }
        throw new Unplayable(`host ${this.index} is not ready`);
    }

    signal(name) {
        this.#isAsked ||= name === "SIGTERM" || name === "SIGKILL";
        this.#child.kill(name);
    }

    /** Largest resident memory so far, in MB. */
    peakMemoryMb() {
        try {
            const text = readFileSync(`/proc/${this.pid}/status`, "utf8");
            return Number(/^VmHWM:\s+(\d+)/m.exec(text)[1]) / 1_024;
        }
        catch {
            return undefined;
        }
    }

    async end() {
        const child = this.#child;
        if (child !== undefined && child.exitCode === null && child.signalCode === null) {
            const ended = new Promise(resolve => child.once("exit", resolve));
            this.#isAsked = true;
            child.kill("SIGCONT");
            child.kill("SIGKILL");
            await ended;
        }
    }
}

/** The case could not be played. */
export class Unplayable extends Error {}

/** Asks an address once; resolves with the status, 0 without an answer in time. */
export function askStatus(host, port, path, limitMs = 1_000) {
    return new Promise(resolve => {
        const channel = new Channel(host, port);
        const timer = setTimeout(() => finish(0), limitMs);
        const finish = status => {
            clearTimeout(timer);
            channel.destroy();
            resolve(status);
        };
        channel.send(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\n\r\n`);
        void channel.next().then(answer => finish(answer?.status ?? 0));
    });
}

/** A client's channel, on which it writes raw bytes and reads answers. */
export class Channel {
    answers = [];
    isClosed = false;
    bytes = Buffer.alloc(0);
    #socket;
    #waiting = [];
    #taken = 0;

    constructor(host, port, options = {}) {
        this.#socket = connect({ host, port, noDelay: true, ...options });
        this.#socket.on("data", data => this.#receive(data));
        this.#socket.on("error", error => this.error = error.code);
        this.#socket.on("end", () => this.#end());
        this.#socket.on("close", () => this.#end());
    }

    get socket() {
        return this.#socket;
    }

    send(bytes) {
        this.#socket.write(bytes, "latin1");
    }

    destroy() {
        this.#socket.destroy();
    }

    reset() {
        this.#socket.resetAndDestroy();
    }

    /** Resolves with the next complete answer; without one, with nothing when the channel has ended. */
    async next() {
        while (this.#taken >= this.answers.length) {
            if (this.isClosed) {
                return undefined;
            }
            await new Promise(resolve => this.#waiting.push(resolve));
        }
        this.#taken += 1;
        return this.answers[this.#taken - 1];
    }

    #receive(data) {
        this.bytes = Buffer.concat([this.bytes, data]);
        for (let parsed = parseAnswer(this.bytes); parsed !== undefined; parsed = parseAnswer(this.bytes)) {
            this.bytes = this.bytes.subarray(parsed.length);
            this.answers.push({ ...parsed.answer, atMs: performance.now() });
        }
        this.#waiting.splice(0).forEach(resolve => resolve());
    }

    #end() {
        this.isClosed = true;
        this.#waiting.splice(0).forEach(resolve => resolve());
    }
}

/** Parses an answer with a length or in chunks. */
function parseAnswer(bytes) {
    const headEnd = bytes.indexOf("\r\n\r\n");
    if (headEnd === -1) {
        return undefined;
    }
    const [first, ...lines] = bytes.subarray(0, headEnd).toString("latin1").split("\r\n");
    const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()]));
    const status = Number(first.split(" ")[1]);
    const start = headEnd + 4;
    if (status < 200) {
        return { length: start, answer: { status, headers, body: "" } };
    }
    if (headers["transfer-encoding"] === undefined) {
        const end = start + Number(headers["content-length"] ?? 0);
        return bytes.length < end ? undefined : { length: end, answer: { status, headers, body: bytes.subarray(start, end).toString("latin1") } };
    }
    const pieces = [];
    for (let offset = start;;) {
        const lineEnd = bytes.indexOf("\r\n", offset);
        if (lineEnd === -1) {
            return undefined;
        }
        const size = parseInt(bytes.subarray(offset, lineEnd).toString("latin1"), 16);
        const next = lineEnd + 2 + size + 2;
        if (bytes.length < next) {
            return undefined;
        }
        if (size === 0) {
            return { length: next, answer: { status, headers, body: Buffer.concat(pieces).toString("latin1") } };
        }
        pieces.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
        offset = next;
    }
}

/** A request as a client writes it. */
export function renderRequest({ id, method = "POST", path, body = "", waitMs = 4_000, headers = [] }) {
    const lines = [
        `${method} ${path} HTTP/1.1`,
        "Host: shop.example",
        `X-Filbertrelay-Attempt-Id: ${id}`,
        `X-Filbertrelay-Deadline-Ms: ${waitMs}`,
        `Authorization: Bearer ${customerKey}`,
        ...headers,
        ...(method === "GET" ? [] : [`Content-Length: ${body.length}`]),
    ];
    return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** A configuration with the kinds of route of a small deployment. */
export function createConfiguration({ version = 1, limits = {}, routes = [], backends = [], tenants } = {}) {
    const common = { hostname: "shop.example", priority: 2 };
    return {
        version,
        routeList: [
            { name: "orders", prefix: "/orders/", routeType: "non_idempotent", backend: "ledger", timeoutMs: 4_000, targetLatencyMs: 1_000, maxAttempts: 1 },
            { name: "lookups", prefix: "/lookups/", routeType: "idempotent", backend: "ledger", timeoutMs: 4_000, targetLatencyMs: 1_000, maxAttempts: 2 },
            { name: "streams", prefix: "/streams/", routeType: "streaming", backend: "inkwell", timeoutMs: 15_000, targetLatencyMs: 2_000, maxAttempts: 2, streamResume: true, itlTargetMs: 600, sessionAffinity: true },
            ...routes,
        ].map(route => ({ ...common, ...route })),
        backends: [
            { name: "ledger", maxConnections: 96, healthPath: "/healthz" },
            { name: "inkwell", maxConnections: 360, healthPath: "/healthz" },
            ...backends,
        ],
        tenants: tenants ?? [{ name: customerName, apiKeys: [customerKey] }],
        limits: { maxHeaderBytes: 65_536, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000, ...limits },
    };
}

/** Whether an engine gets a status request, which runs nothing. */
export function isStatusRequest({ target }) {
    return target === "/healthz" || target === "/report";
}

/** Plays a case and ends the process with its result. */
export async function play(recordFile, run) {
    const deployment = new Deployment(recordFile);
    const abandon = reason => {
        deployment.note(`not played: ${reason instanceof Error ? reason.stack : reason}`);
        void deployment.stop().finally(() => process.exit(2));
    };
    ["SIGTERM", "SIGINT", "uncaughtException", "unhandledRejection"].forEach(event => process.once(event, abandon));
    let code = 2;
    try {
        code = await run(deployment) ? 1 : 0;
    }
    catch (error) {
        deployment.note(`not played: ${error.stack}`);
    }
    finally {
        await deployment.stop();
    }
    deployment.note(code === 1 ? "the rule was broken" : code === 0 ? "the rule held" : "the case could not be played");
    process.exit(code);
}
