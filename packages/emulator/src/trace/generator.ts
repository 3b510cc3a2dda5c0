import { createRandom } from "../random.js";
import type { Random } from "../random.js";
import type { Trace, TraceEntry, TraceHeader } from "./trace.js";
import type { DocumentWorkload, KindWorkload, Workload } from "./workload.js";

/** A document with the customer that owns it. */
interface Document {
    readonly part: [string, number];
    readonly customer: string;
}

interface GeneratorState {
    readonly workload: Workload;
    readonly random: Random;
    readonly documents: Map<string, Document[]>;
    readonly entries: TraceEntry[];
    /** Counts names of parts and keys. */
    next: number;
}

/** Generates a trace of one day from a workload; equal seeds give equal traces. */
export function generateTrace(workload: Workload, purpose: TraceHeader["purpose"], seed: number): Trace {
    const state: GeneratorState = { workload, random: createRandom(seed), documents: new Map(), entries: [], next: 1 };
    const weights = workload.kinds.map(kind => kind.share / meanSession(kind));
    while (state.entries.length < workload.requests) {
        if (state.random.unit() < sessionServiceShare(workload, weights)) {
            addService(state);
            continue;
        }
        const kind = workload.kinds[state.random.weighted(weights)];
        if (kind !== undefined) {
            addSession(state, kind);
        }
    }
    const entries = state.entries.slice(0, workload.requests).sort((left, right) => left.at - right.at);
    return { header: { ...workload.header, purpose, seed }, entries };
}

/** Mean number of requests that one session of a kind adds. */
function meanSession(kind: KindWorkload): number {
    const [low, high] = kind.document?.sessionRequests ?? [1, 1];
    return (low + high) / 2;
}

/** Chance that the next session is a service request, such that the share of all requests is as configured. */
function sessionServiceShare(workload: Workload, weights: readonly number[]): number {
    const modelSessions = (1 - workload.serviceShare) * weights.reduce((sum, weight) => sum + weight, 0);
    return workload.serviceShare / (workload.serviceShare + modelSessions);
}

function chooseCustomer(state: GeneratorState): string {
    const { header, traffic } = state.workload;
    return header.customers[state.random.weighted(traffic)]?.name ?? "";
}

function chooseTime({ random, workload }: GeneratorState): number {
    return Math.floor((random.weighted(workload.hours) + random.unit()) * 3_600_000);
}

function addService(state: GeneratorState): void {
    const { random, workload } = state;
    const service = workload.services[random.weighted(workload.services.map(({ share }) => share))];
    if (service === undefined) {
        return;
    }
    const base = { type: "service" as const, customer: chooseCustomer(state), caller: service.caller };
    const call = { service: service.service, operation: service.operation };
    const at = chooseTime(state);
    if (service.idempotent) {
        state.entries.push({ ...base, at, ...call });
        return;
    }
    const key = `k${state.next++}`;
    state.entries.push({ ...base, at, ...call, key });
    if (random.unit() < workload.resubmissions) {
        state.entries.push({ ...base, at: at + random.integer(500, 5000), ...call, key });
    }
}

function addSession(state: GeneratorState, kind: KindWorkload): void {
    const { random } = state;
    const customer = chooseCustomer(state);
    let at = chooseTime(state);
    if (kind.document === undefined) {
        addModel(state, kind, customer, at, []);
        return;
    }
    const document = chooseDocument(state, kind.document, customer);
    const [low, high] = kind.document.sessionRequests;
    for (let count = random.integer(low, high); count > 0; count -= 1) {
        addModel(state, kind, document.customer, at, [document.part]);
        at = Math.min(86_399_999, at + Math.ceil(random.exponential(kind.document.gapMs)));
    }
}

function chooseDocument(state: GeneratorState, workload: DocumentWorkload, customer: string): Document {
    const key = `${workload.name}/${customer}`;
    const known = state.documents.get(key) ?? [];
    if (known.length > 0 && state.random.unit() < workload.reuse) {
        return state.random.pick(known);
    }
    const [low, high] = workload.tokens;
    const part: [string, number] = [`${workload.name}-${state.next++}`, state.random.integer(low, high)];
    const document = { part, customer };
    state.documents.set(key, [...known, document]);
    return document;
}

function addModel(
    state: GeneratorState,
    kind: KindWorkload,
    customer: string,
    at: number,
    shared: readonly [string, number][],
): void {
    const { random } = state;
    const manual: [string, number][] = kind.manualTokens === undefined ? [] : [[`manual-${customer}`, kind.manualTokens]];
    state.entries.push({
        type: "model",
        at,
        customer,
        caller: kind.caller,
        kind: kind.kind,
        parts: [
            [`system-${kind.kind}`, kind.systemTokens],
            ...manual,
            ...shared,
            [`own-${state.next++}`, random.integer(...kind.ownTokens)],
        ],
        answer: random.integer(...kind.answerTokens),
    });
}
