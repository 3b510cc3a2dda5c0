import { After, Given, Then } from "@cucumber/cucumber";
import { callModel, callService, EntryPoints } from "@filbertrelay/client";
import type { CallerContext, ServiceCall } from "@filbertrelay/client";
import { createSystemClock } from "@filbertrelay/kernel";
import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import fc from "fast-check";
import { Hono } from "hono";
import type { Context } from "hono";
import assert from "node:assert/strict";
import { Agent } from "undici";
import { serveOnLoopback } from "../support/server.js";
import type { LoopbackServer } from "../support/server.js";

interface CallerWorld {
    host: LoopbackServer;
    dispatcher: Agent;
    context: CallerContext;
    /** Offsets at which the next connections are cut; afterwards answers end normally. */
    cuts: number[];
    tokens: string[];
    /** What the next service calls get: a cut, an error with `executed`, or an answer. */
    plan: ("cut" | "no" | "noForGood" | "unknown" | "done")[];
    keys: string[];
}

type Environment = { Bindings: HttpBindings; };

After(async function(this: CallerWorld) {
    await this.dispatcher?.destroy();
    await this.host?.close();
});

Given("an entry host that cuts connections", async function(this: CallerWorld) {
    this.keys = [];
    const application = new Hono<Environment>();
    application.get(
        "/v1/entry-points",
        context =>
            context.json({ entryPoints: [{ hostId: "a", address: this.host.address, failureDomain: "d" }], keepForMs: 2_000 }),
    );
    application.post("/v1/chat/completions", context => sendTokens(this, context, 0));
    application.get("/v1/requests/:id", context => sendTokens(this, context, Number(context.req.query("offset"))));
    application.post("/v1/services/:name/*", context => answerService(this, context));
    this.host = await serveOnLoopback(application as unknown as Hono);
    this.dispatcher = new Agent();
    const clock = createSystemClock();
    const entryPoints = new EntryPoints({ clock, dispatcher: this.dispatcher, seeds: [this.host.address] });
    this.context = { clock, dispatcher: this.dispatcher, entryPoints };
});

function sendTokens(world: CallerWorld, context: Context<Environment>, offset: number): Response {
    const { outgoing } = context.env;
    outgoing.writeHead(200, { "content-type": "text/event-stream", "x-request-id": "m.a.b.c" });
    const cut = world.cuts.shift();
    const end = Math.min(world.tokens.length, Math.max(offset, cut ?? Infinity));
    for (let index = offset; index < end; index++) {
        outgoing.write(
            `id: ${index + 1}\ndata: ${JSON.stringify({ choices: [{ delta: { content: world.tokens[index] } }] })}\n\n`,
        );
    }
    if (cut === undefined) {
        outgoing.end(
            `id: ${end}\ndata: ${JSON.stringify({ choices: [{ delta: {}, finish_reason: "stop" }] })}\n\ndata: [DONE]\n\n`,
        );
    }
    else {
        outgoing.write("id: 1\nda", () => outgoing.destroy());
    }
    return RESPONSE_ALREADY_SENT;
}

Then(
    "{int} answers with seed {int} arrive whole and in order",
    { timeout: 60_000 },
    async function(this: CallerWorld, runs: number, seed: number) {
        const drawn = fc.record({
            tokens: fc.array(fc.string({ unit: "grapheme", minLength: 1, maxLength: 4 }), { minLength: 1, maxLength: 30 }),
            cuts: fc.array(fc.nat({ max: 30 }), { maxLength: 2 }),
        });
        const property = fc.asyncProperty(drawn, async ({ tokens, cuts }) => {
            this.tokens = tokens;
            this.cuts = [...cuts];
            const call = {
                customerKey: "key",
                model: "m",
                messages: [],
                maxTokens: 1,
                seed: 1,
                deadlineMs: 20_000,
                patienceMs: 20_000,
            };
            const answer = await callModel(this.context, call);
            assert.deepEqual([answer.outcome, answer.outOfOrder, answer.reconnects], ["complete", 0, cuts.length]);
            assert.deepEqual(answer.tokens, tokens);
        });
        await fc.assert(property, { numRuns: runs, seed, endOnFailure: true });
    },
);

function answerService(world: CallerWorld, context: Context<Environment>): Response {
    world.keys.push(context.req.header("idempotency-key") ?? "");
    const step = world.plan.shift() ?? "done";
    if (step === "cut") {
        context.env.outgoing.destroy();
        return RESPONSE_ALREADY_SENT;
    }
    if (step === "done") {
        return context.json({ answered: true });
    }
    const executed = step === "unknown" ? "unknown" : "no";
    return context.json(
        { error: { code: "test", message: "Test.", executed, retryAfterMs: 10 } },
        step === "noForGood" ? 422 : 503,
    );
}

async function play(world: CallerWorld, plan: CallerWorld["plan"]) {
    world.plan = plan;
    world.keys = [];
    const call: ServiceCall = {
        customerKey: "key",
        service: "booking",
        method: "POST",
        path: "/bookings",
        body: "{}",
        idempotencyKey: "same-key",
        deadlineMs: 20_000,
        patienceMs: 20_000,
    };
    return callService(world.context, call);
}

Then(
    "a service call that is cut twice, refused once and then answered ends as {string} with one key and {int} attempts",
    async function(this: CallerWorld, outcome: string, attempts: number) {
        const answer = await play(this, ["cut", "no", "cut", "done"]);
        assert.deepEqual([answer.outcome, answer.attempts, [...new Set(this.keys)]], [outcome, attempts, ["same-key"]]);
    },
);

Then("a service call that is refused for good ends as {string}", async function(this: CallerWorld, outcome: string) {
    assert.equal((await play(this, ["noForGood"])).outcome, outcome);
});

Then("a service call whose execution is unknown ends as {string}", async function(this: CallerWorld, outcome: string) {
    const answer = await play(this, Array.from({ length: 20 }, () => "unknown" as const));
    assert.equal(answer.outcome, outcome);
    assert.ok(answer.attempts > 1 && this.plan.length > 0);
});
