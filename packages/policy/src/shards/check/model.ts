import type { Repetition, StoredResponse, VersionedValue } from "../index.js";

type SealedKey = readonly [string, number];

/** The modelled key-value service: one shard value and its sealed segments. */
export class KeyValueModel {
    isDown = false;
    segments: SealedKey[] = [];
    #stored: VersionedValue | undefined;
    #revision = 0;

    read(): VersionedValue | "missing" {
        return this.#stored ?? "missing";
    }

    /** True after a last-resort takeover, in which the copies of finished keys may have been lost. */
    get hasLostCopies(): boolean {
        return (this.#stored?.value.unknownUntilMs ?? 0) > 0;
    }

    swap(value: VersionedValue["value"], expectedVersion: number): number | "conflict" {
        if ((this.#stored?.version ?? 0) !== expectedVersion) {
            return "conflict";
        }
        this.#stored = { version: ++this.#revision, value };
        return this.#revision;
    }
}

/** The modelled endpoints: every run of a key is counted. */
export class EndpointModel {
    readonly runs = new Map<string, number>();
    readonly firstRunAtMs = new Map<string, number>();
    readonly repetition: Repetition;
    readonly #answers = new Map<string, StoredResponse>();

    constructor(repetition: Repetition) {
        this.repetition = repetition;
    }

    /** Runs a key; an endpoint that deduplicates recognises only what it ran itself. */
    run(endpoint: string, key: string, nowMs: number): StoredResponse {
        const known = this.#answers.get(`${endpoint}/${key}`);
        if (known !== undefined && this.repetition === "deduplicates") {
            return known;
        }
        const count = (this.runs.get(key) ?? 0) + 1;
        this.runs.set(key, count);
        this.firstRunAtMs.set(key, this.firstRunAtMs.get(key) ?? nowMs);
        const response = { status: 200, headers: {}, body: `${key}/${count}` };
        this.#answers.set(`${endpoint}/${key}`, response);
        return response;
    }

    /** The answer of the status query. */
    query(endpoints: readonly string[], key: string): StoredResponse | undefined {
        return endpoints.map(endpoint => this.#answers.get(`${endpoint}/${key}`)).find(response => response !== undefined);
    }
}

/** A broken invariant found by the checker. */
export class Violation extends Error {}

interface CallRecord {
    readonly key: string;
    readonly fingerprint: string;
    readonly runsAtArrival: number;
    readonly deadlineMs: number;
    /** A caller had been given the key's result, in time, when this submission was made. */
    readonly isResultKnown: boolean;
    answer: string | undefined;
    code: string | undefined;
}

/** Watches the answers that callers get. */
export class CallerModel {
    readonly calls: CallRecord[] = [];
    readonly #endpoints: EndpointModel;
    readonly #results = new Map<string, { readonly text: string; readonly fingerprint: string; }>();
    readonly #given = new Set<string>();

    constructor(endpoints: EndpointModel) {
        this.#endpoints = endpoints;
    }

    /** Registers a submission and gives its number. */
    submit(key: string, fingerprint: string, deadlineMs: number): number {
        const runsAtArrival = this.#endpoints.runs.get(key) ?? 0;
        const isResultKnown = this.#given.has(key);
        const record = { key, fingerprint, runsAtArrival, deadlineMs, isResultKnown, answer: undefined, code: undefined };
        return this.calls.push(record) - 1;
    }

    /** Checks that every run is owed to a submission that was not told `executed: no`. */
    checkRun(key: string): void {
        if ((this.#endpoints.runs.get(key) ?? 0) > 1) {
            throw new Violation(`The key '${key}' ran twice.`);
        }
        const isOwed = this.calls.some(call => call.key === key && call.answer !== "no");
        if (!isOwed) {
            throw new Violation(`The key '${key}' ran after every caller was told that it was not run.`);
        }
    }

    /** Checks an answer against what happened at the endpoints. */
    answer(
        call: number,
        answer: { readonly ok: boolean; readonly text: string; readonly code: string; },
        { nowMs, mayLoseResults }: { readonly nowMs: number; readonly mayLoseResults: boolean; },
    ): void {
        const record = this.calls[call];
        if (record === undefined || record.answer !== undefined) {
            throw new Violation("A caller was answered twice.");
        }
        record.answer = answer.ok ? "ok" : answer.text;
        record.code = answer.code;
        const isInTime = nowMs < record.deadlineMs;
        if (answer.ok) {
            this.#checkResult(record, answer.text);
            if (isInTime) {
                this.#given.add(record.key);
            }
        }
        else if (answer.code === "shard.unknown" && record.isResultKnown && isInTime && !mayLoseResults) {
            throw new Violation(`The result of the key '${record.key}' was lost after a caller had been given it.`);
        }
        else if (answer.text === "no" && answer.code !== "shard.keyReused") {
            this.#checkRefusal(record);
        }
    }

    #checkResult(record: CallRecord, text: string): void {
        const first = this.#results.get(record.key) ?? { text, fingerprint: record.fingerprint };
        this.#results.set(record.key, first);
        if (first.text !== text || first.fingerprint !== record.fingerprint) {
            throw new Violation(`The key '${record.key}' got an answer that is not its own.`);
        }
    }

    #checkRefusal(record: CallRecord): void {
        const hasRun = (this.#endpoints.runs.get(record.key) ?? 0) > 0;
        const isOverlapped = this.calls.some(call => call !== record && call.key === record.key && call.answer !== "no");
        if (record.runsAtArrival > 0 || (hasRun && !isOverlapped)) {
            throw new Violation(`A caller was told that the key '${record.key}' was not run, but it had run.`);
        }
    }
}
