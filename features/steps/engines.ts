import { Then, When } from "@cucumber/cucumber";
import type { EngineItem } from "@filbertrelay/endpoints";
import { brandAs } from "@filbertrelay/kernel";
import type { RequestId } from "@filbertrelay/kernel";
import { hashPrefixBlocks } from "@filbertrelay/policy";
import { answerText, hashBlocks, renderPrompt } from "@filbertrelay/standins";
import fc from "fast-check";
import assert from "node:assert/strict";
import { request } from "undici";
import { waitUntil } from "./process.js";
import { collect, engineRequest, engines, issueOf, standIn, textOf } from "./standins.js";
import type { StandInWorld } from "./standins.js";

const seed = 20_261_204;

When(
    "a long answer is in progress at {string} and a prompt with {string} is sent",
    async function(this: StandInWorld, name: string, marker: string) {
        await startLongAnswer(this, name);
        const poison = engines.generate(standIn(this, name).address, engineRequest("poison", `a ${marker} b`), {
            silenceMs: 20_000,
        });
        this.streams.push(collect(poison));
    },
);

async function startLongAnswer(world: StandInWorld, name: string): Promise<void> {
    const { address } = standIn(world, name);
    const long = engineRequest("long", `long ${"word ".repeat(700)}`, { maxTokens: 100_000 });
    await new Promise<void>(resolve => {
        world.streams = [collect(observe(engines.generate(address, long, { silenceMs: 20_000 }), resolve))];
    });
}

async function* observe(items: AsyncIterable<EngineItem>, onItem: () => void): AsyncIterable<EngineItem> {
    for await (const item of items) {
        onItem();
        yield item;
    }
}

Then(
    "both streams end with {string} and the process of {string} exited with {int}",
    async function(this: StandInWorld, code: string, name: string, exitCode: number) {
        const streams = await Promise.all(this.streams);
        assert.deepEqual(streams.map(items => issueOf(items)?.code), streams.map(() => code));
        assert.equal(await standIn(this, name).exit(), exitCode);
    },
);

function order(fencingToken: number, model = "small") {
    return { fencingToken, model, modelVersion: "1", adapters: [], role: "mixed" as const };
}

When(
    "orders with the fencing tokens {int} and {int} are sent",
    async function(this: StandInWorld, first: number, second: number) {
        const { address } = standIn(this, "engine");
        this.results = [await engines.sendOrder(address, order(first)), await engines.sendOrder(address, order(second))];
    },
);

Then(
    "the second order ends with {string} and token {int} is in effect",
    async function(this: StandInWorld, outcome: string, token: number) {
        const [, second] = this.results;
        assert.equal(second?.ok === false ? second.issue.code : "ok", outcome);
        await waitUntil(`token ${token}`, async () => {
            const response = await request(`${standIn(this, "engine").url}/v1/state`);
            return (await response.body.json() as { fencingToken: number; }).fencingToken === token;
        });
    },
);

When("an order for the model {string} is sent", async function(this: StandInWorld, model: string) {
    assert.equal((await engines.sendOrder(standIn(this, "engine").address, order(1, model))).ok, true);
});

Then(
    "a request for {string} ends with {string} and executed {string}",
    async function(this: StandInWorld, model: string, code: string, executed: string) {
        const items = await collect(
            engines.generate(standIn(this, "engine").address, engineRequest("r", "p", { model }), { silenceMs: 5_000 }),
        );
        assert.deepEqual([issueOf(items)?.code, issueOf(items)?.executed], [code, executed]);
    },
);

Then("after the weight store gets faster a request for {string} is answered", async function(this: StandInWorld, model: string) {
    await standIn(this, "weights").control("/rate", { bytesPerSecond: 1_000_000_000, concurrentDownloads: 4 });
    await waitUntil("the load", async () => {
        const items = await collect(
            engines.generate(standIn(this, "engine").address, engineRequest("r", "p", { model }), { silenceMs: 5_000 }),
        );
        return items.at(-1)?.type === "finish";
    });
});

