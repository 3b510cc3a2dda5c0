import assert from "node:assert/strict";
import * as z from "zod";
import { call, uniqueName } from "./rule.js";
import type { Rule, RuleOptions, RuleReply } from "./rule.js";

const echoSchema = z.object({ body: z.string() });
const statusSchema = z.object({
    executed: z.enum(["yes", "no"]),
    response: z.object({ status: z.int(), headers: z.record(z.string(), z.string()), body: z.base64() }).optional(),
});

/** The rules of docs/protocols/plain-service.md that the implementation claims to keep. */
export function plainServiceRules(options: RuleOptions): readonly Rule[] {
    const check = new ServiceCheck(options.url);
    const rules: (Rule & { readonly isClaimed?: boolean; })[] = [
        { id: "P1", text: "The answer echoes the request id.", check: () => check.echoesId() },
        { id: "P2", text: "Concurrent requests get their own answers.", check: () => check.separatesAnswers() },
        {
            id: "P3",
            text: "A repeated key gives the same answer.",
            check: () => check.deduplicates(),
            isClaimed: options.deduplicates,
        },
        {
            id: "P4",
            text: "The status query knows which keys ran.",
            check: () => check.answersStatus(),
            isClaimed: options.answersStatus,
        },
        {
            id: "P5",
            text: "An old fencing token is refused.",
            check: () => check.checksFencing(),
            isClaimed: options.checksFencing,
        },
    ];
    return rules.filter(rule => rule.isClaimed !== false).map(({ id, text, check: run }) => ({ id, text, check: run }));
}

class ServiceCheck {
    readonly #url: string;

    constructor(url: string) {
        this.#url = url;
    }

    async echoesId(): Promise<void> {
        const requestId = uniqueName("request");
        const reply = await this.#send("text", { "x-request-id": requestId });
        assert.equal(reply.headers["x-request-id"], requestId);
    }

    async separatesAnswers(): Promise<void> {
        const texts = [...Array(50).keys()].map(index => `request ${index}`);
        const replies = await Promise.all(texts.map(text => this.#send(text, { "x-request-id": text })));
        replies.forEach((reply, index) => {
            assert.equal(reply.headers["x-request-id"], texts[index]);
            assert.equal(echoSchema.parse(reply.body).body, JSON.stringify(texts[index]));
        });
    }

    async deduplicates(): Promise<void> {
        const headers = { "idempotency-key": uniqueName("key") };
        const replies = await Promise.all([...Array(5).keys()].map(() => this.#send("once", headers)));
        replies.push(await this.#send("once", headers));
        assert.equal(new Set(replies.map(reply => reply.text)).size, 1, "Requests with one key got different answers.");
    }

    async answersStatus(): Promise<void> {
        const key = uniqueName("key");
        assert.equal((await this.#status(key)).executed, "no");
        const reply = await this.#send("status", { "idempotency-key": key });
        const status = await this.#status(key);
        assert.equal(status.executed, "yes");
        assert.equal(Buffer.from(status.response?.body ?? "", "base64").toString("utf8"), reply.text);
    }

    async checksFencing(): Promise<void> {
        const token = Date.now();
        assert.equal((await this.#send("new", { "x-fencing-token": String(token) })).status, 200);
        const stale = await this.#send("old", { "x-fencing-token": String(token - 1) });
        assert.equal(stale.status, 409);
        assert.equal(stale.headers["x-filbertrelay-executed"], "no");
        assert.equal((await this.#send("same", { "x-fencing-token": String(token) })).status, 200);
    }

    #send(body: string, headers: Readonly<Record<string, string>>): Promise<RuleReply> {
        return call(this.#url, "POST", "/conformance", { body, headers });
    }

    async #status(key: string): Promise<z.infer<typeof statusSchema>> {
        return statusSchema.parse((await call(this.#url, "GET", `/v1/keys/${encodeURIComponent(key)}`)).body);
    }
}
