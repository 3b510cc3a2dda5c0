import { isAfter, StoreCopy } from "@filbertrelay/policy";
import type { CopiedChange, CopiedItem, CopyPosition, CopyUpdate, EraRevision } from "@filbertrelay/policy";
import fc from "fast-check";
import assert from "node:assert/strict";

const hostCount = 3;
const keys = ["a", "b", "c"];
const newestOnlyKey = "b";
/** Below the number of keys, so that changes are dropped. */
const historyLimit = 2;
/** A report, the request for changes that it causes, and the reply. */
const messagesOfMeeting = 3;

/** One step of a simulated schedule; the numbers choose hosts, keys and messages. */
export interface ScheduleStep {
    readonly kind: StepKind;
    readonly host: number;
    readonly other: number;
    readonly pick: number;
}

/** Steps that change the store. */
const changeKinds = ["write", "heartbeat", "remove"] as const;
/** Steps without delay. */
const promptKinds = ["watchAtOnce", "listAtOnce", "meet"] as const;
/** Steps that send or deliver a message, or start or apply a listing. */
const delayedKinds = ["watch", "startListing", "finishListing", "report", "fetch", "deliver", "deliverTwice"] as const;
const faultKinds = ["dropHistory", "restore", "lose", "restart"] as const;
type StepKind = typeof changeKinds[number] | typeof promptKinds[number] | typeof delayedKinds[number] | typeof faultKinds[number];

/** Schedules of writes, removals, heartbeats, watches, listings, reports, pushes, fetches, lost messages, restores and restarts. */
export const schedules: fc.Arbitrary<readonly ScheduleStep[]> = fc.array(
    fc.record({
        kind: fc.oneof(
            { weight: 8, arbitrary: fc.constantFrom<StepKind>(...changeKinds) },
            { weight: 8, arbitrary: fc.constantFrom<StepKind>(...promptKinds) },
            { weight: 8, arbitrary: fc.constantFrom<StepKind>(...delayedKinds) },
            { weight: 1, arbitrary: fc.constantFrom<StepKind>(...faultKinds) },
        ),
        host: fc.nat(hostCount - 1),
        other: fc.nat(hostCount - 1),
        pick: fc.nat(2 * keys.length - 1),
    }),
    { minLength: 10, maxLength: 60, size: "max" },
);

/** The simulated store; remembers what it held at each position. */
class SimulatedStore {
    items = new Map<string, CopiedItem>();
    changes: CopiedChange[] = [];
    droppedRevision = 0;
    /** For each era and revision, the state of each item. */
    readonly #eras: ReadonlyMap<string, string>[][] = [[new Map()]];
    /** The items at each revision of this era. */
    #contents: ReadonlyMap<string, CopiedItem>[] = [new Map()];
    #sequence = 0;

    get position(): EraRevision {
        return { era: this.#eras.length - 1, revision: this.#contents.length - 1 };
    }

    stateAt({ era, revision }: EraRevision): ReadonlyMap<string, string> {
        return this.#eras[era]![revision]!;
    }

    write(key: string, state: string): void {
        this.#sequence += 1;
        const item = { key, value: `${state}#${this.#sequence}`, revision: this.position.revision + 1 };
        this.items.set(key, item);
        this.#record(item);
    }

    remove(key: string): void {
        if (this.items.delete(key)) {
            this.#record({ key, revision: this.position.revision + 1 });
        }
    }

    /** Goes back by a number of changes, whose revisions are given out again. */
    restore(lostChanges: number): void {
        if (this.position.revision === 0) {
            return;
        }
        const revision = Math.max(1, this.position.revision - lostChanges);
        this.#eras.push(this.#eras.at(-1)!.slice(0, revision + 1));
        this.#contents = this.#contents.slice(0, revision + 1);
        this.items = new Map(this.#contents.at(-1));
        this.changes = this.changes.filter(change => change.revision <= revision);
        this.droppedRevision = Math.min(this.droppedRevision, revision);
    }

    #record(change: CopiedChange): void {
        this.changes.push(change);
        this.#contents.push(new Map(this.items));
        this.#eras.at(-1)!.push(new Map([...this.items].map(([key, { value }]) => [key, readState(value)])));
    }
}

/** A host with its copy of the store. */
class SimulatedHost {
    readonly states = new Map<string, string>();
    readonly copy = new StoreCopy({
        historyLimit,
        isNewestOnly: key => key === newestOnlyKey,
        onChange: change => this.#apply(change),
    });
    needsList = true;
    listing: (EraRevision & { readonly items: readonly CopiedItem[]; readonly atMs: number; }) | undefined;

