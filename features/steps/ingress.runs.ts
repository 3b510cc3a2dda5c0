import { Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId } from "@filbertrelay/kernel";
import { notExecutedResponse } from "@filbertrelay/platform/standins";
import { EndpointRuns } from "@filbertrelay/policy";
import fc from "fast-check";
import assert from "node:assert/strict";
import { waitFor } from "../support/ingress.js";
import { RunSimulation, runSteps } from "../support/runsimulation.js";
import { breakOff, completeFrom } from "../support/versionengines.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface RunWorld extends IngressWorld {
    counts: { undisturbed: number; known: number; };
}

const seed = 20_261_205;
const downMs = 300;

When(
    "the first engine crashes while streams are sent and comes back with version {string}, whose streams break off",
    async function(this: RunWorld, version: string) {
        const [first] = this.ingress.engines;
        first!.crash(downMs);
        await Promise.all(Array.from({ length: 8 }, () => this.ingress.send("stream")));
        await waitFor(() => Promise.resolve(first!.isListening));
        // Streams begin at the first engine, while the second one would go on with them.
        this.ingress.setBehaviours(breakOff(version), (received, connection) => {
            const isResumed = received.headers["last-event-id"] !== undefined;
            return isResumed ? completeFrom("v1")(received, connection) : connection.send(notExecutedResponse);
        });
    },
);

When("a caller sends a stream that begins at version {string}", async function(this: RunWorld, version: string) {
    await waitFor(async () => {
        this.answers = [await this.ingress.send("stream")];
        return this.answers[0]!.body.includes(version);
    });
});

Then("its answer holds events of {string} only and is not complete", function(this: RunWorld, version: string) {
    const [got] = this.answers;
    assert.deepEqual([...new Set(got!.body.match(/data: v\d/g))], [`data: ${version}`]);
    assert.equal(got!.isComplete, false);
});

Then("it is rejected as not run when its caller takes it up", async function(this: RunWorld) {
    const { requestId } = this.answers[0]!;
    const taken = await this.ingress.send("stream", { headers: { "Last-Event-Id": "2", "Resumes": requestId } });
    assert.equal(taken.status, 503);
    assert.equal((JSON.parse(taken.body) as { error: { executed: string; }; }).error.executed, "no");
});

Then(
    "two hosts that exchange a refusal every {int} ms, {int} ms late, know the run again after {int} ms",
    function(everyMs: number, lateMs: number, afterMs: number) {
        const endpoint = { endpointId: brandAs<EndpointId>("e-1"), startedAtMs: 1 };
        const hosts = [new EndpointRuns(1_600), new EndpointRuns(1_600)] as const;
        hosts[0].recordRefusal(endpoint, 0, 0);
        for (let nowMs = 0; nowMs < afterMs; nowMs += everyMs) {
            const reports = hosts.map(host => host.report(nowMs));
            reports.forEach((report, index) => report === undefined || hosts[1 - index]!.merge(report, nowMs + lateMs, lateMs));
        }
        assert.deepEqual(hosts.map(host => host.isKnown(endpoint, afterMs, afterMs)), [true, true]);
    },
);

Then(
    "in {int} schedules of crashes, releases and outages of the store no answer is taken for that of another version",
    function(this: RunWorld, numRuns: number) {
        this.counts = { undisturbed: 0, known: 0 };
        fc.assert(
            fc.property(runSteps, steps => {
                const simulation = new RunSimulation();
                simulation.run(steps);
                this.counts.undisturbed += simulation.counts.undisturbed;
                this.counts.known += simulation.counts.known;
            }),
            { seed, numRuns },
        );
    },
);

Then("answers of endpoints that have not crashed are never of an unknown version", function(this: RunWorld) {
    assert.ok(this.counts.undisturbed > 0);
    assert.equal(this.counts.known, this.counts.undisturbed);
});
