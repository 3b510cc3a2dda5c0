import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import type { Context } from "hono";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import { errorBody, readJson, refuse } from "./reply.js";
import type { StandIn, StandInEnvironment } from "./server.js";

/** Options of `createWeightStoreStandIn`. */
export interface WeightStoreOptions {
    /** Rate of all downloads together. */
    readonly bytesPerSecond: number;
    readonly concurrentDownloads: number;
    /** Size of models that were not registered; 0 answers 404 for them. */
    readonly defaultBytes: number;
}

const modelSchema = z.strictObject({ model: z.string().min(1), version: z.string().min(1), bytes: z.int().min(0) });
const rateSchema = z.strictObject({ bytesPerSecond: z.number().positive(), concurrentDownloads: z.int().positive() });
const retryAfterMs = 500;
const sliceMs = 20;
const zeros = Buffer.alloc(1_048_576);

/** Creates the stand-in of the weight store; see docs/protocols/weight-store.md. */
export function createWeightStoreStandIn(options: WeightStoreOptions): StandIn {
    return new WeightStoreStandIn(options);
}

class WeightStoreStandIn implements StandIn {
    readonly app = new Hono<StandInEnvironment>();
    readonly #defaultBytes: number;
    readonly #models = new Map<string, number>();
    #bytesPerSecond: number;
    #concurrentDownloads: number;
    #active = 0;
    #completed = 0;
    #throttled = 0;
    #mostActive = 0;

    constructor(options: WeightStoreOptions) {
        this.#defaultBytes = options.defaultBytes;
        this.#bytesPerSecond = options.bytesPerSecond;
        this.#concurrentDownloads = options.concurrentDownloads;
        this.app.get("/v1/rate", context => context.json(this.#rate()));
        this.app.get("/v1/models/:model/:version", context => this.#describe(context));
        this.app.get("/v1/weights/:model/:version", context => this.#download(context));
        this.#addControlRoutes();
    }

    #addControlRoutes(): void {
        this.app.get("/control/counts", context => {
            const { active, completed, throttled, mostActive } = {
                active: this.#active,
                completed: this.#completed,
                throttled: this.#throttled,
                mostActive: this.#mostActive,
            };
            return context.json({ active, completed, throttled, mostActive });
        });
        this.app.post("/control/models", async context => {
            const body = await readJson(context, modelSchema);
            if ("fault" in body) {
                return refuse(context, 400, "invalid", body.fault);
            }
            this.#models.set(`${body.value.model}/${body.value.version}`, body.value.bytes);
            return context.json({});
        });
        this.app.post("/control/rate", async context => {
            const body = await readJson(context, rateSchema);
            if ("fault" in body) {
                return refuse(context, 400, "invalid", body.fault);
            }
            this.#bytesPerSecond = body.value.bytesPerSecond;
            this.#concurrentDownloads = body.value.concurrentDownloads;
            return context.json({});
        });
    }

    #rate(): { bytesPerSecond: number; concurrentDownloads: number; } {
        return { bytesPerSecond: this.#bytesPerSecond, concurrentDownloads: this.#concurrentDownloads };
    }

    #size(context: Context): number | undefined {
        const registered = this.#models.get(`${context.req.param("model") ?? ""}/${context.req.param("version") ?? ""}`);
        return registered ?? (this.#defaultBytes > 0 ? this.#defaultBytes : undefined);
    }

    #describe(context: Context): Response {
        const bytes = this.#size(context);
        return bytes === undefined ?
            refuse(context, 404, "notFound", "The model version does not exist.") :
            context.json({ model: context.req.param("model"), version: context.req.param("version"), bytes });
    }

    #download(context: Context): Response {
        const bytes = this.#size(context);
        if (bytes === undefined) {
            return refuse(context, 404, "notFound", "The model version does not exist.");
        }
        if (this.#active >= this.#concurrentDownloads) {
            this.#throttled += 1;
            const { error } = errorBody("throttled", "Too many downloads are in progress.");
            return context.json({ error: { ...error, retryAfterMs } }, 429);
        }
        void this.#send((context.env as HttpBindings).outgoing, bytes);
        return RESPONSE_ALREADY_SENT;
    }

    /** Sends the bytes in slices; each active download gets an equal share of the rate. */
    async #send(outgoing: ServerResponse, bytes: number): Promise<void> {
        this.#active += 1;
        this.#mostActive = Math.max(this.#mostActive, this.#active);
        outgoing.on("error", () => undefined);
        outgoing.writeHead(200, { "content-type": "application/octet-stream", "content-length": bytes });
        let remaining = bytes;
        let lastMs = performance.now();
        while (remaining > 0 && !outgoing.destroyed) {
            await sleep(sliceMs);
            const nowMs = performance.now();
            const share = Math.ceil(this.#bytesPerSecond / this.#active * (nowMs - lastMs) / 1_000);
            lastMs = nowMs;
            remaining -= writeZeros(outgoing, Math.min(remaining, share));
        }
        this.#active -= 1;
        this.#completed += remaining === 0 ? 1 : 0;
        outgoing.end();
    }
}

function writeZeros(outgoing: ServerResponse, count: number): number {
    if (outgoing.writableNeedDrain) {
        return 0;
    }
    for (let left = count; left > 0; left -= zeros.length) {
        outgoing.write(zeros.subarray(0, Math.min(left, zeros.length)));
    }
    return count;
}
