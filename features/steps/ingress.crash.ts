import { Given, Then, When } from "@cucumber/cucumber";
import { renderEvent, renderStreamHead, streamEnd } from "@filbertrelay/platform/standins";
import * as policy from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { drawCrashDay, playCrashDay } from "../support/crashsimulation.js";
import type { CrashDayResult } from "../support/crashsimulation.js";
import type { CallerResponse } from "../support/ingress.js";
import { createRandom } from "../support/random.js";
import type { IngressWorld } from "./ingress.endpoint.js";

/** Seed of the first random day; the others follow. */
const firstSeed = 20_261_204;

interface CrashWorld extends IngressWorld {
    days: { readonly seed: number; readonly result: CrashDayResult; }[];
    quarantines: policy.Quarantine[];
    nowMs: number;

    crashedMs: number[];
    deadlyReceivedMs: number[];
    sound: { readonly sentMs: number; readonly answer: CallerResponse; }[];
}

const contactMs = 3_000;

Given(
    "engines that crash for {int} ms when they begin to answer a request with the part {string}",
    function(this: CrashWorld, downMs: number, part: string) {
        this.crashedMs = [];
        this.deadlyReceivedMs = [];
        for (const engine of this.ingress.engines) {
            engine.behaviour = (received, { send }) => {
                const isDeadly = received.headers["x-filbertrelay-prefix-hash"]?.includes(`${part}:`) === true;
                if (isDeadly) {
                    this.deadlyReceivedMs.push(performance.now());
                }
                setTimeout(() => {
                    if (isDeadly && engine.isListening) {
                        this.crashedMs.push(performance.now());
                        engine.crash(downMs);
                    }
                    else if (!isDeadly) {
                        send(renderStreamHead(received) + renderEvent(1) + streamEnd);
                    }
                }, 20);
            };
        }
    },
);

