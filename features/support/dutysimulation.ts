import { createFencingToken, firstEra, mayContend } from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { createSchedules, simulatedHosts, stepMs } from "./schedules.js";
import type { Step } from "./schedules.js";

type DutyKind = "act" | "actAll" | "wait" | "restore" | "cut" | "restart" | "expire";

/** Schedules of hosts that renew and contend, are cut off from the store or restart, and of a store that is restored. */
export const dutySteps = createSchedules<DutyKind>(["act", "actAll", "actAll", "wait"], ["restore", "cut", "restart", "expire"]);

const leaseMs = 3_000;
/** Share of the lease in which a holder acts. */
const holderShare = 0.6;

interface DutyHost {
    era: number;
    eraKnownMs: number;
    pausedUntilMs: number;
    isCut: boolean;
    isContinuing: boolean;
    held: { readonly era: number; readonly term: number; renewedMs: number; } | undefined;
}

interface DutyEntry {
    readonly host: DutyHost;
    readonly era: number;
    readonly term: number;
    untilMs: number;
}

/** Hosts that contend for the duties in a store that is restored. */
export class DutySimulation {
    #nowMs = 0;
    #era = 1;
    #entry: DutyEntry | undefined;
    #term: number | undefined;
    #snapshots: { readonly entry: DutyEntry | undefined; readonly term: number | undefined; }[] = [
        { entry: undefined, term: undefined },
    ];
    readonly #tokens = new Set<number>();
    readonly #hosts = Array.from({ length: simulatedHosts }, () => this.#createHost());

    run(steps: readonly Step<DutyKind>[]): void {
        for (const step of steps) {
            this.#step(step);
            const acting = this.#hosts.filter(({ held }) =>
                held !== undefined && this.#nowMs - held.renewedMs < leaseMs * holderShare
            );
            assert.ok(acting.length <= 1, `Two hosts hold the duties after ${JSON.stringify(step)}.`);
        }
    }

    #createHost(): DutyHost {
        return {
            era: 0,
            eraKnownMs: this.#nowMs,
            pausedUntilMs: this.#nowMs + leaseMs,
            isCut: false,
            isContinuing: false,
            held: undefined,
        };
    }

    #step({ kind, host: index, pick }: Step<DutyKind>): void {
        this.#nowMs += stepMs;
        const host = this.#hosts[index]!;
        switch (kind) {
            case "act":
                return this.#act(host);
            case "actAll":
                return this.#hosts.forEach(each => this.#act(each));
            case "wait":
                this.#nowMs += pick * stepMs;
                return;
            case "restore": {
                this.#snapshots = this.#snapshots.slice(0, Math.max(1, this.#snapshots.length - pick));
                const { entry, term } = this.#snapshots.at(-1)!;
                this.#era += 1;
                this.#entry = entry === undefined ? undefined : { ...entry, untilMs: this.#nowMs + leaseMs };
                this.#term = term;
                return;
            }
            case "cut":
                host.isCut = !host.isCut;
                return;
            case "restart":
                this.#hosts[index] = this.#createHost();
                return;
            case "expire":
                this.#nowMs += leaseMs;
        }
    }

    #act(host: DutyHost): void {
        if (host.isCut) {
            return;
        }
        if (this.#entry !== undefined && this.#entry.untilMs <= this.#nowMs) {
            this.#entry = undefined;
        }
        this.#learnEra(host);
        const { held } = host;
        if (held !== undefined) {
            const isOwn = this.#entry?.host === host && this.#entry.term === held.term && this.#entry.era === held.era;
            if (isOwn) {
                this.#entry!.untilMs = this.#nowMs + leaseMs;
                held.renewedMs = this.#nowMs;
            }
            else {
                host.held = undefined;
                host.pausedUntilMs = this.#nowMs + 2 * leaseMs;
            }
            return;
        }
        const isFree = mayContend({
            nowMs: this.#nowMs,
            era: this.#era,
            isRestored: this.#era > firstEra,
            eraKnownMs: host.eraKnownMs,
            ...(this.#entry === undefined ? {} : { entryEra: this.#entry.era }),
            ...(this.#term === undefined ? {} : { term: this.#term }),
            pausedUntilMs: host.pausedUntilMs,
            leaseMs,
            isContinuing: host.isContinuing,
        });
        if (isFree) {
            this.#acquire(host);
        }
    }

    #learnEra(host: DutyHost): void {
        if (host.era !== this.#era) {
            const { held } = host;
            host.isContinuing = held !== undefined && this.#nowMs - held.renewedMs < leaseMs;
            host.pausedUntilMs = held === undefined ? host.pausedUntilMs : this.#nowMs + 2 * leaseMs;
            host.held = undefined;
            host.era = this.#era;
            host.eraKnownMs = this.#nowMs;
        }
    }

    #acquire(host: DutyHost): void {
        const term = (this.#term ?? 0) + 1;
        const token = createFencingToken({ era: this.#era, term });
        assert.ok(!this.#tokens.has(token), `The token ${token} was given twice.`);
        assert.ok([...this.#tokens].every(earlier => earlier < token), `The token ${token} is lower than an earlier one.`);
        this.#tokens.add(token);
        this.#term = term;
        this.#entry = { host, era: this.#era, term, untilMs: this.#nowMs + leaseMs };
        this.#snapshots.push({ entry: this.#entry, term });
        host.held = { era: this.#era, term, renewedMs: this.#nowMs };
        host.isContinuing = false;
    }
}
