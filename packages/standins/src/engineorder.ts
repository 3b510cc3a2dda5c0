import type { Hono } from "hono";
import type { Context } from "hono";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import * as z from "zod";
import { readJson, refuse } from "./reply.js";
import type { StandInEnvironment } from "./server.js";

const orderSchema = z.strictObject({
    fencingToken: z.int().min(0),
    model: z.string().min(1),
    modelVersion: z.string().min(1),
    adapters: z.array(z.string()),
    role: z.enum(["mixed", "prefill", "decode"]),
});

type Order = z.infer<typeof orderSchema>;

/** Settings of an engine that concern orders. */
export interface EngineOrderOptions {
    readonly model: string;
    readonly modelVersion: string;
    readonly checkFencing: boolean;
    readonly weightStoreUrl: string | undefined;
}

const firstRetryMs = 200;
const longestRetryMs = 5_000;

/** What an engine has loaded, and the orders that change it. */
export class EngineOrders {
    readonly #options: EngineOrderOptions;
    readonly #onLoaded: () => void;
    #state: Order;
    #wanted: Order;
    #highestToken = 0;
    #isLoading = false;
    #ordersApplied = 0;
    #downloads = 0;

    constructor(options: EngineOrderOptions, onLoaded: () => void) {
        this.#options = options;
        this.#onLoaded = onLoaded;
        this.#state = { fencingToken: 0, model: options.model, modelVersion: options.modelVersion, adapters: [], role: "mixed" };
        this.#wanted = this.#state;
    }

    get isLoading(): boolean {
        return this.#isLoading;
    }

    /** True if requests for the model can run here. */
    serves(model: string): boolean {
        return this.#state.model === "*" || this.#state.model === model;
    }

    addRoutes(app: Hono<StandInEnvironment>): void {
        app.post("/v1/order", context => this.#accept(context));
        app.get("/v1/state", context =>
            context.json({
                ...this.#state,
                loading: this.#isLoading,
                ordersApplied: this.#ordersApplied,
                downloads: this.#downloads,
            }));
    }

    async #accept(context: Context): Promise<Response> {
        const body = await readJson(context, orderSchema);
        if ("fault" in body) {
            return refuse(context, 400, "invalid", body.fault, "no");
        }
        const order = body.value;
        if (this.#options.checkFencing && order.fencingToken < this.#highestToken) {
            const message = `The fencing token ${order.fencingToken} is below ${this.#highestToken}.`;
            return refuse(context, 409, "staleOrder", message, "no");
        }
        this.#highestToken = Math.max(this.#highestToken, order.fencingToken);
        this.#wanted = order;
        this.#ordersApplied += 1;
        if (!this.#isLoading) {
            void this.#reach();
        }
        return context.json({});
    }

    /** Loads what is wanted; an order that arrives meanwhile is reached next. */
    async #reach(): Promise<void> {
        this.#isLoading = true;
        let retryMs = firstRetryMs;
        while (this.#state !== this.#wanted) {
            const wanted = this.#wanted;
            if (hasSameWeights(this.#state, wanted) || await this.#download(wanted)) {
                this.#apply(wanted);
                retryMs = firstRetryMs;
                continue;
            }
            await sleep(retryMs);
            retryMs = Math.min(longestRetryMs, retryMs * 2);
        }
        this.#isLoading = false;
    }

    #apply(order: Order): void {
        if (!hasSameWeights(this.#state, order)) {
            this.#onLoaded();
        }
        this.#state = order;
    }

    async #download(order: Order): Promise<boolean> {
        const { weightStoreUrl } = this.#options;
        if (weightStoreUrl === undefined) {
            return true;
        }
        const path = `/v1/weights/${encodeURIComponent(order.model)}/${encodeURIComponent(order.modelVersion)}`;
        try {
            const response = await request(`${weightStoreUrl}${path}`, { bodyTimeout: 0 });
            await response.body.dump({ limit: Number.MAX_SAFE_INTEGER });
            this.#downloads += response.statusCode === 200 ? 1 : 0;
            return response.statusCode === 200;
        }
        catch {
            return false;
        }
    }
}

function hasSameWeights(left: Order, right: Order): boolean {
    return left.model === right.model && left.modelVersion === right.modelVersion;
}
