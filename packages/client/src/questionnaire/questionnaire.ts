import { hashKey } from "@filbertrelay/configuration";
import { randomBytes } from "node:crypto";
import type { Ask } from "./question.js";

/** What the questions gave: answers as a document for `checkAnswers`, and the new plain keys, which are kept nowhere else. */
export interface Questioned {
    readonly document: Record<string, unknown>;
    readonly keys: Readonly<Record<string, string>>;
}

const methods = ["GET", "POST", "PUT", "PATCH", "DELETE"] as const;
const keyBytes = 24;

/** Asks all questions of the questionnaire. */
export async function askQuestionnaire(ask: Ask): Promise<Questioned> {
    const keys: Record<string, string> = {};
    const deployment = await askName(ask, "Short name of the deployment");
    const title = await ask.text("Title for people", { initial: deployment });
    const failureDomains = await askNames(ask, "Failure domains, separated by commas");
    const favours = await ask.choose("What matters more when latency and cost conflict?", ["latency", "cost", "balance"]);
    const latencyTarget = {
        firstTokenMs: await askNumber(ask, "Target for the first token at the 95th percentile, in ms", 1_500),
        betweenTokensMs: await askNumber(ask, "Target between tokens at the 95th percentile, in ms", 100),
    };
    const callers = await askMany(ask, "kind of caller", () => askCaller(ask));
    const customers = await askMany(ask, "customer", () => askCustomer(ask, callers.map(caller => caller.name), keys));
    const models = await askOptional(ask, "model", () => askModel(ask));
    const services = await askOptional(ask, "plain service", () => askService(ask));
    const hostClasses = await askOptional(ask, "host class", () => askHostClass(ask, failureDomains));
    const operatorKey = createKey();
    keys["operator"] = operatorKey;
    const document = {
        deployment,
        title,
        failureDomains,
        favours,
        operatorKeyHashes: [hashKey(operatorKey)],
        latencyTarget,
        callers,
        customers,
        models,
        services,
        hostClasses,
    };
    return { document, keys };
}

async function askCaller(ask: Ask): Promise<{ name: string; priority: number; waitSeconds: number; }> {
    return {
        name: await askName(ask, "Name of the kind of caller"),
        priority: await askNumber(ask, "Priority, 0 (most urgent) to 9", 5),
        waitSeconds: await askNumber(ask, "How long these callers wait, in seconds", 30),
    };
}

async function askCustomer(ask: Ask, callers: readonly string[], keys: Record<string, string>): Promise<object> {
    const name = await askName(ask, "Name of the customer");
    const key = createKey();
    keys[name] = key;
    return {
        name,
        keyHashes: [hashKey(key)],
        size: await ask.choose(`Size of '${name}'`, ["small", "large"]),
        caller: await ask.choose(`Kind of caller of '${name}'`, callers),
    };
}

async function askModel(ask: Ask): Promise<object> {
    return {
        name: await askName(ask, "Name of the model"),
        version: await ask.text("Version of the model", { initial: "1" }),
        enginesAtPeak: await askNumber(ask, "Engines at peak", 2),
        contextTokens: await askNumber(ask, "Context in tokens", 32_768),
        weightGigabytes: await askNumber(ask, "Size of the weights in GB", 14),
        checksFencing: await ask.confirm("Do its engines refuse commands with an old fencing token?", false),
    };
}

async function askService(ask: Ask): Promise<object> {
    return {
        name: await askName(ask, "Name of the plain service"),
        deduplicates: await ask.confirm("Does it run each idempotency key at most once by itself?", false),
        answersStatus: await ask.confirm("Can it be asked whether it ran a key?", false),
        checksFencing: await ask.confirm("Does it refuse an old fencing token?", false),
        operations: await askMany(ask, "operation", async () => ({
            name: await askName(ask, "Name of the operation"),
            method: await ask.choose("Method", methods),
            path: await ask.text("Path below the service's root", { initial: "/" }),
            idempotent: await ask.confirm("Is it harmless to run it twice?", false),
        })),
    };
}

async function askHostClass(ask: Ask, failureDomains: readonly string[]): Promise<object> {
    const name = await askName(ask, "Name of the host class");
    const accelerators = await askNumber(ask, "Accelerators", 0);
    const prices: Record<string, object> = {};
    for (const domain of failureDomains) {
        const onDemandCents = await askNumber(ask, `On-demand price in ${domain}, in cents per hour`, 1);
        const isReclaimable = await ask.confirm(`Is it offered as reclaimable in ${domain}?`, true);
        const reclaimable = isReclaimable ?
            { reclaimableCents: await askNumber(ask, "Reclaimable price in cents per hour", 1) } :
            {};
        prices[domain] = { onDemandCents, ...reclaimable };
    }
    return { name, accelerators, prices };
}

async function askMany<T>(ask: Ask, what: string, askOne: () => Promise<T>): Promise<T[]> {
    const items = [await askOne()];
    while (await ask.confirm(`Another ${what}?`, false)) {
        items.push(await askOne());
    }
    return items;
}

async function askOptional<T>(ask: Ask, what: string, askOne: () => Promise<T>): Promise<T[]> {
    return await ask.confirm(`Is there a ${what}?`, true) ? askMany(ask, what, askOne) : [];
}

function askName(ask: Ask, question: string): Promise<string> {
    return ask.text(question, { check: checkName });
}

async function askNames(ask: Ask, question: string): Promise<string[]> {
    const text = await ask.text(question, {
        check: answer => splitNames(answer).map(checkName).find(fault => fault !== undefined),
    });
    return splitNames(text);
}

function splitNames(text: string): string[] {
    return text.split(",").map(name => name.trim());
}

async function askNumber(ask: Ask, question: string, initial: number): Promise<number> {
    const check = (answer: string): string | undefined =>
        answer !== "" && Number.isFinite(Number(answer)) ? undefined : "Expected a number.";
    return Number(await ask.text(question, { initial: String(initial), check }));
}

function checkName(name: string): string | undefined {
    return /^[a-z0-9][a-z0-9-]{0,39}$/.test(name) ? undefined : "Expected 1 to 40 lower-case letters, digits or hyphens.";
}

function createKey(): string {
    return randomBytes(keyBytes).toString("base64url");
}