    #apply({ key, value }: CopiedChange): "material" | "heartbeat" {
        if (value === undefined) {
            this.states.delete(key);
            return "material";
        }
        const kind = this.states.get(key) === readState(value) ? "heartbeat" : "material";
        this.states.set(key, readState(value));
        return kind;
    }
}

function readState(value: string): string {
    return value.slice(0, value.indexOf("#"));
}

interface Status extends CopyPosition {
    readonly confirmedMs: number;
}

type Message =
    | (EraRevision & { readonly type: "watched"; readonly changes: readonly CopiedChange[]; readonly atMs: number; })
    | { readonly type: "report"; readonly from: number; readonly status: Status; }
    | { readonly type: "fetch"; readonly from: number; readonly position: CopyPosition; }
    | { readonly type: "update"; readonly update: CopyUpdate; };

/** A fleet whose hosts copy one store; messages between them are delayed, doubled, reordered and lost. */
export class CopySimulation {
    readonly #store = new SimulatedStore();
    readonly #hosts = Array.from({ length: hostCount }, () => new SimulatedHost());
    #messages: { readonly to: number; readonly message: Message; }[] = [];
    /** The store's latest position at each time. */
    readonly #positionAt: EraRevision[] = [{ era: 0, revision: 0 }];

    /** Runs a schedule and checks each copy after each step, and once more after the messages have been lost and all have met. */
    run(steps: readonly ScheduleStep[]): void {
        for (const step of steps) {
            this.#step(step);
            this.#positionAt.push(this.#store.position);
            this.#hosts.forEach((_, index) => this.#check(index, JSON.stringify(step)));
        }
        this.#settle();
    }

