import { Then, When } from "@cucumber/cucumber";
import { EndpointTable, parseIngressSettings, StoreMirror } from "@filbertrelay/ingress";
import { brandAs, createSystemClock, parseBoundedJson, silentEventLog } from "@filbertrelay/kernel";
import type { EndpointId } from "@filbertrelay/kernel";
import { createPlatformDecoder, createPlatformDialect, createPlatformStore } from "@filbertrelay/platform";
import { describeEngine, StandinStore } from "@filbertrelay/platform/standins";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createConfiguration, waitFor } from "../support/ingress.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface Entry {
    readonly id: string;
    readonly text: string;
}

const soundEntry = JSON.stringify(describeEngine({ address: "127.0.0.1:9" }, { service: "records", isModel: true }));

/** An entry in which one field has a value of its own, as JSON text. */
function withField(name: string, value: string): Entry {
    const { [name]: replaced, ...others } = JSON.parse(soundEntry) as Record<string, unknown>;
    assert.ok(replaced !== undefined, `An entry has no field '${name}'.`);
    return { id: "other", text: `{"${name}":${value},${JSON.stringify(others).slice(1)}` };
}

const oddEntries: Readonly<Record<string, Entry>> = {
    "port 80800": withField("address", "\"127.0.0.1:80800\""),
    "port 0": withField("address", "\"127.0.0.1:0\""),
    "no port": withField("address", "\"127.0.0.1\""),
    "a part above 255": withField("address", "\"127.0.0.256:80\""),
    "a name as address": withField("address", "\"localhost:80\""),
    "an infinite capacity": withField("capacity", "1e400"),
    "a sequence of 1e300": withField("sequence", "1e300"),
    "a fractional sequence": withField("sequence", "1.5"),
    "a start time of 1e300": withField("born", "1e300"),
    "a line end in its id": { id: "a\r\nX-Other: b", text: soundEntry },
    "a letter beyond ASCII in its id": { id: "aĊb", text: soundEntry },
};

function findEntry(oddity: string): Entry {
    const entry = oddEntries[oddity];
    assert.ok(entry !== undefined, `Unknown oddity '${oddity}'.`);
    return entry;
}

/** Time in which a host reads a change of the store. */
const readMs = 300;

When(/^another writer puts an entry with (.+) beside the engines$/, async function(this: IngressWorld, oddity: string) {
    const { id, text } = findEntry(oddity);
    this.ingress.store.put(`servers/${id}`, text);
    await new Promise(resolve => setTimeout(resolve, readMs));
});

Then(/^the entry with (.+) names no endpoint$/, function(oddity: string) {
    const { id, text } = findEntry(oddity);
    assert.equal(createPlatformDecoder().readEndpoint(`servers/${id}`, text).ok, false);
});

Then(
    "settings with {string} or {string} as the store's address are rejected at {string}",
    function(first: string, second: string, path: string) {
        for (const address of [first, second]) {
            const parsed = parseIngressSettings(`
[host]
id = "host-1"
failureDomain = "zone-a"
callerAddress = "127.0.0.1:1"
peerAddress = "127.0.0.1:2"
[cluster]
keys = ["a-secret-of-16-characters"]
[store]
address = "${address}"
readsPerSecond = 100
writesPerSecond = 100
`);
            assert.ok(!parsed.ok);
            assert.deepEqual(parsed.issue.issues.map(issue => (issue.path ?? []).join(".")), [path]);
        }
    },
);

When("a host registers with port {int}", async function(this: IngressWorld, port: number) {
    const address = `127.0.0.1:${port}`;
    const entry = { incarnation: "run-1", callerAddress: address, peerAddress: address, failureDomain: "zone-a" };
    this.ingress.store.put("filbertrelay/hosts/host-9", entry);
    await new Promise(resolve => setTimeout(resolve, readMs));
});

Then("the directory lists one address", async function(this: IngressWorld) {
    const listed = await this.ingress.directory() as { addresses: readonly string[]; };
    assert.deepEqual(listed.addresses, [this.ingress.callerAddress]);
});

