import { createIngressDaemon, parseIngressSettings, requestEvents } from "@filbertrelay/ingress";
import type { Environment, IngressLifecycle } from "@filbertrelay/ingress";
import { createSystemClock } from "@filbertrelay/kernel";
import type { Kernel } from "@filbertrelay/kernel";
import {
    createDirectoryRoutes,
    createPlatformDecoder,
    createPlatformDialect,
    createPlatformStore,
    createReadyRoutes,
} from "@filbertrelay/platform";
import { describeEngine, renderResponse, StandinEngine, StandinStore } from "@filbertrelay/platform/standins";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";
import { Agent, request } from "node:http";
import type { IncomingMessage } from "node:http";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** The routes of the fixture; `name` is also the path prefix. */
const routes = [
    { name: "idempotent", routeType: "idempotent", backend: "records", maxAttempts: 2 },
    { name: "nonIdempotent", routeType: "non_idempotent", backend: "records", maxAttempts: 1 },
    { name: "stream", routeType: "streaming", backend: "assistant", maxAttempts: 2, streamResume: true, itlTargetMs: 600 },
    {
        name: "slowStream",
        routeType: "streaming",
        backend: "assistant",
        maxAttempts: 2,
        streamResume: true,
        itlTargetMs: 600,
        timeoutMs: 6_000,
    },
    {
        name: "slowLookup",
        routeType: "idempotent",
        backend: "records",
        maxAttempts: 2,
        timeoutMs: 6_000,
        targetLatencyMs: 6_000,
    },
    {
        name: "slowOrder",
        routeType: "non_idempotent",
        backend: "records",
        maxAttempts: 1,
        timeoutMs: 6_000,
        targetLatencyMs: 6_000,
    },
    {
        name: "splitStream",
        routeType: "streaming",
        trafficSplit: [{ backend: "assistant", weight: 50 }, { backend: "records", weight: 50 }],
        maxAttempts: 2,
        streamResume: true,
        itlTargetMs: 600,
    },
    { name: "plainStream", routeType: "streaming", backend: "assistant", maxAttempts: 1, streamResume: false, itlTargetMs: 600 },
];

/** The timeout of routes that set none of their own. */
export const routeTimeoutMs = 1_200;
/** The API key of the customer of most requests, and that of another one. */
export const customerKey = "key-of-the-crew";
export const otherCustomerKey = "key-of-others";

/** The response as received by a caller. */
export interface CallerResponse {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    readonly isComplete: boolean;
    readonly elapsedMs: number;
    /** When each body chunk arrived, relative to the start of the request. */
    readonly chunkArrivalsMs: readonly number[];
    readonly requestId: string;
}

/** An ingress host with a store and two engines, all on loopback. */
export class IngressFixture {
    readonly store = new StandinStore();
    readonly engines: StandinEngine[] = [];
    /** When the host took an endpoint for failed and set back its slow start; monotonic milliseconds. */
    readonly setbacks: { readonly endpoint: unknown; readonly atMs: number; }[] = [];
    readonly #agent = new Agent({ keepAlive: true });
    #kernel: Kernel | undefined;
    #ports: number[] = [];
    #versions: readonly string[] = [];
    #environment: Partial<Environment> = {};
    #nextId = 1;

    /** `promises` holds additional lines for the `[promises]` section of the settings. */
    async start(
        options: {
            readonly hasConfiguration: boolean;
            readonly promises?: string;
            /** Software versions of the engines; `v1` by default. */
            readonly versions?: readonly string[];
            /** Replaces parts of the host's environment. */
            readonly environment?: Partial<Environment>;
            /** Called with the store before the host starts. */
            readonly prepare?: (store: StandinStore) => void;
        },
    ): Promise<void> {
        await this.store.start();
        this.#versions = options.versions ?? [];
        this.#environment = options.environment ?? {};
        options.prepare?.(this.store);
        for (let index = 0; index < 2; index += 1) {
            const engine = new StandinEngine(respondFully);
            await engine.start();
            this.engines.push(engine);
        }
        if (options.hasConfiguration) {
            this.store.put("op/config", createConfiguration(7));
        }
        this.engines.forEach((engine, index) => this.registerEngine(engine, index, "ready"));
        this.#ports = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
        await this.#startHost(options.promises ?? "");
        if (options.hasConfiguration) {
            await waitFor(async () => (await this.readiness()) === 200);
        }
        await waitFor(() => Promise.resolve(this.store.keys("filbertrelay/hosts/").length === 1));
    }

