import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock } from "@filbertrelay/kernel";
import type { Clock } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy";
import assert from "node:assert/strict";

const startedAt = new Date("2026-12-04T08:00:00Z");
const exchangeMs = 200;

interface TimedHost {
    offsetMs: number;
    readonly ownNow: () => Date;
    readonly fleetClock: policy.FleetClock;
}

interface TimeWorld {
    /** Lets all hosts send their time once. */
    exchange: () => void;
    hosts: TimedHost[];
    measured: { readonly atMs: number; readonly demand: number; }[];
    /** Largest difference between a host's fleet time and the true time. */
    largestErrorMs: number;
}

Given("{int} hosts that send each other their time every 200 ms", function(this: TimeWorld, count: number) {
    this.hosts = Array.from({ length: count }, createHost);
    this.largestErrorMs = 0;
    this.exchange = () => this.hosts.forEach((sender, index) => sendTime(sender, index, this.hosts));
});

Given(
    "{int} hosts of which {int} exchange their time and send the others the median every 200 ms",
    function(this: TimeWorld, count: number, aggregators: number) {
        this.hosts = Array.from({ length: count }, createHost);
        this.largestErrorMs = 0;
        this.exchange = () =>
            this.hosts.forEach((sender, index) => {
                const aggregator = this.hosts[index % aggregators]!;
                sendTime(sender, index, index < aggregators ? this.hosts.slice(0, aggregators) : [aggregator]);
                if (index >= aggregators) {
                    sendTime(aggregator, index % aggregators, [sender]);
                    sender.fleetClock.recordFleetTime(aggregator.fleetClock.now());
                }
            });
    },
);

function sendTime(sender: TimedHost, index: number, receivers: readonly TimedHost[]): void {
    receivers.filter(other => other !== sender).forEach(other =>
        other.fleetClock.recordPeerTime(`host-${index}`, sender.ownNow())
    );
}

let clock = createVirtualClock(startedAt);

function createHost(): TimedHost {
    const host = { offsetMs: 0, ownNow: () => new Date(clock.now().getTime() + host.offsetMs) };
    const ownClock: Clock = {
        now: host.ownNow,
        monotonicMs: () => clock.monotonicMs(),
        sleep: (ms, signal) => clock.sleep(ms, signal),
        after: (ms, callback) => clock.after(ms, callback),
        afterInput: (ms, callback) => clock.afterInput(ms, callback),
    };
    return Object.assign(host, { fleetClock: policy.createFleetClock({ clock: ownClock }) });
}

When(
    "the clocks of {int} hosts are set {int} ms forward at 2 s and {int} ms back at 6 s for 10 s",
    function(this: TimeWorld, wrong: number, forwardMs: number, backMs: number) {
        clock = createVirtualClock(startedAt);
        for (let atMs = 0; atMs < 20_000; atMs += exchangeMs) {
            const offsetMs = atMs >= 6_000 && atMs < 16_000 ? -backMs : atMs >= 2_000 && atMs < 6_000 ? forwardMs : 0;
            this.hosts.slice(0, wrong).forEach(host => host.offsetMs = offsetMs);
            if (atMs >= 1_000) {
                const errors = this.hosts.map(host => Math.abs(host.fleetClock.now().getTime() - clock.now().getTime()));
                this.largestErrorMs = Math.max(this.largestErrorMs, ...errors);
            }
            this.exchange();
            clock.advance(exchangeMs);
        }
    },
);

Then("from 1 s on every host is within {int} ms of the true time", function(this: TimeWorld, limitMs: number) {
    assert.ok(this.largestErrorMs <= limitMs, `a host was ${this.largestErrorMs} ms off`);
});

When(
    "work for {int} endpoints starts and is measured every {int} ms for {int} s",
    function(this: TimeWorld, endpoints: number, everyMs: number, seconds: number) {
        const meter = policy.createDemandMeter();
        const stepMs = 50;
        this.measured = [];
        for (let atMs = stepMs; atMs <= seconds * 1_000; atMs += stepMs) {
            meter.recordWork("assistant", endpoints * stepMs, atMs);
            if (atMs % everyMs === 0) {
                this.measured.push({ atMs, demand: meter.demand("assistant", atMs) });
            }
        }
    },
);

Then(
    "from {int} s on the measured demand is between {int} and {int}",
    function(this: TimeWorld, seconds: number, least: number, most: number) {
        const late = this.measured.filter(({ atMs }) => atMs >= seconds * 1_000);
        assert.ok(late.every(({ demand }) => demand >= least && demand <= most), JSON.stringify(late));
    },
);

Then("no measurement is above {int}", function(this: TimeWorld, most: number) {
    assert.ok(this.measured.every(({ demand }) => demand <= most), JSON.stringify(this.measured));
});
