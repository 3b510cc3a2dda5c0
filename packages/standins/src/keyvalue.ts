import { Hono } from "hono";
import type { Context } from "hono";
import * as z from "zod";
import { KeyValueStore } from "./keyvaluestore.js";
import type { StoredEntry, WriteResult } from "./keyvaluestore.js";
import { RateLimit } from "./ratelimit.js";
import { queryNumber, readJson, refuse } from "./reply.js";
import type { StandIn, StandInEnvironment } from "./server.js";

/** Options of `createKeyValueStandIn`. */
export interface KeyValueOptions {
    readonly readsPerSecond: number;
    readonly writesPerSecond: number;
}

/** Largest value that is stored, in bytes of UTF-8. */
const valueLimitBytes = 1_048_576;
const longestWatchMs = 60_000;

const writeSchema = z.strictObject({
    value: z.string(),
    expectedVersion: z.int().min(0),
    leaseId: z.string().min(1).optional(),
});
const leaseSchema = z.strictObject({ timeToLiveMs: z.int().min(1).max(86_400_000) });
const ratesSchema = z.strictObject({ readsPerSecond: z.number().positive(), writesPerSecond: z.number().positive() });

type Kind = "get" | "list" | "put" | "delete" | "watch" | "leaseGrant" | "leaseRenew";
const kinds: readonly Kind[] = ["get", "list", "put", "delete", "watch", "leaseGrant", "leaseRenew"];

/** Creates the stand-in of the key-value service; see docs/protocols/key-value.md. */
export function createKeyValueStandIn(options: KeyValueOptions): StandIn {
    return new KeyValueStandIn(options);
}

class KeyValueStandIn implements StandIn {
    readonly app = new Hono<StandInEnvironment>();
    readonly #store = new KeyValueStore();
    readonly #reads: RateLimit;
    readonly #writes: RateLimit;
    readonly #counts = new Map<Kind, number>(kinds.map(kind => [kind, 0]));
    #throttled = 0;
    #waitingWatches = 0;

    constructor(options: KeyValueOptions) {
        this.#reads = new RateLimit(options.readsPerSecond);
        this.#writes = new RateLimit(options.writesPerSecond);
        this.#addValueRoutes();
        this.#addLeaseRoutes();
        this.#addControlRoutes();
    }

    close(): void {
        this.#store.close();
    }

    #addValueRoutes(): void {
        this.app.get("/v1/kv/:key", context => this.#count(context, "get", () => this.#get(context)));
        this.app.put("/v1/kv/:key", context => this.#count(context, "put", () => this.#put(context)));
        this.app.delete("/v1/kv/:key", context => this.#count(context, "delete", () => this.#delete(context)));
        this.app.get(
            "/v1/kv",
            context =>
                this.#count(
                    context,
                    "list",
                    () => context.json({ values: this.#store.list(context.req.query("prefix") ?? "").map(view) }),
                ),
        );
        this.app.get("/v1/watch", context => this.#count(context, "watch", () => this.#watch(context)));
    }

    #addLeaseRoutes(): void {
        this.app.post("/v1/leases", context =>
            this.#count(context, "leaseGrant", async () => {
                const body = await readJson(context, leaseSchema);
                return "fault" in body ?
                    refuse(context, 400, "invalid", body.fault) :
                    context.json({ leaseId: this.#store.grantLease(body.value.timeToLiveMs) });
            }));
        this.app.put("/v1/leases/:id", context =>
            this.#count(context, "leaseRenew", () => {
                const leaseId = context.req.param("id");
                return this.#store.renewLease(leaseId) ?
                    context.json({ leaseId }) :
                    refuse(context, 409, "conflict", "The lease has lapsed.");
            }));
    }

    #addControlRoutes(): void {
        this.app.get("/control/counts", context => {
            const counts = Object.fromEntries(this.#counts);
            return context.json({ ...counts, throttled: this.#throttled, waitingWatches: this.#waitingWatches });
        });
        this.app.post("/control/rates", async context => {
            const body = await readJson(context, ratesSchema);
            if ("fault" in body) {
                return refuse(context, 400, "invalid", body.fault);
            }
            this.#reads.setRate(body.value.readsPerSecond);
            this.#writes.setRate(body.value.writesPerSecond);
            return context.json({});
        });
    }

    #count(context: Context, kind: Kind, handle: () => Response | Promise<Response>): Response | Promise<Response> {
        const limit = kind === "get" || kind === "list" || kind === "watch" ? this.#reads : this.#writes;
        if (!limit.take()) {
            this.#throttled += 1;
            return refuse(context, 429, "throttled", `The rate limit of ${limit.ratePerSecond} calls per second is reached.`);
        }
        this.#counts.set(kind, (this.#counts.get(kind) ?? 0) + 1);
        return handle();
    }

    #get(context: Context): Response {
        const entry = this.#store.get(context.req.param("key") ?? "");
        return entry === undefined ? refuse(context, 404, "notFound", "The key does not exist.") : context.json(view(entry));
    }

    async #put(context: Context): Promise<Response> {
        const body = await readJson(context, writeSchema);
        if ("fault" in body) {
            return refuse(context, 400, "invalid", body.fault);
        }
        const { value, expectedVersion, leaseId } = body.value;
        if (Buffer.byteLength(value) > valueLimitBytes) {
            return refuse(context, 413, "tooLarge", `A value has at most ${valueLimitBytes} bytes.`);
        }
        return answerWrite(context, this.#store.compareAndSwap(context.req.param("key") ?? "", value, expectedVersion, leaseId));
    }

    #delete(context: Context): Response {
        return answerWrite(
            context,
            this.#store.delete(context.req.param("key") ?? "", queryNumber(context, "expectedVersion", 0)),
        );
    }

    async #watch(context: Context): Promise<Response> {
        const timeoutMs = Math.min(queryNumber(context, "timeoutMs", 0), longestWatchMs);
        this.#waitingWatches += 1;
        try {
            const prefix = context.req.query("prefix") ?? "";
            const afterVersion = queryNumber(context, "afterVersion", 0);
            const values = await this.#store.watch(prefix, afterVersion, timeoutMs, context.req.raw.signal);
            return context.json({ values: values.map(view) });
        }
        finally {
            this.#waitingWatches -= 1;
        }
    }
}

function view(entry: StoredEntry): { key: string; value: string; version: number; } {
    return { key: entry.key, value: entry.value, version: entry.version };
}

function answerWrite(context: Context, result: WriteResult): Response {
    if (result.kind === "written") {
        return context.json({ version: result.version });
    }
    const message = result.kind === "leaseLapsed" ? "The lease has lapsed." : `The present version is ${result.currentVersion}.`;
    return refuse(context, 409, "conflict", message);
}
