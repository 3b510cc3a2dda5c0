import type { Answers } from "./answers.js";
import type { Configuration } from "./configuration.js";

const hourMs = 3_600_000;
const dayMs = 24 * hourMs;

/** Share of the write budget for shards; the rest is for configuration, planner and operators. */
const shardWriteRatio = 0.8;

/** Default capacity share and limit of concurrent model requests, by size of the customer. */
const customerDefaults = { small: { weight: 1, concurrencyLimit: 32 }, large: { weight: 3, concurrencyLimit: 128 } } as const;

const goalWeights = {
    latency: { latency: 3, cost: 1 },
    cost: { latency: 1, cost: 3 },
    balance: { latency: 1, cost: 1 },
} as const;

/** Generates the configuration from checked answers; the order of list items in the answers does not matter. */
export function generateConfiguration(answers: Answers): Configuration {
    return {
        deployment: answers.deployment,
        failureDomains: [...answers.failureDomains].sort(),
        hostClasses: sortByName(answers.hostClasses).flatMap(generateHostClass),
        models: sortByName(answers.models).map(generateModel),
        services: sortByName(answers.services).map(generateService),
        customers: sortByName(answers.customers).map(generateCustomer),
        callerKinds: sortByName(answers.callers).map(generateCallerKind),
        operatorKeyHashes: [...answers.operatorKeyHashes].sort(),
        weights: { ...goalWeights[answers.favours] },
        latencyTarget: { ...answers.latencyTarget },
        shards: generateShards(answers),
        keyValueBudget: { ...answers.keyValue },
        retryBudgetRatio: 0.1,
        entryPointKeepMs: 2_000,
    };
}

function generateHostClass(hostClass: Answers["hostClasses"][number]): Configuration["hostClasses"] {
    return Object.entries(hostClass.prices).sort(([left], [right]) => compare(left, right)).map(([failureDomain, price]) => ({
        name: hostClass.name,
        failureDomain,
        accelerators: hostClass.accelerators,
        ...(price.reclaimableCents === undefined ? {} : { reclaimablePrice: Math.round(price.reclaimableCents * 1_000) }),
        onDemandPrice: Math.round(price.onDemandCents * 1_000),
    }));
}

function generateModel(model: Answers["models"][number]): Configuration["models"][number] {
    const { weightGigabytes, ...rest } = model;
    return { ...rest, adapters: [...model.adapters].sort(), weightBytes: Math.round(weightGigabytes * 1e9) };
}

// Operations are sorted from the longest path to the shortest, so that the first match is the most specific one.
function generateService(service: Answers["services"][number]): Configuration["services"][number] {
    const operations = [...service.operations].sort((left, right) =>
        right.path.length - left.path.length || compare(left.path, right.path) || compare(left.method, right.method)
    );
    return { ...service, operations: operations.map(operation => ({ ...operation })) };
}

function generateCustomer(customer: Answers["customers"][number]): Configuration["customers"][number] {
    const defaults = customerDefaults[customer.size];
    return {
        name: customer.name,
        keyHashes: [...customer.keyHashes].sort(),
        weight: defaults.weight,
        callerKind: customer.caller,
        concurrencyLimit: customer.concurrencyLimit ?? defaults.concurrencyLimit,
    };
}

function generateCallerKind(caller: Answers["callers"][number]): Configuration["callerKinds"][number] {
    return { name: caller.name, priority: caller.priority, deadlineMs: Math.round(caller.waitSeconds * 1_000) };
}

/**
 * The number of shards is the write budget times the batching interval, rounded down to a power of two:
 * 50 writes/s give 40 x 0.4 s = 16 shards, 400 writes/s give 320 x 0.2 s = 64 (docs/design.md, section 4.1).
 */
function generateShards(answers: Answers): Configuration["shards"] {
    const batchIntervalMs = answers.keyValue.writesPerSecond < 200 ? 400 : 200;
    const writes = answers.keyValue.writesPerSecond * shardWriteRatio * batchIntervalMs / 1_000;
    const count = 2 ** Math.floor(Math.log2(writes));
    return {
        generation: answers.shardGeneration,
        count: Math.min(1_024, Math.max(1, count)),
        batchIntervalMs,
        resultRetentionMs: Math.round(answers.retention.resultsHours * hourMs),
        keyRetentionMs: Math.round(answers.retention.keysDays * dayMs),
    };
}

function sortByName<T extends { readonly name: string; }>(list: readonly T[]): T[] {
    return [...list].sort((left, right) => compare(left.name, right.name));
}

function compare(left: string, right: string): number {
    return left < right ? -1 : left > right ? 1 : 0;
}
