import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import type { Context } from "hono";
import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import { answerToken, countTokens, hashBlocks, hashPrompt, renderPrompt } from "./answer.js";
import type { EngineModel, EngineModelOptions } from "./enginemodel.js";
import { EngineOrders } from "./engineorder.js";
import { Generation, sequenceText } from "./generation.js";
import type { GenerationRequest } from "./generation.js";
import { LoadReports } from "./loadreport.js";
import type { CacheChange } from "./prefixcache.js";
import { queryNumber, readJson, refuse } from "./reply.js";
import type { StandIn, StandInEnvironment } from "./server.js";

/** Options of `createEngineStandIn`. */
export interface EngineOptions extends EngineModelOptions {
    /** Model that is loaded at the start; `*` accepts requests for any model. */
    readonly model: string;
    readonly modelVersion: string;
    /** Creates the queue, batch and prefix cache; calls back when a poison request is about to produce a token. */
    readonly createModel: (options: EngineModelOptions, onPoison: () => void) => EngineModel;
    readonly loadLagMs: number;
    /** Waiting requests above this are refused. */
    readonly queueLimit: number;
    /** Answers end here with `stop` when `max_tokens` is larger; 0 means that only `max_tokens` ends them. */
    readonly answerTokens: number;
    /** A prompt that contains this text crashes the process; empty turns it off. */
    readonly crashMarker: string;
    readonly checkFencing: boolean;
    readonly weightStoreUrl: string | undefined;
    /** KV cache tokens exported per second; 0 means at once. */
    readonly cacheTokensPerSecond: number;
    /** How long finished answers can be read again. */
    readonly keepFinishedMs: number;
}

const completionSchema = z.object({
    request_id: z.string().min(1).max(200),
    model: z.string(),
    messages: z.array(z.object({ role: z.enum(["system", "user", "assistant"]), content: z.string() })).min(1),
    max_tokens: z.int().min(1),
    seed: z.number().optional(),
    priority: z.number().default(0),
    stream: z.literal(true),
    prefix: z.array(z.string()).default([]),
});
const cacheSchema = z.object({ requestId: z.string(), promptHash: z.int(), tokens: z.int().min(0), blocks: z.array(z.string()) });
const stallSchema = z.strictObject({ forMs: z.number().min(0), requestId: z.string().optional() });
const refuseSchema = z.strictObject({ count: z.int().min(0) });

const cacheEventPollMs = 50;

/** Creates the stand-in of a model engine; see docs/protocols/model-engine.md. */
export function createEngineStandIn(options: EngineOptions): StandIn {
    return new EngineStandIn(options);
}

class EngineStandIn implements StandIn {
    readonly app = new Hono<StandInEnvironment>();
    readonly #options: EngineOptions;
    readonly #model: EngineModel;
    readonly #orders: EngineOrders;
    readonly #reports: LoadReports;
    readonly #generations = new Map<string, Generation>();
    readonly #sweepTimer: NodeJS.Timeout;
    #refuseNext = 0;
    #started = 0;
    #refused = 0;
    #prefixFaults = 0;

    constructor(options: EngineOptions) {
        this.#options = options;
        this.#model = options.createModel(options, () => process.exit(1));
        this.#orders = new EngineOrders(options, () => this.#model.clearCache());
        this.#reports = new LoadReports(this.#model, options.loadLagMs);
        this.#sweepTimer = setInterval(() => this.#sweep(), 1_000);
        this.#addRequestRoutes();
        this.#addCacheRoutes();
        this.#addControlRoutes();
        this.#orders.addRoutes(this.app);
    }

