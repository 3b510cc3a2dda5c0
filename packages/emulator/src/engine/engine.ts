import type { Clock } from "@filbertrelay/kernel";
import type { PromptBlocks } from "@filbertrelay/policy";
import { prefixBlockTokens } from "@filbertrelay/policy";
import { answerLength } from "./answer.js";
import { BlockCache } from "./cache.js";
import { EngineHistory } from "./history.js";
import type { EngineCacheEvent, EngineLoadReport } from "./history.js";
import { describeEnd, missingTokens } from "./sequence.js";
import type { Sequence } from "./sequence.js";

/** A generation that an engine is asked for. */
export interface EngineSubmission {
    readonly requestId: string;
    readonly prompt: PromptBlocks;
    readonly maxTokens: number;
    /** Smaller is more urgent. */
    readonly priority: number;
    /** Tokens of the answer that are already known; generation goes on behind them. 0 by default. */
    readonly knownTokens?: number;
    /** Length of the answer; a function of the prompt by default. */
    readonly answerTokens?: number;
}

/** How a generation ended and what it cost. */
export interface EngineEnd {
    readonly reason: "stop" | "length" | "cancelled" | "crashed" | "refused";
    readonly promptTokens: number;
    /** Tokens of prompt and known answer that were not computed again. */
    readonly cachedTokens: number;
    readonly computedTokens: number;
    readonly generatedTokens: number;
}

/** Receives what a generation yields. Offsets count tokens of the answer from 1; `answerToken` gives the text. */
export interface EngineListener {
    token(offset: number): void;
    end(end: EngineEnd): void;
}

/** The KV cache of a generation on its way to another engine. */
export interface ExportedCache {
    readonly promptHash: string;
    readonly blocks: readonly string[];
    readonly contextTokens: number;
}

/** Speed and limits of an emulated engine. */
export interface EngineOptions {
    readonly clock: Clock;
    /** Requests computed in one step; 24 by default. */
    readonly batchSlots?: number;
    /** Tokens computed in one step, prompt and answer together; 400 by default. */
    readonly stepTokens?: number;
    /** Time of an empty step; 12 ms by default. */
    readonly stepBaseMs?: number;
    /** Time per prompt token; 0.1 ms by default. */
    readonly promptTokenMs?: number;
    /** Time per answer token; 0.25 ms by default. */
    readonly answerTokenMs?: number;
    /** Size of the prefix cache, shared with running requests, in blocks of 64 tokens; 6000 by default. */
    readonly cacheBlocks?: number;
    /** Age at which load reports are given out; 0 by default. */
    readonly reportLagMs?: number;
    /** Age at which cache events are given out; 0 by default. */
    readonly eventLagMs?: number;
    /** Part of the cache events that are lost, in batches of 64; 0 by default. */
    readonly eventLoss?: number;
    /** Requests that crash the engine when their prompt is computed; none by default. */
    readonly crashesOn?: (submission: EngineSubmission) => boolean;
}

/** A model engine with continuous batching, a prefix cache and a waiting queue, driven by a clock. */
export class EmulatedEngine {
    readonly #clock: Clock;
    readonly #options: Required<Omit<EngineOptions, "clock">>;
    readonly #cache: BlockCache;
    readonly #history: EngineHistory;
    readonly #imported = new Map<string, number>();
    #waiting: Sequence[] = [];
    #running: Sequence[] = [];
    #busyMs = 0;
    #crashes = 0;
    #crashedBy: string | undefined;
    #stepping = false;
    #epoch = 0;
    #stalledUntilMs = -Infinity;
    #state: "up" | "leaving" | "down" = "up";

