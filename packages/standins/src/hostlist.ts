import { Hono } from "hono";
import { request } from "undici";
import * as z from "zod";
import { refuse } from "./reply.js";
import type { StandIn, StandInEnvironment } from "./server.js";

/** Options of `createHostListStandIn`. */
export interface HostListOptions {
    readonly cloudUrl: string;
    /** Age of the state that is shown. */
    readonly lagMs: number;
    readonly pollMs: number;
}

const cloudSchema = z.object({
    hosts: z.array(z.object({
        hostId: z.string(),
        role: z.enum(["entry", "engine", "service"]),
        address: z.string().optional(),
        failureDomain: z.string(),
        hostClass: z.string(),
        reclaimable: z.boolean(),
        state: z.enum(["running", "reclaiming", "terminated"]),
        endpointId: z.string().optional(),
        serves: z.string().optional(),
    })),
});

type CloudHost = z.infer<typeof cloudSchema>["hosts"][number];

interface Snapshot {
    readonly takenMs: number;
    readonly hosts: readonly CloudHost[];
}

/** Creates the stand-in of the host list; see docs/protocols/host-list.md. */
export function createHostListStandIn(options: HostListOptions): StandIn {
    return new HostListStandIn(options);
}

class HostListStandIn implements StandIn {
    readonly app = new Hono<StandInEnvironment>();
    readonly #options: HostListOptions;
    readonly #snapshots: Snapshot[] = [];
    readonly #timer: NodeJS.Timeout;
    #isFrozen = false;
    #isPolling = false;

    constructor(options: HostListOptions) {
        this.#options = options;
        this.app.get("/v1/hosts", context => {
            const hosts = this.#current();
            return hosts === undefined ?
                refuse(context, 503, "unavailable", "The list has not been read from the cloud yet.") :
                context.json({ hosts: hosts.flatMap(toListed) });
        });
        this.app.post("/control/freeze", context => {
            this.#isFrozen = true;
            return context.json({});
        });
        this.app.post("/control/thaw", context => {
            this.#isFrozen = false;
            return context.json({});
        });
        this.#timer = setInterval(() => void this.#poll(), options.pollMs);
        void this.#poll();
    }

    close(): void {
        clearInterval(this.#timer);
    }

    /** The newest state that is older than the lag; the oldest one known until then. */
    #current(): readonly CloudHost[] | undefined {
        const limitMs = performance.now() - this.#options.lagMs;
        return (this.#snapshots.findLast(snapshot => snapshot.takenMs <= limitMs) ?? this.#snapshots[0])?.hosts;
    }

    async #poll(): Promise<void> {
        if (this.#isFrozen || this.#isPolling) {
            return;
        }
        this.#isPolling = true;
        try {
            const response = await request(`${this.#options.cloudUrl}/v1/hosts`, { headersTimeout: 5_000, bodyTimeout: 5_000 });
            const checked = cloudSchema.safeParse(await response.body.json());
            // A list that was frozen meanwhile doesn't show what was read after that.
            if (checked.success && !this.#isFrozen) {
                this.#add({ takenMs: performance.now(), hosts: checked.data.hosts });
            }
        }
        catch {
            // The cloud is unreachable; the list keeps its last state, as a real list would.
        }
        finally {
            this.#isPolling = false;
        }
    }

    #add(snapshot: Snapshot): void {
        this.#snapshots.push(snapshot);
        const limitMs = performance.now() - this.#options.lagMs;
        while (this.#snapshots[1] !== undefined && this.#snapshots[1].takenMs <= limitMs) {
            this.#snapshots.shift();
        }
    }
}

function toListed(host: CloudHost): unknown[] {
    const { state, address, ...kept } = host;
    return state === "terminated" || address === undefined ?
        [] :
        [{ ...kept, address, state: state === "running" ? "live" : "leaving" }];
}
