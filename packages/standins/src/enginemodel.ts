import { countTokens, hashBlocks, tokensPerBlock } from "./answer.js";
import { sequenceText } from "./generation.js";
import type { Generation } from "./generation.js";
import { CacheEventLog, PrefixCache } from "./prefixcache.js";
import type { CacheChange } from "./prefixcache.js";

/** Speed and size of an engine. */
export interface EngineModelOptions {
    /** Requests that are decoded at the same time. */
    readonly batchSlots: number;
    /** Prompt tokens computed per second; 0 means at once. */
    readonly prefillTokensPerSecond: number;
    /** Time between two tokens of a stream; 0 means as fast as the readers take them. */
    readonly tokenIntervalMs: number;
    /** Tokens given to each stream per round when the interval is 0. */
    readonly tokensPerRound: number;
    /** Prefix blocks kept; 0 turns the cache off. */
    readonly cacheBlocks: number;
    readonly cacheEventLagMs: number;
    /** Every N-th cache event is lost; 0 loses none. */
    readonly cacheEventGapEvery: number;
}

/** Work in progress. */
export interface ModelLoad {
    readonly runningRequests: number;
    readonly waitingRequests: number;
    /** Prompt tokens of waiting and running requests that are not computed yet. */
    readonly waitingPromptTokens: number;
    /** Prompt tokens computed per second in a full batch. */
    readonly tokensPerSecond: number;
    readonly batchSlots: number;
}

/** Tokens computed and produced since the start. */
export interface ModelTotals {
    promptTokens: number;
    cachedTokens: number;
    producedTokens: number;
}

/** A KV cache on its way to another engine. */
export interface CacheTransfer {
    readonly requestId: string;
    readonly promptHash: number;
    readonly tokens: number;
    readonly blocks: readonly string[];
}

/** Decides when each generation gets its next token: queue, batch and prefix cache. */
export interface EngineModel {
    readonly totals: Readonly<ModelTotals>;
    submit(generation: Generation): void;
    /** Takes a generation out of queue and batch. */
    remove(generation: Generation): void;
    /** The next request with this id or prompt finds these tokens cached. */
    importCache(transfer: CacheTransfer): void;
    clearCache(): void;
    /** Visible cache events with a higher sequence. */
    cacheEvents(afterSequence: number): readonly CacheChange[];
    /** Produces nothing for the given time; false when the model can't stall a single generation. */
    stall(forMs: number, generation?: Generation): boolean;
    load(): ModelLoad;
    close(): void;
}

/** Creates a model with one prefill at a time and a fixed interval between tokens; a poison request calls `onPoison`. */
export function createIntervalModel(options: EngineModelOptions, onPoison: () => void): EngineModel {
    return new IntervalModel(options, onPoison);
}

// Reported by an engine that prefills at once, so that readers can divide by it.
const immediateTokensPerSecond = 10_000_000;
const commentIntervalMs = 1_000;
// Tokens that a stream may catch up in one round after the event loop was late.
const catchUpTokens = 4;

class IntervalModel implements EngineModel {
    readonly totals: ModelTotals = { promptTokens: 0, cachedTokens: 0, producedTokens: 0 };
    readonly #options: EngineModelOptions;
    readonly #events: CacheEventLog;
    readonly #cache: PrefixCache;
    readonly #onPoison: () => void;
    readonly #running = new Set<Generation>();
    readonly #imports = new Map<string, number>();
    readonly #commentTimer: NodeJS.Timeout;
    #waiting: Generation[] = [];
    #prefillFreeAtMs = 0;
    #stallEndsAtMs = 0;
    #isScheduled = false;
    #isClosed = false;

    constructor(options: EngineModelOptions, onPoison: () => void) {
        this.#options = options;
        this.#onPoison = onPoison;
        this.#events = new CacheEventLog(options.cacheEventLagMs, options.cacheEventGapEvery);
        this.#cache = new PrefixCache(options.cacheBlocks, this.#events);
        this.#commentTimer = setInterval(() => this.#sendComments(), commentIntervalMs);
    }

    submit(generation: Generation): void {
        const position = this.#waiting.findIndex(other => other.request.priority > generation.request.priority);
        this.#waiting.splice(position === -1 ? this.#waiting.length : position, 0, generation);
        this.#admit();
        this.#round();
    }

    remove(generation: Generation): void {
        this.#waiting = this.#waiting.filter(other => other !== generation);
        this.#running.delete(generation);
        this.#admit();
    }

    importCache(transfer: CacheTransfer): void {
        this.#cache.store(transfer.blocks);
        this.#imports.set(transfer.requestId, transfer.tokens);
    }

    clearCache(): void {
        this.#cache.clear();
    }

    cacheEvents(afterSequence: number): readonly CacheChange[] {
        return this.#events.visibleAfter(afterSequence);
    }