Then("the customer {string} is told to endpoints as one header in UTF-8", function(customer: string) {
    const headers = createPlatformDialect().forwardHeaders([], {
        endpointId: brandAs<EndpointId>("records-0"),
        customer,
        remainingMs: 100,
    });
    const values = headers.filter(([name]) => name === "X-Filbertrelay-Tenant").map(([, value]) => value);
    assert.deepEqual(values.map(value => Buffer.from(value, "latin1").toString("utf8")), [customer]);
});

Then("a configuration with a line end in a customer's name is rejected", function() {
    const configuration = { ...createConfiguration(8) as object, tenants: [{ name: "crew\r\nX: y", apiKeys: ["k"] }] };
    assert.equal(createPlatformDecoder().readConfiguration(JSON.stringify(configuration)).ok, false);
});

const longEntries: Readonly<Record<string, string>> = {
    "an entry of 500000 levels": withField("modelList", `${"[".repeat(499_997)}${"]".repeat(499_997)}`).text,
    "an entry of 40 levels": withField("zone", `${"[".repeat(40)}${"]".repeat(40)}`).text,
    "a sound entry with a long model": withField("version", JSON.stringify("v".repeat(900_000))).text,
};
/** Longest value of an endpoint's entry that is kept, in characters. */
const keptLength = 524_288;

Then(
    /^(.+) names no endpoint, takes no effect when written again and is not kept if it is long$/,
    async function(this: IngressWorld, kind: string) {
        const text = longEntries[kind];
        assert.ok(text !== undefined, `Unknown entry '${kind}'.`);
        const store = new StandinStore();
        await store.start();
        store.put("servers/other", text);
        const clock = createSystemClock();
        const client = createPlatformStore({ address: store.address, clock, timeoutMs: 2_000, onCall: () => undefined });
        let updates = 0;
        const mirror = new StoreMirror({
            store: client,
            clock,
            log: silentEventLog,
            draw: Math.random,
            applyMs: 2_000,
            onUpdate: () => {
                updates += 1;
            },
        });
        const endpoints = new EndpointTable({ mirror, decoder: createPlatformDecoder(), log: silentEventLog });
        try {
            await mirror.start();
            await waitFor(() => Promise.resolve(mirror.get("servers/other") !== undefined));
            const formerUpdates = updates;
            const { revision } = mirror.get("servers/other")!;
            store.put("servers/other", text);
            await waitFor(() => Promise.resolve(mirror.get("servers/other")!.revision > revision));
            assert.deepEqual([endpoints.ofService("records").length, updates], [0, formerUpdates]);
            assert.ok(mirror.get("servers/other")!.value.length <= keptLength);
        }
        finally {
            await mirror.stop();
            store.stop();
        }
    },
);

When(
    "another writer writes {int} entries of {int} bytes at once and then a route is added",
    async function(this: IngressWorld, count: number, bytes: number) {
        for (let index = 0; index < count; index += 1) {
            this.ingress.store.put(`servers/other-${index}`, "x".repeat(bytes));
        }
        await new Promise(resolve => setTimeout(resolve, readMs));
        this.ingress.store.put("op/config", createConfiguration(8, ["added"]));
    },
);

const seed = 20_261_205;
const bounds = { maximumLength: 60, maximumDepth: 3 };

function depthOf(value: unknown): number {
    return typeof value !== "object" || value === null ? 0 : 1 + Math.max(0, ...Object.values(value).map(depthOf));
}

Then("of {int} seeded JSON values those within the bounds are parsed and no others", function(numRuns: number) {
    fc.assert(
        fc.property(fc.jsonValue({ maxDepth: 5 }), value => {
            const text = JSON.stringify(value);
            const isWithin = text.length <= bounds.maximumLength && depthOf(value) <= bounds.maximumDepth;
            const parsed = parseBoundedJson(text, bounds);
            assert.equal(parsed.ok, isWithin, text);
            assert.ok(!parsed.ok || JSON.stringify(parsed.value) === text);
        }),
        { seed, numRuns },
    );
});
