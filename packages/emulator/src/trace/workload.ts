import type { TraceHeader } from "./trace.js";

/** A document that several requests of a session refer to. */
export interface DocumentWorkload {
    readonly name: string;
    /** Length in tokens, lower and upper limit. */
    readonly tokens: readonly [number, number];
    /** Requests per session, lower and upper limit. */
    readonly sessionRequests: readonly [number, number];
    /** Chance that a session returns to a document of an earlier one. */
    readonly reuse: number;
    /** Mean time between two requests of a session. */
    readonly gapMs: number;
}

/** A kind of model request. */
export interface KindWorkload {
    readonly kind: string;
    readonly caller: string;
    /** Share of the model requests. */
    readonly share: number;
    readonly systemTokens: number;
    /** Text shared by all requests of a customer, such as a manual; none when absent. */
    readonly manualTokens?: number;
    readonly document?: DocumentWorkload;
    /** The caller's own text in tokens, lower and upper limit. */
    readonly ownTokens: readonly [number, number];
    readonly answerTokens: readonly [number, number];
}

/** A kind of request to a plain service. */
export interface ServiceWorkload {
    readonly service: string;
    readonly operation: string;
    readonly caller: string;
    readonly share: number;
    readonly idempotent: boolean;
}

/** A user's workload. */
export interface Workload {
    readonly header: Omit<TraceHeader, "purpose" | "seed">;
    readonly requests: number;
    /** Part of the requests that go to plain services. */
    readonly serviceShare: number;
    /** Share of each customer's requests, in the order of the header. */
    readonly traffic: readonly number[];
    /** Relative rate by hour of the day from 0 to 23. */
    readonly hours: readonly number[];
    readonly kinds: readonly KindWorkload[];
    readonly services: readonly ServiceWorkload[];
    /** Part of the non-idempotent requests that are sent again with the same key. */
    readonly resubmissions: number;
}

/** Citernes Laurentides Chaulage: long dossiers, letters and questions, days only. */
export const chaulageWorkload: Workload = {
    header: {
        format: "filbertrelay-trace",
        version: 1,
        deployment: "chaulage",
        engines: 6,
        engineCacheBlocks: 4000,
        entryHosts: 9,
        weights: { latency: 1, cost: 3 },
        failureDomains: ["st-jerome", "mont-tremblant", "ste-agathe"],
        customers: [
            { name: "municipal-north", weight: 3, concurrencyLimit: 80 },
            { name: "farm-union", weight: 3, concurrencyLimit: 80 },
            { name: "dairy-coop", weight: 1, concurrencyLimit: 30 },
            { name: "school-board", weight: 1, concurrencyLimit: 30 },
            { name: "small-farms", weight: 1, concurrencyLimit: 30 },
        ],
        callerKinds: [
            { name: "truck", priority: 1, deadlineMs: 15_000 },
            { name: "foreman", priority: 4, deadlineMs: 60_000 },
            { name: "office", priority: 6, deadlineMs: 120_000 },
        ],
    },
    requests: 4200,
    serviceShare: 0.12,
    traffic: [0.42, 0.32, 0.12, 0.08, 0.06],
    hours: [0, 0, 0, 0, 0, 0, 0, 2, 5, 6, 5, 4, 2, 4, 6, 5, 3, 1, 0, 0, 0, 0, 0, 0],
    kinds: [
        {
            kind: "dossier",
            caller: "foreman",
            share: 0.45,
            systemTokens: 420,
            document: { name: "dossier", tokens: [3000, 12_000], sessionRequests: [3, 9], reuse: 0.35, gapMs: 1_800_000 },
            ownTokens: [20, 120],
            answerTokens: [80, 350],
        },
        {
            kind: "letter",
            caller: "office",
            share: 0.22,
            systemTokens: 610,
            ownTokens: [250, 900],
            answerTokens: [150, 400],
        },
        {
            kind: "question",
            caller: "truck",
            share: 0.33,
            systemTokens: 340,
            manualTokens: 900,
            ownTokens: [15, 80],
            answerTokens: [20, 120],
        },
    ],
    services: [
        { service: "booking", operation: "create", caller: "office", share: 0.3, idempotent: false },
        { service: "supplier", operation: "order", caller: "office", share: 0.15, idempotent: false },
        { service: "booking", operation: "lookup", caller: "truck", share: 0.55, idempotent: true },
    ],
    resubmissions: 0.05,
};

/** Salal Thread Print Collective: briefs with order sheets, artwork notes and press-floor questions. */
export const salalWorkload: Workload = {
    header: {
        format: "filbertrelay-trace",
        version: 1,
        deployment: "salal",
        engines: 12,
        engineCacheBlocks: 2000,
        entryHosts: 9,
        weights: { latency: 3, cost: 1 },
        failureDomains: ["coast-a", "coast-b", "coast-c"],
        customers: [
            { name: "harbour-shops", weight: 3, concurrencyLimit: 160 },
            { name: "museum-stores", weight: 3, concurrencyLimit: 160 },
            { name: "island-market", weight: 1, concurrencyLimit: 60 },
            { name: "tea-house", weight: 1, concurrencyLimit: 60 },
            { name: "corner-gifts", weight: 1, concurrencyLimit: 60 },
        ],
        callerKinds: [
            { name: "press", priority: 1, deadlineMs: 8_000 },
            { name: "volunteer", priority: 4, deadlineMs: 30_000 },
            { name: "partner", priority: 5, deadlineMs: 45_000 },
        ],
    },
    requests: 4800,
    serviceShare: 0.12,
    traffic: [0.4, 0.3, 0.14, 0.1, 0.06],
    hours: [0, 0, 0, 0, 0, 0, 0, 1, 3, 5, 6, 6, 4, 5, 6, 6, 5, 4, 4, 3, 2, 1, 0, 0],
    kinds: [
        {
            kind: "brief",
            caller: "volunteer",
            share: 0.4,
            systemTokens: 520,
            document: { name: "brief", tokens: [1500, 6000], sessionRequests: [2, 8], reuse: 0.4, gapMs: 3_000_000 },
            ownTokens: [20, 100],
            answerTokens: [100, 400],
        },
        {
            kind: "artwork",
            caller: "partner",
            share: 0.2,
            systemTokens: 380,
            ownTokens: [300, 1200],
            answerTokens: [60, 200],
        },
        {
            kind: "question",
            caller: "press",
            share: 0.4,
            systemTokens: 300,
            manualTokens: 1400,
            ownTokens: [15, 70],
            answerTokens: [15, 100],
        },
    ],
    services: [
        { service: "orders", operation: "create", caller: "volunteer", share: 0.3, idempotent: false },
        { service: "orders", operation: "logDyeLot", caller: "press", share: 0.2, idempotent: false },
        { service: "payments", operation: "post", caller: "partner", share: 0.1, idempotent: false },
        { service: "orders", operation: "lookup", caller: "press", share: 0.4, idempotent: true },
    ],
    resubmissions: 0.05,
};
