import type { HostId, Incarnation } from "@filbertrelay/kernel";
import { createShardState, stepShard } from "../index.js";
import type { Candidate, Holder, PeerReply, RuleName, ShardEffect, ShardInput, ShardState } from "../index.js";

/** How long results are kept in the modelled fleet. */
export const resultRetentionMs = 20_000;

/** One host of the modelled fleet with the machine of its present process. */
export class NodeModel {
    readonly host: HostId;
    readonly failureDomain: string;
    isRunning = false;
    isPaused = false;
    isTerminated = false;
    isLeaving = false;
    isStarted = false;
    isCutFromStore = false;
    /** Nodes in different groups can't talk to each other. */
    group = 0;
    wakes: number[] = [];
    state: ShardState;
    readonly #disabledRules: ReadonlySet<RuleName>;
    #starts = 0;

    constructor(index: number, disabledRules: ReadonlySet<RuleName>) {
        this.host = `h${index}` as HostId;
        this.failureDomain = `d${index}`;
        this.#disabledRules = disabledRules;
        this.state = this.#freshState();
    }

    get holder(): Holder {
        return this.state.options.self;
    }

    get canAct(): boolean {
        return this.isRunning && !this.isPaused;
    }

    /** Starts a new process; everything that the earlier one knew is lost. */
    start(nowMs: number): void {
        this.isStarted = true;
        this.isRunning = true;
        this.isPaused = false;
        this.isLeaving = false;
        this.#starts += 1;
        this.wakes = [];
        this.state = this.#freshState();
        this.state = { ...this.state, nowMs };
    }

    crash(): void {
        this.isRunning = false;
        this.isPaused = false;
        this.wakes = [];
    }

    /** Makes one step of the machine. */
    step(input: ShardInput, nowMs: number): { readonly effects: readonly ShardEffect[]; readonly reply: PeerReply | undefined; } {
        const { state, effects } = stepShard(this.state, { input, nowMs });
        this.state = state;
        const reply = effects.find(effect => effect.type === "reply");
        return { effects, reply: reply?.type === "reply" ? reply.reply : undefined };
    }

    /** How another node sees this one; a paused or cut-off node may look dead. */
    view(isSuspected: boolean): Candidate {
        const state = !this.isRunning || isSuspected ? "dead" : this.isLeaving ? "leaving" : "alive";
        const { host, failureDomain } = this;
        return { host, incarnation: this.holder.incarnation, failureDomain, state };
    }

    #freshState(): ShardState {
        return createShardState({
            self: { host: this.host, incarnation: `${100 + this.#starts}-x` as Incarnation },
            shard: 0,
            batchIntervalMs: 100,
            writeBurst: 3,
            retryMs: 100,
            resultRetentionMs,
            keyRetentionMs: 10_000_000,
            openEntryLimit: 100,
            resultBytesLimit: 100_000,
            disabledRules: this.#disabledRules,
        });
    }
}
