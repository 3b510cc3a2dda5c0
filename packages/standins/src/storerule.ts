import assert from "node:assert/strict";
import { request } from "undici";
import * as z from "zod";
import { call } from "./rule.js";
import type { Rule, RuleOptions } from "./rule.js";

const listedSchema = z.object({
    hosts: z.array(z.object({
        hostId: z.string().min(1),
        role: z.enum(["entry", "engine", "service"]),
        address: z.string().min(1),
        failureDomain: z.string().min(1),
        state: z.enum(["live", "leaving"]),
        endpointId: z.string().optional(),
        serves: z.string().optional(),
        hostClass: z.string().optional(),
        reclaimable: z.boolean().optional(),
    })),
});
const rateSchema = z.object({ bytesPerSecond: z.number().positive(), concurrentDownloads: z.int().positive() });
const descriptionSchema = z.object({ model: z.string(), version: z.string(), bytes: z.int().min(0) });
const throttledSchema = z.object({ error: z.object({ code: z.literal("throttled"), retryAfterMs: z.number().positive() }) });

/** The rules of docs/protocols/host-list.md. */
export function hostListRules(options: RuleOptions): readonly Rule[] {
    const read = async (): Promise<z.infer<typeof listedSchema>["hosts"]> =>
        listedSchema.parse((await call(options.url, "GET", "/v1/hosts")).body).hosts;
    const listOnce = async (): Promise<void> => {
        const ids = (await read()).map(host => host.hostId);
        assert.equal(new Set(ids).size, ids.length, "A host is listed twice.");
    };
    return [
        { id: "H1", text: "Every entry has the described fields.", check: async () => void await read() },
        { id: "H2", text: "A host is listed once.", check: listOnce },
        { id: "H3", text: "Reads in a row succeed.", check: async () => void await Promise.all([read(), read(), read()]) },
    ];
}

/** The rules of docs/protocols/weight-store.md. */
export function weightStoreRules(options: RuleOptions): readonly Rule[] {
    const check = new WeightStoreCheck(options);
    return [
        { id: "W1", text: "The rate limit is positive.", check: async () => void await check.readRate() },
        { id: "W2", text: "A description names the model and version.", check: async () => void await check.describe() },
        { id: "W3", text: "A download has the described length.", check: () => check.downloads() },
        { id: "W4", text: "Downloads above the limit are refused with 429.", check: () => check.throttles() },
    ];
}

class WeightStoreCheck {
    readonly #url: string;
    readonly #model: string;
    readonly #version: string;

    constructor(options: RuleOptions) {
        this.#url = options.url;
        this.#model = options.model;
        this.#version = options.modelVersion;
    }

    async readRate(): Promise<z.infer<typeof rateSchema>> {
        return rateSchema.parse((await call(this.#url, "GET", "/v1/rate")).body);
    }

    async describe(): Promise<z.infer<typeof descriptionSchema>> {
        const reply = await call(this.#url, "GET", this.#path("models"));
        const description = descriptionSchema.parse(reply.body);
        assert.deepEqual([description.model, description.version], [this.#model, this.#version]);
        return description;
    }

    async downloads(): Promise<void> {
        const { bytes } = await this.describe();
        const response = await request(`${this.#url}${this.#path("weights")}`);
        assert.equal(response.statusCode, 200);
        let received = 0;
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            received += chunk.length;
        }
        assert.equal(received, bytes);
    }

    async throttles(): Promise<void> {
        const { concurrentDownloads } = await this.readRate();
        const controller = new AbortController();
        const start = () => request(`${this.#url}${this.#path("weights")}`, { signal: controller.signal });
        const allowed = await Promise.all([...Array(concurrentDownloads).keys()].map(start));
        allowed.forEach(response => response.body.on("error", () => undefined));
        assert.ok(allowed.every(response => response.statusCode === 200), "A download within the limit was refused.");
        const refused = await start();
        assert.equal(refused.statusCode, 429);
        throttledSchema.parse(await refused.body.json());
        controller.abort();
    }

    #path(part: "models" | "weights"): string {
        return `/v1/${part}/${encodeURIComponent(this.#model)}/${encodeURIComponent(this.#version)}`;
    }
}
