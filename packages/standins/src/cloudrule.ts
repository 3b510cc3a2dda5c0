import assert from "node:assert/strict";
import * as z from "zod";
import { call, uniqueName } from "./rule.js";
import type { Rule, RuleOptions } from "./rule.js";

const hostSchema = z.object({
    hostId: z.string().min(1),
    role: z.enum(["entry", "engine", "service"]),
    failureDomain: z.string(),
    hostClass: z.string(),
    reclaimable: z.boolean(),
    state: z.enum(["running", "reclaiming", "terminated"]),
    pricePerHour: z.number().min(0),
});
const hostsSchema = z.object({ hosts: z.array(hostSchema) });
const pricesSchema = z.object({
    prices: z.array(z.object({
        failureDomain: z.string(),
        hostClass: z.string(),
        reclaimablePrice: z.number().positive().optional(),
        onDemandPrice: z.number().positive(),
    })),
});
const noticesSchema = z.object({ notices: z.array(z.object({ sequence: z.int().positive(), hostId: z.string() })) });
const errorSchema = z.object({ error: z.object({ code: z.string() }) });

type Host = z.infer<typeof hostSchema>;

/** The rules of docs/protocols/cloud.md that need no control call. */
export function cloudRules(options: RuleOptions): readonly Rule[] {
    const check = new CloudCheck(options.url);
    return [
        { id: "C1", text: "A started host is listed and is as wanted.", check: () => check.startsAsWanted() },
        { id: "C2", text: "A repeated start gives the same host.", check: () => check.startsOnce() },
        { id: "C3", text: "A terminated host stays terminated.", check: () => check.staysTerminated() },
        { id: "C4", text: "A terminated host stays listed.", check: () => check.listsTerminated() },
        { id: "C5", text: "Ending a host twice succeeds.", check: () => check.terminatesTwice() },
        { id: "C6", text: "An unknown host is answered with 404.", check: () => check.deniesUnknown() },
        { id: "C7", text: "A wait for notices ends with an empty list.", check: () => check.endsWait() },
        { id: "C8", text: "Prices are positive and listed once.", check: () => check.listsPrices() },
        { id: "C9", text: "A malformed start is refused with 400.", check: () => check.refusesMalformed() },
        { id: "C10", text: "Notices are numbered from 1 without gaps.", check: () => check.numbersNotices() },
    ];
}

class CloudCheck {
    readonly #url: string;

    constructor(url: string) {
        this.#url = url;
    }

    async startsAsWanted(): Promise<void> {
        const host = await this.#start(uniqueName("conformance"));
        const [price] = await this.#prices();
        assert.equal(host.role, "service");
        assert.equal(host.failureDomain, price?.failureDomain ?? "conformance");
        assert.equal(host.hostClass, price?.hostClass ?? "standard");
        assert.equal(host.reclaimable, false);
        assert.equal(host.state, "running");
        assert.deepEqual(await this.#read(host.hostId), host);
        assert.ok((await this.#list()).some(listed => listed.hostId === host.hostId), "A started host is not listed.");
        await this.#terminate(host.hostId);
    }

    async startsOnce(): Promise<void> {
        const requestId = uniqueName("conformance");
        const first = await this.#start(requestId);
        const count = (await this.#list()).length;
        const second = await this.#start(requestId);
        assert.equal(second.hostId, first.hostId);
        assert.equal((await this.#list()).length, count, "A repeated start added a host.");
        await this.#terminate(first.hostId);
    }

    async staysTerminated(): Promise<void> {
        const host = await this.#startAndTerminate();
        assert.equal((await this.#read(host.hostId)).state, "terminated");
        assert.equal((await this.#read(host.hostId)).state, "terminated");
    }

    async listsTerminated(): Promise<void> {
        const host = await this.#startAndTerminate();
        const listed = (await this.#list()).find(candidate => candidate.hostId === host.hostId);
        assert.equal(listed?.state, "terminated");
    }

    async terminatesTwice(): Promise<void> {
        const host = await this.#startAndTerminate();
        await this.#terminate(host.hostId);
    }

    async deniesUnknown(): Promise<void> {
        const path = `/v1/hosts/${uniqueName("unknown")}`;
        for (const reply of [await call(this.#url, "GET", path), await call(this.#url, "DELETE", path)]) {
            assert.equal(reply.status, 404);
            assert.equal(errorSchema.parse(reply.body).error.code, "notFound");
        }
    }

    async endsWait(): Promise<void> {
        const reply = await call(this.#url, "GET", "/v1/notices?afterSequence=1000000000&timeoutMs=200");
        assert.deepEqual(noticesSchema.parse(reply.body).notices, []);
    }

    async listsPrices(): Promise<void> {
        const names = (await this.#prices()).map(price => `${price.failureDomain} ${price.hostClass}`);
        assert.equal(new Set(names).size, names.length, "A host class is priced twice in one failure domain.");
    }

    async refusesMalformed(): Promise<void> {
        const reply = await call(this.#url, "POST", "/v1/hosts", { body: { role: "king" } });
        assert.equal(reply.status, 400);
        assert.equal(errorSchema.parse(reply.body).error.code, "invalid");
    }

    async numbersNotices(): Promise<void> {
        const reply = await call(this.#url, "GET", "/v1/notices?afterSequence=0&timeoutMs=0");
        const sequences = noticesSchema.parse(reply.body).notices.map(notice => notice.sequence);
        assert.deepEqual(sequences, sequences.map((...[, index]) => index + 1));
    }

    async #prices(): Promise<z.infer<typeof pricesSchema>["prices"]> {
        return pricesSchema.parse((await call(this.#url, "GET", "/v1/prices")).body).prices;
    }

    async #list(): Promise<readonly Host[]> {
        return hostsSchema.parse((await call(this.#url, "GET", "/v1/hosts")).body).hosts;
    }

    async #read(hostId: string): Promise<Host> {
        return hostSchema.parse((await call(this.#url, "GET", `/v1/hosts/${encodeURIComponent(hostId)}`)).body);
    }

    async #start(requestId: string): Promise<Host> {
        const [price] = await this.#prices();
        const reply = await call(this.#url, "POST", "/v1/hosts", {
            body: {
                requestId,
                role: "service",
                failureDomain: price?.failureDomain ?? "conformance",
                hostClass: price?.hostClass ?? "standard",
                reclaimable: false,
            },
        });
        assert.ok(reply.status === 200 || reply.status === 201, `A start was answered with ${reply.status}: ${reply.text}`);
        return hostSchema.parse(reply.body);
    }

    async #terminate(hostId: string): Promise<void> {
        const reply = await call(this.#url, "DELETE", `/v1/hosts/${encodeURIComponent(hostId)}`);
        assert.equal(reply.status, 200);
        assert.equal(hostSchema.parse(reply.body).state, "terminated");
    }

    async #startAndTerminate(): Promise<Host> {
        const host = await this.#start(uniqueName("conformance"));
        await this.#terminate(host.hostId);
        return host;
    }
}