    close(): void {
        clearInterval(this.#sweepTimer);
        this.#model.close();
        this.#reports.close();
        this.#generations.forEach(generation => generation.abandon());
    }

    #addRequestRoutes(): void {
        this.app.post("/v1/chat/completions", context => this.#complete(context));
        this.app.get("/v1/generations/:id", context => this.#resume(context));
        this.app.delete("/v1/generations/:id", context => this.#cancel(context));
        this.app.get("/v1/load", context => context.json(this.#reports.current()));
    }

    #addCacheRoutes(): void {
        this.app.get("/v1/cache-events", async context => context.json({ events: await this.#waitForCacheEvents(context) }));
        this.app.get("/v1/generations/:id/cache", context => this.#exportCache(context));
        this.app.post("/v1/cache", async context => {
            const body = await readJson(context, cacheSchema);
            if ("fault" in body) {
                return refuse(context, 400, "invalid", body.fault, "no");
            }
            this.#model.importCache(body.value);
            return context.json({ tokens: body.value.tokens });
        });
    }

    async #waitForCacheEvents(context: Context): Promise<readonly CacheChange[]> {
        const afterSequence = queryNumber(context, "afterSequence", 0);
        const endMs = performance.now() + Math.min(queryNumber(context, "timeoutMs", 0), 60_000);
        for (;;) {
            const events = this.#model.cacheEvents(afterSequence);
            const remainingMs = endMs - performance.now();
            if (events.length > 0 || remainingMs <= 0 || context.req.raw.signal.aborted) {
                return events;
            }
            await sleep(Math.min(cacheEventPollMs, remainingMs));
        }
    }

    #addControlRoutes(): void {
        this.app.get("/control/counts", context => {
            const counts = { started: this.#started, refused: this.#refused, prefixFaults: this.#prefixFaults };
            return context.json({ ...counts, ...this.#model.totals, ...this.#model.load() });
        });
        this.app.post("/control/crash", () => process.exit(1));
        this.app.post("/control/stall", async context => {
            const body = await readJson(context, stallSchema);
            return "fault" in body ? refuse(context, 400, "invalid", body.fault) : this.#stall(context, body.value);
        });
        this.app.post("/control/refuse", async context => {
            const body = await readJson(context, refuseSchema);
            if ("fault" in body) {
                return refuse(context, 400, "invalid", body.fault);
            }
            this.#refuseNext = body.value.count;
            return context.json({});
        });
    }

    async #complete(context: Context): Promise<Response> {
        const body = await readJson(context, completionSchema);
        if ("fault" in body) {
            return this.#refuse(context, 400, "invalid", body.fault);
        }
        const refusal = this.#refusal(context, body.value.model);
        if (refusal !== undefined) {
            return refusal;
        }
        const request = this.#toRequest(body.value);
        if (body.value.prefix.some((token, index) => token !== answerToken(request.promptHash, index + 1))) {
            this.#prefixFaults += 1;
            return this.#refuse(context, 400, "invalid", "The prefix is not the start of this engine's answer to the prompt.");
        }
        this.#start(request, context);
        return RESPONSE_ALREADY_SENT;
    }

    #refusal(context: Context, model: string): Response | undefined {
        if (this.#refuseNext > 0) {
            this.#refuseNext -= 1;
            return this.#refuse(context, 503, "refused", "The engine refuses the request before it runs.");
        }
        if (this.#orders.isLoading) {
            return this.#refuse(context, 503, "loading", "The engine is loading weights.");
        }
        if (!this.#orders.serves(model)) {
            return this.#refuse(context, 404, "notFound", `The engine does not serve the model '${model}'.`);
        }
        if (this.#model.load().waitingRequests >= this.#options.queueLimit) {
            return this.#refuse(context, 429, "overloaded", "The engine's queue is full.");
        }
        return undefined;
    }

    #refuse(context: Context, status: 400 | 404 | 429 | 503, code: string, message: string): Response {
        this.#refused += 1;
        return refuse(context, status, code, message, "no");
    }

    #toRequest(body: z.infer<typeof completionSchema>): GenerationRequest {
        const prompt = renderPrompt(body.messages);
        const { answerTokens, crashMarker } = this.#options;
        const isStoppedEarly = answerTokens > 0 && answerTokens < body.max_tokens;
        return {
            requestId: body.request_id,
            model: body.model,
            text: prompt + body.prefix.join(""),
            promptLength: prompt.length,
            promptHash: hashPrompt(prompt),
            startOffset: body.prefix.length,
            endOffset: Math.max(body.prefix.length, isStoppedEarly ? answerTokens : body.max_tokens),
            finishReason: isStoppedEarly ? "stop" : "length",
            priority: body.priority,
            isPoison: crashMarker !== "" && prompt.includes(crashMarker),
        };
    }

    /** Starts a generation; a former one with the same id is given up, so that an id never has two answers. */
    #start(request: GenerationRequest, context: Context): void {
        const former = this.#generations.get(request.requestId);
        if (former !== undefined) {
            this.#drop(former);
        }
        const generation = new Generation(request);
        this.#generations.set(request.requestId, generation);
        this.#started += 1;
        generation.attach((context.env as HttpBindings).outgoing, request.startOffset);
        this.#model.submit(generation);
    }

    #resume(context: Context): Response {
        const generation = this.#generations.get(context.req.param("id") ?? "");
        if (generation === undefined) {
            return refuse(context, 404, "notFound", "The engine does not know this request.");
        }
        const offset = queryNumber(context, "offset", 0);
        if (offset < generation.request.startOffset || offset > generation.request.endOffset) {
            return refuse(
                context,
                400,
                "invalid",
                `The answer held here starts behind offset ${generation.request.startOffset}.`,
            );
        }
        generation.attach((context.env as HttpBindings).outgoing, offset);
        return RESPONSE_ALREADY_SENT;
    }

    #cancel(context: Context): Response {
        const generation = this.#generations.get(context.req.param("id") ?? "");
        if (generation === undefined) {
            return refuse(context, 404, "notFound", "The engine does not know this request.");
        }
        this.#drop(generation);
        return context.body(null, 204);
    }

    #drop(generation: Generation): void {
        this.#generations.delete(generation.request.requestId);
        this.#model.remove(generation);
        generation.abandon();
    }

    async #exportCache(context: Context): Promise<Response> {
        const requestId = context.req.param("id") ?? "";
        const generation = this.#generations.get(requestId);
        if (generation === undefined) {
            return refuse(context, 404, "notFound", "The engine does not know this request.");
        }
        const text = sequenceText(generation);
        const tokens = countTokens(text);
        const rate = this.#options.cacheTokensPerSecond;
        await sleep(rate === 0 ? 0 : tokens * 1_000 / rate);
        return context.json({ requestId, promptHash: generation.request.promptHash, tokens, blocks: hashBlocks(text) });
    }

    #stall(context: Context, stall: z.infer<typeof stallSchema>): Response {
        const generation = stall.requestId === undefined ? undefined : this.#generations.get(stall.requestId);
        if (stall.requestId !== undefined && generation === undefined) {
            return refuse(context, 404, "notFound", "The engine does not know this request.");
        }
        return this.#model.stall(stall.forMs, generation) ?
            context.json({}) :
            refuse(context, 400, "invalid", "This engine can't stall a single request.");
    }

    #sweep(): void {
        const limitMs = performance.now() - this.#options.keepFinishedMs;
        for (const [requestId, generation] of this.#generations) {
            if (generation.finishedAtMs !== undefined && generation.finishedAtMs < limitMs) {
                this.#generations.delete(requestId);
            }
        }
    }
}
