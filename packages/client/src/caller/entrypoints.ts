import type { Clock } from "@filbertrelay/kernel";
import { request } from "undici";
import type { Dispatcher } from "undici";
import * as z from "zod";

const entryPointSchema = z.object({ hostId: z.string(), address: z.string(), failureDomain: z.string() });
const replySchema = z.object({ entryPoints: z.array(entryPointSchema), keepForMs: z.number().min(0) });

/** An entry host that a caller may connect to. */
export type EntryPoint = z.infer<typeof entryPointSchema>;

/** Options of `EntryPoints`. */
export interface EntryPointsOptions {
    readonly clock: Clock;
    readonly dispatcher: Dispatcher;
    /** Callers' addresses of some entry hosts, asked when no other is known. */
    readonly seeds: readonly string[];
    /** The caller's own failure domain. */
    readonly failureDomain?: string | undefined;
}

const askTimeoutMs = 1_500;
/** How long an address that failed is avoided; the fleet removes a dead host within 5 s. */
const avoidMs = 5_000;

/** Asks for entry points, keeps the answer for the stated time and avoids addresses that failed. */
export class EntryPoints {
    readonly #options: EntryPointsOptions;
    readonly #avoidUntilMs = new Map<string, number>();
    #known: readonly string[];
    #keptUntilMs = -1;
    #asking: Promise<void> | undefined;

    constructor(options: EntryPointsOptions) {
        this.#options = options;
        this.#known = options.seeds;
    }

    /** The best address that did not fail lately; any address when all failed. */
    async choose(): Promise<string> {
        if (this.#options.clock.monotonicMs() >= this.#keptUntilMs) {
            this.#asking ??= this.#ask().finally(() => {
                this.#asking = undefined;
            });
            await this.#asking;
        }
        const [address] = this.#ranked();
        return address ?? "";
    }

    /** Avoids an address for a while and asks again before the next request. */
    markFailed(address: string): void {
        this.#avoidUntilMs.set(address, this.#options.clock.monotonicMs() + avoidMs);
        this.#keptUntilMs = -1;
    }

    /** Takes over addresses that a host gave with a refusal. */
    learn(entryPoints: readonly EntryPoint[]): void {
        if (entryPoints.length > 0) {
            this.#known = entryPoints.map(point => point.address);
        }
    }

    #ranked(): string[] {
        const nowMs = this.#options.clock.monotonicMs();
        const all = [...new Set([...this.#known, ...this.#options.seeds])];
        const isAvoided = (address: string): number => Number((this.#avoidUntilMs.get(address) ?? 0) > nowMs);
        return all.sort((left, right) => isAvoided(left) - isAvoided(right));
    }

    async #ask(): Promise<void> {
        for (const address of this.#ranked()) {
            const reply = await this.#askOne(address);
            if (reply !== undefined && reply.entryPoints.length > 0) {
                this.learn(reply.entryPoints);
                this.#keptUntilMs = this.#options.clock.monotonicMs() + reply.keepForMs;
                return;
            }
            this.#avoidUntilMs.set(address, this.#options.clock.monotonicMs() + avoidMs);
        }
    }

    async #askOne(address: string): Promise<z.infer<typeof replySchema> | undefined> {
        const { dispatcher, failureDomain } = this.#options;
        const query = failureDomain === undefined ? "" : `?${new URLSearchParams({ failureDomain })}`;
        try {
            const response = await request(`http://${address}/v1/entry-points${query}`, {
                dispatcher,
                signal: AbortSignal.timeout(askTimeoutMs),
            });
            return replySchema.safeParse(await response.body.json()).data;
        }
        catch {
            return undefined;
        }
    }
}
