import { createVirtualClock } from "@filbertrelay/kernel";
import type { EndpointId, VirtualClock } from "@filbertrelay/kernel";
import { planEngineReclaim } from "@filbertrelay/policy";
import type { ReclaimedStream, ReclaimPlan } from "@filbertrelay/policy";
import type { EngineEnd } from "../engine/engine.js";
import { createRandom } from "../random.js";
import { createFleet, observeFleet } from "../replay/fleet.js";
import type { FleetEngine } from "../replay/fleet.js";
import { scheduleArrivals } from "../replay/request.js";
import type { ReplayRequest } from "../replay/request.js";
import { createPolicyRouter } from "../replay/router.js";
import type { Router } from "../replay/router.js";
import { formatTable, percentile } from "../table.js";
import type { TraceHeader } from "../trace/trace.js";
import { prepareDeployment } from "./routing.js";
import type { PreparedDeployment } from "./routing.js";

/** How streams of a reclaimed engine are treated. */
export type ReclaimStrategy = "plan" | "reprefill";

/** What a wave cost. */
export interface StreamMeasurement {
    readonly strategy: ReclaimStrategy;
    readonly noticeMs: number;
    /** Streams on the failure domain at the notice. */
    readonly streams: number;
    readonly finished: number;
    readonly moved: number;
    readonly reprefilled: number;
    /** Streams that the end of the notice cut off because they took longer than expected. */
    readonly cutOff: number;
    /** Prompt and answer tokens that other engines computed again. */
    readonly recomputedTokens: number;
    /** Longest pause between two tokens of an affected stream, at p95. */
    readonly pauseP95Ms: number;
    /** Tokens that came twice or out of order, or never; must be 0. */
    readonly faultyTokens: number;
}

/** Transfer rate of KV cache between hosts, at 10 Gbit/s and about 128 KB per token. */
const moveTokensPerSecond = 10_000;
const moveOverheadMs = 100;
const prefillTokensPerSecond = 6700;
const reserveMs = 500;
const waveAtMs = 25_000;

interface Stream {
    readonly request: ReplayRequest;
    target?: FleetEngine;
    forwardedTokens: number;
    lastTokenMs: number;
    longestPauseMs: number;
    faultyTokens: number;
    attempt: number;
    affected: boolean;
    cutOff: boolean;
    recomputedTokens: number;
    done: boolean;
}

/** Replays a deployment at 70% load and reclaims its first failure domain with a notice. */
export function measureWave(
    prepared: PreparedDeployment,
    noticeMs: number,
    strategy: ReclaimStrategy,
    seed: number,
): StreamMeasurement {
    return new WaveRun(prepared, noticeMs, strategy, seed).complete();
}

class WaveRun {
    readonly #clock: VirtualClock = createVirtualClock();
    readonly #fleet: readonly FleetEngine[];
    readonly #router: Router;
    readonly #streams: Stream[] = [];
    readonly #leaving = new Set<EndpointId>();
    readonly #plans: ReclaimPlan[] = [];
    readonly #noticeMs: number;
    readonly #strategy: ReclaimStrategy;
    #open: number;

