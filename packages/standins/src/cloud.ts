import { Hono } from "hono";
import type { Context } from "hono";
import * as z from "zod";
import { CloudFleet } from "./cloudfleet.js";
import type { FleetHost } from "./cloudfleet.js";
import { queryNumber, readJson, refuse } from "./reply.js";
import type { StandIn, StandInEnvironment } from "./server.js";

const priceSchema = z.strictObject({
    failureDomain: z.string().min(1),
    hostClass: z.string().min(1),
    reclaimablePrice: z.number().positive().optional(),
    onDemandPrice: z.number().positive(),
});
const startSchema = z.strictObject({
    requestId: z.string().min(1),
    role: z.enum(["entry", "engine", "service"]),
    failureDomain: z.string().min(1),
    hostClass: z.string().min(1),
    reclaimable: z.boolean(),
});
// A pid below 2 would name the init process or a process group.
const attachSchema = z.strictObject({
    pid: z.int().min(2).optional(),
    address: z.string().optional(),
    endpointId: z.string().optional(),
    serves: z.string().optional(),
});
const registerSchema = attachSchema.extend({
    hostId: z.string().min(1),
    role: z.enum(["entry", "engine", "service"]),
    failureDomain: z.string().min(1),
    hostClass: z.string().default("standard"),
    reclaimable: z.boolean().default(true),
    pricePerHour: z.number().min(0).optional(),
});
const reclaimSchema = z.strictObject({
    hostId: z.string().optional(),
    failureDomain: z.string().optional(),
    /** Reclaims on-demand hosts too. */
    includeOnDemand: z.boolean().default(false),
    noticeMs: z.number().min(0).optional(),
});
const refusalSchema = z.strictObject({
    /** Refuses the next N matching starts. */
    count: z.int().min(0),
    failureDomain: z.string().optional(),
    hostClass: z.string().optional(),
    reclaimable: z.boolean().optional(),
});

/** The price of a host class in one failure domain, in thousandths of a cent per hour. */
export type Price = z.infer<typeof priceSchema>;

/** Options of `createCloudStandIn`. */
export interface CloudOptions {
    readonly prices: readonly Price[];
    /** Notice period of reclaims that name none. */
    readonly noticeMs: number;
}

/** Reads a JSON list of prices; an absent text gives no prices. */
export function readPrices(text: string | undefined): readonly Price[] {
    return text === undefined ? [] : z.array(priceSchema).parse(JSON.parse(text));
}

/** Creates the stand-in of the cloud API; see docs/protocols/cloud.md. */
export function createCloudStandIn(options: CloudOptions): StandIn {
    return new CloudStandIn(options);
}

class CloudStandIn implements StandIn {
    readonly app = new Hono<StandInEnvironment>();
    readonly #fleet = new CloudFleet();
    readonly #noticeMs: number;
    readonly #startsByRequest = new Map<string, FleetHost>();
    #prices: readonly Price[];
    #refusals: z.infer<typeof refusalSchema> = { count: 0 };
    #startCount = 0;
    #refusedCount = 0;

    constructor(options: CloudOptions) {
        this.#prices = options.prices;
        this.#noticeMs = options.noticeMs;
        this.#addRoutes();
        this.#addHostControlRoutes();
        this.#addControlRoutes();
    }

    close(): void {
        this.#fleet.close();
    }

