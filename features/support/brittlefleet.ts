import { createIngressDaemon, parseIngressSettings } from "@filbertrelay/ingress";
import { createSystemClock, silentEventLog } from "@filbertrelay/kernel";
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
import { Agent, request } from "node:http";
import { createConfiguration, customerKey, findPort, waitFor } from "./ingress.js";

/** What a caller of the fleet got. */
export interface FleetAnswer {
    readonly status: number;
    readonly retryAfter: string | undefined;
    readonly elapsedMs: number;
}

const hostCount = 3;
const engineCount = 2;
/** Requests that wait at an engine before and from `fragileMs` on. */
const calmQueue = 3;
/** The engines let none wait and fall this long after they began to say that they are brittle. */
const fragileMs = 3_000;
const downMs = 2_500;
const answerMs = 300;
const notExecuted = "X-Filbertrelay-Not-Executed: 1";

/** Hosts on loopback before brittle engines, which fall when they reject too many requests within a second. */
export class BrittleFleet {
    readonly store = new StandinStore();
    readonly #capacity: number;
    readonly #rejections: number;
    readonly #agent = new Agent({ keepAlive: true });
    readonly #engines: { readonly engine: StandinEngine; readonly state: EngineState; }[] = [];
    #kernels: Kernel[] = [];
    #callerPorts: number[] = [];
    #beganMs = Infinity;
    #sent = 0;

    /** `capacity` is what an engine runs at once, `rejections` what it survives within a second. */
    constructor(capacity: number, rejections: number) {
        this.#capacity = capacity;
        this.#rejections = rejections;
    }

    /** Number of falls so far. */
    get falls(): number {
        return this.#engines.reduce((sum, { engine }) => sum + engine.crashes, 0);
    }

    /** Time that requests were run in since the engines are fragile, over all engines, in milliseconds. */
    get busyMs(): number {
        return this.#engines.reduce((sum, { state }) => sum + state.busyMs, 0);
    }

    /** Room of all engines in a span, in milliseconds of requests. */
    roomMs(spanMs: number): number {
        return spanMs * engineCount * this.#capacity;
    }

    /** Requests a second that the engines have room for. */
    get roomPerSecond(): number {
        return this.roomMs(1_000) / answerMs;
    }

    async start(): Promise<void> {
        await this.store.start();
        this.store.put("op/config", createConfiguration(7));
        for (let index = 0; index < engineCount; index += 1) {
            const state: EngineState = { running: 0, rejectedMs: [], busyMs: 0 };
            const engine = new StandinEngine((...args) => this.#behave(engine, state)(...args));
            await engine.start();
            this.#engines.push({ engine, state });
            this.store.put(`servers/records-${index}`, {
                ...describeEngine(engine, { service: "records" }),
                capacity: this.#capacity,
            });
        }
        for (let index = 0; index < hostCount; index += 1) {
            await this.#startHost(index);
        }
        await waitFor(() => Promise.resolve(this.store.keys("filbertrelay/hosts/").length === hostCount));
    }

    /** Sends so many requests a second to the hosts in turn. */
    async press(perSecond: number, seconds: number): Promise<FleetAnswer[]> {
        this.#beganMs = performance.now();
        const answers: Promise<FleetAnswer>[] = [];
        while (performance.now() < this.#beganMs + seconds * 1_000) {
            const due = (performance.now() - this.#beganMs) / 1_000 * perSecond;
            while (answers.length < due) {
                answers.push(this.#send());
            }
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        return await Promise.all(answers);
    }

    async stop(): Promise<void> {
        await Promise.all(this.#kernels.map(kernel => kernel.stop(performance.now() + 1_000)));
        this.#agent.destroy();
        this.#engines.forEach(({ engine }) => engine.stop());
        this.store.stop();
    }

    #behave(engine: StandinEngine, state: EngineState): EngineBehaviour {
        return (received, { send }) => {
            const nowMs = performance.now();
            const isFragile = nowMs >= this.#beganMs + fragileMs;
            const brittle = `Server-Brittle: ${this.#rejections}\r\nContent-Length`;
            if (state.running >= this.#capacity + (isFragile ? 0 : calmQueue)) {
                state.rejectedMs = [...state.rejectedMs, nowMs].filter(atMs => atMs > nowMs - 1_000);
                send(renderResponse(received, { status: 503 }).replace("Content-Length", `${notExecuted}\r\n${brittle}`));
                if (isFragile && state.rejectedMs.length > this.#rejections) {
                    engine.crash(downMs);
                    state.running = 0;
                    state.rejectedMs = [];
                }
                return;
            }
            const { crashes } = engine;
            state.running += 1;
            setTimeout(() => {
                if (engine.crashes === crashes) {
                    state.running -= 1;
                    state.busyMs += isFragile ? answerMs : 0;
                    send(renderResponse(received).replace("Content-Length", brittle));
                }
            }, answerMs);
        };
    }

    #send(): Promise<FleetAnswer> {
        const startMs = performance.now();
        const port = this.#callerPorts[this.#sent % hostCount]!;
        this.#sent += 1;
        return new Promise(resolve => {
            const finish = (status: number, headers: Readonly<Record<string, unknown>>): void =>
                resolve({
                    status,
                    retryAfter: headers["retry-after"] as string | undefined,
                    elapsedMs: performance.now() - startMs,
                });
            const sent = request({
                host: "127.0.0.1",
                port,
                agent: this.#agent,
                path: "/idempotent/item",
                headers: {
                    "Host": "shop.example",
                    "X-Filbertrelay-Deadline-Ms": "5000",
                    "Authorization": `Bearer ${customerKey}`,
                    "X-Filbertrelay-Attempt-Id": `pressing-${this.#sent}`,
                },
            }, response => {
                response.resume();
                response.on("close", () => finish(response.statusCode ?? 0, response.headers));
            });
            sent.on("error", () => finish(0, {}));
            sent.end();
        });
    }

    async #startHost(index: number): Promise<void> {
        const [callers, peers, directory, ready] = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
        this.#callerPorts.push(callers);
        const settings = parseIngressSettings(`
[host]
id = "host-${index + 1}"
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
`);
        if (!settings.ok) {
            throw new Error("The settings of the test's hosts are invalid.");
        }
        const clock = createSystemClock();
        const kernel = createIngressDaemon(settings.value, {
            clock,
            log: silentEventLog,
            draw: Math.random,
            environment: {
                createStore: onCall => createPlatformStore({ address: this.store.address, clock, timeoutMs: 500, onCall }),
                decoder: createPlatformDecoder(),
                dialect: createPlatformDialect(),
                createDuties: () => undefined,
                createDirectoryRoutes,
                createReadyRoutes,
            },
        });
        this.#kernels.push(kernel);
        await kernel.start();
        await waitFor(async () => (await fetch(`http://127.0.0.1:${ready}/readyz`)).status === 200);
    }
}

interface EngineState {
    running: number;
    rejectedMs: number[];
    busyMs: number;
}
