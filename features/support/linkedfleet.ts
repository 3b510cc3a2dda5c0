import { createIngressDaemon, parseIngressSettings } from "@filbertrelay/ingress";
import type { OpenSocket } from "@filbertrelay/ingress";
import { createSystemClock, silentEventLog } from "@filbertrelay/kernel";
import type { Kernel } from "@filbertrelay/kernel";
import {
    createDirectoryRoutes,
    createPlatformDecoder,
    createPlatformDialect,
    createPlatformStore,
    createReadyRoutes,
} from "@filbertrelay/platform";
import {
    describeEngine,
    renderEvent,
    renderResponse,
    renderStreamHead,
    StandinEngine,
    StandinStore,
    StoreView,
    streamEnd,
} from "@filbertrelay/platform/standins";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";
import { ProxyRoute } from "@filbertrelay/standins";
import assert from "node:assert/strict";
import { Agent, request } from "node:http";
import { connect, Socket } from "node:net";
import { createConfiguration, customerKey, findPort, waitFor } from "./ingress.js";

const failureDomains = ["zone-a", "zone-b", "zone-c"];
/** Work of an order or a lookup, and the pause between the events of a stream. */
const workMs = 20;
const eventMs = 10;
const streamEvents = 6;

/** One caller's request and what became of it. */
export interface FleetAnswer {
    readonly host: number;
    readonly route: string;
    readonly requestId: string;
    readonly sentMs: number;
    readonly elapsedMs: number;
    readonly status: number;
    readonly isComplete: boolean;
    readonly body: string;
}

/**
 * `hang`: nothing passes, and new connections are not answered; `accept`: nothing passes, but something on the way accepts connections;
 * `refuse`: only open connections go on.
 */
export type LinkFault = "none" | "hang" | "accept" | "refuse";

interface FleetHost {
    readonly kernel: Kernel;
    readonly ports: readonly number[];
    readonly view: StoreView;
    /** The links to the engines, in their order. */
    readonly links: readonly ProxyRoute[];
    /** Addresses of links on which new connections are not answered. */
    readonly hanging: Set<string>;
}

/** Whole hosts in one process, each with links of its own to the engines, which can be cut. */
export class LinkedFleet {
    readonly store = new StandinStore();
    readonly engines: StandinEngine[] = [];
    readonly answers: FleetAnswer[] = [];
    readonly #hosts: FleetHost[] = [];
    readonly #agent = new Agent({ keepAlive: true });
    readonly #open = new Set<Promise<void>>();
    #nextId = 1;

    /** Starts hosts and engines, both spread over three failure domains; each engine stands for one of each service. */
    async start(options: { readonly hosts: number; readonly engines: number; }): Promise<void> {
        await this.store.start();
        this.store.put("op/config", createConfiguration(7));
        for (let index = 0; index < options.engines; index += 1) {
            const engine = new StandinEngine(answerOnTime);
            await engine.start();
            this.engines.push(engine);
            const zone = failureDomains[index % failureDomains.length]!;
            this.store.put(`servers/records-${index}`, describeEngine(engine, { service: "records", zone }));
            this.store.put(`servers/assistant-${index}`, describeEngine(engine, { service: "assistant", zone, isModel: true }));
        }
        for (let index = 0; index < options.hosts; index += 1) {
            this.#hosts.push(await this.#startHost(index));
        }
        await waitFor(() => Promise.resolve(this.store.keys("filbertrelay/hosts/").length === options.hosts));
        for (const { ports } of this.#hosts) {
            await waitFor(async () => (await fetch(`http://127.0.0.1:${ports[3]}/readyz`)).status === 200);
        }
    }

    /** Sets the fault of all links of a host, or of those to some engines. */
    setLinks(host: number, fault: LinkFault, isCut: (engine: number) => boolean = () => true): void {
        const { links, hanging } = this.#hosts[host]!;
        for (const link of links.filter((_, engine) => isCut(engine))) {
            const isSilent = fault === "hang" || fault === "accept";
            link.setFaults({ partition: isSilent ? "silent" : "none", refusesNew: fault === "refuse" });
            const { listen } = link.report();
            if (fault === "hang") {
                hanging.add(listen);
            }
            else {
                hanging.delete(listen);
            }
        }
    }

    /** Resets the connections of a host to all engines. */
    resetLinks(host: number): void {
        this.#hosts[host]!.links.forEach(link => link.disconnect());
    }

    /** Addresses of callers' connections that a host names in its directory. */
    async directory(host: number): Promise<readonly string[]> {
        const url = `http://127.0.0.1:${this.#hosts[host]!.ports[2]}/resolution?name=shop.example&region=r&zone=zone-a`;
        return (await (await fetch(url)).json() as { readonly addresses: readonly string[]; }).addresses;
    }

    callerAddress(host: number): string {
        return `127.0.0.1:${this.#hosts[host]!.ports[0]}`;
    }