    constructor(prepared: PreparedDeployment, noticeMs: number, strategy: ReclaimStrategy, seed: number) {
        const { header, requests, capacity } = prepared;
        this.#noticeMs = noticeMs;
        this.#strategy = strategy;
        const engineOptions = { cacheBlocks: header.engineCacheBlocks };
        this.#fleet = createFleet({
            clock: this.#clock,
            engines: header.engines,
            failureDomains: header.failureDomains,
            engineOptions,
        });
        this.#router = createPolicyRouter({ weights: header.weights })(this.#fleet, createRandom(seed));
        observeFleet(this.#fleet, this.#router, { clock: this.#clock, intervalMs: 250, phaseMs: 0 });
        // The load is low enough that the remaining two thirds can carry it.
        const arrivals = scheduleArrivals(requests, { requestsPerSecond: 0.55 * capacity, hosts: 1, seed });
        this.#open = arrivals.length;
        arrivals.forEach(({ atMs, request }) => this.#clock.after(atMs, () => this.#start(request)));
        this.#clock.after(waveAtMs, () => this.#reclaim(header.failureDomains[0] ?? ""));
    }

    complete(): StreamMeasurement {
        while (this.#open > 0 && this.#clock.step()) {
            // Each step runs one event.
        }
        const affected = this.#streams.filter(stream => stream.affected);
        const steps = this.#plans.flatMap(plan => plan.steps);
        const count = (action: string): number => steps.filter(step => step.action === action).length;
        const cutOff = affected.filter(stream => stream.cutOff).length;
        return {
            strategy: this.#strategy,
            noticeMs: this.#noticeMs,
            streams: affected.length,
            finished: this.#strategy === "plan" ? count("finish") : 0,
            moved: count("move"),
            reprefilled: this.#strategy === "plan" ? count("reprefill") : affected.length,
            cutOff,
            recomputedTokens: affected.reduce((sum, stream) => sum + stream.recomputedTokens, 0),
            pauseP95Ms: percentile(affected.map(stream => stream.longestPauseMs), 0.95),
            faultyTokens: this.#streams.reduce((sum, stream) => sum + stream.faultyTokens + missingTokens(stream), 0),
        };
    }

    #start(request: ReplayRequest): void {
        const stream: Stream = {
            request,
            forwardedTokens: 0,
            lastTokenMs: this.#clock.monotonicMs(),
            longestPauseMs: 0,
            faultyTokens: 0,
            attempt: 0,
            affected: false,
            cutOff: false,
            recomputedTokens: 0,
            done: false,
        };
        this.#streams.push(stream);
        this.#dispatch(stream);
    }

    #choose(stream: Stream): FleetEngine {
        const limits = { excluded: this.#leaving, avoidedFailureDomains: new Set<never>() };
        const endpointId = this.#router.choose(stream.request, this.#clock.now(), limits);
        const target = this.#fleet.find(engine => engine.endpointId === endpointId);
        if (target === undefined) {
            throw new RangeError("The wave left no engine.");
        }
        return target;
    }

    #dispatch(stream: Stream, target = this.#choose(stream)): void {
        const { request } = stream;
        stream.target = target;
        stream.attempt += 1;
        const { attempt } = stream;
        target.engine.submit({
            requestId: `${request.id}/${attempt}`,
            prompt: request.prompt,
            priority: request.priority,
            maxTokens: request.answerTokens,
            answerTokens: request.answerTokens,
            knownTokens: stream.forwardedTokens,
        }, {
            token: offset => this.#recordToken(stream, attempt, offset),
            end: end => this.#recordEnd(stream, attempt, target, end),
        });
    }

    #recordToken(stream: Stream, attempt: number, offset: number): void {
        if (attempt !== stream.attempt || offset !== stream.forwardedTokens + 1) {
            stream.faultyTokens += 1;
            return;
        }
        const nowMs = this.#clock.monotonicMs();
        if (stream.affected) {
            stream.longestPauseMs = Math.max(stream.longestPauseMs, nowMs - stream.lastTokenMs);
        }
        stream.forwardedTokens = offset;
        stream.lastTokenMs = nowMs;
    }

    #recordEnd(stream: Stream, attempt: number, { endpointId }: FleetEngine, end: EngineEnd): void {
        this.#router.recordFinish(endpointId, stream.request, this.#clock.now());
        stream.recomputedTokens += attempt > 1 ? end.computedTokens : 0;
        if (attempt !== stream.attempt || end.reason === "cancelled") {
            return;
        }
        if (end.reason === "crashed" || end.reason === "refused") {
            stream.cutOff ||= end.reason === "crashed";
            this.#dispatch(stream);
            return;
        }
        stream.done = true;
        this.#open -= 1;
    }

    #reclaim(failureDomain: string): void {
        for (const engine of this.#fleet.filter(other => other.failureDomain === failureDomain)) {
            this.#leaving.add(engine.endpointId);
            engine.engine.reclaim(this.#noticeMs);
            const streams = this.#streams.filter(stream => !stream.done && stream.target === engine);
            streams.forEach(stream => stream.affected = true);
            if (this.#strategy === "reprefill") {
                streams.forEach(stream => this.#resume(stream, false));
            }
            else {
                this.#follow(streams, planEngineReclaim(streams.map(stream => this.#describe(stream)), this.#reclaimOptions()));
            }
        }
    }

    #reclaimOptions(): Parameters<typeof planEngineReclaim>[1] {
        return { noticeMs: this.#noticeMs, reserveMs, moveOverheadMs, moveTokensPerSecond, prefillTokensPerSecond };
    }

    #describe({ request, forwardedTokens }: Stream): ReclaimedStream {
        // The length of the answer is not known in advance; the mean of its kind stands in, and at least 16 tokens more.
        const remainingTokens = Math.max(16, meanAnswer(request.kind) - forwardedTokens);
        const cached = this.#fleet.filter(({ endpointId }) => !this.#leaving.has(endpointId))
            .map(({ engine }) => engine.cachedBlocks(request.prompt.blocks));
        return {
            requestId: request.id,
            promptTokens: request.prompt.promptTokens,
            generatedTokens: forwardedTokens,
            remainingMs: remainingTokens * 40,
            cachedElsewhereTokens: 64 * Math.max(0, ...cached),
        };
    }

    #follow(streams: readonly Stream[], plan: ReclaimPlan): void {
        this.#plans.push(plan);
        const byId = new Map(streams.map(stream => [stream.request.id, stream]));
        for (const step of plan.steps) {
            const stream = byId.get(step.requestId);
            if (stream === undefined) {
                continue;
            }
            const context = stream.request.prompt.promptTokens + stream.forwardedTokens;
            const moveMs = moveOverheadMs + 1000 * context / moveTokensPerSecond;
            // A stream that is computed again runs on until the end, since it may finish before.
            const delayMs = step.action === "move" ? step.startMs + moveMs : this.#noticeMs - reserveMs / 2;
            this.#clock.after(delayMs, () => this.#resume(stream, step.action === "move"));
        }
    }

    #resume(stream: Stream, withCache: boolean): void {
        const source = stream.target;
        if (stream.done || source === undefined || !this.#leaving.has(source.endpointId)) {
            return;
        }
        const oldId = `${stream.request.id}/${stream.attempt}`;
        const exported = withCache ? source.engine.exportCache(oldId) : undefined;
        const target = this.#choose(stream);
        if (exported !== undefined) {
            target.engine.importCache(exported);
        }
        source.engine.cancel(oldId);
        this.#dispatch(stream, target);
    }
}