    #addRoutes(): void {
        this.app.get("/v1/hosts", context => context.json({ hosts: this.#fleet.list().map(view) }));
        this.app.get("/v1/hosts/:id", context => this.#withHost(context, host => context.json(view(host))));
        this.app.post("/v1/hosts", context => this.#start(context));
        this.app.delete("/v1/hosts/:id", context => this.#withHost(context, host => this.#terminate(context, host)));
        this.app.get("/v1/prices", context => context.json({ prices: this.#prices }));
        this.app.get("/v1/notices", async context => {
            const timeoutMs = Math.min(queryNumber(context, "timeoutMs", 0), 60_000);
            const afterSequence = queryNumber(context, "afterSequence", 0);
            return context.json({ notices: await this.#fleet.waitForNotices(afterSequence, timeoutMs, context.req.raw.signal) });
        });
    }

    #addHostControlRoutes(): void {
        this.app.post("/control/hosts", async context => {
            const body = await readJson(context, registerSchema);
            return "fault" in body ? refuse(context, 400, "invalid", body.fault) : context.json(view(this.#register(body.value)));
        });
        this.app.post("/control/hosts/:id", async context => {
            const body = await readJson(context, attachSchema);
            return "fault" in body ?
                refuse(context, 400, "invalid", body.fault) :
                this.#withHost(context, host => context.json(view(Object.assign(host, body.value))));
        });
        this.app.post("/control/terminate/:id", context => this.#withHost(context, host => this.#terminate(context, host)));
    }

    #addControlRoutes(): void {
        this.app.post("/control/reclaim", async context => {
            const body = await readJson(context, reclaimSchema);
            return "fault" in body ? refuse(context, 400, "invalid", body.fault) : this.#reclaim(context, body.value);
        });
        this.app.post("/control/refusals", async context => {
            const body = await readJson(context, refusalSchema);
            if ("fault" in body) {
                return refuse(context, 400, "invalid", body.fault);
            }
            this.#refusals = body.value;
            return context.json({});
        });
        this.app.post("/control/prices", async context => {
            const body = await readJson(context, z.strictObject({ prices: z.array(priceSchema) }));
            if ("fault" in body) {
                return refuse(context, 400, "invalid", body.fault);
            }
            this.#prices = body.value.prices;
            return context.json({});
        });
        this.app.get("/control/counts", context => context.json({ started: this.#startCount, refused: this.#refusedCount }));
    }

    #register(host: z.infer<typeof registerSchema>): FleetHost {
        const { pid, address, endpointId, serves } = host;
        const pricePerHour = host.pricePerHour ?? this.#priceOf(host);
        const added: FleetHost = { ...host, pid, address, endpointId, serves, state: "running", pricePerHour };
        this.#fleet.add(added);
        return added;
    }

    async #start(context: Context): Promise<Response> {
        const body = await readJson(context, startSchema);
        if ("fault" in body) {
            return refuse(context, 400, "invalid", body.fault);
        }
        const { requestId, ...wanted } = body.value;
        const former = this.#startsByRequest.get(requestId);
        if (former !== undefined) {
            return context.json(view(former));
        }
        if (this.#takeRefusal(wanted)) {
            this.#refusedCount += 1;
            return refuse(context, 409, "refused", "No capacity is available.");
        }
        this.#startCount += 1;
        const host = this.#register({ ...wanted, hostId: `host-${this.#startCount}` });
        this.#startsByRequest.set(requestId, host);
        return context.json(view(host), 201);
    }

    #takeRefusal(
        wanted: { readonly failureDomain: string; readonly hostClass: string; readonly reclaimable: boolean; },
    ): boolean {
        const { count, failureDomain, hostClass, reclaimable } = this.#refusals;
        const isMatch = (failureDomain ?? wanted.failureDomain) === wanted.failureDomain &&
            (hostClass ?? wanted.hostClass) === wanted.hostClass && (reclaimable ?? wanted.reclaimable) === wanted.reclaimable;
        if (count === 0 || !isMatch) {
            return false;
        }
        this.#refusals.count -= 1;
        return true;
    }

    async #terminate(context: Context, host: FleetHost): Promise<Response> {
        return await this.#fleet.terminate(host) ?
            context.json(view(host)) :
            refuse(context, 503, "unavailable", "The host's process could not be stopped.");
    }

    #reclaim(context: Context, reclaim: z.infer<typeof reclaimSchema>): Response {
        const { hostId, failureDomain, includeOnDemand, noticeMs } = reclaim;
        if (hostId === undefined && failureDomain === undefined) {
            return refuse(context, 400, "invalid", "A reclaim names a host or a failure domain.");
        }
        const hosts = this.#fleet.list().filter(host =>
            host.state === "running" && (host.reclaimable || includeOnDemand || hostId !== undefined) &&
            (hostId ?? host.hostId) === host.hostId && (failureDomain ?? host.failureDomain) === host.failureDomain
        );
        hosts.forEach(host => this.#fleet.reclaim(host, noticeMs ?? this.#noticeMs));
        return context.json({ hostIds: hosts.map(host => host.hostId) });
    }

    #priceOf(host: { readonly failureDomain: string; readonly hostClass: string; readonly reclaimable: boolean; }): number {
        const price = this.#prices.find(entry =>
            entry.failureDomain === host.failureDomain && entry.hostClass === host.hostClass
        );
        return (host.reclaimable ? price?.reclaimablePrice : undefined) ?? price?.onDemandPrice ?? 0;
    }

    #withHost(context: Context, handle: (host: FleetHost) => Response | Promise<Response>): Response | Promise<Response> {
        const host = this.#fleet.get(context.req.param("id") ?? "");
        return host === undefined ? refuse(context, 404, "notFound", "The host does not exist.") : handle(host);
    }
}

function view(host: FleetHost): Omit<FleetHost, "pid"> {
    const { pid, ...shown } = host;
    void pid;
    return shown;
}
