import { Given, Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId, Incarnation } from "@filbertrelay/kernel";
import {
    chooseTarget,
    createMembershipState,
    createMembershipTiming,
    mergeRecords,
    queueMember,
    sendLimit,
    stepMembership,
    takeFromQueue,
    visibleState,
} from "@filbertrelay/policy";
import type { MemberRecord, MembershipInput, MembershipMessage, MembershipState, MembershipStep } from "@filbertrelay/policy";
import fc from "fast-check";
import assert from "node:assert/strict";
import { Fleet } from "../../packages/relay/src/measure/fleet.js";
import type { FleetNode } from "../../packages/relay/src/measure/fleet.js";

const seed = 20_261_204;
const limitMs = 60_000;
const runs = { seed, numRuns: 1_000 };
const details = {
    failureDomain: brandAs<FailureDomainId>("coast-a"),
    peerAddress: "127.0.0.1:7700",
    callerAddress: "127.0.0.1:8080",
};

interface MembershipWorld {
    known: MemberRecord;
    merged: MemberRecord;
    state: MembershipState;
    step: MembershipStep;
    fleet: Fleet;
    subject: FleetNode;
    changes: { readonly by: FleetNode; readonly record: MemberRecord; }[];
}

function createRecord(hostId: string, fields: Partial<MemberRecord> = {}): MemberRecord {
    const incarnation = brandAs<Incarnation>("1000-a");
    return {
        hostId: brandAs<HostId>(hostId),
        incarnation,
        refutations: 0,
        isLeaving: false,
        health: "alive",
        details,
        ...fields,
    };
}

const anyRecord = fc.record({
    incarnation: fc.constantFrom("999-z", "1000-a", "1000-b", "20000-a").map(value => brandAs<Incarnation>(value)),
    refutations: fc.nat(3),
    isLeaving: fc.boolean(),
    health: fc.constantFrom("alive", "suspect", "dead"),
}, { noNullPrototype: true }).map(fields => createRecord("birch", fields));

Then("merging records is commutative, associative and idempotent", function() {
    console.log(`Merging: seed ${seed}, ${runs.numRuns} runs.`);
    fc.assert(
        fc.property(anyRecord, anyRecord, anyRecord, (first, second, third) => {
            assert.deepEqual(mergeRecords(first, second), mergeRecords(second, first));
            assert.deepEqual(mergeRecords(mergeRecords(first, second), third), mergeRecords(first, mergeRecords(second, third)));
            assert.equal(mergeRecords(first, first), first);
        }),
        runs,
    );
});

Then("leaving is never undone within an incarnation", function() {
    fc.assert(
        fc.property(anyRecord, anyRecord, (first, second) => {
            const merged = mergeRecords({ ...first, isLeaving: true }, second);
            assert.ok(merged.isLeaving || merged.incarnation !== first.incarnation);
        }),
        runs,
    );
});

Then("a newer incarnation replaces an older one whatever its state", function() {
    fc.assert(
        fc.property(anyRecord, record => {
            const newer = { ...record, incarnation: brandAs<Incarnation>("30000-a") };
            assert.deepEqual(mergeRecords(record, newer), newer);
            assert.deepEqual(mergeRecords(newer, record), newer);
        }),
        runs,
    );
});

function parseRecord(text: string): MemberRecord {
    const [run = "", refutations = "", state = ""] = text.split(", ");
    const health = state === "leaving" ? "alive" : state as MemberRecord["health"];
    const incarnation = brandAs<Incarnation>(run === "run 1" ? "1000-a" : "2000-a");
    return createRecord("birch", { incarnation, refutations: Number(refutations), isLeaving: state === "leaving", health });
}

Given("a member known as {string}", function(this: MembershipWorld, text: string) {
    this.known = parseRecord(text);
});

When("the update {string} arrives", function(this: MembershipWorld, text: string) {
    this.merged = mergeRecords(this.known, parseRecord(text));
});

