import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId } from "@filbertrelay/kernel";
import { EndpointRuns } from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { createSchedules, stepMs } from "./schedules.js";
import type { Step } from "./schedules.js";

const endpointId = brandAs<EndpointId>("e-1");
const heartbeatMs = 400;
/** An entry is removed after this many intervals without a report. */
const expiryHeartbeats = 3;
const settleMs = (expiryHeartbeats + 1) * heartbeatMs;

type RunKind = "answer" | "wait" | "crash" | "start" | "storeDown" | "storeUp";

/** Schedules of one endpoint that crashes and starts with other software, and of a store that is down at times. */
export const runSteps = createSchedules<RunKind>(["answer", "answer", "wait"], ["crash", "start", "storeDown", "storeUp"]);

/** One endpoint, its entry, and two hosts of which the first one sends requests and the second one hears of it. */
export class RunSimulation {
    /** Answers of an endpoint that has not crashed since its entry was written, and those of them of a known version. */
    readonly counts = { undisturbed: 0, known: 0 };
    readonly #hosts = [new EndpointRuns(settleMs), new EndpointRuns(settleMs)] as const;
    #nowMs = 100_000;
    #run = { startedAtMs: 100_000, version: 1 };
    #isUp = true;
    #isStoreUp = true;
    #confirmedMs = 100_000;
    #reportedMs = 100_000;
    #entry: { startedAtMs: number; version: number; } | undefined = { ...this.#run };
    #hasCrashed = false;

    run(steps: readonly Step<RunKind>[]): void {
        for (const { kind, host, pick } of steps) {
            for (let step = 0; step < (kind === "wait" ? pick + 1 : 1); step += 1) {
                this.#nowMs += stepMs;
                this.#keepEntry();
            }
            this.#step(kind, host);
        }
    }

    #step(kind: RunKind, host: number): void {
        switch (kind) {
            case "answer":
                return this.#answer(host % 2);
            case "wait":
                return;
            case "crash":
                this.#isUp = false;
                this.#hasCrashed = true;
                // The requests in progress break off, and the host finds that nothing listens.
                return this.#refuse();
            case "start":
                if (!this.#isUp) {
                    this.#run = { startedAtMs: this.#nowMs, version: this.#run.version + 1 };
                    this.#isUp = true;
                }
                return;
            case "storeDown":
                this.#isStoreUp = false;
                return;
            case "storeUp":
                this.#isStoreUp = true;
        }
    }

    /** The endpoint reports, its entry expires, and the hosts read the store. */
    #keepEntry(): void {
        if (!this.#isStoreUp) {
            return;
        }
        if (this.#isUp && this.#nowMs - this.#reportedMs >= heartbeatMs) {
            this.#reportedMs = this.#nowMs;
            this.#hasCrashed &&= this.#entry?.startedAtMs !== this.#run.startedAtMs && this.#entry !== undefined;
            this.#entry = { ...this.#run };
        }
        else if (this.#nowMs - this.#reportedMs > expiryHeartbeats * heartbeatMs) {
            this.#entry = undefined;
        }
        this.#confirmedMs = this.#nowMs;
    }

    #refuse(): void {
        if (this.#entry !== undefined) {
            const [first, second] = this.#hosts;
            first.recordRefusal({ endpointId, startedAtMs: this.#entry.startedAtMs }, this.#confirmedMs, this.#nowMs);
            const report = first.report(this.#nowMs);
            assert.ok(report !== undefined);
            second.merge(report, this.#nowMs, 0);
        }
    }

    #answer(host: number): void {
        if (this.#entry === undefined) {
            return;
        }
        if (!this.#isUp) {
            this.#refuse();
            return;
        }
        const isKnown = this.#hosts[host]!.isKnown(
            { endpointId, startedAtMs: this.#entry.startedAtMs },
            this.#nowMs,
            this.#confirmedMs,
        );
        assert.ok(
            !isKnown || this.#entry.version === this.#run.version,
            `An answer of v${this.#run.version} is taken for v${this.#entry.version}.`,
        );
        if (!this.#hasCrashed) {
            this.counts.undisturbed += 1;
            this.counts.known += isKnown ? 1 : 0;
        }
    }
}
