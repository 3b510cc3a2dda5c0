import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createRandom } from "../support/random.js";
import { objectiveMs, playTrials } from "../support/trialsimulation.js";
import type { TrialRequest } from "../support/trialsimulation.js";

const firstSeed = 20_261_207;
const pauseAtMs = 2_000;

interface TrialRun {
    readonly seed: number;
    /** When the service was as fast as before. */
    readonly fastAtMs: number;
    readonly requests: readonly TrialRequest[];
}

interface TrialWorld {
    trialRuns: readonly TrialRun[];
}

When("{int} random days are played on which a service pauses", function(this: TrialWorld, count: number) {
    this.trialRuns = Array.from({ length: count }, (_, index) => {
        const seed = firstSeed + index;
        const draw = createRandom(seed);
        const meanIntervalMs = 20 + 180 * draw();
        const fastAtMs = pauseAtMs + 400 + 2_100 * draw();
        const workMs = (sentMs: number): number => {
            const isPaused = sentMs > pauseAtMs && sentMs < fastAtMs;
            return 10 + 20 * draw() + (isPaused ? fastAtMs - sentMs : 0);
        };
        return { seed, fastAtMs, requests: playTrials({ draw, meanIntervalMs, workMs, durationMs: fastAtMs + 4_000 }) };
    });
});

When("{int} random days are played on which a service pauses and then gets no requests for a while", function(
    this: TrialWorld,
    count: number,
) {
    this.trialRuns = Array.from({ length: count }, (_, index) => {
        const seed = firstSeed + index;
        const draw = createRandom(seed);
        const pauseMs = 400 + 1_000 * draw();
        const quiet = { fromMs: pauseAtMs + pauseMs, untilMs: pauseAtMs + pauseMs + 2_000 + 10_000 * draw() };
        const workMs = (sentMs: number): number =>
            10 + 100 * draw() + (sentMs > pauseAtMs ? Math.max(0, quiet.fromMs - sentMs) : 0);
        const day = { draw, meanIntervalMs: 20 + 180 * draw(), workMs, durationMs: quiet.untilMs + 2_000, quiet };
        return { seed, fastAtMs: quiet.untilMs, requests: playTrials(day) };
    });
});

Then("no request after that time is refused", function(this: TrialWorld) {
    for (const { seed, fastAtMs, requests } of this.trialRuns) {
        const later = requests.filter(({ sentMs }) => sentMs >= fastAtMs);
        assert.ok(later.length > 0 && later.every(({ isStarted }) => isStarted), `seed ${seed}, from ${fastAtMs} ms on`);
    }
});

When("{int} random days are played on which a service is too slow", function(this: TrialWorld, count: number) {
    this.trialRuns = Array.from({ length: count }, (_, index) => {
        const seed = firstSeed + index;
        const draw = createRandom(seed);
        const meanIntervalMs = 20 + 180 * draw();
        const slowMs = 700 + 500 * draw();
        const workMs = (): number => slowMs * (0.9 + 0.2 * draw());
        return { seed, fastAtMs: Infinity, requests: playTrials({ draw, meanIntervalMs, workMs, durationMs: 10_000 }) };
    });
});

Then("all requests later than one objective after the pause are started", function(this: TrialWorld) {
    for (const { seed, fastAtMs, requests } of this.trialRuns) {
        const refused = requests.filter(({ sentMs, isStarted }) => !isStarted && sentMs > fastAtMs + objectiveMs);
        assert.equal(refused.length, 0, `seed ${seed}: ${refused[0]?.sentMs ?? 0} ms, fast at ${fastAtMs} ms`);
    }
});

Then("after the first refusal no request is started beside another one", function(this: TrialWorld) {
    for (const { seed, requests } of this.trialRuns) {
        const firstRefused = requests.findIndex(({ isStarted }) => !isStarted);
        const later = requests.slice(firstRefused).filter(({ isStarted }) => isStarted);
        assert.ok(firstRefused >= 0 && later.length > 0, `seed ${seed}`);
        const beside = later.filter(({ inProgress }) => inProgress > 0);
        assert.equal(beside.length, 0, `seed ${seed}: ${beside[0]?.sentMs ?? 0} ms`);
    }
});
