import { request } from "undici";
import * as z from "zod";
import type { PlannedHost } from "./plan.js";

const hostsSchema = z.object({
    hosts: z.array(z.object({
        hostId: z.string(),
        role: z.enum(["entry", "engine", "service"]),
        address: z.string().optional(),
        failureDomain: z.string(),
        hostClass: z.string(),
        reclaimable: z.boolean(),
        state: z.enum(["running", "reclaiming", "terminated"]),
        pricePerHour: z.number(),
    })),
});

const pollIntervalMs = 250;

/** Watches the cloud stand-in for hosts that were started through its API and gives each of them a process once. */
export class Provisioner {
    readonly #cloudUrl: string;
    readonly #start: (host: PlannedHost) => Promise<void>;
    readonly #seen = new Set<string>();
    #timer: NodeJS.Timeout | undefined;
    #polling: Promise<void> | undefined;

    constructor(options: { readonly cloudUrl: string; readonly start: (host: PlannedHost) => Promise<void>; }) {
        this.#cloudUrl = options.cloudUrl;
        this.#start = options.start;
    }

    /** Starts to poll. */
    start(): void {
        this.#timer = setInterval(() => {
            this.#polling ??= this.#poll().finally(() => {
                this.#polling = undefined;
            });
        }, pollIntervalMs);
    }

    /** Stops polling and waits for starts in progress, so that the processes they start can be ended. */
    async stop(): Promise<void> {
        clearInterval(this.#timer);
        await this.#polling;
    }

    async #poll(): Promise<void> {
        const hosts = await this.#list();
        const wanted = hosts.filter(host =>
            host.address === undefined && host.state === "running" && !this.#seen.has(host.hostId)
        );
        for (const { address, state, ...host } of wanted) {
            void address;
            void state;
            this.#seen.add(host.hostId);
            await this.#start(host);
        }
    }

    // The cloud can be in an outage, in which a host can't be started either; the next poll finds what is left.
    async #list(): Promise<z.infer<typeof hostsSchema>["hosts"]> {
        try {
            const response = await request(`${this.#cloudUrl}/v1/hosts`, { signal: AbortSignal.timeout(2_000) });
            return hostsSchema.safeParse(await response.body.json()).data?.hosts ?? [];
        }
        catch {
            return [];
        }
    }
}
