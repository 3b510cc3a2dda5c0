import { Given, Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId } from "@filbertrelay/kernel";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";
import { computeSilenceTimeout, createEndpointHealth } from "@filbertrelay/policy/ingress";
import fc from "fast-check";
import assert from "node:assert/strict";
import { IngressFixture, respondFully } from "../support/ingress.js";
import { playSilentDay } from "../support/silencesimulation.js";
import type { SilentDay, SilentResult } from "../support/silencesimulation.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface SilenceWorld extends IngressWorld {
    silentFromMs: number;
    /** When engines of which only one falls silent were sent requests. */
    silentReceivedMs: number[];
    soundReceivedMs: number[];
    days: readonly SilentResult[];
    hosts: number;
}

/** Seeds of the days that are played. */
const daySeeds = Array.from({ length: 20 }, (_, index) => index + 1);
// A failed property prints this seed with the counterexample.
const seed = 20_261_206;
const endpointId = brandAs<EndpointId>("endpoint");
/** The longest pause of a sound endpoint, in milliseconds. */
const soundMs = 1_500;

function play(world: SilenceWorld, day: Omit<SilentDay, "seed">): void {
    world.hosts = day.hosts;
    world.days = daySeeds.map(daySeed => playSilentDay({ ...day, seed: daySeed }));
}

When(
    "{int} hosts send {word} requests to {int} endpoints that all pause for {int} ms",
    function(this: SilenceWorld, hosts: number, kind: SilentDay["kind"], endpoints: number, silenceMs: number) {
        play(this, { kind, hosts, endpoints, silentEndpoints: endpoints, silenceMs });
    },
);

When(
    "{int} hosts send {word} requests to {int} endpoints of which one goes dark",
    function(this: SilenceWorld, hosts: number, kind: SilentDay["kind"], endpoints: number) {
        play(this, { kind, hosts, endpoints, silentEndpoints: 1, silenceMs: Infinity });
    },
);

Then("no host puts an endpoint in quarantine or sets back its slow start", function(this: SilenceWorld) {
    assert.ok(this.days.every(day => day.givenUp > 0), "No request was given up.");
    assert.deepEqual(this.days.map(day => day.quarantines.length), this.days.map(() => 0));
    assert.deepEqual(this.days.map(day => day.setbacks), this.days.map(() => 0));
});

Then(
    "all hosts put it, and no other one, in quarantine within {int} ms of its last sign",
    function(this: SilenceWorld, limitMs: number) {
        for (const { quarantines } of this.days) {
            assert.ok(quarantines.every(({ endpoint, afterMs }) => endpoint === 0 && afterMs > soundMs));
            const early = new Set(quarantines.filter(({ afterMs }) => afterMs <= limitMs).map(({ host }) => host));
            assert.equal(early.size, this.hosts);
        }
    },
);

Then(
    "it gets no more than {int} of some 450 requests in the {int} s after",
    function(this: SilenceWorld, limit: number, seconds: number) {
        const counts = this.days.map(({ sentMs }) => sentMs.filter(ms => ms > 2_500 && ms <= 2_500 + seconds * 1_000).length);
        assert.ok(Math.max(...counts) <= limit, `${Math.max(...counts)} requests`);
    },
);

Given(
    "an ingress with a store stand-in, two engines of each service and room for retries",
    async function(this: SilenceWorld) {
        this.ingress = new IngressFixture();
        await this.ingress.start({ hasConfiguration: true, promises: "repeatExtra = 1000" });
    },
);

When(
    /^callers send "(.+)" requests for (\d+) s, 2 s after their last ones, and after (\d+) ms (all engines|one engine) (pause for 1300 ms|go dark)$/,
    { timeout: 20_000 },
    async function(this: SilenceWorld, route: string, seconds: string, afterMs: string, which: string, fault: string) {
        await Promise.all(Array.from({ length: 8 }, () => this.ingress.send(route)));
        await new Promise(resolve => setTimeout(resolve, 2_000));
        const startMs = performance.now();
        this.silentFromMs = startMs + Number(afterMs);
        const untilMs = fault === "go dark" ? Infinity : this.silentFromMs + 1_300;
        this.silentReceivedMs = [];
        this.soundReceivedMs = [];
        const answerSoundly: EngineBehaviour = (received, connection) => {
            this.soundReceivedMs.push(performance.now());
            respondFully(received, connection);
        };
        this.ingress.setBehaviours((received, connection) => {
            const nowMs = performance.now();
            this.silentReceivedMs.push(nowMs);
            if (nowMs < this.silentFromMs || nowMs >= untilMs) {
                respondFully(received, connection);
            }
            else if (untilMs !== Infinity) {
                setTimeout(() => respondFully(received, connection), untilMs - nowMs);
            }
        }, ...which === "one engine" ? [answerSoundly] : []);
        const sent: Promise<unknown>[] = [];
        while (performance.now() - startMs < Number(seconds) * 1_000) {
            sent.push(this.ingress.send(route));
            await new Promise(resolve => setTimeout(resolve, 25));
        }
        await Promise.all(sent);
    },
);