Then("the member is {string}", function(this: MembershipWorld, text: string) {
    assert.deepEqual(this.merged, parseRecord(text));
});

function createState(others: readonly MemberRecord[]): MembershipState {
    const self = brandAs<HostId>("alder");
    const incarnation = brandAs<Incarnation>("1000-a");
    const state = createMembershipState({ self, incarnation, details, timing: createMembershipTiming(500), nowMs: 0, seed });
    return { ...state, members: new Map([...state.members, ...others.map(record => [record.hostId, record] as const)]) };
}

const anyHost = fc.constantFrom("alder", "birch", "cedar", "damson").map(value => brandAs<HostId>(value));
const anyGossip = fc.record({
    updates: fc.array(fc.tuple(anyHost, anyRecord).map(([hostId, record]) => ({ ...record, hostId })), { maxLength: 3 }),
    values: fc.array(fc.record({ name: fc.constant("load"), host: anyHost, version: fc.nat(5), value: fc.nat() }), {
        maxLength: 3,
    }),
    configurationVersion: fc.nat(5),
});
const anyMessage: fc.Arbitrary<MembershipMessage> = fc.oneof(
    fc.record({ kind: fc.constantFrom("ping", "ack", "nack"), sequence: fc.nat(9), gossip: anyGossip }),
    fc.record({ kind: fc.constant("pingRequest"), sequence: fc.nat(9), target: anyHost, gossip: anyGossip }),
    fc.record({
        kind: fc.constant("sync"),
        hashes: fc.array(fc.nat(), { maxLength: 20 }),
        isJoining: fc.boolean(),
        gossip: anyGossip,
    }),
    fc.record({ kind: fc.constant("push"), gossip: anyGossip }),
);
const anyInput: fc.Arbitrary<{ readonly gapMs: number; readonly input: MembershipInput; }> = fc.record({
    gapMs: fc.nat(400),
    input: fc.oneof(
        fc.record({ kind: fc.constant("tick"), nowMs: fc.constant(0), round: fc.nat(100) }),
        fc.record({ kind: fc.constant("message"), nowMs: fc.constant(0), from: anyHost, message: anyMessage }),
        fc.record({
            kind: fc.constant("publish"),
            nowMs: fc.constant(0),
            name: fc.constant("load"),
            value: fc.nat(),
            version: fc.nat(5),
        }),
        fc.record({ kind: fc.constant("leave"), nowMs: fc.constant(0) }),
    ),
});

Then("{int} random inputs leave previous states and inputs unmodified", function(count: number) {
    const inputs = fc.sample(anyInput, { seed, numRuns: count });
    console.log(`Purity: seed ${seed}, ${count} inputs.`);
    let state = createState(["birch", "cedar", "damson"].map(hostId => createRecord(hostId)));
    let nowMs = 0;
    for (const { gapMs, input } of inputs) {
        nowMs += gapMs;
        const timed = structuredClone({ ...input, nowMs });
        const [stateBefore, inputBefore] = [snapshot(state), structuredClone(timed)];
        const first = stepMembership(state, timed);
        assert.deepEqual(timed, inputBefore);
        assert.deepEqual(snapshot(state), stateBefore);
        assert.deepEqual(stepMembership(state, timed).effects, first.effects, "The same step gave two different results.");
        assert.ok(first.state.members.get(first.state.self)?.isLeaving === true || input.kind !== "leave");
        state = first.state;
    }
});

function snapshot(state: MembershipState): unknown {
    return structuredClone({ ...state, random: state.random.getState() });
}

Then(
    "a change is sent as often as its send limit for fleets of {int} to {int}",
    function(least: number, most: number) {
        fc.assert(
            fc.property(fc.integer({ min: least, max: most }), fc.integer({ min: 1, max: 500 }), (fleetSize, limitBytes) => {
                let queue: ReadonlyMap<string, ReturnType<typeof queueMember>[1]> = new Map([queueMember(createRecord("birch"))]);
                let count = 0;
                for (; queue.size > 0; count++) {
                    queue = takeFromQueue(queue, { limitBytes, fleetSize }).queue;
                }
                assert.equal(count, sendLimit("member", fleetSize));
                assert.ok(count <= 3 * (Math.log2(fleetSize + 1) + 1));
            }),
            { seed, numRuns: 100 },
        );
    },
);

