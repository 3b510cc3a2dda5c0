import type { Clock } from "@filbertrelay/kernel";
import type { OperatorClient } from "../operator.js";

const pollIntervalMs = 500;
/** Counters whose names start with this hold recomputed tokens; the rest of the name is the cause. */
const counterPrefix = "tokens.recomputed.";

/**
 * Adds up the daemons' counters of recomputed tokens while a fleet runs. A daemon that ends takes its counters along, so
 * the last value seen of each host's incarnation is kept.
 */
export class RecomputedTokens {
    readonly #client: OperatorClient;
    readonly #clock: Clock;
    readonly #addresses: () => readonly string[];
    readonly #seen = new Map<string, Readonly<Record<string, number>>>();
    #isRunning = false;
    #finished: Promise<void> = Promise.resolve();

    constructor(
        options: { readonly client: OperatorClient; readonly clock: Clock; readonly addresses: () => readonly string[]; },
    ) {
        this.#client = options.client;
        this.#clock = options.clock;
        this.#addresses = options.addresses;
    }

    /** Starts to read the counters at intervals. */
    start(): void {
        this.#isRunning = true;
        this.#finished = this.#poll();
    }

    /** Reads the counters a last time and gives the sums by cause. */
    async finish(): Promise<Record<string, number>> {
        this.#isRunning = false;
        await this.#finished;
        await this.#read();
        const sums: Record<string, number> = {};
        for (const counters of this.#seen.values()) {
            for (const [name, tokens] of Object.entries(counters).filter(([candidate]) => candidate.startsWith(counterPrefix))) {
                const cause = name.slice(counterPrefix.length);
                sums[cause] = (sums[cause] ?? 0) + tokens;
            }
        }
        return sums;
    }

    async #poll(): Promise<void> {
        while (this.#isRunning) {
            await this.#read();
            await this.#clock.sleep(pollIntervalMs);
        }
    }

    async #read(): Promise<void> {
        await Promise.all(
            this.#addresses().map(async address => {
                const status = await this.#client.status(address);
                if (status.ok) {
                    this.#seen.set(`${status.value.host.id}/${status.value.host.incarnation}`, status.value.counters);
                }
            }),
        );
    }
}
