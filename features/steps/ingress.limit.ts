import { Given, Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId, HostId } from "@filbertrelay/kernel";
import { createPlatformDialect } from "@filbertrelay/platform";
import { notExecutedResponse, renderResponse } from "@filbertrelay/platform/standins";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";
import * as policy from "@filbertrelay/policy";
import assert from "node:assert/strict";
import type { CallerResponse } from "../support/ingress.js";
import { respondFully } from "../support/ingress.js";
import { createRandom } from "../support/random.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface LimitWorld extends IngressWorld {
    /** When the first engine received each request. */
    receivedMs: number[];
    receivedByEngine: number[][];
    responses: CallerResponse[];
    days: LimitDay[];
}

/** Answers in full with one more header. */
function respondWith(header: string, onRequest: () => void): EngineBehaviour {
    return (received, { send }) => {
        onRequest();
        send(renderResponse(received).replace("\r\nContent-Length", `\r\n${header}\r\nContent-Length`));
    };
}

Given("engines of which the first names a limit of {float} request(s) a second", function(this: LimitWorld, perSecond: number) {
    this.receivedMs = [];
    const limited = respondWith(`Server-Limit: ${perSecond}`, () => this.receivedMs.push(performance.now()));
    this.ingress.setBehaviours(limited, respondFully);
});

Given("engines of which the first says in its answers that it leaves", function(this: LimitWorld) {
    this.receivedMs = [];
    const leaving = respondWith("Server-Leaving: 1", () => this.receivedMs.push(performance.now()));
    this.ingress.setBehaviours(leaving, respondFully);
});

Given("engines that turn requests away with 503 for {int} s", function(this: LimitWorld, seconds: number) {
    this.receivedByEngine = this.ingress.engines.map(() => []);
    const behaviours = this.receivedByEngine.map((times): EngineBehaviour => (_, { send }) => {
        times.push(performance.now());
        send(notExecutedResponse.replace("Content-Length", `Retry-After: ${seconds}\r\nContent-Length`));
    });
    this.ingress.setBehaviours(...behaviours);
});

Then(
    "the first engine got no request later than {int} ms after its first answer",
    function(this: LimitWorld, afterMs: number) {
        const [firstMs] = this.receivedMs;
        assert.ok(firstMs !== undefined);
        assert.deepEqual(this.receivedMs.filter(atMs => atMs > firstMs + afterMs), []);
    },
);

Then(
    "each engine got at most {int} requests from {int} ms after its first answer on",
    function(this: LimitWorld, most: number, afterMs: number) {
        for (const times of this.receivedByEngine) {
            assert.ok(times.length > 0);
            const count = times.filter(atMs => atMs > (times[0] ?? 0) + afterMs).length;
            assert.ok(count <= most, `${count} requests`);
        }
    },
);

Then("requests that no engine takes are rejected within {int} ms as not run", function(this: LimitWorld, limitMs: number) {
    for (const { status, elapsedMs, headers } of this.responses) {
        assert.equal(status, 503);
        assert.ok(elapsedMs <= limitMs, `${elapsedMs} ms`);
        assert.ok(Number(headers["retry-after"]) > 0);
    }
});

When("a caller sends {int} requests a second for {int} s", async function(this: LimitWorld, perSecond: number, seconds: number) {
    const sent: Promise<CallerResponse>[] = [];
    for (let index = 0; index < perSecond * seconds; index += 1) {
        sent.push(this.ingress.send("idempotent"));
        await new Promise(resolve => setTimeout(resolve, 1_000 / perSecond));
    }
    this.responses = await Promise.all(sent);
});

Then(
    "from {int} s after the limit was named no {int} s hold more than {int} requests to the first engine",
    function(this: LimitWorld, afterSeconds: number, spanSeconds: number, most: number) {
        const fromMs = (this.receivedMs[0] ?? 0) + afterSeconds * 1_000;
        assert.ok(this.receivedMs.length > 0);
        for (const endMs of this.receivedMs.filter(receivedMs => receivedMs >= fromMs)) {
            const count = this.receivedMs.filter(atMs => atMs <= endMs && atMs > endMs - spanSeconds * 1_000).length;
            assert.ok(count <= most, `${count} requests`);
        }
    },
);

Then("all requests are answered", function(this: LimitWorld) {
    assert.deepEqual(this.responses.filter(({ status }) => status !== 200), []);
});

/** Seed of the first random day; the others follow. */
const firstSeed = 20_261_204;
const endpointId = brandAs<EndpointId>("engine-1");
const limitFromMs = 5_000;
const limitUntilMs = 25_000;
const dayMs = 35_000;
const contactMs = 3_000;
const stepMs = 10;

interface LimitDay {
    readonly seed: number;
    readonly hosts: number;
    readonly perSecond: number;
    readonly demandPerSecond: number;
    readonly sentMs: readonly number[];
    /** When the first answer without a limit came after the limit had ended. */
    readonly withdrawnMs: number;
}