    /** Registers an engine in the store, with one entry for each of the two services. */
    registerEngine(engine: StandinEngine, index: number, state: string): void {
        const version = this.#versions[index] ?? "v1";
        this.store.put(`servers/records-${index}`, describeEngine(engine, { service: "records", state, version }));
        const model = describeEngine(engine, { service: "assistant", state, version, isModel: true });
        this.store.put(`servers/assistant-${index}`, model);
    }

    setBehaviours(...behaviours: EngineBehaviour[]): void {
        this.engines.forEach((engine, index) => {
            engine.behaviour = behaviours[index] ?? behaviours[0] ?? respondFully;
        });
    }

    /** All requests received by the engines. */
    received(): StandinEngine["requests"] {
        return this.engines.flatMap(engine => engine.requests);
    }

    get lifecycle(): IngressLifecycle {
        assert.ok(this.#kernel !== undefined);
        return this.#kernel.get<IngressLifecycle>("lifecycle");
    }

    get callerAddress(): string {
        return `127.0.0.1:${this.#ports[0]}`;
    }

    /** Sends a request and waits for the end of the response; `disconnectAfterMs` closes the connection early. */
    send(
        route: string,
        options: {
            readonly body?: string;
            readonly key?: string;
            readonly requestId?: string | undefined;
            readonly path?: string;
            readonly disconnectAfterMs?: number;
            /** Parts of the prompt, each with 100 tokens. */
            readonly parts?: readonly string[];
            readonly headers?: Readonly<Record<string, string>>;
        } = {},
    ): Promise<CallerResponse> {
        const requestId = "requestId" in options ? options.requestId : `request-${this.#nextId}`;
        this.#nextId += 1;
        const startMs = performance.now();
        return new Promise(resolve => {
            const arrivalsMs: number[] = [];
            const finish = (received: Pick<CallerResponse, "status" | "headers" | "body" | "isComplete">): void =>
                resolve({
                    ...received,
                    chunkArrivalsMs: arrivalsMs,
                    elapsedMs: performance.now() - startMs,
                    requestId: requestId ?? "",
                });
            const sent = request({
                host: "127.0.0.1",
                port: this.#ports[0],
                agent: this.#agent,
                method: route === "idempotent" ? "GET" : "POST",
                path: options.path ?? `/${route}/item?of=${route}`,
                headers: {
                    "Host": "shop.example",
                    "X-Filbertrelay-Deadline-Ms": "5000",
                    "Authorization": `Bearer ${options.key ?? customerKey}`,
                    ...options.headers,
                    ...(requestId === undefined ? {} : { "X-Filbertrelay-Attempt-Id": requestId }),
                    ...(options.parts === undefined ? {} : {
                        "X-Filbertrelay-Token-Usage": `${options.parts.length * 100},10`,
                        "X-Filbertrelay-Prefix-Hash": options.parts.map(part => `${part}:100`).join(),
                    }),
                },
            }, response => {
                let body = "";
                response.setEncoding("utf8");
                response.on("data", (chunk: string) => {
                    body += chunk;
                    arrivalsMs.push(performance.now() - startMs);
                });
                response.on("error", () => undefined);
                response.on(
                    "close",
                    () =>
                        finish({
                            status: response.statusCode ?? 0,
                            headers: response.headers,
                            body,
                            isComplete: response.complete,
                        }),
                );
            });
            sent.on("error", () => finish({ status: 0, headers: {}, body: "", isComplete: false }));
            sent.end(options.body ?? "");
            if (options.disconnectAfterMs !== undefined) {
                setTimeout(() => sent.destroy(), options.disconnectAfterMs);
            }
        });
    }

    /** Sends a request and closes the connection. Blocks the event loop for `busyMs`, so that the host reads both only afterwards. */
    async sendAndDisconnect(route: string, busyMs: number): Promise<void> {
        const socket = connect(this.#ports[0]!, "127.0.0.1");
        await new Promise(resolve => socket.once("connect", resolve));
        // The host must accept the connection before the event loop is blocked.
        await new Promise(resolve => setTimeout(resolve, 20));
        const headers = `Host: shop.example\r\nX-Filbertrelay-Attempt-Id: left-1\r\nAuthorization: Bearer ${customerKey}\r\n`;
        socket.end(`POST /${route}/item HTTP/1.1\r\n${headers}Content-Length: 5\r\n\r\norder`);
        // `end` is flushed at the end of this turn; the event loop is blocked right after that.
        await new Promise<void>(resolve =>
            setImmediate(() => {
                const untilMs = performance.now() + busyMs;
                while (performance.now() < untilMs) {
                    // Busy-waits to simulate a host that gets no CPU time.
                }
                resolve();
            })
        );
        socket.destroy();
    }

    async readiness(): Promise<number> {
        return (await fetch(`http://127.0.0.1:${this.#ports[3]}/readyz`)).status;
    }

    async directory(): Promise<unknown> {
        const response = await fetch(`http://127.0.0.1:${this.#ports[2]}/resolution?name=shop.example&region=r&zone=zone-a`);
        return await response.json();
    }

    async stop(): Promise<void> {
        await this.#kernel?.stop(performance.now() + 1_000);
        this.#agent.destroy();
        this.engines.forEach(engine => engine.stop());
        this.store.stop();
    }

    async #startHost(promises: string): Promise<void> {
        const [callers, peers, directory, ready] = this.#ports;
        const settings = parseIngressSettings(`
[host]
id = "host-1"
failureDomain = "zone-a"
callerAddress = "127.0.0.1:${callers}"
peerAddress = "127.0.0.1:${peers}"
directoryAddress = "127.0.0.1:${directory}"
readyAddress = "127.0.0.1:${ready}"
[cluster]
keys = ["a-secret-of-16-characters"]
[store]
address = "${this.store.address}"
readsPerSecond = 100
writesPerSecond = 100
[promises]
stopLimitSeconds = 3
directoryKeepSeconds = 0.5
${promises}
`);
        assert.ok(settings.ok);
        const clock = createSystemClock();
        this.#kernel = createIngressDaemon(settings.value, {
            clock,
            log: {
                write: ({ number }, fields) => {
                    if (number === requestEvents.paceChanged.number && fields?.["change"] === "failed") {
                        this.setbacks.push({ endpoint: fields["endpoint"], atMs: performance.now() });
                    }
                },
            },
            draw: Math.random,
            environment: {
                createStore: onCall => createPlatformStore({ address: this.store.address, clock, timeoutMs: 500, onCall }),
                decoder: createPlatformDecoder(),
                dialect: createPlatformDialect(),
                createDuties: () => undefined,
                createDirectoryRoutes,
                createReadyRoutes,
                ...this.#environment,
            },
        });
        await this.#kernel.start();
    }
}

