import { OwnedValues, StoreCopy } from "@filbertrelay/policy";
import type { CopiedItem } from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { createSchedules, simulatedHosts, stepMs } from "./schedules.js";
import type { Step } from "./schedules.js";

const rewriteMs = 2_300;
/** Time until the entry of an owner that does not write expires. */
const expiryMs = 3_600;
const settleMs = rewriteMs + expiryMs;

type OwnedKind = "look" | "lookAll" | "wait" | "meet" | "write" | "leave" | "remove" | "start" | "restore" | "cut" | "restart";

/** Schedules of an endpoint that starts, leaves and ends, of a store that is restored, and of hosts that are cut off or restart. */
export const ownedSteps = createSchedules<OwnedKind>(
    ["look", "lookAll", "lookAll", "wait", "meet"],
    ["write", "leave", "remove", "start", "restore", "cut", "restart"],
);

interface OwnedHost {
    readonly view: OwnedValues;
    readonly copy: StoreCopy;
    state: string | undefined;
    /** Runs of the endpoint that this host knew to be leaving or gone. */
    readonly left: Set<number>;
    isCut: boolean;
    lastLookMs: number;
}

const key = "servers/endpoint";

/** An endpoint whose entry hosts copy from a store that is restored. */
export class OwnedValuesSimulation {
    #nowMs = 0;
    #era = 0;
    #revision = 1;
    #item: CopiedItem | undefined;
    #snapshots: { readonly revision: number; readonly item: CopiedItem | undefined; }[] = [{ revision: 1, item: undefined }];
    #run = 0;
    #sequence = 0;
    #ownerState: string | undefined;
    /** When the owner writes again what a restore has undone, or its entry expires. */
    #repairMs = Infinity;
    readonly #hosts = Array.from({ length: simulatedHosts }, () => this.#createHost());

    run(steps: readonly Step<OwnedKind>[]): void {
        for (const step of steps) {
            this.#step(step);
            this.#advance();
            this.#hosts.forEach((host, index) => this.#check(host, `Host ${index} after ${JSON.stringify(step)}`));
        }
        for (let waitedMs = 0; waitedMs < settleMs + 1_000; waitedMs += stepMs) {
            this.#advance();
            this.#hosts.forEach(host => this.#look(host));
        }
        this.#hosts.forEach(({ state }) => assert.equal(state, readState(this.#item?.value), "A host differs in the end."));
    }

    #createHost(): OwnedHost {
        const view = new OwnedValues([{
            prefix: "servers/",
            read: (_, value) => {
                const [run = 0, sequence = 0, state = ""] = value.split(" ");
                return { version: [Number(run), Number(sequence)], content: `${run} ${state}` };
            },
            rewriteMs,
            settleMs,
        }]);
        const host: OwnedHost = {
            view,
            copy: new StoreCopy({
                historyLimit: 10,
                onChange: (change, isRestored) => {
                    if (view.apply(change, isRestored, this.#nowMs)) {
                        host.state = readState(change.value);
                    }
                    return "material";
                },
            }),
            state: undefined,
            left: new Set(),
            isCut: false,
            lastLookMs: -Infinity,
        };
        return host;
    }

    #step({ kind, host: index, pick }: Step<OwnedKind>): void {
        const host = this.#hosts[index]!;
        switch (kind) {
            case "look":
                return this.#look(host);
            case "lookAll":
                return this.#hosts.forEach(each => this.#look(each));
            case "wait":
                this.#nowMs += pick * stepMs;
                return;
            case "meet":
                return this.#meet(host, this.#hosts[(index + 1) % simulatedHosts]!);
            case "start":
                this.#run += 1;
                this.#sequence = 0;
                return this.#write("ready");
            case "write":
                return this.#ownerState === undefined ? undefined : this.#write(this.#ownerState);
            case "leave":
                return this.#ownerState === undefined ? undefined : this.#write("leaving");
            case "remove":
                this.#ownerState = undefined;
                return this.#store(undefined);
            case "restore":
                return this.#restore(pick);
            case "cut":
                host.isCut = !host.isCut;
                return;
            case "restart":
                this.#hosts[index] = this.#createHost();
        }
    }

    #write(state: string): void {
        this.#ownerState = state;
        this.#sequence += 1;
        this.#repairMs = Infinity;
        this.#store(`${this.#run} ${this.#sequence} ${state}`);
    }

    #store(value: string | undefined): void {
        this.#revision += 1;
        this.#item = value === undefined ? undefined : { key, value, revision: this.#revision };
        this.#snapshots.push({ revision: this.#revision, item: this.#item });
    }

    #restore(lostChanges: number): void {
        this.#snapshots = this.#snapshots.slice(0, Math.max(1, this.#snapshots.length - lostChanges));
        ({ revision: this.#revision, item: this.#item } = this.#snapshots.at(-1)!);
        this.#era += 1;
        this.#repairMs = this.#nowMs + (this.#ownerState === undefined ? expiryMs : rewriteMs / 2);
    }

    #advance(): void {
        this.#nowMs += stepMs;
        if (this.#nowMs >= this.#repairMs) {
            this.#repairMs = Infinity;
            if (this.#ownerState === undefined) {
                this.#store(undefined);
            }
            else {
                this.#write(this.#ownerState);
            }
        }
        for (const host of this.#hosts) {
            host.view.settle(this.#nowMs).forEach(({ value }) => {
                host.state = readState(value);
            });
        }
    }

    #look(host: OwnedHost): void {
        if (!host.isCut) {
            const items = this.#item === undefined ? [] : [this.#item];
            host.copy.applyListed({ era: this.#era, revision: this.#revision, items });
            host.lastLookMs = this.#nowMs;
        }
        host.isCut = false;
    }

    #meet(host: OwnedHost, other: OwnedHost): void {
        if (host.copy.position.era === other.copy.position.era) {
            host.view.merge(other.view.disputes(this.#nowMs), this.#nowMs).forEach(({ value }) => {
                host.state = readState(value);
            });
        }
    }

    #check(host: OwnedHost, name: string): void {
        const [run, state] = (host.state ?? "").split(" ");
        const isInTouch = this.#nowMs - host.lastLookMs <= 1_000;
        if (state === "ready") {
            assert.ok(!host.left.has(Number(run)) || !isInTouch, `${name} uses a run that it knew to be leaving.`);
        }
        else if (state === "leaving") {
            host.left.add(Number(run));
        }
    }
}

/** The run and the state of a value. */
function readState(value: string | undefined): string | undefined {
    const [run, , state] = value?.split(" ") ?? [];
    return value === undefined ? undefined : `${run} ${state}`;
}