    constructor(options: EngineOptions) {
        const { clock, ...limits } = options;
        this.#clock = clock;
        this.#options = {
            batchSlots: 24,
            stepTokens: 400,
            stepBaseMs: 12,
            promptTokenMs: 0.1,
            answerTokenMs: 0.25,
            cacheBlocks: 6000,
            reportLagMs: 0,
            eventLagMs: 0,
            eventLoss: 0,
            crashesOn: () => false,
            ...limits,
        };
        this.#history = new EngineHistory(clock, this.#options);
        this.#cache = new BlockCache(this.#options.cacheBlocks, change => this.#history.recordChange(change));
        this.#recordLoad();
    }

    get state(): "up" | "leaving" | "down" {
        return this.#state;
    }

    /** Time spent in steps since the start. */
    get busyMs(): number {
        return this.#busyMs;
    }

    /** Crashes since the start. */
    get crashes(): number {
        return this.#crashes;
    }

    /** The request that caused the last crash, if one did. */
    get crashedBy(): string | undefined {
        return this.#crashedBy;
    }

    /** Starts or queues a generation; one that can't be taken ends at once with the reason `refused`. */
    submit(submission: EngineSubmission, listener: EngineListener): void {
        const sequence = this.#createSequence(submission, listener);
        if (this.#state !== "up" || sequence.privateBlocks + submission.prompt.blocks.length > this.#options.cacheBlocks) {
            listener.end(describeEnd(sequence, "refused"));
            return;
        }
        const index = this.#waiting.findIndex(other => other.submission.priority > submission.priority);
        this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, sequence);
        this.#recordLoad();
        this.#schedule();
    }

    /** Stops a generation; false when it is not known. */
    cancel(requestId: string): boolean {
        const sequence = this.#find(requestId);
        if (sequence === undefined) {
            return false;
        }
        this.#end(sequence, "cancelled");
        return true;
    }

    /** The load as it was `reportLagMs` ago. */
    load(): EngineLoadReport {
        return this.#history.load();
    }

    /** Cache events with a sequence above the given one that are at least `eventLagMs` old, without the lost ones. */
    cacheEvents(afterSequence: number): readonly EngineCacheEvent[] {
        return this.#history.cacheEvents(afterSequence);
    }

    /** Leading blocks of a prompt that are cached now. */
    cachedBlocks(blocks: readonly string[]): number {
        return this.#cache.match(blocks);
    }

    /** Requests in progress, running ones first. */
    inProgress(): readonly { readonly submission: EngineSubmission; readonly generatedTokens: number; }[] {
        return [...this.#running, ...this.#waiting];
    }

    /** The KV cache of a running generation; `undefined` when it is not known or its prompt isn't computed. */
    exportCache(requestId: string): ExportedCache | undefined {
        const sequence = this.#find(requestId);
        if (sequence === undefined || missingTokens(sequence) > 0 || sequence.generatedTokens === 0) {
            return undefined;
        }
        const { prompt, knownTokens } = sequence.submission;
        const contextTokens = prompt.promptTokens + (knownTokens ?? 0) + sequence.generatedTokens;
        return { promptHash: prompt.promptHash, blocks: prompt.blocks, contextTokens };
    }

    /** Takes a KV cache, so that the next generation of that prompt computes only what lies beyond it. */
    importCache(exported: ExportedCache): void {
        exported.blocks.forEach(block => this.#cache.pin(block));
        this.#cache.unpin(exported.blocks);
        this.#imported.set(exported.promptHash, exported.contextTokens);
    }

    /** Ends all generations and loses the cache; the engine is up again after the given time, if at all. */
    crash(restartMs = Infinity): void {
        this.#crashes += 1;
        this.#epoch += 1;
        this.#stepping = false;
        this.#state = "down";
        const lost = [...this.#running, ...this.#waiting];
        this.#running = [];
        this.#waiting = [];
        this.#cache.clear();
        this.#imported.clear();
        this.#history.restart();
        this.#recordLoad();
        if (Number.isFinite(restartMs)) {
            this.restart(restartMs);
        }
        lost.forEach(sequence => sequence.listener.end(describeEnd(sequence, "crashed")));
    }

    /** Brings a crashed engine up again after a time. */
    restart(delayMs: number): void {
        this.#clock.after(delayMs, () => this.#state = "up");
    }

    /** Keeps everything but makes no progress for a time. */
    stall(ms: number): void {
        this.#stalledUntilMs = Math.max(this.#stalledUntilMs, this.#clock.monotonicMs() + ms);
    }

    /** Refuses new generations and goes down for good after the notice. */
    reclaim(noticeMs: number): void {
        this.#state = "leaving";
        this.#clock.after(noticeMs, () => this.crash());
    }

    #createSequence(submission: EngineSubmission, listener: EngineListener): Sequence {
        const knownTokens = submission.knownTokens ?? 0;
        const length = submission.answerTokens ?? answerLength(submission.prompt.promptHash);
        const answerTokens = Math.max(knownTokens + 1, Math.min(submission.maxTokens, length));
        const contextTokens = submission.prompt.promptTokens + knownTokens;
        const privateTokens = submission.prompt.promptTokens + answerTokens -
            submission.prompt.blocks.length * prefixBlockTokens;
        return {
            submission,
            listener,
            answerTokens: answerTokens - knownTokens,
            contextTokens,
            privateBlocks: Math.ceil(privateTokens / prefixBlockTokens),
            estimatedTokens: contextTokens - this.#cache.match(submission.prompt.blocks) * prefixBlockTokens,
            cachedTokens: 0,
            computedTokens: 0,
            pinnedBlocks: 0,
            generatedTokens: 0,
        };
    }

    #find(requestId: string): Sequence | undefined {
        return [...this.#running, ...this.#waiting].find(sequence => sequence.submission.requestId === requestId);
    }

    #schedule(): void {
        if (this.#stepping || this.#state === "down") {
            return;
        }
        this.#admit();
        if (this.#running.length === 0) {
            return;
        }
        this.#stepping = true;
        const work = this.#planStep();
        this.#busyMs += work.durationMs;
        const epoch = this.#epoch;
        const stalledMs = Math.max(0, this.#stalledUntilMs - this.#clock.monotonicMs());
        this.#clock.after(stalledMs + work.durationMs, () => {
            if (epoch === this.#epoch) {
                this.#finishStep(work.prompts);
            }
        });
    }

    #admit(): void {
        for (let next = this.#waiting[0]; next !== undefined; next = this.#waiting[0]) {
            const matched = this.#cache.match(next.submission.prompt.blocks);
            const neededBlocks = next.submission.prompt.blocks.length + next.privateBlocks;
            if (this.#running.length >= this.#options.batchSlots || neededBlocks > this.#cache.available) {
                return;
            }
            this.#waiting.shift();
            this.#running.push(next);
            this.#startSequence(next, matched);
        }
    }

    #startSequence(sequence: Sequence, matchedBlocks: number): void {
        const { prompt } = sequence.submission;
        prompt.blocks.slice(0, matchedBlocks).forEach(block => this.#cache.pin(block));
        sequence.pinnedBlocks = matchedBlocks;
        const imported = this.#imported.get(prompt.promptHash) ?? 0;
        this.#imported.delete(prompt.promptHash);
        // The last token is always computed, since its result is the next token.
        const cachedTokens = Math.max(matchedBlocks * prefixBlockTokens, imported);
        sequence.cachedTokens = Math.min(cachedTokens, sequence.contextTokens - 1);
        this.#cache.reserve(sequence.privateBlocks);
    }

    #planStep(): { readonly durationMs: number; readonly prompts: ReadonlyMap<Sequence, number>; } {
        const prefilling = this.#running.filter(sequence => missingTokens(sequence) > 0);
        const answering = this.#running.length - prefilling.length;
        const prompts = new Map<Sequence, number>();
        let remaining = Math.max(1, this.#options.stepTokens - answering);
        let promptTokens = 0;
        for (const sequence of prefilling) {
            const tokens = Math.min(remaining, missingTokens(sequence));
            prompts.set(sequence, tokens);
            remaining -= tokens;
            promptTokens += tokens;
        }
        const { stepBaseMs, promptTokenMs, answerTokenMs } = this.#options;
        return { durationMs: stepBaseMs + promptTokens * promptTokenMs + answering * answerTokenMs, prompts };
    }

    #finishStep(prompts: ReadonlyMap<Sequence, number>): void {
        const epoch = this.#epoch;
        this.#stepping = false;
        for (const sequence of [...this.#running]) {
            this.#advance(sequence, prompts.get(sequence) ?? 0);
            if (epoch !== this.#epoch) {
                return;
            }
        }
        this.#recordLoad();
        this.#schedule();
    }

    #advance(sequence: Sequence, computed: number): void {
        sequence.computedTokens += computed;
        this.#storeBlocks(sequence);
        if (missingTokens(sequence) > 0 || !this.#running.includes(sequence)) {
            return;
        }
        if (this.#options.crashesOn(sequence.submission)) {
            this.#crashedBy = sequence.submission.requestId;
            this.crash();
            return;
        }
        sequence.generatedTokens += 1;
        sequence.listener.token((sequence.submission.knownTokens ?? 0) + sequence.generatedTokens);
        if (sequence.generatedTokens >= sequence.answerTokens) {
            const offset = (sequence.submission.knownTokens ?? 0) + sequence.generatedTokens;
            this.#end(sequence, offset >= sequence.submission.maxTokens ? "length" : "stop");
        }
    }

    #storeBlocks(sequence: Sequence): void {
        const { blocks } = sequence.submission.prompt;
        const computedBlocks = Math.floor((sequence.cachedTokens + sequence.computedTokens) / prefixBlockTokens);
        for (; sequence.pinnedBlocks < Math.min(computedBlocks, blocks.length); sequence.pinnedBlocks += 1) {
            this.#cache.pin(blocks[sequence.pinnedBlocks] ?? "");
        }
    }

    #end(sequence: Sequence, reason: EngineEnd["reason"]): void {
        if (this.#running.includes(sequence)) {
            this.#running = this.#running.filter(other => other !== sequence);
            this.#cache.unpin(sequence.submission.prompt.blocks.slice(0, sequence.pinnedBlocks));
            this.#cache.release(sequence.privateBlocks);
        }
        this.#waiting = this.#waiting.filter(other => other !== sequence);
        sequence.listener.end(describeEnd(sequence, reason));
    }

    #recordLoad(): void {
        const { batchSlots, stepTokens, stepBaseMs, promptTokenMs, answerTokenMs } = this.#options;
        const answering = this.#running.filter(sequence => missingTokens(sequence) === 0).length;
        const promptTokens = Math.max(1, stepTokens - answering);
        const fullStepMs = stepBaseMs + promptTokens * promptTokenMs + answering * answerTokenMs;
        const waiting = this.#waiting.reduce((sum, sequence) => sum + sequence.estimatedTokens, 0);
        this.#history.recordLoad({
            reportedAt: this.#clock.now(),
            runningRequests: this.#running.length,
            waitingRequests: this.#waiting.length,
            waitingPromptTokens: this.#running.reduce((sum, sequence) => sum + missingTokens(sequence), waiting),
            tokensPerSecond: 1000 * promptTokens / fullStepMs,
            batchSlots,
        });
    }
}