function meanAnswer(kind: string): number {
    return kind === "question" ? 60 : 250;
}

function missingTokens(stream: Stream): number {
    return Math.max(0, stream.request.answerTokens - stream.forwardedTokens);
}

/** Measures both strategies with 5 s and 30 s of notice and renders a table per deployment. */
export function runStreams(purpose: TraceHeader["purpose"], seed: number): string {
    return ["chaulage", "salal"].map(deployment => {
        const prepared = prepareDeployment(deployment, purpose, seed);
        const rows = [5000, 30_000].flatMap(noticeMs =>
            (["reprefill", "plan"] as const).map(strategy => measureWave(prepared, noticeMs, strategy, seed))
        );
        const heading = [
            "notice s",
            "strategy",
            "streams",
            "finish",
            "move",
            "re-prefill",
            "cut off",
            "recomputed tokens",
            "pause p95 ms",
            "faulty tokens",
        ];
        const table = formatTable([
            heading,
            ...rows.map(row => [
                row.noticeMs / 1000,
                row.strategy,
                row.streams,
                row.finished,
                row.moved,
                row.reprefilled,
                row.cutOff,
                row.recomputedTokens,
                row.pauseP95Ms,
                row.faultyTokens,
            ]),
        ]);
        return `${deployment}: the first of ${prepared.header.failureDomains.length} failure domains is reclaimed\n\n${table}`;
    }).join("\n\n");
}
