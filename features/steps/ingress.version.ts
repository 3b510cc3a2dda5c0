import { Given, Then, When } from "@cucumber/cucumber";
import { renderStreamHead, streamEnd } from "@filbertrelay/platform/standins";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";
import { IngressFixture } from "../support/ingress.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface VersionWorld extends IngressWorld {
    versions: readonly string[];
}

/** Number of events of a whole stream. */
const eventCount = 5;

/** Sends the rest of a stream; each event names the engine's version. */
function completeFrom(version: string): EngineBehaviour {
    return (received, { send }) => {
        const from = Number(received.headers["last-event-id"] ?? 0) + 1;
        const events = Array.from({ length: eventCount - from + 1 }, (_, index) => renderVersionEvent(from + index, version));
        send(renderStreamHead(received) + events.join("") + streamEnd);
    };
}

function renderVersionEvent(id: number, version: string): string {
    const event = `id: ${id}\ndata: ${version}\n\n`;
    return `${event.length.toString(16)}\r\n${event}\r\n`;
}

function breakOff(version: string): EngineBehaviour {
    return (received, { send, close }) => {
        send(renderStreamHead(received) + renderVersionEvent(1, version) + renderVersionEvent(2, version));
        // Longer than events are gathered before they are forwarded.
        setTimeout(close, 100);
    };
}

async function startIngress(world: VersionWorld, versions: readonly string[]): Promise<void> {
    world.ingress = new IngressFixture();
    world.versions = versions;
    await world.ingress.start({ hasConfiguration: true, versions });
    world.ingress.setBehaviours(...versions.map(completeFrom));
}

Given("an ingress with engines of the versions {string} and {string}", async function(
    this: VersionWorld,
    first: string,
    second: string,
) {
    await startIngress(this, [first, second]);
});

Given(/^engines of version "(\S+)" that break off (after the second event|before any event)$/, function(
    this: VersionWorld,
    version: string,
    when: string,
) {
    const broken: EngineBehaviour = when === "before any event" ? (_, { reset }) => reset() : breakOff(version);
    this.ingress.setBehaviours(...this.versions.map(each => each === version ? broken : completeFrom(each)));
});

When("a caller sends streams until one has begun at version {string}", async function(this: VersionWorld, version: string) {
    const index = this.versions.indexOf(version);
    for (let sent = 0; sent < 40; sent += 1) {
        this.ingress.engines.forEach(engine => engine.requests.splice(0));
        const answer = await this.ingress.send("stream");
        if (this.ingress.engines[index]!.requests.length > 0) {
            this.answers = [answer];
            return;
        }
    }
    assert.fail(`No stream began at version ${version}.`);
});

Then(
    "the response ends after two events without its end, within {int} ms of them",
    function(this: VersionWorld, limitMs: number) {
        const [answer] = this.answers;
        assert.equal(answer!.isComplete, false);
        assert.deepEqual(answer!.body.match(/id: \d/g), ["id: 1", "id: 2"]);
        assert.ok(answer!.elapsedMs - Math.max(...answer!.chunkArrivalsMs) <= limitMs);
    },
);

Then("no engine of version {string} got a part of it", function(this: VersionWorld, version: string) {
    assert.equal(this.ingress.engines[this.versions.indexOf(version)]!.requests.length, 0);
});

When("a caller sends {int} streams", async function(this: VersionWorld, count: number) {
    this.answers = [];
    for (let sent = 0; sent < count; sent += 1) {
        this.answers.push(await this.ingress.send("stream"));
    }
});

Then("all of them are complete", function(this: VersionWorld) {
    assert.ok(this.answers.every(({ isComplete, body }) => isComplete && body.includes(`id: ${eventCount}`)));
});
