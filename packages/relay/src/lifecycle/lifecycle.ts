import type { Kernel, Service } from "@filbertrelay/kernel";
import type { MembershipService, ShardService } from "../contract.js";
import type { Directory } from "../directory/directory.js";
import type { StreamService } from "../streams/service.js";
import { lifecycleEvents as events } from "./event.js";

/** Why a host leaves. */
export type DrainReason = "reclaim" | "signal" | "operator";

/** Margin between the end of the handover and the announced termination, so that the process exits before the host is terminated. */
const terminationMarginMs = 300;
/**
 * Covers the time for which callers keep a list of entry points plus the time until all hosts know that this one is leaving. Callers
 * may use its address until then.
 */
const refusalPeriodMs = 4_000;
const serverCloseTimeoutMs = 1_000;

/** Drains this host: refuses new requests, hands over shards, finishes or hands over streams, stops. Registered as `lifecycle`. */
export class Lifecycle implements Service {
    readonly #kernel: Kernel;
    readonly #drainLimitMs: number;
    readonly #onDrained: () => void;
    #deadlineMs: number | undefined;

    constructor(kernel: Kernel, options: { readonly drainLimitMs: number; readonly onDrained: () => void; }) {
        this.#kernel = kernel;
        this.#drainLimitMs = options.drainLimitMs;
        this.#onDrained = options.onDrained;
    }

    start(): Promise<void> {
        const ownHostId = this.#kernel.get<MembershipService>("membership").self().hostId;
        this.#kernel.get<Directory>("directory").onReclaim((hostId, terminatesAt) => {
            if (hostId === ownHostId) {
                this.drain("reclaim", terminatesAt);
            }
        });
        return Promise.resolve();
    }

    /** Starts draining; further calls can only move the deadline forward. */
    drain(reason: DrainReason, terminatesAt?: Date): void {
        const { clock, log } = this.#kernel;
        const limitMs = terminatesAt === undefined ?
            this.#drainLimitMs :
            terminatesAt.getTime() - clock.now().getTime() - terminationMarginMs;
        const deadlineMs = clock.monotonicMs() + Math.max(0, limitMs);
        const isFirst = this.#deadlineMs === undefined;
        this.#deadlineMs = Math.min(this.#deadlineMs ?? deadlineMs, deadlineMs);
        if (isFirst) {
            log.write(events.draining, { reason, limitMs: Math.round(limitMs) });
            void this.#run(clock.monotonicMs());
        }
    }

    async #run(startedMs: number): Promise<void> {
        const { clock, log } = this.#kernel;
        const deadline = (): number => this.#deadlineMs ?? 0;
        const shards = this.#kernel.get<ShardService>("shards");
        await this.#kernel.get<MembershipService>("membership").leave();
        await shards.release(deadline());
        log.write(shards.owned().length === 0 ? events.shardsReleased : events.shardsNotReleased, {
            left: shards.owned().length,
        });
        await this.#kernel.get<StreamService>("streams").drain(deadline);
        log.write(events.streamsDrained);
        const refuseUntilMs = Math.min(startedMs + refusalPeriodMs, deadline());
        await clock.sleep(Math.max(0, refuseUntilMs - clock.monotonicMs()));
        log.write(events.drained);
        await this.#kernel.stop(Math.max(deadline(), clock.monotonicMs() + serverCloseTimeoutMs));
        this.#onDrained();
    }
}