    /** Sends requests of all kinds to all hosts in turn for a time. */
    async press(options: { readonly forMs: number; readonly intervalMs: number; }): Promise<void> {
        const untilMs = performance.now() + options.forMs;
        const routes = ["idempotent", "nonIdempotent", "stream"];
        for (let index = 0; performance.now() < untilMs; index += 1) {
            this.send(index % this.#hosts.length, routes[Math.floor(index / this.#hosts.length) % routes.length]!);
            await new Promise(resolve => setTimeout(resolve, options.intervalMs));
        }
    }

    /** Sends one request; its answer is recorded when it has ended. */
    send(host: number, route: string): void {
        const sent = this.#ask(host, route).then(answer => void this.answers.push(answer));
        this.#open.add(sent);
        void sent.finally(() => this.#open.delete(sent));
    }

    /** Waits for the ends of all requests. */
    async drain(): Promise<void> {
        await Promise.all(this.#open);
    }

    async stop(): Promise<void> {
        this.#agent.destroy();
        await Promise.all(this.#hosts.map(({ kernel }) => kernel.stop(performance.now() + 1_000)));
        await Promise.all(this.#hosts.flatMap(({ links }) => links.map(link => link.close())));
        this.#hosts.forEach(({ view }) => view.stop());
        this.engines.forEach(engine => engine.stop());
        this.store.stop();
    }

    async #startHost(index: number): Promise<FleetHost> {
        const links = await Promise.all(this.engines.map(async ({ address }, engine) => {
            const link = new ProxyRoute({ id: `host-${index}-${engine}`, target: address, labels: [], random: Math.random });
            // Nobody else takes the port of a link that refuses connections.
            await link.listen(`127.${1 + process.pid % 250}.251.${1 + index}:0`);
            return link;
        }));
        const reached = new Map(links.map(link => [link.target, link.report().listen]));
        const view = new StoreView(this.store.address, address => reached.get(address) ?? address);
        await view.start();
        const ports = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
        const settings = parseIngressSettings(`
[host]
id = "host-${index}"
failureDomain = "${failureDomains[index % failureDomains.length]}"
callerAddress = "127.0.0.1:${ports[0]}"
peerAddress = "127.0.0.1:${ports[1]}"
directoryAddress = "127.0.0.1:${ports[2]}"
readyAddress = "127.0.0.1:${ports[3]}"
[cluster]
keys = ["a-secret-of-16-characters"]
[store]
address = "${view.address}"
readsPerSecond = 1000
writesPerSecond = 100
[promises]
repeatExtra = 200
`);
        assert.ok(settings.ok);
        const clock = createSystemClock();
        const hanging = new Set<string>();
        const openSocket: OpenSocket = target => hanging.has(`${target.host}:${target.port}`) ? new Socket() : connect(target);
        const kernel = createIngressDaemon(settings.value, {
            clock,
            log: silentEventLog,
            draw: Math.random,
            openSocket,
            environment: {
                createStore: onCall => createPlatformStore({ address: view.address, clock, timeoutMs: 500, onCall }),
                decoder: createPlatformDecoder(),
                dialect: createPlatformDialect(),
                createDuties: () => undefined,
                createDirectoryRoutes,
                createReadyRoutes,
            },
        });
        await kernel.start();
        return { kernel, ports, view, links, hanging };
    }

    #ask(host: number, route: string): Promise<FleetAnswer> {
        const requestId = `request-${this.#nextId}`;
        this.#nextId += 1;
        const sentMs = performance.now();
        return new Promise(resolve => {
            const end = (status: number, isComplete: boolean, body: string): void =>
                resolve({ host, route, requestId, sentMs, elapsedMs: performance.now() - sentMs, status, isComplete, body });
            const sent = request({
                host: "127.0.0.1",
                port: this.#hosts[host]!.ports[0],
                agent: this.#agent,
                method: route === "idempotent" ? "GET" : "POST",
                path: `/${route}/item`,
                headers: {
                    "Host": "shop.example",
                    "Authorization": `Bearer ${customerKey}`,
                    "X-Filbertrelay-Deadline-Ms": "1200",
                    "X-Filbertrelay-Attempt-Id": requestId,
                },
            }, response => {
                let body = "";
                response.setEncoding("utf8");
                response.on("data", (chunk: string) => body += chunk);
                response.on("error", () => undefined);
                response.on("close", () => end(response.statusCode ?? 0, response.complete, body));
            });
            sent.on("error", () => end(0, false, ""));
            sent.end(route === "idempotent" ? "" : requestId);
        });
    }
}

/** Answers orders and lookups after a while, and streams with some events. */
const answerOnTime: EngineBehaviour = (received, connection) => {
    if (!received.target.startsWith("/stream/")) {
        setTimeout(() => connection.send(renderResponse(received)), workMs);
        return;
    }
    connection.send(renderStreamHead(received));
    let id = Number(received.headers["last-event-id"] ?? 0);
    const timer = setInterval(() => {
        id += 1;
        connection.send(renderEvent(id));
        if (id >= streamEvents) {
            clearInterval(timer);
            connection.send(streamEnd);
        }
    }, eventMs);
    connection.onClosed(() => clearInterval(timer));
};
