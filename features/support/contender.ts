import { DutyLease, StoreMirror } from "@filbertrelay/ingress";
import type { UsageReporter } from "@filbertrelay/ingress";
import { brandAs, createSystemClock, silentEventLog } from "@filbertrelay/kernel";
import type { Clock, HostId, Incarnation } from "@filbertrelay/kernel";
import { createPlatformStore } from "@filbertrelay/platform";
import type { StandinStore } from "@filbertrelay/platform/standins";
import { FinalCounts } from "@filbertrelay/policy";

export const leaseMs = 600;

/** A host that contends for the duty lease, with a clock that can be paused. */
export class Contender {
    readonly lead: DutyLease;
    readonly finals = new FinalCounts();
    readonly #mirror: StoreMirror;
    readonly #system = createSystemClock();
    #totalPauseMs = 0;
    #client: ReturnType<typeof createPlatformStore> | undefined;
    isPaused = false;

    constructor(
        readonly store: StandinStore,
        readonly name: string,
        options: { readonly pauseMs?: number; readonly createDuty?: (contender: Contender) => UsageReporter; } = {},
    ) {
        const clock = this.clock;
        const client = this.client();
        this.#mirror = new StoreMirror({ store: client, clock, log: silentEventLog, draw: Math.random, applyMs: 2_000 });
        this.lead = new DutyLease({
            store: client,
            mirror: this.#mirror,
            clock,
            log: silentEventLog,
            hostId: brandAs<HostId>(name),
            incarnation: brandAs<Incarnation>("run-1"),
            leaseMs: options.pauseMs ?? leaseMs,
            draw: Math.random,
        });
        this.duty = options.createDuty?.(this);
        this.#mirror.onEra(era => this.lead.recordEra(era));
    }

    readonly duty: UsageReporter | undefined;

    get mirror(): StoreMirror {
        return this.#mirror;
    }

    /** While paused, sleeps don't end and the monotonic clock stands still, as on a suspended host. */
    get clock(): Clock {
        return {
            now: () => this.#system.now(),
            monotonicMs: () => this.#system.monotonicMs() - this.#totalPauseMs,
            sleep: async (ms, signal) => {
                await this.#system.sleep(ms, signal);
                while (this.isPaused) {
                    await this.#system.sleep(5);
                }
            },
            after: (ms, callback) => this.#system.after(ms, callback),
            afterInput: (ms, callback) => this.#system.afterInput(ms, callback),
        };
    }

    client(): ReturnType<typeof createPlatformStore> {
        this.#client ??= createPlatformStore({
            address: this.store.address,
            clock: this.#system,
            timeoutMs: 300,
            onCall: () => undefined,
        });
        return this.#client;
    }

    async start(): Promise<void> {
        await this.#mirror.start();
        await this.lead.start();
        await this.duty?.start();
    }

    resume(pausedMs: number): void {
        this.#totalPauseMs += pausedMs;
        this.isPaused = false;
    }

    async stop(): Promise<void> {
        this.isPaused = false;
        await this.duty?.stop();
        await this.lead.stop();
        await this.#mirror.stop();
    }
}