    stall(forMs: number, generation?: Generation): boolean {
        const endsAtMs = performance.now() + forMs;
        if (generation === undefined) {
            this.#stallEndsAtMs = endsAtMs;
        }
        else {
            generation.stallEndsAtMs = endsAtMs;
        }
        return true;
    }

    load(): ModelLoad {
        const rate = this.#options.prefillTokensPerSecond;
        const waitingTokens = this.#waiting.reduce((sum, generation) => sum + countTokens(generation.request.text), 0);
        const prefillingTokens = Math.max(0, this.#prefillFreeAtMs - performance.now()) * rate / 1_000;
        return {
            runningRequests: this.#running.size,
            waitingRequests: this.#waiting.length,
            waitingPromptTokens: Math.round(waitingTokens + prefillingTokens),
            tokensPerSecond: rate === 0 ? immediateTokensPerSecond : rate,
            batchSlots: this.#options.batchSlots,
        };
    }

    close(): void {
        this.#isClosed = true;
        clearInterval(this.#commentTimer);
    }

    #admit(): void {
        while (this.#running.size < this.#options.batchSlots) {
            const next = this.#waiting.shift();
            if (next === undefined) {
                return;
            }
            this.#prefill(next);
            this.#running.add(next);
        }
    }

    #prefill(generation: Generation): void {
        const { text, requestId } = generation.request;
        const blocks = this.#cache.isEnabled ? hashBlocks(text) : [];
        const imported = this.#imports.get(requestId) ?? 0;
        this.#imports.delete(requestId);
        generation.promptTokens = countTokens(text);
        generation.cachedTokens = Math.min(
            generation.promptTokens,
            Math.max(this.#cache.match(blocks) * tokensPerBlock, imported),
        );
        this.#cache.store(blocks);
        const uncachedTokens = generation.promptTokens - generation.cachedTokens;
        this.totals.promptTokens += uncachedTokens;
        this.totals.cachedTokens += generation.cachedTokens;
        const rate = this.#options.prefillTokensPerSecond;
        const durationMs = rate === 0 ? 0 : uncachedTokens * 1_000 / rate;
        this.#prefillFreeAtMs = Math.max(performance.now(), this.#prefillFreeAtMs) + durationMs;
        generation.dueMs = this.#prefillFreeAtMs;
    }

    #round(): void {
        const nowMs = performance.now();
        if (nowMs >= this.#stallEndsAtMs) {
            this.#running.forEach(generation => this.#advance(generation, nowMs));
        }
        this.#admit();
        this.#schedule();
    }

    #schedule(): void {
        if (this.#isScheduled || this.#isClosed || this.#running.size === 0) {
            return;
        }
        this.#isScheduled = true;
        const resume = (): void => {
            this.#isScheduled = false;
            this.#round();
        };
        const { tokenIntervalMs } = this.#options;
        if (tokenIntervalMs === 0 && performance.now() >= this.#stallEndsAtMs && this.#hasReadyStream()) {
            setImmediate(resume);
            return;
        }
        setTimeout(resume, Math.min(5, Math.max(1, tokenIntervalMs / 4)));
    }

    #hasReadyStream(): boolean {
        const nowMs = performance.now();
        for (const generation of this.#running) {
            if (generation.dueMs <= nowMs && !generation.isBlocked) {
                return true;
            }
        }
        return false;
    }

    #advance(generation: Generation, nowMs: number): void {
        if (nowMs < generation.dueMs || nowMs < generation.stallEndsAtMs || generation.isBlocked) {
            return;
        }
        if (generation.request.isPoison) {
            this.#onPoison();
        }
        this.totals.producedTokens += generation.produce(this.#dueTokens(generation, nowMs));
        if (generation.isComplete) {
            this.#finish(generation, nowMs);
        }
    }

    #dueTokens(generation: Generation, nowMs: number): number {
        const { tokenIntervalMs, tokensPerRound } = this.#options;
        if (tokenIntervalMs === 0) {
            return tokensPerRound;
        }
        const count = Math.min(catchUpTokens, 1 + Math.floor((nowMs - generation.dueMs) / tokenIntervalMs));
        generation.dueMs = Math.max(generation.dueMs + count * tokenIntervalMs, nowMs);
        return count;
    }

    #finish(generation: Generation, nowMs: number): void {
        generation.finish(nowMs);
        this.#running.delete(generation);
        if (this.#cache.isEnabled) {
            this.#cache.store(hashBlocks(sequenceText(generation)));
        }
    }

    #sendComments(): void {
        if (performance.now() < this.#stallEndsAtMs) {
            return;
        }
        [...this.#waiting, ...this.#running].filter(generation => !generation.hasStarted).forEach(generation =>
            generation.sendComment()
        );
    }
}
