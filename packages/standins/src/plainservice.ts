import { Hono } from "hono";
import type { Context } from "hono";
import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import { readJson, refuse } from "./reply.js";
import type { StandIn, StandInEnvironment } from "./server.js";

/** Options of `createPlainServiceStandIn`. */
export interface PlainServiceOptions {
    /** Name that appears in each answer. */
    readonly instance: string;
    readonly delayMs: number;
    /** Runs each idempotency key at most once and repeats the stored answer. */
    readonly deduplicate: boolean;
    /** Answers `GET /v1/keys/KEY`. */
    readonly answersStatus: boolean;
    /** Refuses a fencing token that is below the highest one seen. */
    readonly checkFencing: boolean;
}

interface KeyRecord {
    executions: number;
    answer: StoredAnswer | undefined;
    finished: Promise<StoredAnswer>;
}

interface StoredAnswer {
    readonly status: 200;
    readonly headers: Record<string, string>;
    readonly body: string;
}

const settingsSchema = z.strictObject({
    delayMs: z.number().min(0).optional(),
    /** Refuses the next N requests before they run. */
    refuseNext: z.int().min(0).optional(),
    refuseStatus: z.union([z.literal(429), z.literal(503)]).optional(),
    /** Leaves the header out that says that a refused request was not run. */
    refuseSilently: z.boolean().optional(),
    /** Accepts requests and keeps them waiting for this long before they run. */
    stallMs: z.number().min(0).optional(),
});

// Bodies up to this size are echoed; of longer ones only the hash.
const echoLimitBytes = 65_536;

/** Creates the stand-in of a plain service; see docs/protocols/plain-service.md. */
export function createPlainServiceStandIn(options: PlainServiceOptions): StandIn {
    return new PlainServiceStandIn(options);
}

class PlainServiceStandIn implements StandIn {
    readonly app = new Hono<StandInEnvironment>();
    readonly #options: PlainServiceOptions;
    readonly #keys = new Map<string, KeyRecord>();
    readonly #paths = new Map<string, number>();
    #executions = 0;
    #highestToken = 0;
    #delayMs: number;
    #refuseNext = 0;
    #refuseStatus: 429 | 503 = 503;
    #refuseSilently = false;
    #stallEndsAt = 0;

    constructor(options: PlainServiceOptions) {
        this.#options = options;
        this.#delayMs = options.delayMs;
        this.#addControlRoutes();
        if (options.answersStatus) {
            this.app.get("/v1/keys/:key", context => this.#answerStatus(context));
        }
        this.app.all("*", context => this.#serve(context));
    }

    #addControlRoutes(): void {
        this.app.get("/control/executions", context => {
            const byKey = Object.fromEntries([...this.#keys].map(([key, record]) => [key, record.executions]));
            return context.json({ total: this.#executions, byKey, byPath: Object.fromEntries(this.#paths) });
        });
        this.app.post("/control/behaviour", async context => {
            const body = await readJson(context, settingsSchema);
            if ("fault" in body) {
                return refuse(context, 400, "invalid", body.fault);
            }
            this.#applySettings(body.value);
            return context.json({});
        });
    }

    #applySettings(settings: z.infer<typeof settingsSchema>): void {
        this.#delayMs = settings.delayMs ?? this.#delayMs;
        this.#refuseNext = settings.refuseNext ?? this.#refuseNext;
        this.#refuseStatus = settings.refuseStatus ?? this.#refuseStatus;
        this.#refuseSilently = settings.refuseSilently ?? this.#refuseSilently;
        if (settings.stallMs !== undefined) {
            this.#stallEndsAt = performance.now() + settings.stallMs;
        }
    }

    async #serve(context: Context): Promise<Response> {
        if (new URL(context.req.url).pathname.startsWith("/control/")) {
            return refuse(context, 404, "notFound", "This control path does not exist.");
        }
        const body = Buffer.from(await context.req.arrayBuffer());
        await sleep(Math.max(0, this.#stallEndsAt - performance.now()));
        const refusal = this.#refusal(context);
        if (refusal !== undefined) {
            return refusal;
        }
        const key = context.req.header("idempotency-key");
        const known = key === undefined ? undefined : this.#keys.get(key);
        if (known !== undefined && this.#options.deduplicate) {
            return send(context, await known.finished);
        }
        return send(context, await this.#execute(context, body, key));
    }

    #refusal(context: Context): Response | undefined {
        const token = Number(context.req.header("x-fencing-token") ?? Number.NaN);
        if (this.#options.checkFencing && token < this.#highestToken) {
            return refuse(context, 409, "staleToken", `The fencing token ${token} is below ${this.#highestToken}.`, "no");
        }
        this.#highestToken = Math.max(this.#highestToken, Number.isNaN(token) ? 0 : token);
        if (this.#refuseNext === 0) {
            return undefined;
        }
        this.#refuseNext -= 1;
        const executed = this.#refuseSilently ? undefined : "no";
        return refuse(context, this.#refuseStatus, "refused", "The service refuses the request before it runs.", executed);
    }

    async #execute(context: Context, body: Buffer, key: string | undefined): Promise<StoredAnswer> {
        this.#executions += 1;
        const { pathname } = new URL(context.req.url);
        this.#paths.set(pathname, (this.#paths.get(pathname) ?? 0) + 1);
        const answer = this.#answer(context, body, this.#executions);
        const finished = this.#delayMs === 0 ? Promise.resolve(answer) : sleep(this.#delayMs, answer);
        if (key === undefined) {
            return finished;
        }
        const record = this.#keys.get(key) ?? { executions: 0, answer: undefined, finished };
        record.executions += 1;
        this.#keys.set(key, record);
        record.answer = await finished;
        return record.answer;
    }

    #answer(context: Context, body: Buffer, execution: number): StoredAnswer {
        const url = new URL(context.req.url);
        const requestId = context.req.header("x-request-id");
        const document = {
            instance: this.#options.instance,
            execution,
            method: context.req.method,
            path: url.pathname,
            query: Object.fromEntries(url.searchParams),
            idempotencyKey: context.req.header("idempotency-key"),
            requestId,
            bodySha256: createHash("sha256").update(body).digest("hex"),
            body: body.length > echoLimitBytes ? undefined : body.toString("utf8"),
        };
        const headers = { "content-type": "application/json", ...(requestId === undefined ? {} : { "x-request-id": requestId }) };
        return { status: 200, headers, body: JSON.stringify(document) };
    }

    #answerStatus(context: Context): Response {
        const record = this.#keys.get(context.req.param("key") ?? "");
        if (record === undefined) {
            return context.json({ executed: "no" });
        }
        const { answer } = record;
        const response = answer === undefined ? undefined : { ...answer, body: Buffer.from(answer.body).toString("base64") };
        return context.json({ executed: "yes", response });
    }
}

/** Sends an answer; a repeated one carries the request id of the present request. */
function send(context: Context, answer: StoredAnswer): Response {
    const requestId = context.req.header("x-request-id");
    const headers = requestId === undefined ? answer.headers : { ...answer.headers, "x-request-id": requestId };
    return context.body(answer.body, answer.status, headers);
}
