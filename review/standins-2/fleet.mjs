// Starts what a case needs on loopback addresses: the platform's store and cloud, engines, and the project's program with the command and
// the settings template of the deploy file. Plain Node.js, without a build step and without dependencies.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export const root = fileURLToPath(new URL("../..", import.meta.url));
export const isTroubled = process.env.TROUBLE !== "0";
export { sleep };

/** Writes what happened to record.txt beside the script. */
export class Record {
    constructor(scriptUrl) {
        this.file = fileURLToPath(new URL("record.txt", scriptUrl));
        this.startMs = performance.now();
        this.lines = [];
    }

    write(text) {
        this.lines.push(`${((performance.now() - this.startMs) / 1_000).toFixed(3)} ${text}`);
    }

    save() {
        writeFileSync(this.file, `${this.lines.join("\n")}\n`);
    }
}

/** An address of this run alone; the last part is chosen by the caller. */
const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
export const loopback = last => `${network}.${last}`;

const readBody = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

/** The platform's store, as PROTOCOL.md describes it; loses nothing and answers at once. */
export class Store {
    #entries = new Map();
    #changes = [];
    #leases = new Map();
    #revision = 1;
    #nextLease = 1;
    #server = createServer((request, response) => void this.#receive(request, response));
    #timer = setInterval(() => this.#expire(), 20);

    async start(ip) {
        await new Promise(resolve => this.#server.listen(0, ip, resolve));
        this.address = `${ip}:${this.#server.address().port}`;
    }

    stop() {
        clearInterval(this.#timer);
        this.#server.close();
        this.#server.closeAllConnections();
    }

    put(key, value) {
        this.#write(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
    }

    remove(key) {
        if (this.#entries.delete(key)) {
            this.#revision += 1;
            this.#changes.push({ key, revision: this.#revision, deleted: true });
        }
    }

    #write(key, value, leaseId) {
        this.#revision += 1;
        const created = this.#entries.get(key)?.created ?? this.#revision;
        this.#entries.set(key, { key, value, revision: this.#revision, created, leaseId });
        this.#changes.push({ key, value, revision: this.#revision, created, leaseId });
    }

    #expire() {
        for (const [id, lease] of this.#leases) {
            if (performance.now() >= lease.untilMs) {
                this.#endLease(id);
            }
        }
    }

    #endLease(id) {
        this.#leases.delete(id);
        [...this.#entries.values()].filter(entry => entry.leaseId === id).forEach(entry => this.remove(entry.key));
    }

