import { Given, Then, When } from "@cucumber/cucumber";
import type { RoomReport } from "@filbertrelay/policy/ingress";
import assert from "node:assert/strict";
import { countShare, createKnowingHost, endpoint, hostIds } from "../support/knowinghost.js";
import type { KnowingHost } from "../support/knowinghost.js";

interface WaitingWorld {
    waiting: KnowingHost;
    other: KnowingHost;
    nowMs: number;
}

const brittleRejections = 10;
const stepMs = 100;
/** So many that hosts try nothing beyond their shares. */
const busyRequests = endpoint.capacity - 1;

/** What the other host reports: that it has a request now, and what it had rejected. */
function reportOther({ other, nowMs }: WaitingWorld, rejected: number): RoomReport {
    const endpoints = { [endpoint.endpointId]: { service: endpoint.service, rejections: brittleRejections, ageMs: 0 } };
    other.rooms.merge({ endpoints, cuts: {}, rejections: {}, senders: {} }, nowMs, 0);
    other.rooms.select(endpoint.service, [endpoint], nowMs);
    return {
        endpoints,
        cuts: {},
        rejections: rejected === 0 ? {} : { [endpoint.endpointId]: { [other.hostId]: { count: rejected, ageMs: 0 } } },
        senders: other.rooms.report(nowMs)?.senders ?? {},
    };
}

/** Lets time pass in which both hosts have requests. */
function pass(world: WaitingWorld, spanMs: number): void {
    const untilMs = world.nowMs + spanMs;
    while (world.nowMs < untilMs) {
        world.nowMs += stepMs;
        world.waiting.running = 0;
        world.waiting.rooms.merge(reportOther(world, 0), world.nowMs, 0);
        world.waiting.rooms.select(endpoint.service, [endpoint], world.nowMs);
    }
}

/** Checks that there is no share at `closedMs` from now and one at `openMs`. */
function checkWait(world: WaitingWorld, closedMs: number, openMs: number): number {
    pass(world, closedMs);
    assert.equal(countShare(world.waiting, world.nowMs), 0);
    pass(world, openMs - closedMs);
    return countShare(world.waiting, world.nowMs);
}

Given(
    "a host that has known for {int} s of a brittle endpoint with room for 8 requests, which one other host uses",
    function(this: WaitingWorld, seconds: number) {
        this.waiting = createKnowingHost(hostIds[0]!, busyRequests);
        this.other = createKnowingHost(hostIds[1]!, busyRequests);
        this.nowMs = 0;
        for (; this.nowMs < seconds * 1_000; this.nowMs += stepMs) {
            this.waiting.rooms.merge(reportOther(this, 0), this.nowMs, 0);
        }
    },
);

When("the host has its first requests, 10 a second", function(this: WaitingWorld) {
    this.waiting.rooms.select(endpoint.service, [endpoint], this.nowMs);
});

Then(
    "it has no share for {int} ms, and one of {int} after {int} ms",
    function(this: WaitingWorld, closedMs: number, share: number, openMs: number) {
        assert.equal(checkWait(this, closedMs, openMs), share);
    },
);

Then(
    "after a rejection it has none for {int} ms, and one again after {int} ms",
    function(this: WaitingWorld, closedMs: number, openMs: number) {
        this.waiting.rooms.recordAnswer(endpoint, { brittleRejections, isFull: true }, this.nowMs);
        assert.ok(checkWait(this, closedMs, openMs) > 0);
    },
);

Then(
    "when the other host reports {int} of 10 rejections it has none for {int} ms, and one again after {int} ms",
    function(this: WaitingWorld, rejected: number, closedMs: number, openMs: number) {
        this.waiting.rooms.merge(reportOther(this, rejected), this.nowMs, 0);
        assert.ok(checkWait(this, closedMs, openMs) > 0);
    },
);

Then(
    "{int} s after the other host's last request it has a share of {int}",
    function(this: WaitingWorld, seconds: number, share: number) {
        for (const untilMs = this.nowMs + seconds * 1_000; this.nowMs < untilMs; this.nowMs += stepMs) {
            this.waiting.running = 0;
            this.waiting.rooms.select(endpoint.service, [endpoint], this.nowMs);
        }
        assert.equal(countShare(this.waiting, this.nowMs), share);
    },
);

Then("ten callers that it refuses at once are told ten times that differ by half and more", function(this: WaitingWorld) {
    const times = Array.from({ length: 10 }, () => this.waiting.rooms.retryAfterMs(endpoint.service, 500, this.nowMs) ?? 0);
    assert.equal(new Set(times).size, 10);
    assert.ok(Math.max(...times) > 1.5 * Math.min(...times), String(times));
});
