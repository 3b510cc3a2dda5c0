import { Given, Then } from "@cucumber/cucumber";
import type { DataTable } from "@cucumber/cucumber";
import {
    buildHead,
    canonicalJson,
    checkAnswers,
    configurationSchema,
    diffConfigurations,
    digestOf,
    findTransitionIssues,
    generateConfiguration,
    hashKey,
    parseAnswers,
    parseHead,
} from "@filbertrelay/configuration";
import type { Answers, Configuration, Difference } from "@filbertrelay/configuration";
import fc from "fast-check";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";

interface QuestionnaireWorld {
    runs: number;
    seed: number;
    issues: readonly { readonly path?: readonly (string | number)[]; }[];
    examples: Answers[];
    pair: readonly [Answers, Answers];
    stored: string;
}

const name = fc.stringMatching(/^[a-z][a-z0-9-]{0,8}$/);
const names = (minimum: number) => fc.uniqueArray(name, { minLength: minimum, maxLength: 4 });

/** Generates valid answers. */
const answersArbitrary = fc.record({
    domains: names(1),
    callers: names(1),
    customers: names(1),
    services: names(0),
    writes: fc.integer({ min: 10, max: 2_000 }),
    favours: fc.constantFrom("latency", "cost", "balance"),
    seconds: fc.integer({ min: 1, max: 900 }),
    large: fc.boolean(),
    price: fc.integer({ min: 1, max: 99_999 }),
}).map(drawn => ({
    deployment: "fleet",
    title: "Fleet",
    failureDomains: drawn.domains,
    favours: drawn.favours,
    operatorKeyHashes: [hashKey("operator")],
    latencyTarget: { firstTokenMs: drawn.seconds, betweenTokensMs: drawn.seconds },
    keyValue: { writesPerSecond: drawn.writes },
    callers: drawn.callers.map((caller, index) => ({ name: caller, priority: index, waitSeconds: drawn.seconds })),
    customers: drawn.customers.map((customer, index) => ({
        name: customer,
        keyHashes: [hashKey(customer)],
        size: drawn.large ? "large" : "small",
        caller: drawn.callers[index % drawn.callers.length],
    })),
    services: drawn.services.map(service => ({
        name: `s-${service}`,
        operations: ["/a", "/a/b", "/c"].map((path, index) => ({
            name: `o${index}`,
            method: "POST",
            path,
            idempotent: index === 0,
        })),
    })),
    models: drawn.services.map(model => ({
        name: `m-${model}`,
        version: "1",
        enginesAtPeak: 2,
        contextTokens: 4_096,
        weightGigabytes: drawn.price / 100,
    })),
    hostClasses: [{
        name: "engine",
        accelerators: 1,
        prices: Object.fromEntries(drawn.domains.map(domain => [domain, { onDemandCents: drawn.price / 1_000 }])),
    }],
}));

function expectAccepted(document: unknown): Answers {
    const checked = checkAnswers(document);
    assert.ok(checked.ok, checked.ok ? "" : JSON.stringify(checked.issue));
    return checked.value;
}

function readExample(deployment: string): Answers {
    return expectAccepted(parse(readFileSync(`examples/${deployment}.toml`, "utf8")));
}

function reverseOrder(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(reverseOrder).reverse();
    }
    return typeof value === "object" && value !== null ?
        Object.fromEntries(Object.entries(value).reverse().map(([key, item]) => [key, reverseOrder(item)])) :
        value;
}

Given("the answers of {string} and {string}", function(this: QuestionnaireWorld, first: string, second: string) {
    this.examples = [readExample(first), readExample(second)];
});

Then("each generates a configuration that the schema accepts", function(this: QuestionnaireWorld) {
    this.examples.forEach(answers => configurationSchema.parse(generateConfiguration(answers)));
});

Then("each plain key of the examples matches exactly one hash of its customer", function(this: QuestionnaireWorld) {
    const keys = parse(readFileSync("examples/keys.toml", "utf8")) as Record<
        string,
        { operator: string; customers: Record<string, string>; }
    >;
    for (const answers of this.examples) {
        const own = keys[answers.deployment];
        assert.ok(own);
        assert.deepEqual(answers.operatorKeyHashes, [hashKey(own.operator)]);
        const hashes = Object.entries(own.customers).map(([customer, key]) => [customer, [hashKey(key)]]);
        assert.deepEqual(hashes, answers.customers.map(customer => [customer.name, customer.keyHashes]));
    }
});

Given(
    /^(\d+) (?:generated answers|corrupted answers|pairs of generated configurations) with seed (\d+)$/,
    function(this: QuestionnaireWorld, runs: string, seed: string) {
        this.runs = Number(runs);
        this.seed = Number(seed);
    },
);

Then(
    "each is accepted and generates a valid configuration with the same digest for any order of lists and keys",
    function(this: QuestionnaireWorld) {
        const property = fc.property(answersArbitrary, document => {
            const configuration = generateConfiguration(expectAccepted(document));
            configurationSchema.parse(configuration);
            assert.equal(digestOf(generateConfiguration(expectAccepted(reverseOrder(document)))), digestOf(configuration));
        });
        fc.assert(property, { numRuns: this.runs, seed: this.seed });
    },
);

