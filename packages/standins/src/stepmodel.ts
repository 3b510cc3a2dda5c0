import { EmulatedEngine } from "@filbertrelay/emulator";
import type { EngineEnd } from "@filbertrelay/emulator";
import { createSystemClock } from "@filbertrelay/kernel";
import { countTokens, hashBlocks } from "./answer.js";
import type { CacheTransfer, EngineModel, EngineModelOptions, ModelLoad, ModelTotals } from "./enginemodel.js";
import type { Generation } from "./generation.js";
import type { CacheChange } from "./prefixcache.js";

/** Creates a model with the timing of the emulator's engine; a poison request calls `onPoison`. */
export function createStepModel(options: EngineModelOptions, onPoison: () => void): EngineModel {
    return new StepModel(options, onPoison);
}

const commentIntervalMs = 1_000;

/** Runs the emulator's engine on the system clock, so that process tests and experiments see the same queue and batch. */
class StepModel implements EngineModel {
    readonly totals: ModelTotals = { promptTokens: 0, cachedTokens: 0, producedTokens: 0 };
    readonly #engine: EmulatedEngine;
    readonly #open = new Map<string, Generation>();
    readonly #commentTimer: NodeJS.Timeout;
    #stallEndsAtMs = 0;

    constructor(options: EngineModelOptions, onPoison: () => void) {
        this.#engine = new EmulatedEngine({
            clock: createSystemClock(),
            batchSlots: options.batchSlots,
            cacheBlocks: options.cacheBlocks,
            eventLagMs: options.cacheEventLagMs,
            eventLoss: options.cacheEventGapEvery === 0 ? 0 : 1 / options.cacheEventGapEvery,
            crashesOn: submission => {
                if (this.#open.get(submission.requestId)?.request.isPoison === true) {
                    onPoison();
                }
                return false;
            },
        });
        this.#commentTimer = setInterval(() => this.#sendComments(), commentIntervalMs);
    }

    submit(generation: Generation): void {
        const { requestId, text, promptLength, promptHash, priority, startOffset, endOffset } = generation.request;
        if (endOffset === startOffset) {
            generation.finish(performance.now());
            return;
        }
        const prompt = text.slice(0, promptLength);
        this.#open.set(requestId, generation);
        this.#engine.submit({
            requestId,
            prompt: { blocks: hashBlocks(prompt), promptTokens: countTokens(prompt), promptHash: String(promptHash) },
            maxTokens: endOffset,
            answerTokens: endOffset,
            knownTokens: startOffset,
            priority,
        }, {
            token: () => void generation.produce(1),
            end: end => this.#end(generation, end),
        });
    }

    remove(generation: Generation): void {
        if (this.#open.delete(generation.request.requestId)) {
            this.#engine.cancel(generation.request.requestId);
        }
    }

    importCache(transfer: CacheTransfer): void {
        const { promptHash, blocks, tokens } = transfer;
        this.#engine.importCache({ promptHash: String(promptHash), blocks, contextTokens: tokens });
    }

    /** The emulated engine drops its cache only in a crash; blocks of former weights stay until they are evicted. */
    clearCache(): void {
        return;
    }

    cacheEvents(afterSequence: number): readonly CacheChange[] {
        return this.#engine.cacheEvents(afterSequence);
    }

    stall(forMs: number, generation?: Generation): boolean {
        if (generation !== undefined) {
            return false;
        }
        this.#stallEndsAtMs = performance.now() + forMs;
        this.#engine.stall(forMs);
        return true;
    }

    load(): ModelLoad {
        const { runningRequests, waitingRequests, waitingPromptTokens, tokensPerSecond, batchSlots } = this.#engine.load();
        return { runningRequests, waitingRequests, waitingPromptTokens, tokensPerSecond, batchSlots };
    }

    close(): void {
        clearInterval(this.#commentTimer);
    }

    #end(generation: Generation, end: EngineEnd): void {
        this.#open.delete(generation.request.requestId);
        this.totals.promptTokens += end.computedTokens;
        this.totals.cachedTokens += end.cachedTokens;
        this.totals.producedTokens += end.generatedTokens;
        if (end.reason === "refused" || end.reason === "cancelled" || end.reason === "crashed") {
            generation.abandon();
            return;
        }
        generation.promptTokens = end.cachedTokens + end.computedTokens;
        generation.cachedTokens = end.cachedTokens;
        generation.finish(performance.now());
    }

    #sendComments(): void {
        if (performance.now() >= this.#stallEndsAtMs) {
            [...this.#open.values()].filter(generation => !generation.hasStarted).forEach(generation => generation.sendComment());
        }
    }
}
