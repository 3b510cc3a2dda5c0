import { createVirtualClock } from "@filbertrelay/kernel";
import type { EndpointId, VirtualClock } from "@filbertrelay/kernel";
import { prefixBlockTokens } from "@filbertrelay/policy";
import type { EngineEnd, EngineOptions } from "../engine/engine.js";
import { createRandom } from "../random.js";
import { createFleet, observeFleet } from "./fleet.js";
import type { FleetEngine } from "./fleet.js";
import type { Arrival, ReplayRequest } from "./request.js";
import type { Router, RouterFactory } from "./router.js";

/** What became of one request. */
export interface ReplayRecord {
    readonly request: ReplayRequest;
    readonly arrivedMs: number;
    firstTokenMs?: number;
    finishedMs?: number;
    /** Prompt tokens that engines computed. */
    computedTokens: number;
    /** Tokens that nobody had computed before: blocks that are new in the trace, and the last partial block. */
    readonly newTokens: number;
}

/** Options of `replay`. */
export interface ReplayOptions {
    readonly arrivals: readonly Arrival[];
    readonly router: RouterFactory;
    readonly hosts: number;
    readonly engines: number;
    readonly failureDomains: readonly string[];
    readonly engineOptions: Omit<EngineOptions, "clock">;
    /** How often a host reads reports; 250 ms by default. */
    readonly readIntervalMs?: number;
    /** Hosts read reports before each decision, for the oracle. */
    readonly readAlways?: boolean;
    /** Requests in progress at any time; arrivals' times are then ignored. */
    readonly closedLoop?: number;
    readonly seed: number;
}

/** Records of all requests with the time of the last event. */
export interface ReplayResult {
    readonly records: readonly ReplayRecord[];
    readonly durationMs: number;
    readonly busyMs: number;
}

interface ReplayHost {
    readonly router: Router;
    readonly readNow: () => void;
    readonly stop: () => void;
}

const noLimits = { excluded: new Set<EndpointId>(), avoidedFailureDomains: new Set<never>() };

/** Replays requests through independent entry hosts against an emulated fleet, until all have ended. */
export function replay(options: ReplayOptions): ReplayResult {
    const clock = createVirtualClock();
    const run = new ReplayRun(clock, options);
    return run.complete();
}

class ReplayRun {
    readonly #clock: VirtualClock;
    readonly #options: ReplayOptions;
    readonly #fleet: readonly FleetEngine[];
    readonly #engines: ReadonlyMap<EndpointId, FleetEngine>;
    readonly #hosts: readonly ReplayHost[];
    readonly #seenBlocks = new Set<string>();
    readonly #records: ReplayRecord[] = [];
    readonly #pending: Arrival[];
    #open: number;

    constructor(clock: VirtualClock, options: ReplayOptions) {
        this.#clock = clock;
        this.#options = options;
        this.#fleet = createFleet({ clock, ...options });
        this.#engines = new Map(this.#fleet.map(engine => [engine.endpointId, engine]));
        const random = createRandom(options.seed);
        const intervalMs = options.readIntervalMs ?? 250;
        this.#hosts = Array.from({ length: options.hosts }, () => {
            const router = options.router(this.#fleet, random);
            return { router, ...observeFleet(this.#fleet, router, { clock, intervalMs, phaseMs: random.unit() * intervalMs }) };
        });
        this.#pending = [...options.arrivals];
        this.#open = options.arrivals.length;
    }

    complete(): ReplayResult {
        if (this.#options.closedLoop === undefined) {
            this.#pending.forEach(arrival => this.#clock.after(arrival.atMs, () => this.#arrive(arrival)));
        }
        else {
            for (let count = 0; count < this.#options.closedLoop; count += 1) {
                this.#arriveNext();
            }
        }
        while (this.#open > 0 && this.#clock.step()) {
            // Each step runs one event.
        }
        this.#hosts.forEach(host => host.stop());
        const busyMs = this.#fleet.reduce((sum, { engine }) => sum + engine.busyMs, 0);
        return { records: this.#records, durationMs: this.#clock.monotonicMs(), busyMs };
    }

    #arriveNext(): void {
        const next = this.#pending.shift();
        if (next !== undefined) {
            this.#arrive(next);
        }
    }

    #arrive({ request, host: hostNumber }: Arrival): void {
        const host = this.#hosts[hostNumber];
        if (host === undefined) {
            throw new RangeError(`There is no entry host ${hostNumber}.`);
        }
        if (this.#options.readAlways === true) {
            host.readNow();
        }
        const newTokens = this.#countNewTokens(request);
        const record: ReplayRecord = { request, arrivedMs: this.#clock.monotonicMs(), computedTokens: 0, newTokens };
        this.#records.push(record);
        const endpointId = host.router.choose(request, this.#clock.now(), noLimits);
        const target = endpointId === undefined ? undefined : this.#engines.get(endpointId);
        if (target !== undefined) {
            this.#dispatch(host.router, target, record);
        }
    }

    #dispatch(router: Router, { endpointId, engine }: FleetEngine, record: ReplayRecord): void {
        const { request } = record;
        const { prompt, priority, answerTokens } = request;
        engine.submit({ requestId: request.id, prompt, priority, maxTokens: answerTokens, answerTokens }, {
            token: () => {
                if (record.firstTokenMs === undefined) {
                    record.firstTokenMs = this.#clock.monotonicMs();
                    router.recordFirstToken(endpointId, request, this.#clock.now());
                }
            },
            end: (end: EngineEnd) => {
                record.computedTokens += end.computedTokens;
                record.finishedMs = this.#clock.monotonicMs();
                router.recordFinish(endpointId, request, this.#clock.now());
                this.#open -= 1;
                if (this.#options.closedLoop !== undefined) {
                    this.#arriveNext();
                }
            },
        });
    }

    #countNewTokens({ prompt }: ReplayRequest): number {
        const newBlocks = prompt.blocks.filter(block => !this.#seenBlocks.has(block));
        newBlocks.forEach(block => this.#seenBlocks.add(block));
        return newBlocks.length * prefixBlockTokens + prompt.promptTokens - prompt.blocks.length * prefixBlockTokens;
    }
}