    async #receive(request, response) {
        const text = (await readBody(request)).toString();
        const [status, body] = await this.#answer(new URL(request.url, "http://store"), text === "" ? {} : JSON.parse(text));
        response.writeHead(status, { "Content-Type": "application/json" });
        response.end(JSON.stringify(body));
    }

    async #answer(url, body) {
        const [, call, id] = url.pathname.split("/");
        const prefix = url.searchParams.get("prefix") ?? "";
        switch (call) {
            case "kv-key": {
                const entry = this.#entries.get(url.searchParams.get("key"));
                return entry === undefined ? [404, {}] : [200, { ...entry, at: this.#revision }];
            }
            case "kv-range": {
                const after = url.searchParams.get("after") ?? "";
                const keys = [...this.#entries.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
                const entries = keys.slice(0, 500).map(key => this.#entries.get(key));
                return [200, { entries, hasMore: keys.length > 500, at: this.#revision }];
            }
            case "kv-watch":
                return await this.#watch(prefix, Number(url.searchParams.get("after")), Number(url.searchParams.get("waitMs")));
            case "kv-txn":
                return this.#commit(body);
            case "kv-lease": {
                const leaseId = this.#nextLease;
                this.#nextLease += 1;
                this.#leases.set(leaseId, { ttlMs: body.ttlMs, untilMs: performance.now() + body.ttlMs });
                return [200, { leaseId, ttlMs: body.ttlMs }];
            }
            case "kv-keep": {
                const lease = this.#leases.get(Number(id));
                if (lease === undefined) {
                    return [404, {}];
                }
                lease.untilMs = performance.now() + lease.ttlMs;
                return [200, { ttlMs: lease.ttlMs }];
            }
            case "kv-lease-end":
                this.#endLease(Number(id));
                return [200, {}];
            default:
                return [404, {}];
        }
    }

    async #watch(prefix, after, waitMs) {
        const untilMs = performance.now() + waitMs;
        for (;;) {
            const events = this.#changes.filter(change => change.revision > after && change.key.startsWith(prefix));
            if (events.length > 0 || performance.now() >= untilMs) {
                return [200, { events, at: this.#revision }];
            }
            await sleep(5);
        }
    }

    #commit({ expected = [], write = [], remove = [] }) {
        if (expected.some(({ key, revision }) => (this.#entries.get(key)?.revision ?? 0) !== revision)) {
            return [412, { entries: expected.map(({ key }) => this.#entries.get(key) ?? { key, revision: 0 }) }];
        }
        if (write.some(({ leaseId }) => (leaseId ?? 0) !== 0 && !this.#leases.has(leaseId))) {
            return [404, {}];
        }
        remove.forEach(key => this.remove(key));
        write.forEach(({ key, value, leaseId }) => this.#write(key, value, leaseId ?? 0));
        return [200, { revision: this.#revision }];
    }
}

/** The platform's calls for duties: accepts everything and remembers it. */
export class Cloud {
    calls = [];
    #server = createServer((request, response) => void this.#receive(request, response));

    async start(ip) {
        await new Promise(resolve => this.#server.listen(0, ip, resolve));
        this.address = `${ip}:${this.#server.address().port}`;
    }

    stop() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    async #receive(request, response) {
        const body = JSON.parse((await readBody(request)).toString());
        this.calls.push({
            path: request.url,
            holder: request.headers["x-filbertrelay-duty-holder"],
            token: Number(request.headers["x-filbertrelay-fencing-token"]),
            body,
        });
        response.writeHead(200, { "Content-Type": "application/json" });
        response.end("{}");
    }
}

/**
 * An engine. `behaviour(request, connection)` decides the bytes of each answer; without one, a request runs for `workMs` and gets a signed
 * answer. Requests that name another engine get 421, as PROTOCOL.md says.
 */
export class Engine {
    runs = [];
    #server = createTcpServer(socket => this.#accept(socket));
    #sockets = new Set();
    #sequence = 0;
    #timer;

    constructor({ id, service, workMs = 50, behaviour, record, capacity = 64 }) {
        Object.assign(this, { id, service, workMs, behaviour, record, capacity });
    }

    async start(ip, store) {
        await new Promise(resolve => this.#server.listen(0, ip, resolve));
        this.address = `${ip}:${this.#server.address().port}`;
        const born = Date.now();
        const report = () => {
            this.#sequence += 1;
            store.put(`servers/${this.id}`, {
                backend: this.service,
                address: this.address,
                zone: "zone-a",
                version: "v1",
                capacity: this.capacity,
                state: "ready",
                coldRemainingMs: 0,
                sequence: this.#sequence,
                born,
            });
        };
        report();
        this.#timer = setInterval(report, 1_200);
    }

    stop() {
        clearInterval(this.#timer);
        this.#server.close();
        this.#sockets.forEach(socket => socket.destroy());
    }

    #accept(socket) {
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.on("close", () => this.#sockets.delete(socket));
        let received = Buffer.alloc(0);
        socket.on("data", bytes => {
            received = Buffer.concat([received, bytes]);
            for (let end = received.indexOf("\r\n\r\n"); end !== -1; end = received.indexOf("\r\n\r\n")) {
                const [first, ...lines] = received.subarray(0, end).toString("latin1").split("\r\n");
                const headers = Object.fromEntries(lines.map(line => {
                    const colon = line.indexOf(":");
                    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
                }));
                const length = Number(headers["content-length"] ?? 0);
                if (received.length < end + 4 + length) {
                    return;
                }
                const [method, target] = first.split(" ");
                const body = received.subarray(end + 4, end + 4 + length).toString("latin1");
                received = received.subarray(end + 4 + length);
                this.#answer({ method, target, headers, body, id: headers["x-filbertrelay-attempt-id"] ?? "" }, socket);
            }
        });
    }

    #answer(request, socket) {
        const named = request.headers["x-filbertrelay-target-instance"];
        if (named !== undefined && named !== this.id) {
            socket.write("HTTP/1.1 421 Misdirected Request\r\nX-Filbertrelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        this.runs.push({ id: request.id, atMs: performance.now() });
        this.record?.write(`${this.id} runs ${request.id} ${request.method} ${request.target}`);
        if (this.behaviour !== undefined) {
            this.behaviour(request, socket);
            return;
        }
        setTimeout(() => socket.write(answerTo(request, `done ${request.id}`)), this.workMs);
    }
}

/** A complete signed answer. */
export function answerTo({ id }, body, status = "200 OK") {
    return `HTTP/1.1 ${status}\r\nX-Filbertrelay-Attempt-Id: ${id}\r\nX-Filbertrelay-Response-Signature: sig-${id}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** A port that nothing listens on, at any address. */
const findFreePort = () =>
    new Promise(resolve => {
        const server = createTcpServer();
        server.listen(0, "0.0.0.0", () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });

/** The same on all machines of a case. */
const [frontendPort, readyPort, registryPort, internalPort] = await Promise.all([1, 2, 3, 4].map(findFreePort));

/** The limits, bounds and rates of a small deployment (sites/chaulage-relay.toml). */
const common = {
    role: "ingress",
    machineClass: "edge",
    region: "laurentides",
    heartbeatMs: 1200,
    limits: { cpuQuota: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4100 },
    bounds: {
        contactMs: 3000, drainMs: 2000, graceS: 8, configApplyMs: 2000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetExtra: 58,
        quotaWindowS: 8, quotaTolerance: 110000, leaseMs: 3000, usageWindowS: 5, usageDelayS: 10, eventDelayMs: 120,
    },
};

/** Fills in the settings template of the deploy file. */
function fillTemplate(text, scopes) {
    const find = path => {
        for (const scope of scopes) {
            const value = path === "." ? scope : path.split(".").reduce((part, name) => part?.[name], scope);
            if (value !== undefined) {
                return value;
            }
        }
        return undefined;
    };
    return text
        .replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, path, inner) => {
            const value = find(path);
            return value === undefined || value === false ? "" : fillTemplate(inner, [value, ...scopes]);
        })
        .replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(find(path) ?? ""));
}

const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8");
const command = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
const template = readFileSync(join(root, /^template = "(.*)"$/m.exec(deploy)[1]), "utf8");

/** One machine with the project's program. */
export class Host {
    /** Set when the process has ended without being asked to. */
    ownEnd;
    #isAsked = false;
    #folder = mkdtempSync(join(tmpdir(), "review-"));

    constructor({ index, store, cloud, limits = {} }) {
        const ip = loopback(10 + index);
        this.name = `edge-${index}`;
        this.ip = ip;
        this.frontend = { host: ip, port: frontendPort };
        this.ready = { host: ip, port: readyPort };
        this.registry = { host: ip, port: registryPort };
        const settings = {
            ...common,
            nodeName: this.name,
            zone: `zone-${"abc"[index % 3]}`,
            ip,
            internalPorts: [internalPort, internalPort + 15],
            limits: { ...common.limits, ...limits },
            listen: { frontend: `${ip}:${frontendPort}`, ready: `${ip}:${readyPort}`, registry: `${ip}:${registryPort}` },
            platform: { address: store.address, readRateS: 2000, writeRateS: 400 },
            ...(cloud === undefined ? {} : { cloud: { address: cloud.address } }),
        };
        this.settingsFile = join(this.#folder, "node.toml");
        this.logFile = join(this.#folder, "log");
        writeFileSync(this.settingsFile, fillTemplate(template, [settings]));
    }

    start() {
        this.#isAsked = false;
        const [program, ...words] = command;
        const child = spawn(program === "node" ? process.execPath : program, words, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, FILBERTRELAY_NODE_FILE: this.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        this.log = "";
        const keep = bytes => this.log = (this.log + bytes.toString()).slice(-200_000);
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        this.ended = new Promise(resolve =>
            child.once("exit", (code, signal) => {
                if (!this.#isAsked) {
                    this.ownEnd = signal ?? `exit code ${code}`;
                }
                resolve(signal ?? code);
            })
        );
    }

    signal(name) {
        this.#isAsked ||= name === "SIGTERM" || name === "SIGKILL";
        this.child.kill(name);
    }

    /** Resident memory in MB, as the system tells it; 0 once the process has ended. */
    memoryMb() {
        try {
            return Number(/^VmRSS:\s+(\d+)/m.exec(readFileSync(`/proc/${this.child.pid}/status`, "utf8"))?.[1] ?? 0) / 1_024;
        }
        catch {
            return 0;
        }
    }

    async end() {
        if (this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null) {
            this.signal("SIGKILL");
            await this.ended;
        }
        rmSync(this.#folder, { recursive: true, force: true });
    }
}

/** The first lines of an answer and its body, as far as they have arrived. */
export function readAnswer(text) {
    const end = text.indexOf("\r\n\r\n");
    const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
    const length = Number(/\r\ncontent-length: *(\d+)/i.exec(text.slice(0, end + 2))?.[1] ?? 0);
    return { status, isComplete: end !== -1 && text.length >= end + 4 + length, length: end + 4 + length, head: text.slice(0, end) };
}

/** A request's bytes. */
export function renderRequest({ method = "GET", path, id, deadlineMs, headers = {}, body }) {
    const all = {
        "Host": "ficu95.example",
        ...(id === undefined ? {} : { "X-Filbertrelay-Attempt-Id": id }),
        ...(deadlineMs === undefined ? {} : { "X-Filbertrelay-Deadline-Ms": deadlineMs }),
        ...headers,
        ...(body === undefined ? {} : { "Content-Length": body.length }),
    };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `${method} ${path} HTTP/1.1\r\n${lines}\r\n${body ?? ""}`;
}

/** Opens a connection; `text` is what has arrived. */
export function openChannel(address) {
    const socket = connect(address);
    socket.setNoDelay(true);
    const channel = { socket, text: "", isClosed: false };
    socket.on("data", bytes => channel.text += bytes.toString("latin1"));
    socket.on("error", error => channel.error = error.code);
    socket.on("close", () => channel.isClosed = true);
    return channel;
}

/** Sends one request on a channel of its own and resolves with its answer, or with status 0 after `patienceMs` or a closed channel. */
export async function ask(address, request, patienceMs) {
    const startMs = performance.now();
    const channel = openChannel(address);
    channel.socket.write(renderRequest(request), "latin1");
    while (performance.now() - startMs < patienceMs && !readAnswer(channel.text).isComplete && !channel.isClosed) {
        await sleep(5);
    }
    const answer = readAnswer(channel.text);
    const isWhole = answer.isComplete;
    channel.socket.destroy();
    return { status: isWhole ? answer.status : 0, isClosed: channel.isClosed, elapsedMs: performance.now() - startMs, text: channel.text };
}

/** Waits until a host says that it is ready. */
export async function awaitReady(hosts, limitMs = 15_000) {
    const startMs = performance.now();
    for (const host of hosts) {
        for (;;) {
            const { status } = await ask(host.ready, { path: "/readyz" }, 1_000);
            if (status === 200) {
                break;
            }
            if (performance.now() - startMs > limitMs) {
                throw new Error(`${host.name} is not ready.`);
            }
            await sleep(100);
        }
    }
}

export function createConfiguration({ routes, services, limits = {} }) {
    return {
        version: 7,
        routeList: routes,
        backends: services.map(name => ({ name, healthPath: "/healthz", maxConnections: 370 })),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000, ...limits },
    };
}

export function createRoute(name, prefix, options) {
    return { name, hostname: "ficu95.example", prefix, targetLatencyMs: 386, priority: 1, maxAttempts: 1, ...options };
}

/** Runs a case: `play` resolves with whether the rule held. Exits with 0, 1 or, if the case could not run, 2. */
export async function runCase(scriptUrl, play) {
    const record = new Record(scriptUrl);
    const parts = [];
    const finish = async code => {
        for (const part of parts.reverse()) {
            await (part.end?.() ?? part.stop?.());
        }
        record.write(code === 0 ? "the rule held" : code === 1 ? "the rule was broken" : "the case could not run");
        record.save();
        process.exit(code);
    };
    process.once("SIGTERM", () => void finish(2));
    try {
        const isHeld = await play(record, part => {
            parts.push(part);
            return part;
        });
        await finish(isHeld ? 0 : 1);
    }
    catch (error) {
        record.write(`could not run: ${error.stack}`);
        await finish(2);
    }
}
