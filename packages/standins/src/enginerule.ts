import { createParser } from "eventsource-parser";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import { hashBlocks, renderPrompt, tokensPerBlock } from "./answer.js";
import { call, uniqueName } from "./rule.js";
import type { Rule, RuleOptions, RuleReply } from "./rule.js";

const chunkSchema = z.object({
    id: z.string(),
    choices: z.array(z.object({
        delta: z.object({ content: z.string().optional() }),
        finish_reason: z.enum(["stop", "length"]).nullable(),
    })).length(1),
    usage: z.object({
        prompt_tokens: z.int().min(0),
        completion_tokens: z.int().min(0),
        prompt_tokens_details: z.object({ cached_tokens: z.int().min(0) }),
    }).optional(),
});
const loadSchema = z.object({
    reportedAt: z.iso.datetime(),
    runningRequests: z.int().min(0),
    waitingRequests: z.int().min(0),
    waitingPromptTokens: z.int().min(0),
    tokensPerSecond: z.number().min(0),
    batchSlots: z.int().positive(),
});
const stateSchema = z.object({ model: z.string(), modelVersion: z.string(), fencingToken: z.int().min(0), loading: z.boolean() });
const eventsSchema = z.object({
    events: z.array(z.object({ sequence: z.int().positive(), kind: z.string(), block: z.string() })),
});
const exportSchema = z.looseObject({ requestId: z.string(), tokens: z.int().positive() });

const answerTokens = 24;

/** The rules of docs/protocols/model-engine.md. */
export function engineRules(options: RuleOptions): readonly Rule[] {
    const check = new EngineCheck(options);
    const rules: (Rule & { readonly isLeftOut?: boolean; })[] = [
        { id: "E1", text: "Offsets rise by one and the stream is complete.", check: async () => void await check.generate({}) },
        { id: "E2", text: "Every event names its request.", check: () => check.namesRequest() },
        { id: "E3", text: "Reading again gives the same tokens.", check: () => check.resumes() },
        { id: "E4", text: "A prefix is continued.", check: () => check.continuesPrefix() },
        { id: "E5", text: "The finish reason tells who ended the answer.", check: () => check.tellsReason() },
        { id: "E6", text: "A cancelled generation is unknown.", check: () => check.cancels() },
        { id: "E7", text: "A load report is complete.", check: () => check.reportsLoad() },
        {
            id: "E8",
            text: "A repeated prompt is cached and announced.",
            check: () => check.caches(),
            isLeftOut: options.withoutCache,
        },
        { id: "E9", text: "A KV cache can be moved.", check: () => check.movesCache(), isLeftOut: options.withoutCache },
        { id: "E10", text: "A malformed request is declared as not run.", check: () => check.refusesMalformed() },
        {
            id: "E11",
            text: "Orders take effect, old ones only without fencing.",
            check: () => check.obeysOrders(),
            isLeftOut: !options.withOrders,
        },
    ];
    return rules.filter(rule => rule.isLeftOut !== true).map(({ id, text, check: run }) => ({ id, text, check: run }));
}

interface Stream {
    readonly requestId: string;
    readonly ids: ReadonlySet<string>;
    readonly tokens: readonly string[];
    readonly reason: "stop" | "length";
    readonly cachedTokens: number;
    readonly promptTokens: number;
}

class EngineCheck {
    readonly #options: RuleOptions;
    readonly #url: string;

    constructor(options: RuleOptions) {
        this.#options = options;
        this.#url = options.url;
    }