    get #nowMs(): number {
        return this.#positionAt.length;
    }

    #step({ kind, host, other, pick }: ScheduleStep): void {
        const key = keys[pick % keys.length]!;
        const item = this.#store.items.get(key);
        switch (kind) {
            case "write":
                return this.#store.write(key, pick < keys.length ? "ready" : "leaving");
            case "heartbeat":
                return item === undefined ? undefined : this.#store.write(key, readState(item.value));
            case "remove":
                return this.#store.remove(key);
            case "dropHistory":
                this.#store.droppedRevision = this.#store.position.revision;
                return;
            case "restore":
                return this.#store.restore(1 + pick);
            case "watchAtOnce":
                return this.#deliverAtOnce(() => this.#watch(host), 1 + pick);
            case "listAtOnce":
                this.#startListing(host);
                return this.#finishListing(host);
            case "meet":
                return this.#deliverAtOnce(() => this.#report(host, other), messagesOfMeeting);
            case "watch":
                return this.#watch(host);
            case "startListing":
                return this.#startListing(host);
            case "finishListing":
                return this.#finishListing(host);
            case "report":
                return this.#report(host, other);
            case "fetch":
                return this.#fetch(host, other);
            case "deliver":
                return this.#deliver(pick, 1);
            case "deliverTwice":
                return this.#deliver(pick, 0);
            case "lose":
                this.#messages.splice(pick % Math.max(1, this.#messages.length), 1);
                return;
            case "restart":
                this.#hosts[host] = new SimulatedHost();
                this.#messages = this.#messages.filter(({ to }) => to !== host);
        }
    }

    #watch(index: number): void {
        const host = this.#hosts[index]!;
        const { era, revision } = host.copy.position;
        const { position } = this.#store;
        const isKnown = era === position.era && revision >= this.#store.droppedRevision;
        if (host.needsList || !isKnown) {
            host.needsList = true;
            return;
        }
        const changes = this.#store.changes.filter(change => change.revision > revision);
        const message: Message = { type: "watched", ...position, changes, atMs: this.#nowMs };
        this.#messages.push({ to: index, message });
    }

    #startListing(index: number): void {
        const items = [...this.#store.items.values()];
        this.#hosts[index]!.listing = { items, ...this.#store.position, atMs: this.#nowMs };
    }

    #finishListing(index: number): void {
        const host = this.#hosts[index]!;
        if (host.listing === undefined) {
            return;
        }
        const { items, era, revision, atMs } = host.listing;
        host.listing = undefined;
        const update = host.copy.applyListed({ era, revision, items });
        host.copy.confirm({ era, revision }, atMs);
        host.needsList = false;
        this.#push(index, update);
    }

    #push(from: number, update: CopyUpdate | undefined): void {
        if (update !== undefined) {
            this.#hosts.forEach((_, to) =>
                to === from ? undefined : this.#messages.push({ to, message: { type: "update", update } })
            );
        }
    }

    #report(from: number, to: number): void {
        const { position, confirmedMs } = this.#hosts[from]!.copy;
        if (from !== to && position.revision > 0) {
            this.#messages.push({ to, message: { type: "report", from, status: { ...position, confirmedMs } } });
        }
    }

    #fetch(from: number, to: number): void {
        if (from !== to) {
            this.#messages.push({ to, message: { type: "fetch", from, position: this.#hosts[from]!.copy.position } });
        }
    }

    /** Delivers the first messages that a step causes, but none that were sent before. */
    #deliverAtOnce(step: () => void, count: number): void {
        const earlier = this.#messages;
        this.#messages = [];
        step();
        for (let delivered = 0; delivered < count; delivered += 1) {
            this.#deliver(0, 1);
        }
        this.#messages = [...earlier, ...this.#messages];
    }

    #deliver(pick: number, removed: number): void {
        const [entry] = this.#messages.slice(pick % Math.max(1, this.#messages.length));
        if (entry !== undefined) {
            this.#messages.splice(this.#messages.indexOf(entry), removed);
            this.#receive(entry.to, entry.message);
        }
    }

    #receive(index: number, message: Message): void {
        const host = this.#hosts[index]!;
        const { copy } = host;
        switch (message.type) {
            case "watched": {
                const update = copy.applyWatched(message, message.changes);
                copy.confirm(message, message.atMs);
                return this.#push(index, update);
            }
            case "report": {
                const { status, from } = message;
                copy.advance(status);
                copy.confirm(status, status.confirmedMs);
                return isAfter({ era: status.era, revision: status.materialRevision }, copy.position) ?
                    this.#fetch(index, from) :
                    undefined;
            }
            case "fetch": {
                const update = copy.updateSince(message.position);
                this.#messages.push({ to: message.from, message: { type: "update", update } });
                return;
            }
            case "update":
                copy.applyUpdate(message.update);
        }
    }

    /** Checks that a copy holds what the store held at its position and is not older than it claims. */
    #check(index: number, step: string): void {
        const { copy, states } = this.#hosts[index]!;
        const { position } = copy;
        if (position.revision === 0) {
            return;
        }
        const name = `revision ${position.revision} of era ${position.era}`;
        assert.deepEqual(
            [...states].sort(),
            [...this.#store.stateAt(position)].sort(),
            `Host ${index} differs from ${name} of the store after ${step}.`,
        );
        const latest = this.#positionAt[Math.max(0, copy.confirmedMs)] ?? { era: 0, revision: 0 };
        const isOutdated = latest.era === position.era && isAfter(latest, position);
        assert.ok(!isOutdated, `Host ${index} at ${name} counts as current at revision ${latest.revision}.`);
    }

    /** All messages are lost and the hosts meet one that has listed the store; then every copy must hold what the store holds. */
    #settle(): void {
        this.#messages = [];
        this.#startListing(0);
        this.#finishListing(0);
        this.#messages = [];
        for (let index = 1; index < hostCount; index += 1) {
            this.#report(0, index);
            while (this.#messages.length > 0) {
                this.#deliver(0, 1);
            }
        }
        this.#hosts.forEach(({ states, copy }, index) => {
            const { position } = this.#store;
            assert.deepEqual(
                { ...copy.position, materialRevision: 0 },
                { ...position, materialRevision: 0 },
                `Host ${index} stays behind.`,
            );
            assert.deepEqual([...states].sort(), [...this.#store.stateAt(position)].sort(), `Host ${index} differs in the end.`);
        });
    }
}