Then("the block hashes of {int} random chats agree", function(numRuns: number) {
    const message = fc.record({
        role: fc.constantFrom("system", "user", "assistant"),
        content: fc.string({ unit: "binary", maxLength: 900 }),
    });
    fc.assert(
        fc.property(fc.array(message, { minLength: 1, maxLength: 4 }), messages => {
            const { blocks } = hashPrefixBlocks(messages);
            assert.deepEqual(hashBlocks(renderPrompt(messages)).slice(0, blocks.length), blocks);
        }),
        { seed, numRuns },
    );
});

When(
    "an answer at {string} is moved to {string} and continued there",
    async function(this: StandInWorld, from: string, to: string) {
        const [source, target] = [standIn(this, from).address, standIn(this, to).address];
        const prompt = "word ".repeat(400);
        const first = await collect(engines.generate(source, engineRequest("moved", prompt), { silenceMs: 5_000 }));
        this.tokens = first.flatMap(item => item.type === "token" ? [item.token.text] : []);
        const moved = await engines.moveCache(source, target, brandAs<RequestId>("moved"));
        assert.ok(moved.ok && moved.value > 400, JSON.stringify(moved));
        const second = await collect(
            engines.generate(target, engineRequest("moved", prompt, { prefix: this.tokens, maxTokens: 50 }), {
                silenceMs: 5_000,
            }),
        );
        this.tokens.push(textOf(second));
        const last = second.at(-1);
        assert.ok(last?.type === "finish", JSON.stringify(last));
        this.finish = last.finish;
    },
);

Then("the answer is complete and no token was computed again", function(this: StandInWorld) {
    assert.equal(this.tokens.join(""), answerText([{ role: "user", content: "word ".repeat(400) }], 50));
    assert.equal(this.finish.promptTokens - this.finish.cachedTokens, 0);
});

When("a long answer is in progress at {string}", async function(this: StandInWorld, name: string) {
    await startLongAnswer(this, name);
});

Then("load reports show it and are at least {int} ms old", async function(this: StandInWorld, lagMs: number) {
    const { address } = standIn(this, "engine");
    await waitUntil("the report", async () => {
        const load = await engines.readLoad(address);
        return load.ok && load.value.runningRequests === 1 && load.value.tokensPerSecond > 0;
    });
    const load = await engines.readLoad(address);
    assert.ok(load.ok && load.value.reportedAt.getTime() <= Date.now() - lagMs);
});

Then("every third cache event is missing", async function(this: StandInWorld) {
    const events = await engines.readCacheEvents(standIn(this, "engine").address, 0, { timeoutMs: 10_000 });
    assert.ok(events.ok);
    const [first] = events.value;
    const numbers = events.value.map(event => event.sequence - (first?.sequence ?? 0));
    assert.deepEqual(numbers.slice(0, 6), [0, 1, 3, 4, 6, 7]);
});

When(
    "requests with the priorities {string} are sent while the only slot is in use",
    async function(this: StandInWorld, priorities: string) {
        await startLongAnswer(this, "engine");
        const { address } = standIn(this, "engine");
        this.firstTokens = [];
        for (const [index, priority] of priorities.split(",").entries()) {
            const waiting = engineRequest(`waiting-${index}`, `prompt ${index}`, { priority: Number(priority), maxTokens: 3 });
            this.streams.push(collect(observe(engines.generate(address, waiting, { silenceMs: 20_000 }), () => {
                if (!this.firstTokens.includes(priority)) {
                    this.firstTokens.push(priority);
                }
            })));
        }
        await waitUntil(
            "the queue",
            async () => (await standIn(this, "engine").control("/counts"))["waitingRequests"] === priorities.split(",").length,
        );
        assert.equal((await engines.cancel(address, brandAs<RequestId>("long"))).ok, true);
    },
);

Then("their first tokens come in the order {string}", async function(this: StandInWorld, order: string) {
    await Promise.all(this.streams);
    assert.equal(this.firstTokens.join(","), order);
});