Then("the ingress sets back no engine", function(this: SilenceWorld) {
    assert.deepEqual(this.ingress.setbacks, []);
});

Then(
    "the ingress sets back no engine and uses both alike {int} ms after the pause",
    function(this: SilenceWorld, afterMs: number) {
        assert.deepEqual(this.ingress.setbacks, []);
        const fromMs = this.silentFromMs + 1_300 + afterMs;
        const paused = this.silentReceivedMs.filter(ms => ms > fromMs).length;
        const sound = this.soundReceivedMs.filter(ms => ms > fromMs).length;
        assert.ok(paused + sound > 30 && paused > sound / 3, `${paused} and ${sound} requests`);
    },
);

Then("the ingress sets back one engine within {int} ms", function(this: SilenceWorld, limitMs: number) {
    const [first] = this.ingress.setbacks;
    assert.ok(first !== undefined, "No engine was set back.");
    const afterMs = first.atMs - this.silentFromMs;
    assert.ok(afterMs > soundMs - 100 && afterMs <= limitMs, `${afterMs} ms`);
    assert.equal(new Set(this.ingress.setbacks.map(({ endpoint }) => endpoint)).size, 1);
});

Then("an endpoint that was heard from and left {int} answers unfinished is in quarantine", (count: number) => {
    const health = createEndpointHealth();
    for (let index = 1; index <= count; index += 1) {
        health.recordSent(endpointId, index);
        health.recordHeard(endpointId, index);
        assert.equal(health.isQuarantined(endpointId, index), false);
        health.recordFailure(endpointId, "unfinished", index);
    }
    assert.equal(health.isQuarantined(endpointId, count), true);
});

Then("in {int} seeded series of requests, answers and silences of an endpoint this holds", (numRuns: number) => {
    const step = fc.record({ kind: fc.constantFrom("sent", "sent", "heard", "silent", "silent"), afterMs: fc.nat({ max: 900 }) });
    let quarantines = 0;
    fc.assert(
        fc.property(fc.array(step, { maxLength: 30 }), steps => {
            const health = createEndpointHealth();
            let nowMs = 0;
            let signMs: number | undefined;
            let givenUp = 0;
            for (const { kind, afterMs } of steps) {
                nowMs += afterMs;
                if (kind === "sent") {
                    signMs ??= nowMs;
                    health.recordSent(endpointId, nowMs);
                }
                else if (kind === "heard") {
                    signMs = nowMs;
                    givenUp = 0;
                    health.recordHeard(endpointId, nowMs);
                    health.recordSuccess(endpointId);
                }
                else if (signMs !== undefined) {
                    givenUp += 1;
                    const wasQuarantined = health.isQuarantined(endpointId, nowMs);
                    health.recordFailure(endpointId, "silent", nowMs);
                    if (!wasQuarantined && health.isQuarantined(endpointId, nowMs)) {
                        quarantines += 1;
                        assert.ok(givenUp >= 2 && nowMs - signMs > soundMs, `${nowMs - signMs} ms after the last sign`);
                    }
                }
            }
        }),
        { numRuns, seed },
    );
    assert.ok(quarantines > numRuns / 10, `${quarantines} quarantines`);
});

Then(
    "in {int} seeded routes a begun stream waits at least {int} ms and a pause limit's time, others as long as before",
    (numRuns: number, leastMs: number) => {
        const route = fc.record({
            objectiveMs: fc.integer({ min: 100, max: 10_000 }),
            pauseLimitMs: fc.integer({ min: 50, max: 3_000 }),
            expectedStartMs: fc.integer({ min: 0, max: 3_000 }),
        });
        fc.assert(
            fc.property(route, times => {
                const begun = { ...times, kind: "stream", isRepeatable: true, hasStarted: true } as const;
                const waitMs = computeSilenceTimeout(begun)!;
                assert.ok(waitMs >= leastMs && waitMs > times.pauseLimitMs);
                assert.ok(waitMs <= Math.max(leastMs, times.pauseLimitMs * 2));
                const firstMs = computeSilenceTimeout({ ...begun, hasStarted: false })!;
                assert.equal(firstMs, Math.max(700, times.objectiveMs * 0.65, times.expectedStartMs * 3));
                assert.equal(computeSilenceTimeout({ ...begun, isRepeatable: false }), undefined);
            }),
            { numRuns, seed },
        );
    },
);