Then("nodes with equal tables probe every member exactly once per round", function() {
    fc.assert(
        fc.property(fc.integer({ min: 2, max: 60 }), fc.nat(), (size, round) => {
            const records = Array.from({ length: size }, (...[, index]) => createRecord(`host-${index}`));
            const members = new Map(records.map(record => [record.hostId, record] as const));
            const base = createState([]);
            const targets = records.map(({ hostId }) => chooseTarget({ ...base, self: hostId, members }, round));
            assert.ok(targets.every((target, index) => target !== undefined && target !== records[index]?.hostId));
            assert.equal(new Set(targets).size, size);
        }),
        { seed, numRuns: 300 },
    );
});

Given("a node that others consider dead", function(this: MembershipWorld) {
    this.state = createState([createRecord("birch")]);
});

function receiveDeathClaim(state: MembershipState): MembershipStep {
    const updates = [createRecord("alder", { health: "dead", refutations: 4 })];
    const message: MembershipMessage = { kind: "ping", sequence: 1, gossip: { updates, values: [], configurationVersion: 0 } };
    return stepMembership(state, { kind: "message", nowMs: 1, from: brandAs<HostId>("birch"), message });
}

When("it receives the claim", function(this: MembershipWorld) {
    this.step = receiveDeathClaim(this.state);
});

Then("it replies with a higher refutation count", function(this: MembershipWorld) {
    const [effect] = this.step.effects;
    assert.ok(effect?.kind === "send" && effect.message.kind === "ack");
    const own = effect.message.gossip.updates.find(({ hostId }) => hostId === "alder");
    assert.deepEqual({ health: own?.health, refutations: own?.refutations }, { health: "alive", refutations: 5 });
});

Then("a stopped node does not refute the claim", function(this: MembershipWorld) {
    const stopped = stepMembership(this.state, { kind: "stop", nowMs: 1 }).state;
    assert.equal(receiveDeathClaim(stopped).state.members.get(stopped.self)?.health, "dead");
});

Given("a node with a probe in progress", function(this: MembershipWorld) {
    this.state = createState([createRecord("birch")]);
    for (let nowMs = 0; this.state.probes.size === 0; nowMs += 50) {
        assert.ok(nowMs < limitMs);
        this.state = stepMembership(this.state, { kind: "tick", nowMs, round: 0 }).state;
    }
});

When("it is paused for 3 seconds and then runs for one tick", function(this: MembershipWorld) {
    const nowMs = this.state.lastTickMs + 3_000;
    const resumed = stepMembership(this.state, { kind: "tick", nowMs, round: 1 }).state;
    this.state = stepMembership(resumed, { kind: "tick", nowMs: nowMs + 50, round: 1 }).state;
});

Then("it suspects no other node", function(this: MembershipWorld) {
    assert.equal(this.state.suspicions.size, 0);
    assert.ok([...this.state.members.values()].every(({ health }) => health === "alive"));
});

Given("a simulated fleet of {int} nodes with {int}% loss", function(this: MembershipWorld, size: number, loss: number) {
    console.log(`Simulated fleet: seed ${seed}.`);
    this.fleet = new Fleet({ size, failureDomains: 3, loss: loss / 100, seed });
    this.subject = this.fleet.nodes[3] as FleetNode;
    this.changes = [];
    this.fleet.onChange = (by, record) => this.changes.push({ by, record });
    this.fleet.clock.advance(5_000);
});

function stateAt(node: FleetNode, of: FleetNode): string {
    const record = node.state.members.get(of.hostId);
    return record === undefined ? "unknown" : visibleState(record);
}