Then(
    "each check accepts the answers or reports errors with a path and a message",
    function(this: QuestionnaireWorld) {
        const corrupted = fc.tuple(
            answersArbitrary,
            fc.dictionary(fc.string(), fc.anything()),
            fc.array(fc.nat(), { maxLength: 4 }),
            fc.anything(),
        )
            .map(([document, extra, steps, value]) => corrupt({ ...structuredClone(document), ...extra }, steps, value));
        const property = fc.property(fc.oneof(corrupted, fc.anything()), document => {
            const checked = checkAnswers(document);
            if (checked.ok) {
                configurationSchema.parse(generateConfiguration(checked.value));
                return;
            }
            assert.ok(checked.issue.issues.length > 0);
            assert.ok(checked.issue.issues.every(issue => Array.isArray(issue.path) && issue.message !== ""));
        });
        fc.assert(property, { numRuns: this.runs, seed: this.seed });
        fc.assert(fc.property(fc.string(), text => void parseAnswers(text)), { numRuns: this.runs, seed: this.seed });
    },
);

/** Replaces the value at the path that `steps` selects: each step is an index into the keys of the current object. */
function corrupt(document: Record<string, unknown>, steps: readonly number[], value: unknown): unknown {
    let target: Record<string, unknown> = document;
    for (const step of steps) {
        const keys = Object.keys(target);
        const key = keys[step % Math.max(1, keys.length)];
        const next = key === undefined ? undefined : target[key];
        if (key === undefined || typeof next !== "object" || next === null || step === steps.at(-1)) {
            target[key ?? "extra"] = value;
            break;
        }
        target = next as Record<string, unknown>;
    }
    return document;
}

Given(
    "answers with a wrong type, an unknown caller, a duplicate customer and an unknown key",
    function(this: QuestionnaireWorld) {
        const document = readExample("chaulage");
        const [first, second, ...rest] = document.customers;
        const checked = checkAnswers({
            ...document,
            failureDomains: [7, "mont-tremblant", "ste-agathe", "st-jerome"],
            customers: [{ ...first, caller: "nobody" }, { ...second, name: first?.name }, ...rest],
            models: document.models.map(model => ({ ...model, colour: "white" })),
        });
        assert.ok(!checked.ok);
        this.issues = checked.issue.issues;
    },
);

Then("errors are reported at exactly these paths", function(this: QuestionnaireWorld, table: DataTable) {
    const paths = this.issues.map(issue => (issue.path ?? []).join(".")).sort();
    assert.deepEqual(paths, table.raw().flat().sort());
});

Then("applying the listed differences to the first gives the second", function(this: QuestionnaireWorld) {
    const property = fc.property(answersArbitrary, answersArbitrary, (left, right) => {
        const [before, after] = [left, right].map(document => generateConfiguration(expectAccepted(document)));
        assert.ok(before && after);
        const changed = applyDifferences(before, diffConfigurations(before, after));
        assert.equal(canonicalJson(flatten(changed)), canonicalJson(flatten(toTree(after))));
    });
    fc.assert(property, { numRuns: this.runs, seed: this.seed });
});

Then("a configuration has no difference to itself", function() {
    const configuration = generateConfiguration(readExample("salal"));
    assert.deepEqual(diffConfigurations(configuration, structuredClone(configuration)), []);
});

type Tree = Map<string, unknown>;

/** Turns lists of named objects into maps by name, as in the paths of differences. */
function toTree(value: unknown): unknown {
    if (Array.isArray(value) && value.every(item => typeof item === "object" && item !== null)) {
        return new Map(value.map((item: { name: string; failureDomain?: string; }) => [
            item.failureDomain === undefined ? item.name : `${item.name}@${item.failureDomain}`,
            toTree(item),
        ]));
    }
    return typeof value === "object" && value !== null && !Array.isArray(value) ?
        new Map(Object.entries(value).map(([key, item]) => [key, toTree(item)])) :
        value;
}

function applyDifferences(before: Configuration, differences: readonly Difference[]): unknown {
    const root = toTree(before) as Tree;
    for (const difference of differences) {
        const parent = difference.path.slice(0, -1).reduce((tree, key) => tree.get(key) as Tree, root);
        const last = difference.path.at(-1) ?? "";
        if ("after" in difference) {
            parent.set(last, toTree(difference.after));
        }
        else {
            parent.delete(last);
        }
    }
    return root;
}

function flatten(value: unknown): unknown {
    return value instanceof Map ? Object.fromEntries([...value].map(([key, item]) => [key, flatten(item)])) : value;
}

Given(
    "answers whose write budget rises from {int} to {int} writes a second",
    function(this: QuestionnaireWorld, from: number, to: number) {
        const answers = readExample("salal");
        const withWrites = (writesPerSecond: number) => ({ ...answers, keyValue: { ...answers.keyValue, writesPerSecond } });
        this.pair = [withWrites(from), withWrites(to)];
    },
);

Then("the change is rejected with the same shard generation and accepted with the next", function(this: QuestionnaireWorld) {
    const [before, after] = this.pair;
    const issuesFor = (answers: Answers) => findTransitionIssues(generateConfiguration(before), generateConfiguration(answers));
    assert.deepEqual(issuesFor(after).map(issue => issue.code), ["answers.generation"]);
    assert.deepEqual(issuesFor({ ...after, shardGeneration: 2 }), []);
});

Given("a stored head whose weights were changed", function(this: QuestionnaireWorld) {
    const head = buildHead({ answers: readExample("chaulage"), version: 3, submissionId: "one", submittedAt: new Date(0) });
    assert.ok(parseHead(JSON.stringify(head)).ok);
    head.configuration.weights.cost += 1;
    this.stored = JSON.stringify(head);
});

Then("it is rejected because of its digest", function(this: QuestionnaireWorld) {
    const parsed = parseHead(this.stored);
    assert.equal(parsed.ok ? "accepted" : parsed.issue.code, "head.digest");
});
