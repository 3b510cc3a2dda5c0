import type { HostId, Incarnation } from "@filbertrelay/kernel";
import { createShardState, stepShard } from "../index.js";
import type { Candidate, Holder, PeerReply, RuleName, ShardEffect, ShardInput, ShardState } from "../index.js";

/** The retention of results in the modelled fleet. */
export const resultRetentionMs = 20_000;

/** A modelled host with the shard state machine of its current process. */
export class NodeModel {
    readonly host: HostId;
    readonly failureDomain: string;
    isRunning = false;
    isPaused = false;
    isTerminated = false;
    isLeaving = false;
    isStarted = false;
    isCutFromStore = false;
    /** Network partition; nodes in different groups can't reach each other. */
    group = 0;
    timersMs: number[] = [];
    state: ShardState;
    readonly #disabledRules: ReadonlySet<RuleName>;
    #starts = 0;

    constructor(index: number, disabledRules: ReadonlySet<RuleName>) {
        this.host = `h${index}` as HostId;
        this.failureDomain = `d${index}`;
        this.#disabledRules = disabledRules;
        this.state = this.#createState();
    }

    get holder(): Holder {
        return this.state.options.self;
    }

    get canAct(): boolean {
        return this.isRunning && !this.isPaused;
    }

    /** Starts a new process; the state of the previous one is lost. */
    start(nowMs: number): void {
        this.isStarted = true;
        this.isRunning = true;
        this.isPaused = false;
        this.isLeaving = false;
        this.#starts += 1;
        this.timersMs = [];
        this.state = this.#createState();
        this.state = { ...this.state, nowMs };
    }

    crash(): void {
        this.isRunning = false;
        this.isPaused = false;
        this.timersMs = [];
    }

    /** Makes one step of the state machine. */
    step(input: ShardInput, nowMs: number): { readonly effects: readonly ShardEffect[]; readonly reply: PeerReply | undefined; } {
        const { state, effects } = stepShard(this.state, { input, nowMs });
        this.state = state;
        const reply = effects.find(effect => effect.type === "reply");
        return { effects, reply: reply?.type === "reply" ? reply.reply : undefined };
    }

    /** Returns how the membership of another node lists this one; a suspected node is listed as dead. */
    toCandidate(isSuspected: boolean): Candidate {
        const state = !this.isRunning || isSuspected ? "dead" : this.isLeaving ? "leaving" : "alive";
        const { host, failureDomain } = this;
        return { host, incarnation: this.holder.incarnation, failureDomain, state };
    }

    #createState(): ShardState {
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