    async generate(
        request: {
            readonly prompt?: string;
            readonly prefix?: readonly string[];
            readonly requestId?: string;
            readonly maxTokens?: number;
        },
    ): Promise<Stream> {
        const requestId = request.requestId ?? uniqueName("request");
        const prefix = request.prefix ?? [];
        const reply = await call(this.#url, "POST", "/v1/chat/completions", {
            body: {
                request_id: requestId,
                model: await this.#model(),
                messages: [{ role: "user", content: request.prompt ?? uniqueName("prompt") }],
                max_tokens: request.maxTokens ?? answerTokens,
                stream: true,
                prefix,
            },
        });
        return readStream(reply, requestId, prefix.length);
    }

    async namesRequest(): Promise<void> {
        const streams = await Promise.all([...Array(8).keys()].map(() => this.generate({})));
        streams.forEach(stream => assert.deepEqual([...stream.ids], [stream.requestId]));
    }

    async resumes(): Promise<void> {
        const first = await this.generate({});
        for (const offset of [0, 7, first.tokens.length - 1]) {
            const reply = await call(this.#url, "GET", `/v1/generations/${first.requestId}?offset=${offset}`);
            assert.deepEqual(readStream(reply, first.requestId, offset).tokens, first.tokens.slice(offset));
        }
    }

    async continuesPrefix(): Promise<void> {
        const prompt = uniqueName("prompt");
        const first = await this.generate({ prompt });
        const second = await this.generate({ prompt });
        assert.deepEqual(second.tokens, first.tokens);
        const half = Math.floor(first.tokens.length / 2);
        const third = await this.generate({ prompt, prefix: first.tokens.slice(0, half) });
        assert.deepEqual(third.tokens, first.tokens.slice(half));
    }

    async tellsReason(): Promise<void> {
        const stream = await this.generate({});
        const isFull = stream.tokens.length === answerTokens;
        assert.equal(stream.reason === "length", isFull, `${stream.tokens.length} tokens ended with '${stream.reason}'.`);
        assert.ok(stream.tokens.length <= answerTokens);
    }

    async cancels(): Promise<void> {
        const stream = await this.generate({});
        const path = `/v1/generations/${stream.requestId}`;
        assert.equal((await call(this.#url, "DELETE", path)).status, 204);
        assert.equal((await call(this.#url, "GET", `${path}?offset=0`)).status, 404);
        assert.equal((await call(this.#url, "DELETE", path)).status, 404);
    }

    async reportsLoad(): Promise<void> {
        const load = loadSchema.parse((await call(this.#url, "GET", "/v1/load")).body);
        assert.ok(Date.parse(load.reportedAt) <= Date.now() + 1_000, "The report comes from the future.");
    }

    async caches(): Promise<void> {
        const prompt = longPrompt();
        const before = (await this.#events(0)).at(-1)?.sequence ?? 0;
        await this.generate({ prompt });
        const second = await this.generate({ prompt });
        const blocks = hashBlocks(renderPrompt([{ role: "user", content: prompt }]));
        assert.ok(second.cachedTokens >= (blocks.length - 1) * tokensPerBlock, `${second.cachedTokens} tokens were cached.`);
        const deadlineMs = performance.now() + 10_000;
        const seen = new Set<string>();
        while (!blocks.some(block => seen.has(block))) {
            assert.ok(performance.now() < deadlineMs, "No block of the prompt was announced.");
            (await this.#events(before)).filter(event => event.kind === "stored").forEach(event => seen.add(event.block));
            await sleep(50);
        }
    }

    async movesCache(): Promise<void> {
        const prompt = longPrompt();
        const stream = await this.generate({ prompt });
        const exported = await call(this.#url, "GET", `/v1/generations/${stream.requestId}/cache`);
        const { tokens } = exportSchema.parse(exported.body);
        const imported = await call(this.#url, "POST", "/v1/cache", { body: exported.body });
        assert.equal(z.object({ tokens: z.int() }).parse(imported.body).tokens, tokens);
        const { requestId } = stream;
        const maxTokens = 2 * answerTokens;
        const next = await this.generate({ prompt, requestId, prefix: stream.tokens, maxTokens });
        const computedTokens = next.promptTokens - next.cachedTokens;
        // An engine may compute the last token again, since its result is the next token.
        assert.ok(computedTokens <= 1, `${computedTokens} tokens were computed again after the KV cache was imported.`);
        assert.ok(next.promptTokens > tokens / 2, "The prefix was not counted.");
    }

    async refusesMalformed(): Promise<void> {
        for (const body of [{}, { request_id: "a", model: await this.#model(), messages: [], max_tokens: 1, stream: true }]) {
            const reply = await call(this.#url, "POST", "/v1/chat/completions", { body });
            assert.equal(reply.status, 400);
            assert.equal(reply.headers["x-filbertrelay-executed"], "no");
        }
    }

    async obeysOrders(): Promise<void> {
        const state = await this.#state();
        const token = Math.max(Date.now(), state.fencingToken + 10);
        const order = { model: state.model, modelVersion: state.modelVersion, adapters: ["conformance"], role: "mixed" };
        assert.equal((await this.#order({ ...order, fencingToken: token })).status, 200);
        const stale = await this.#order({ ...order, adapters: [], fencingToken: token - 1 });
        assert.equal(stale.status, this.#options.checksFencing ? 409 : 200);
        const deadlineMs = performance.now() + 10_000;
        const wanted = this.#options.checksFencing ? token : token - 1;
        while ((await this.#state()).fencingToken !== wanted) {
            assert.ok(performance.now() < deadlineMs, "The order did not take effect.");
            await sleep(50);
        }
    }

    #order(body: unknown): Promise<RuleReply> {
        return call(this.#url, "POST", "/v1/order", { body });
    }

    async #state(): Promise<z.infer<typeof stateSchema>> {
        return stateSchema.parse((await call(this.#url, "GET", "/v1/state")).body);
    }

    async #model(): Promise<string> {
        const { model } = await this.#state();
        return model === "*" ? "conformance" : model;
    }

    async #events(afterSequence: number): Promise<z.infer<typeof eventsSchema>["events"]> {
        return eventsSchema.parse(
            (await call(this.#url, "GET", `/v1/cache-events?afterSequence=${afterSequence}&timeoutMs=0`)).body,
        ).events;
    }
}

function longPrompt(): string {
    return `${uniqueName("prompt")} ${"word ".repeat(400)}`;
}

/** Checks order and completeness of a stream and collects its tokens. */
function readStream(reply: RuleReply, requestId: string, offset: number): Stream {
    assert.equal(reply.status, 200, reply.text.slice(0, 200));
    const ids = new Set<string>();
    const tokens: string[] = [];
    let finish: z.infer<typeof chunkSchema> | undefined;
    let isDone = false;
    const parser = createParser({
        onEvent: event => {
            assert.equal(isDone, false, "An event follows the end of the stream.");
            if (event.data === "[DONE]") {
                isDone = true;
                return;
            }
            assert.equal(finish, undefined, "An event follows the finish event.");
            const chunk = chunkSchema.parse(JSON.parse(event.data));
            ids.add(chunk.id);
            const content = chunk.choices[0]?.delta.content;
            if (content !== undefined) {
                tokens.push(content);
                assert.equal(event.id, String(offset + tokens.length), "An offset does not rise by one.");
            }
            finish = chunk.choices[0]?.finish_reason === null ? undefined : chunk;
        },
    });
    parser.feed(reply.text);
    assert.ok(isDone && finish !== undefined, "The stream is not complete.");
    const { usage, choices } = finish as z.infer<typeof chunkSchema>;
    assert.ok(usage !== undefined, "The finish event has no usage.");
    return {
        requestId,
        ids,
        tokens,
        reason: choices[0]?.finish_reason ?? "stop",
        cachedTokens: usage.prompt_tokens_details.cached_tokens,
        promptTokens: usage.prompt_tokens,
    };
}