// The virtual clock makes the wait deterministic; the limit only ends a run that can't succeed.
function advanceUntil(world: MembershipWorld, condition: () => boolean): void {
    const endMs = world.fleet.clock.monotonicMs() + limitMs;
    while (!condition()) {
        assert.ok(world.fleet.clock.monotonicMs() < endMs, `The condition was not met within ${limitMs} ms of simulated time.`);
        world.fleet.clock.advance(100);
    }
}

function others(world: MembershipWorld): FleetNode[] {
    return world.fleet.nodes.filter(node => node !== world.subject);
}

When("a node dies", function(this: MembershipWorld) {
    this.subject.isRunning = false;
});

Then("every running node considers exactly that node dead", function(this: MembershipWorld) {
    advanceUntil(this, () => others(this).every(node => stateAt(node, this.subject) === "dead"));
    this.fleet.clock.advance(30_000);
    const dead = this.changes.filter(({ record }) => record.health === "dead").map(({ record }) => record.hostId);
    assert.deepEqual([...new Set(dead)], [this.subject.hostId]);
});

When("every node pauses for one second in turn", function(this: MembershipWorld) {
    for (const node of this.fleet.nodes) {
        this.fleet.pause(node, 1_000);
        this.fleet.clock.advance(2_000);
    }
});

Then("no node was declared dead", function(this: MembershipWorld) {
    this.fleet.clock.advance(10_000);
    assert.deepEqual(this.changes.filter(({ record }) => record.health === "dead"), []);
});

When("a node leaves and dies", function(this: MembershipWorld) {
    this.fleet.feed(this.subject, { kind: "leave", nowMs: this.fleet.clock.monotonicMs() });
    advanceUntil(this, () => others(this).every(node => stateAt(node, this.subject) === "leaving"));
    this.subject.isRunning = false;
});

Then("every running node saw it as leaving and then as dead", function(this: MembershipWorld) {
    advanceUntil(this, () => others(this).every(node => stateAt(node, this.subject) === "dead"));
    for (const node of others(this)) {
        const seen = this.changes.filter(({ by, record }) => by === node && record.hostId === this.subject.hostId);
        assert.deepEqual(seen.map(({ record }) => visibleState(record)), ["leaving", "dead"]);
    }
});

When("a partition lasts until each side considers the other dead, and then heals", function(this: MembershipWorld) {
    const side = (node: FleetNode) => node.index % 2;
    this.fleet.canReach = (from, to) => side(from) === side(to);
    const isApart = (node: FleetNode) =>
        this.fleet.nodes.every(other => side(node) === side(other) || stateAt(node, other) === "dead");
    advanceUntil(this, () => this.fleet.nodes.every(isApart));
    assert.ok(
        this.changes.every(({ by, record }) =>
            record.health !== "dead" || this.fleet.nodes.some(node => node.hostId === record.hostId && side(node) !== side(by))
        ),
        "A node was declared dead by a node on its own side of the partition.",
    );
    this.fleet.canReach = () => true;
});

Then("every node considers every node alive again", function(this: MembershipWorld) {
    const seesAllAlive = (node: FleetNode) => this.fleet.nodes.every(other => stateAt(node, other) === "alive");
    advanceUntil(this, () => this.fleet.nodes.every(seesAllAlive));
});

When(
    "a node publishes the values {string} and {string} under one name",
    function(this: MembershipWorld, old: string, next: string) {
        const nowMs = this.fleet.clock.monotonicMs();
        this.fleet.feed(this.subject, { kind: "publish", nowMs, name: "note", value: old, version: 1 });
        this.fleet.clock.advance(300);
        this.fleet.feed(this.subject, { kind: "publish", nowMs: nowMs + 300, name: "note", value: next, version: 2 });
    },
);

Then("every node has the value {string}", function(this: MembershipWorld, value: string) {
    advanceUntil(
        this,
        () => this.fleet.nodes.every(node => [...node.state.values.values()].some(known => known.value === value)),
    );
});
