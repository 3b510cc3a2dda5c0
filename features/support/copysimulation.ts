import { StoreCopy } from "@filbertrelay/policy";
import type { CopiedChange, CopiedItem, CopyPosition, CopyUpdate } from "@filbertrelay/policy";
import fc from "fast-check";
import assert from "node:assert/strict";

const hostCount = 3;
const keys = ["a", "b"];
const historyLimit = 4;
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
const faultKinds = ["dropHistory", "lose", "restart"] as const;
type StepKind = typeof changeKinds[number] | typeof promptKinds[number] | typeof delayedKinds[number] | typeof faultKinds[number];

/** Schedules of writes, removals, heartbeats, watches, listings, reports, pushes, fetches, lost messages and restarts. */
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
        pick: fc.nat(3),
    }),
    { minLength: 10, maxLength: 60, size: "max" },
);

/** The simulated store; remembers what it held at each revision and which revision was the latest at each time. */
class SimulatedStore {
    readonly items = new Map<string, CopiedItem>();
    readonly changes: CopiedChange[] = [];
    /** For each revision, the state of each item. */
    readonly states: ReadonlyMap<string, string>[] = [new Map()];
    droppedRevision = 0;
    #sequence = 0;

    get revision(): number {
        return this.states.length - 1;
    }

    write(key: string, state: string): void {
        this.#sequence += 1;
        const item = { key, value: `${state}#${this.#sequence}`, revision: this.revision + 1 };
        this.items.set(key, item);
        this.#record(item);
    }

    remove(key: string): void {
        if (this.items.delete(key)) {
            this.#record({ key, revision: this.revision + 1 });
        }
    }

    #record(change: CopiedChange): void {
        this.changes.push(change);
        this.states.push(new Map([...this.items].map(([key, { value }]) => [key, readState(value)])));
    }
}

/** A host with its copy of the store. */
class SimulatedHost {
    readonly states = new Map<string, string>();
    readonly copy = new StoreCopy({ historyLimit, onChange: change => this.#apply(change) });
    needsList = true;
    listing: { readonly items: readonly CopiedItem[]; readonly revision: number; readonly atMs: number; } | undefined;

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
    | { readonly type: "watched"; readonly revision: number; readonly changes: readonly CopiedChange[]; readonly atMs: number; }
    | { readonly type: "report"; readonly from: number; readonly status: Status; }
    | { readonly type: "fetch"; readonly from: number; readonly position: CopyPosition; }
    | { readonly type: "update"; readonly update: CopyUpdate; };

/** A fleet whose hosts copy one store; messages between them are delayed, doubled, reordered and lost. */
export class CopySimulation {
    readonly #store = new SimulatedStore();
    readonly #hosts = Array.from({ length: hostCount }, () => new SimulatedHost());
    #messages: { readonly to: number; readonly message: Message; }[] = [];
    /** The store's latest revision at each time. */
    readonly #revisionAt: number[] = [0];

    /** Runs a schedule and checks each copy after each step, and once more after the messages have been lost and all have met. */
    run(steps: readonly ScheduleStep[]): void {
        for (const step of steps) {
            this.#step(step);
            this.#revisionAt.push(this.#store.revision);
            this.#hosts.forEach((_, index) => this.#check(index, JSON.stringify(step)));
        }
        this.#settle();
    }

    get #nowMs(): number {
        return this.#revisionAt.length;
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
                this.#store.droppedRevision = this.#store.revision;
                return;
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
        const { revision } = host.copy.position;
        if (host.needsList || revision < this.#store.droppedRevision) {
            host.needsList = true;
            return;
        }
        const changes = this.#store.changes.filter(change => change.revision > revision);
        const message: Message = { type: "watched", revision: this.#store.revision, changes, atMs: this.#nowMs };
        this.#messages.push({ to: index, message });
    }

    #startListing(index: number): void {
        const items = [...this.#store.items.values()];
        this.#hosts[index]!.listing = { items, revision: this.#store.revision, atMs: this.#nowMs };
    }

    #finishListing(index: number): void {
        const host = this.#hosts[index]!;
        if (host.listing === undefined) {
            return;
        }
        const { items, revision, atMs } = host.listing;
        host.listing = undefined;
        const update = host.copy.applyListed({ revision, items });
        host.copy.confirm(revision, atMs);
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
                const update = copy.applyWatched(message.revision, message.changes);
                copy.confirm(message.revision, message.atMs);
                return this.#push(index, update);
            }
            case "report": {
                const { status, from } = message;
                copy.advance(status);
                copy.confirm(status.revision, status.confirmedMs);
                return status.materialRevision > copy.position.revision ? this.#fetch(index, from) : undefined;
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

    /** Checks that a copy holds what the store held at its revision and is not older than it claims. */
    #check(index: number, step: string): void {
        const { copy, states } = this.#hosts[index]!;
        const { revision } = copy.position;
        if (revision === 0) {
            return;
        }
        assert.deepEqual(
            [...states].sort(),
            [...this.#store.states[revision]!].sort(),
            `Host ${index} differs from revision ${revision} of the store after ${step}.`,
        );
        const latest = this.#revisionAt[Math.max(0, copy.confirmedMs)] ?? 0;
        assert.ok(latest <= revision, `Host ${index} at revision ${revision} counts as current at revision ${latest}.`);
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
            assert.equal(copy.position.revision, this.#store.revision, `Host ${index} stays behind.`);
            assert.deepEqual([...states].sort(), [...this.#store.states.at(-1)!].sort(), `Host ${index} differs in the end.`);
        });
    }
}
