import type { ResolutionMethod, StoredResponse, VersionedValue } from "../index.js";

type SealedKey = readonly [string, number];

/** A key-value service that holds one shard value and its sealed segments. */
export class KeyValueModel {
    isDown = false;
    segments: SealedKey[] = [];
    #stored: VersionedValue | undefined;
    #revision = 0;

    read(): VersionedValue | "missing" {
        return this.#stored ?? "missing";
    }

    /** True after a last-resort takeover, in which copies of finished keys may have been lost. */
    get hasLostCopies(): boolean {
        return (this.#stored?.value.unknownUntilMs ?? 0) > 0;
    }

    compareAndSwap(value: VersionedValue["value"], expectedVersion: number): number | "conflict" {
        if ((this.#stored?.version ?? 0) !== expectedVersion) {
            return "conflict";
        }
        this.#stored = { version: ++this.#revision, value };
        return this.#revision;
    }
}

/** Endpoints that count the runs of each key. */
export class EndpointModel {
    readonly runs = new Map<string, number>();
    readonly firstRunAtMs = new Map<string, number>();
    readonly resolution: ResolutionMethod;
    readonly #answers = new Map<string, StoredResponse>();

    constructor(resolution: ResolutionMethod) {
        this.resolution = resolution;
    }

    /** Runs a key; an endpoint that deduplicates recognises only keys that it ran itself. */
    run(endpoint: string, key: string, nowMs: number): StoredResponse {
        const known = this.#answers.get(`${endpoint}/${key}`);
        if (known !== undefined && this.resolution === "deduplicates") {
            return known;
        }
        const count = (this.runs.get(key) ?? 0) + 1;
        this.runs.set(key, count);
        this.firstRunAtMs.set(key, this.firstRunAtMs.get(key) ?? nowMs);
        const response = { status: 200, headers: {}, body: `${key}/${count}` };
        this.#answers.set(`${endpoint}/${key}`, response);
        return response;
    }

    /** Returns the response to a status query. */
    query(endpoints: readonly string[], key: string): StoredResponse | undefined {
        return endpoints.map(endpoint => this.#answers.get(`${endpoint}/${key}`)).find(response => response !== undefined);
    }
}

/** A violated invariant. */
export class Violation extends Error {}

interface CallRecord {
    readonly key: string;
    readonly fingerprint: string;
    readonly runsAtArrival: number;
    readonly deadlineMs: number;
    /** Whether a caller had received the key's result before its deadline when this submission was made. */
    readonly isResultKnown: boolean;
    answer: string | undefined;
    code: string | undefined;
}

/** Records submissions and checks the responses that callers get. */
export class CallerModel {
    readonly calls: CallRecord[] = [];
    readonly #endpoints: EndpointModel;
    readonly #results = new Map<string, { readonly text: string; readonly fingerprint: string; }>();
    readonly #deliveredKeys = new Set<string>();

    constructor(endpoints: EndpointModel) {
        this.#endpoints = endpoints;
    }

    /** Records a submission and returns its call number. */
    submit(key: string, fingerprint: string, deadlineMs: number): number {
        const runsAtArrival = this.#endpoints.runs.get(key) ?? 0;
        const isResultKnown = this.#deliveredKeys.has(key);
        const record = { key, fingerprint, runsAtArrival, deadlineMs, isResultKnown, answer: undefined, code: undefined };
        return this.calls.push(record) - 1;
    }

    /** Checks that a key ran at most once, and only if some submission has not been answered `executed: no`. */
    checkRun(key: string): void {
        if ((this.#endpoints.runs.get(key) ?? 0) > 1) {
            throw new Violation(`Key '${key}' ran more than once.`);
        }
        const isRequested = this.calls.some(call => call.key === key && call.answer !== "no");
        if (!isRequested) {
            throw new Violation(`Key '${key}' ran although all its callers got 'executed: no'.`);
        }
    }

    /** Checks a response against the runs at the endpoints. */
    answer(
        call: number,
        answer: { readonly ok: boolean; readonly text: string; readonly code: string; },
        { nowMs, mayLoseResults }: { readonly nowMs: number; readonly mayLoseResults: boolean; },
    ): void {
        const record = this.calls[call];
        if (record === undefined || record.answer !== undefined) {
            throw new Violation(`Call ${call} got more than one response or does not exist.`);
        }
        record.answer = answer.ok ? "ok" : answer.text;
        record.code = answer.code;
        const isInTime = nowMs < record.deadlineMs;
        if (answer.ok) {
            this.#checkResult(record, answer.text);
            if (isInTime) {
                this.#deliveredKeys.add(record.key);
            }
        }
        else if (answer.code === "shard.unknown" && record.isResultKnown && isInTime && !mayLoseResults) {
            throw new Violation(`The result of key '${record.key}' was lost after a caller had received it.`);
        }
        else if (answer.text === "no" && answer.code !== "shard.keyReused") {
            this.#checkRefusal(record);
        }
    }

    #checkResult(record: CallRecord, text: string): void {
        const first = this.#results.get(record.key) ?? { text, fingerprint: record.fingerprint };
        this.#results.set(record.key, first);
        if (first.text !== text || first.fingerprint !== record.fingerprint) {
            throw new Violation(`Key '${record.key}' got the result of another run or request.`);
        }
    }

    #checkRefusal(record: CallRecord): void {
        const hasRun = (this.#endpoints.runs.get(record.key) ?? 0) > 0;
        const hasConcurrentCall = this.calls.some(call => call !== record && call.key === record.key && call.answer !== "no");
        if (record.runsAtArrival > 0 || (hasRun && !hasConcurrentCall)) {
            throw new Violation(`A caller got 'executed: no' for key '${record.key}' although it had run.`);
        }
    }
}