When("callers send requests with and without that part for {int} s", async function(this: CrashWorld, seconds: number) {
    this.sound = [];
    const sent: Promise<unknown>[] = [];
    const startMs = performance.now();
    for (let index = 0; performance.now() - startMs < seconds * 1_000; index += 1) {
        const sentMs = performance.now();
        const parts = ["system", `session-${index % 5}`, `own-${index}`];
        const sound = this.ingress.send("stream", { body: `sound ${index}`, parts });
        sent.push(sound.then(answer => this.sound.push({ sentMs, answer })));
        if (index % 3 === 0) {
            sent.push(
                this.ingress.send("stream", { body: `deadly ${index}`, parts: ["system", "deadly", `own-deadly-${index}`] }),
            );
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    await Promise.all(sent);
});

Then(
    "at most {int} requests with the part reached engines later than {int} ms after the fifth crash",
    function(this: CrashWorld, most: number, afterMs: number) {
        const fifthMs = this.crashedMs[4];
        const late = fifthMs === undefined ? [] : this.deadlyReceivedMs.filter(receivedMs => receivedMs > fifthMs + afterMs);
        assert.ok(late.length <= most, `${late.length} requests; ${this.crashedMs.length} crashes`);
    },
);

Then("the requests without the part that were sent 1 s later than that were answered", function(this: CrashWorld) {
    const fromMs = (this.crashedMs[4] ?? this.crashedMs.at(-1) ?? 0) + contactMs + 1_000;
    const late = this.sound.filter(({ sentMs }) => sentMs > fromMs);
    assert.ok(late.length >= 20, `${late.length} requests`);
    assert.deepEqual(late.filter(({ answer: { status, isComplete } }) => status !== 200 || !isComplete), []);
});

When(
    /^(\d+) random days are played on which (a part or a request crashes|a part that was sound before crashes|no request crashes) endpoints, beside other crashes and restarts of hosts$/,
    { timeout: 120_000 },
    function(this: CrashWorld, count: number, kind: string) {
        this.days = Array.from({ length: Number(count) }, (_, index) => {
            const draw = createRandom(firstSeed + index * 7_919);
            const day = drawCrashDay(draw, {
                isDeadly: kind !== "no request crashes",
                isFormerlySound: kind.includes("sound before"),
            });
            return { seed: firstSeed + index * 7_919, result: playCrashDay(day, draw) };
        });
    },
);

Then(
    "on each day at most {int} such requests reached endpoints later than {int} ms after the fifth crash",
    function(this: CrashWorld, most: number, afterMs: number) {
        assert.ok(this.days.some(({ result }) => result.crashesByDeadly.length >= 5));
        for (const { seed, result: { crashesByDeadly, deadlySentMs } } of this.days) {
            const late = deadlySentMs.filter(sentMs => sentMs > (crashesByDeadly[4] ?? Infinity) + afterMs);
            assert.ok(late.length <= most, `seed ${seed}: ${late.length} requests`);
        }
    },
);

Then("no other request was rejected", function(this: CrashWorld) {
    for (const { seed, result: { soundRejectedMs, soundStarted } } of this.days) {
        assert.ok(soundStarted > 100);
        assert.equal(soundRejectedMs.length, 0, `seed ${seed}`);
    }
});

function createHost(index: number): policy.Quarantine {
    return policy.createQuarantine({ isTrialHost: () => index === 0 });
}

function describe(parts: readonly string[], content: string): policy.RequestTraits {
    return { parts: parts.map(policy.partTrait), content: () => policy.contentTrait(content) };
}

function exchange(quarantines: readonly policy.Quarantine[], nowMs: number): void {
    for (const from of quarantines) {
        const report = from.report(nowMs);
        quarantines.filter(to => to !== from && report !== undefined).forEach(to => to.merge(report!, nowMs, 0));
    }
}

Given("two hosts that exchange what they know of crashes", function(this: CrashWorld) {
    this.quarantines = [createHost(0), createHost(1)];
    this.nowMs = 1_000;
});

When(
    "{int} endpoints crash in sequence while different requests with the parts {string} and {string} are in progress",
    function(this: CrashWorld, count: number, rare: string, deadly: string) {
        for (let index = 0; index < count; index += 1) {
            const { parts, content } = describe([rare, deadly], `content-${index}`);
            const interrupted = [{ parts, content: content(), sentMs: this.nowMs }];
            this.nowMs += 200;
            this.quarantines[index % 2]!.recordCrash(
                { crashId: `engine-${index}`, crashedMs: this.nowMs, interrupted },
                this.nowMs,
            );
            exchange(this.quarantines, this.nowMs);
        }
        this.nowMs += 2_000;
        exchange(this.quarantines, this.nowMs);
    },
);

When("one host restarts", function(this: CrashWorld) {
    this.quarantines[0] = createHost(0);
    this.nowMs += 400;
    exchange(this.quarantines, this.nowMs);
});

Then(
    "both hosts reject a request with the parts {string} and {string} and run one with the part {string}",
    function(this: CrashWorld, rare: string, deadly: string, alone: string) {
        for (const quarantine of this.quarantines) {
            assert.equal(quarantine.decide(describe([rare, deadly], "content-new"), this.nowMs).type, "reject");
            assert.equal(quarantine.decide(describe([alone], "content-sound"), this.nowMs).type, "run");
        }
    },
);

const deadlyRequest = describe(["rare", "deadly"], "content-later");

/** Decides on a deadly request at every host every second and returns when trials were made. */
function listTrials(world: CrashWorld, forMs: number): readonly { readonly host: number; readonly atMs: number; }[] {
    const trials: { readonly host: number; readonly atMs: number; }[] = [];
    const untilMs = world.nowMs + forMs;
    for (; world.nowMs < untilMs; world.nowMs += 1_000) {
        world.quarantines.forEach((quarantine, host) => {
            if (quarantine.decide(deadlyRequest, world.nowMs).type === "trial") {
                trials.push({ host, atMs: world.nowMs });
            }
        });
        exchange(world.quarantines, world.nowMs);
    }
    return trials;
}

Then(
    "one host alone makes one trial after {int} minutes, and after {int} more minutes if that one crashes an endpoint",
    function(this: CrashWorld, first: number, second: number) {
        const startMs = this.nowMs;
        const trials = listTrials(this, (first + second + 1) * 60_000);
        assert.deepEqual(trials.map(({ host }) => host), [0, 0]);
        const minutes = trials.map(({ atMs }) => Math.round((atMs - startMs) / 60_000));
        assert.deepEqual(minutes, [first, first + second]);
    },
);

Then(
    "once a trial succeeds both hosts run requests with the parts {string} and {string}",
    function(this: CrashWorld, rare: string, deadly: string) {
        this.quarantines[0]!.recordProgress(describe([rare, deadly], "content-trial"), this.nowMs);
        exchange(this.quarantines, this.nowMs);
        for (const quarantine of this.quarantines) {
            assert.equal(quarantine.decide(describe([rare, deadly], "content-after"), this.nowMs).type, "run");
        }
    },
);