/** Plays hosts that all have requests for one endpoint, which names a limit in each answer for a while. */
function playLimitDay(seed: number): LimitDay {
    const draw = createRandom(seed);
    const hostIds = Array.from({ length: 1 + Math.floor(draw() * 40) }, (_, index) => brandAs<HostId>(`host-${index}`));
    const perSecond = 0.3 * 60 ** draw();
    const demandPerSecond = perSecond * (2 + draw() * 10);
    const exchangeMs = 200 + draw() * 300;
    const hosts = hostIds.map(hostId => ({
        limits: policy.createEndpointLimits({ hostId, listHosts: () => hostIds }),
        offsetMs: draw() * 1e6,
        nextExchangeMs: draw() * exchangeMs,
    }));
    const sentMs: number[] = [];
    const answers: { readonly atMs: number; readonly host: number; }[] = [];
    const reports: { readonly atMs: number; readonly to: number; readonly report: policy.LimitReport; }[] = [];
    let withdrawnMs = Infinity;
    for (let nowMs = 0; nowMs < dayMs; nowMs += stepMs) {
        if (draw() < demandPerSecond * stepMs / 1_000) {
            const host = Math.floor(draw() * hosts.length);
            const { limits, offsetMs } = hosts[host]!;
            if (limits.isOpen(endpointId, nowMs + offsetMs)) {
                limits.recordSend(endpointId, nowMs + offsetMs);
                sentMs.push(nowMs);
                answers.push({ atMs: nowMs + 20 + draw() * 200, host });
            }
        }
        for (const { host } of answers.filter(({ atMs }) => atMs >= nowMs && atMs < nowMs + stepMs)) {
            const isLimited = nowMs >= limitFromMs && nowMs < limitUntilMs;
            withdrawnMs = nowMs >= limitUntilMs ? Math.min(withdrawnMs, nowMs) : withdrawnMs;
            hosts[host]!.limits.recordAnswer(endpointId, isLimited ? perSecond : undefined, nowMs + hosts[host]!.offsetMs);
        }
        for (const host of hosts.filter(({ nextExchangeMs }) => nextExchangeMs <= nowMs)) {
            host.nextExchangeMs += exchangeMs;
            const report = host.limits.report(nowMs + host.offsetMs);
            if (report !== undefined) {
                hosts.forEach((_, to) => reports.push({ atMs: nowMs + 1 + draw() * 20, to, report }));
            }
        }
        for (const { to, report } of reports.splice(0).filter(entry => entry.atMs < nowMs + stepMs || !reports.push(entry))) {
            hosts[to]!.limits.merge(report, nowMs + hosts[to]!.offsetMs, 40);
        }
    }
    return { seed, hosts: hosts.length, perSecond, demandPerSecond, sentMs, withdrawnMs };
}

When(
    "{int} random days are played on which an endpoint names a limit for a while",
    { timeout: 60_000 },
    function(this: LimitWorld, count: number) {
        this.days = Array.from({ length: count }, (_, index) => playLimitDay(firstSeed + index * 7_919));
    },
);

function countBetween({ sentMs }: LimitDay, fromMs: number, toMs: number): number {
    return sentMs.filter(atMs => atMs > fromMs && atMs <= toMs).length;
}

Then(
    "from {int} s after it was named no {int} s hold more than one and a half times what it allows and {int} requests",
    function(this: LimitWorld, afterSeconds: number, spanSeconds: number, extra: number) {
        for (const day of this.days) {
            const isLimited = (atMs: number): boolean => atMs > limitFromMs + 250 + afterSeconds * 1_000 && atMs < limitUntilMs;
            for (const endMs of day.sentMs.filter(isLimited)) {
                // Requests of hosts that were told less than half a second before don't count.
                const count = countBetween(day, Math.max(limitFromMs + 750, endMs - spanSeconds * 1_000), endMs);
                assert.ok(count <= 1.5 * day.perSecond * spanSeconds + extra, `seed ${day.seed}: ${count} at ${day.perSecond}`);
            }
        }
    },
);

Then("at least a third of what it allows is used, or of what the hosts that share it have to send", function(this: LimitWorld) {
    for (const day of this.days) {
        const seconds = (limitUntilMs - limitFromMs - contactMs) / 1_000;
        const count = countBetween(day, limitFromMs + contactMs, limitUntilMs);
        const sharing = Math.min(1, Math.ceil(day.perSecond * 2) / day.hosts);
        const usable = Math.min(day.perSecond, day.demandPerSecond * sharing);
        assert.ok(count >= Math.floor(usable * seconds / 3), `seed ${day.seed}: ${count} of ${usable} a second`);
    }
});

Then(
    "hosts use the endpoint in full again within {int} s after an answer without it",
    function(this: LimitWorld, seconds: number) {
        for (const day of this.days.filter(({ withdrawnMs }) => withdrawnMs + seconds * 1_000 < dayMs - 2_000)) {
            const fromMs = day.withdrawnMs + seconds * 1_000;
            const expected = day.demandPerSecond * (dayMs - fromMs) / 1_000;
            assert.ok(countBetween(day, fromMs, dayMs) >= expected / 2, `seed ${day.seed}`);
        }
    },
);

Then(
    "an answer with the limit {string}, {string}, {string} or {string} names none and one with {string} names {float}",
    (first: string, second: string, third: string, fourth: string, valid: string, perSecond: number) => {
        const dialect = createPlatformDialect();
        for (const value of [first, second, third, fourth]) {
            const { limitPerSecond, invalid } = dialect.describeResponse(200, [["Server-Limit", value]]);
            assert.deepEqual([limitPerSecond, invalid], [undefined, [`Server-Limit: ${value}`]]);
        }
        assert.equal(dialect.describeResponse(200, [["server-limit", valid]]).limitPerSecond, perSecond);
    },
);
