import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import { errorBody, readJson, refuse } from "./reply.js";

/** Faults that every stand-in has. */
const faultsSchema = z.strictObject({
    /** `down`: answers 503; `hang`: accepts and never answers; `slow`: answers late; `none`: ends an outage. */
    outage: z.enum(["down", "hang", "slow", "none"]).optional(),
    /** How long the outage lasts; without it until it is ended. */
    forMs: z.number().min(0).optional(),
    /** Delay of each answer while `slow`. */
    delayMs: z.number().min(0).optional(),
    /** The replies to the next N matching requests are lost after the request took effect. */
    loseReplies: z.int().min(0).optional(),
    /** Methods that `loseReplies` matches; all but GET by default. */
    loseMethods: z.array(z.string()).optional(),
    /** Start of the paths that `loseReplies` matches. */
    losePath: z.string().optional(),
});

type FaultSettings = z.infer<typeof faultsSchema>;

const faultsPath = "/control/faults";

/** Applies faults to each request that is not for `/control`. */
export interface Faults {
    apply(request: Request, bindings: HttpBindings, handle: () => Response | Promise<Response>): Promise<Response>;
}

/** Creates the shared faults of one stand-in process. */
export function createFaults(): Faults {
    return new SharedFaults();
}

class SharedFaults implements Faults {
    readonly #routes = new Hono();
    #outage: "down" | "hang" | "slow" | "none" = "none";
    #outageEndsAt = Infinity;
    #delayMs = 0;
    #repliesToLose = 0;
    #loseMethods: readonly string[] | undefined;
    #losePath = "/";

    constructor() {
        this.#routes.post(faultsPath, async context => {
            const body = await readJson(context, faultsSchema);
            if ("fault" in body) {
                return refuse(context, 400, "invalid", body.fault);
            }
            this.#set(body.value);
            return context.json({});
        });
        this.#routes.get(faultsPath, context => context.json({ outage: this.#current(), repliesToLose: this.#repliesToLose }));
    }

    async apply(request: Request, bindings: HttpBindings, handle: () => Response | Promise<Response>): Promise<Response> {
        if (bindings.incoming.url === faultsPath) {
            return this.#routes.fetch(request);
        }
        if (isControl(bindings)) {
            return handle();
        }
        const outage = this.#current();
        if (outage === "down") {
            return Response.json(errorBody("unavailable", "The service is in an outage."), { status: 503 });
        }
        if (outage === "hang") {
            return RESPONSE_ALREADY_SENT;
        }
        if (outage === "slow") {
            await sleep(this.#delayMs);
        }
        const response = await handle();
        // A call that waited, such as a watch, is not answered while the service is down.
        if (response !== RESPONSE_ALREADY_SENT && this.#current() === "down") {
            return Response.json(errorBody("unavailable", "The service is in an outage."), { status: 503 });
        }
        return this.#takeLoss(request.method, bindings) ? dropReply(response, bindings) : response;
    }

    #set(settings: FaultSettings): void {
        if (settings.outage !== undefined) {
            this.#outage = settings.outage;
            this.#outageEndsAt = settings.forMs === undefined ? Infinity : performance.now() + settings.forMs;
            this.#delayMs = settings.delayMs ?? 1_000;
        }
        if (settings.loseReplies !== undefined) {
            this.#repliesToLose = settings.loseReplies;
            this.#loseMethods = settings.loseMethods;
            this.#losePath = settings.losePath ?? "/";
        }
    }

    #current(): "down" | "hang" | "slow" | "none" {
        return performance.now() < this.#outageEndsAt ? this.#outage : "none";
    }

    #takeLoss(method: string, bindings: HttpBindings): boolean {
        const isMatch = this.#loseMethods === undefined ? method !== "GET" : this.#loseMethods.includes(method);
        if (this.#repliesToLose === 0 || !isMatch || bindings.incoming.url?.startsWith(this.#losePath) !== true) {
            return false;
        }
        this.#repliesToLose -= 1;
        return true;
    }
}

function isControl(bindings: HttpBindings): boolean {
    return bindings.incoming.url?.startsWith("/control/") === true;
}

async function dropReply(response: Response, bindings: HttpBindings): Promise<Response> {
    await response.body?.cancel();
    bindings.incoming.socket.destroy();
    return RESPONSE_ALREADY_SENT;
}
