import { Given, Then, When } from "@cucumber/cucumber";
import type { Environment } from "@filbertrelay/ingress";
import { createPlatformDecoder, createPlatformDialect } from "@filbertrelay/platform";
import assert from "node:assert/strict";
import { createConfiguration, IngressFixture } from "../support/ingress.js";
import type { CallerResponse } from "../support/ingress.js";
import type { IngressWorld } from "./ingress.endpoint.js";
import { answer } from "./ingress.spoiled.js";

interface ContainmentWorld extends IngressWorld {
    failed: CallerResponse;
}

/** Requests with this id are those that fail. */
const failingId = "failing-1";

function failFor(id: string | undefined): void {
    if (id === failingId) {
        throw new TypeError("This request fails.");
    }
}

const dialect = createPlatformDialect();
const decoder = createPlatformDecoder();

const findId = (headers: readonly (readonly [string, string])[]): string | undefined =>
    headers.find(([name]) => name.toLowerCase() === "x-filbertrelay-attempt-id")?.[1];

const environments: Readonly<Record<string, Partial<Environment>>> = {
    "reading a request": {
        dialect: {
            ...dialect,
            describeRequest: headers => {
                failFor(findId(headers));
                return dialect.describeRequest(headers);
            },
        },
    },
    "forwarding the head": {
        dialect: {
            ...dialect,
            forwardHeaders: (headers, request) => {
                failFor(findId(headers));
                return dialect.forwardHeaders(headers, request);
            },
        },
    },
    "reading the answer's head": {
        dialect: {
            ...dialect,
            describeResponse: (status, headers) => {
                failFor(findId(headers));
                return dialect.describeResponse(status, headers);
            },
        },
    },
};

async function restart(world: ContainmentWorld, environment: Partial<Environment>): Promise<void> {
    await world.ingress.stop();
    world.ingress = new IngressFixture();
    await world.ingress.start({ hasConfiguration: true, environment });
    world.ingress.setBehaviours(answer);
}

Given(/^the host fails while (.+) of requests that ask for it$/, async function(this: ContainmentWorld, step: string) {
    const environment = environments[step];
    assert.ok(environment !== undefined, `Unknown step '${step}'.`);
    await restart(this, environment);
});

When(
    "a request that asks for it and {int} others are sent at once to {string}",
    async function(this: ContainmentWorld, count: number, route: string) {
        const others = Array.from({ length: count }, () => this.ingress.send(route, { body: "order" }));
        [this.failed, ...this.answers] = await Promise.all([
            this.ingress.send(route, { body: "order", requestId: failingId }),
            ...others,
        ]);
    },
);

Then("the others are answered in full", function(this: ContainmentWorld) {
    assert.deepEqual(this.answers.map(({ status, isComplete }) => [status, isComplete]), this.answers.map(() => [200, true]));
});

Then(/^the one that failed gets (\d+|no answer)$/, function(this: ContainmentWorld, outcome: string) {
    assert.equal(this.failed.status, outcome === "no answer" ? 0 : Number(outcome));
});

Given("the host fails while reading the entry {string}", async function(this: ContainmentWorld, id: string) {
    await restart(this, {
        decoder: {
            ...decoder,
            readEndpoint: (key, value) => {
                if (key === `servers/${id}`) {
                    throw new TypeError("This entry fails.");
                }
                return decoder.readEndpoint(key, value);
            },
        },
    });
});

When("the entry {string} is written and then a route is added", async function(this: ContainmentWorld, id: string) {
    this.ingress.store.put(`servers/${id}`, { backend: "records" });
    await new Promise(resolve => setTimeout(resolve, 300));
    this.ingress.store.put("op/config", createConfiguration(8, ["added"]));
});