/** Sends a complete response to every request. */
export const respondFully: EngineBehaviour = (received, connection) => connection.send(renderResponse(received));

/** Creates a configuration with the routes of the fixture and additional ones; `only` replaces all routes. */
export function createConfiguration(version: number, additional: readonly string[] = [], only?: readonly unknown[]): unknown {
    const added = additional.map(name => ({ name, routeType: "idempotent", backend: "records", maxAttempts: 2 }));
    return {
        version,
        routeList: only ?? [...routes, ...added].map(route => ({
            ...route,
            hostname: "shop.example",
            prefix: `/${route.name}/`,
            timeoutMs: "timeoutMs" in route ? route.timeoutMs : routeTimeoutMs,
            targetLatencyMs: "targetLatencyMs" in route ? route.targetLatencyMs : 1_000,
            priority: 1,
            public: false,
        })),
        backends: ["records", "assistant"].map(name => ({ name, maxConnections: 100, healthPath: "/healthz" })),
        tenants: [{ name: "crew", apiKeys: [customerKey] }, { name: "others", apiKeys: [otherCustomerKey] }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
    };
}

/** Waits until a condition is met; fails after 10 s. */
export async function waitFor(condition: () => Promise<boolean>): Promise<void> {
    const untilMs = performance.now() + 10_000;
    while (!await condition().catch(() => false)) {
        assert.ok(performance.now() < untilMs, "The condition was not met within 10 s.");
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

/** Returns a port of the loopback address that is free now. */
export async function findPort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}
