import { Hono } from "hono";
import type { Context } from "hono";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as z from "zod";
import { ProxyRoute } from "./proxyroute.js";
import { readJson, refuse } from "./reply.js";
import type { StandIn, StandInEnvironment } from "./server.js";

const address = z.string().regex(/^127\.\d{1,3}\.\d{1,3}\.\d{1,3}:\d{1,5}$/, "Expected a loopback address and a port.");
const routeSchema = z.strictObject({
    listen: address.default("127.0.0.1:0"),
    target: address,
    /** Names by which faults find the route. */
    labels: z.array(z.string()).default([]),
});
const faultSchema = z.strictObject({
    /** Routes that have this id or label; all routes by default. */
    match: z.string().optional(),
    delayMs: z.number().min(0).optional(),
    dropRate: z.number().min(0).max(1).optional(),
    partition: z.enum(["none", "silent", "refuse"]).optional(),
    loseReplies: z.int().min(0).optional(),
    /** Existing connections go silent for good. */
    blackHole: z.boolean().optional(),
    /** Existing connections are reset. */
    disconnect: z.boolean().optional(),
});
const seed = 20_261_204;

/** Creates the fault-injecting TCP proxy; see docs/protocols/fault-proxy.md. */
export function createFaultProxyStandIn(): StandIn {
    return new FaultProxyStandIn();
}

class FaultProxyStandIn implements StandIn {
    readonly app = new Hono<StandInEnvironment>();
    readonly #routes = new Map<string, ProxyRoute>();
    readonly #generator = xoroshiro128plus(seed);
    #routeCount = 0;

    constructor() {
        this.app.get(
            "/control/routes",
            context => context.json({ routes: [...this.#routes.values()].map(route => route.report()) }),
        );
        this.app.post("/control/routes", context => this.#add(context));
        this.app.delete("/control/routes/:id", context => this.#remove(context));
        this.app.post("/control/route-faults", context => this.#setFaults(context));
    }

    close(): void {
        this.#routes.forEach(route => void route.close());
    }

    async #add(context: Context): Promise<Response> {
        const body = await readJson(context, routeSchema);
        if ("fault" in body) {
            return refuse(context, 400, "invalid", body.fault);
        }
        this.#routeCount += 1;
        const { listen, target, labels } = body.value;
        const route = new ProxyRoute({ id: `route-${this.#routeCount}`, target, labels, random: () => this.#random() });
        try {
            await route.listen(listen);
        }
        catch (error) {
            return refuse(context, 409, "refused", error instanceof Error ? error.message : String(error));
        }
        this.#routes.set(route.id, route);
        return context.json(route.report(), 201);
    }

    async #remove(context: Context): Promise<Response> {
        const route = this.#routes.get(context.req.param("id") ?? "");
        if (route === undefined) {
            return refuse(context, 404, "notFound", "The route does not exist.");
        }
        this.#routes.delete(route.id);
        await route.close();
        return context.json({});
    }

    async #setFaults(context: Context): Promise<Response> {
        const body = await readJson(context, faultSchema);
        if ("fault" in body) {
            return refuse(context, 400, "invalid", body.fault);
        }
        const { match, blackHole, disconnect, ...faults } = body.value;
        const routes = [...this.#routes.values()].filter(route =>
            match === undefined || route.id === match || route.labels.includes(match)
        );
        for (const route of routes) {
            route.setFaults(faults);
            if (blackHole === true) {
                route.blackHole();
            }
            if (disconnect === true) {
                route.disconnect();
            }
        }
        return context.json({ routes: routes.map(route => route.report()) });
    }

    #random(): number {
        return (this.#generator.next() >>> 0) / 0x1_0000_0000;
    }
}
