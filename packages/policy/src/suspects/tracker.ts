import type { CustomerId, EndpointId, HostId } from "@filbertrelay/kernel";
import { createHash } from "node:crypto";
import type { PromptMessage } from "../routing/block.js";

/** Hexadecimal SHA-256 of a request's customer, model and messages; a resubmission under a new id has the same fingerprint. */
export function fingerprintRequest(customer: CustomerId, model: string, messages: readonly PromptMessage[]): string {
    const content = JSON.stringify([customer, model, messages.map(({ role, content: text }) => [role, text])]);
    return createHash("sha256").update(content).digest("hex");
}

/** The state of one fingerprint; small enough to be sent with membership messages. */
export interface SuspectEntry {
    readonly fingerprint: string;
    readonly state: "suspect" | "rejected";
    /** Ids of the crashes attributed to the fingerprint; with an id, a crash counts once however often it is reported. */
    readonly crashes: readonly string[];
    /** Wall-clock time in milliseconds at which the entry expires. */
    readonly untilMs: number;
    /** The isolated run in progress: its host and endpoint, and until when other hosts wait for it. */
    readonly isolatedBy?: { readonly hostId: HostId; readonly endpointId: EndpointId; readonly untilMs: number; };
    /** Time of a completion without a crash, after the last crash. */
    readonly clearedMs?: number;
}

/** Whether and how a request with a fingerprint may run. */
export type SuspectDecision =
    | { readonly type: "run"; }
    /** Run in isolation: no other suspect on the same endpoint at the same time. */
    | { readonly type: "isolate"; }
    /** Another host or request runs the fingerprint in isolation; decide again after this time. */
    | { readonly type: "wait"; readonly retryAfterMs: number; }
    | { readonly type: "reject"; readonly retryAfterMs: number; };

/** Options of `createSuspectTracker`. */
export interface SuspectTrackerOptions {
    readonly hostId: HostId;
    /** How long a rejected fingerprint is refused; 10 minutes by default. */
    readonly rejectForMs?: number;
    /** How long a suspect is tracked without a further crash; 10 minutes by default. */
    readonly suspectForMs?: number;
    /** How long other hosts wait for an isolated run; 60 s by default. */
    readonly isolationMs?: number;
    /** Maximum number of entries; the one that expires first is dropped. 10,000 by default. */
    readonly maximumEntries?: number;
}

/** Tracks requests that crash endpoints. All times are wall-clock milliseconds, since entries are exchanged between hosts. */
export interface SuspectTracker {
    decide(fingerprint: string, nowMs: number): SuspectDecision;
    /** Starts the isolated run of a suspect on an endpoint; false when the endpoint already runs a suspect or the fingerprint is not tracked. */
    startIsolated(fingerprint: string, endpointId: EndpointId, nowMs: number): boolean;
    /** Ends an isolated run that neither completed nor crashed, for example a cancelled one. */
    stopIsolated(fingerprint: string, nowMs: number): void;
    /** Records that a request ended without a crash, which clears a suspect. */
    recordCompletion(fingerprint: string, nowMs: number): void;
    /**
     * Records a crash of an endpoint with the fingerprints that this host had in progress on it. If any host is known to run a
     * suspect there, the crash is attributed to that suspect only; otherwise all become suspects. Returns the fingerprints that
     * are now rejected.
     */
    recordCrash(endpointId: EndpointId, crashId: string, inProgress: readonly string[], nowMs: number): readonly string[];
    /** Endpoints on which any host is known to be running a suspect. */
    isolatedEndpoints(nowMs: number): ReadonlySet<EndpointId>;
    /** Entries to publish. */
    entries(nowMs: number): readonly SuspectEntry[];
    /**
     * Merges entries of other hosts; repeated and reordered merges give the same result. With `from`, the entries include all
     * current isolated runs of that host, so isolated runs that it reported earlier and are missing now have ended.
     */
    merge(entries: readonly SuspectEntry[], nowMs: number, from?: HostId): void;
    /** Whether an isolated run of this host must yield to one that another host started concurrently. */
    mustYield(fingerprint: string, endpointId: EndpointId, nowMs: number): boolean;
}

/** Creates an empty tracker. */
export function createSuspectTracker(options: SuspectTrackerOptions): SuspectTracker {
    return new FingerprintTracker({
        hostId: options.hostId,
        rejectForMs: options.rejectForMs ?? 600_000,
        suspectForMs: options.suspectForMs ?? 600_000,
        isolationMs: options.isolationMs ?? 60_000,
        maximumEntries: options.maximumEntries ?? 10_000,
    });
}

class FingerprintTracker implements SuspectTracker {
    readonly #options: Required<SuspectTrackerOptions>;
    readonly #entries = new Map<string, SuspectEntry>();
    readonly #isolated = new Map<EndpointId, string>();

    constructor(options: Required<SuspectTrackerOptions>) {
        this.#options = options;
    }

    decide(fingerprint: string, nowMs: number): SuspectDecision {
        const entry = this.#live(fingerprint, nowMs);
        if (entry === undefined || isCleared(entry)) {
            return { type: "run" };
        }
        if (entry.state === "rejected") {
            return { type: "reject", retryAfterMs: entry.untilMs - nowMs };
        }
        const isolation = entry.isolatedBy;
        if (isolation !== undefined && isolation.untilMs > nowMs) {
            return { type: "wait", retryAfterMs: Math.min(250, isolation.untilMs - nowMs) };
        }
        return { type: "isolate" };
    }

    startIsolated(fingerprint: string, endpointId: EndpointId, nowMs: number): boolean {
        const entry = this.#live(fingerprint, nowMs);
        if (entry === undefined || this.#isolated.has(endpointId) || this.isolatedEndpoints(nowMs).has(endpointId)) {
            return false;
        }
        this.#isolated.set(endpointId, fingerprint);
        const isolatedBy = { hostId: this.#options.hostId, endpointId, untilMs: nowMs + this.#options.isolationMs };
        this.#entries.set(fingerprint, { ...entry, isolatedBy });
        return true;
    }

    stopIsolated(fingerprint: string, nowMs: number): void {
        this.#release(fingerprint);
        const entry = this.#live(fingerprint, nowMs);
        if (entry?.isolatedBy?.hostId === this.#options.hostId) {
            this.#entries.set(fingerprint, withoutIsolation(entry));
        }
    }

    recordCompletion(fingerprint: string, nowMs: number): void {
        this.#release(fingerprint);
        const entry = this.#live(fingerprint, nowMs);
        if (entry?.state === "suspect") {
            this.#entries.set(fingerprint, { ...withoutIsolation(entry), clearedMs: nowMs });
        }
    }

    recordCrash(endpointId: EndpointId, crashId: string, inProgress: readonly string[], nowMs: number): readonly string[] {
        const isolated = this.#isolatedOn(endpointId, nowMs);
        this.#isolated.delete(endpointId);
        // A crash caused by another host's suspect is attributed by that host.
        const attributed = isolated === undefined ? new Set(inProgress) : inProgress.filter(entry => entry === isolated);
        const rejected: string[] = [];
        for (const fingerprint of attributed) {
            if (this.#attributeCrash(fingerprint, crashId, nowMs).state === "rejected") {
                rejected.push(fingerprint);
            }
        }
        return rejected;
    }

    isolatedEndpoints(nowMs: number): ReadonlySet<EndpointId> {
        const endpoints = new Set(this.#isolated.keys());
        for (const { isolatedBy } of this.#entries.values()) {
            if (isolatedBy !== undefined && isolatedBy.untilMs > nowMs) {
                endpoints.add(isolatedBy.endpointId);
            }
        }
        return endpoints;
    }

    entries(nowMs: number): readonly SuspectEntry[] {
        for (const fingerprint of this.#entries.keys()) {
            this.#live(fingerprint, nowMs);
        }
        return [...this.#entries.values()];
    }

    merge(entries: readonly SuspectEntry[], nowMs: number, from?: HostId): void {
        for (const entry of [...this.#entries.values()]) {
            if (from !== undefined && entry.isolatedBy?.hostId === from) {
                this.#entries.set(entry.fingerprint, withoutIsolation(entry));
            }
        }
        for (const entry of entries) {
            if (entry.untilMs > nowMs) {
                this.#mergeEntry(entry, nowMs);
            }
        }
    }

    mustYield(fingerprint: string, endpointId: EndpointId, nowMs: number): boolean {
        const own = this.#options.hostId;
        const isolatedBy = this.#live(fingerprint, nowMs)?.isolatedBy;
        const isTaken = [...this.#entries.values()].some(entry =>
            entry.isolatedBy?.endpointId === endpointId && entry.isolatedBy.untilMs > nowMs && entry.isolatedBy.hostId < own
        );
        return isTaken || isolatedBy?.hostId !== own || isolatedBy.endpointId !== endpointId;
    }

    // Another host's report of an isolated run on this host is ignored, since this host knows its own runs.
    #mergeEntry(entry: SuspectEntry, nowMs: number): void {
        const known = this.#live(entry.fingerprint, nowMs);
        const isOwnRun = entry.isolatedBy?.hostId === this.#options.hostId;
        const reported = isOwnRun ? { ...withoutIsolation(entry), ...pickCleared(entry) } : entry;
        this.#store(known === undefined ? reported : mergeEntries(known, reported));
    }

    #isolatedOn(endpointId: EndpointId, nowMs: number): string | undefined {
        const isRunning = ({ isolatedBy }: SuspectEntry): boolean =>
            isolatedBy?.endpointId === endpointId && isolatedBy.untilMs > nowMs;
        return this.#isolated.get(endpointId) ?? [...this.#entries.values()].find(isRunning)?.fingerprint;
    }

    #live(fingerprint: string, nowMs: number): SuspectEntry | undefined {
        const entry = this.#entries.get(fingerprint);
        if (entry !== undefined && entry.untilMs <= nowMs) {
            this.#entries.delete(fingerprint);
            return undefined;
        }
        return entry;
    }

    #attributeCrash(fingerprint: string, crashId: string, nowMs: number): SuspectEntry {
        const known = this.#live(fingerprint, nowMs);
        const before = known === undefined || isCleared(known) ? [] : known.crashes;
        const crashes = [...new Set([...before, crashId])].sort();
        const isRejected = crashes.length >= 2 || known?.state === "rejected";
        const untilMs = nowMs + (isRejected ? this.#options.rejectForMs : this.#options.suspectForMs);
        const entry: SuspectEntry = { fingerprint, state: isRejected ? "rejected" : "suspect", crashes, untilMs };
        this.#store(entry);
        return entry;
    }

    #release(fingerprint: string): void {
        for (const [endpointId, running] of this.#isolated) {
            if (running === fingerprint) {
                this.#isolated.delete(endpointId);
            }
        }
    }

    #store(entry: SuspectEntry): void {
        this.#entries.set(entry.fingerprint, entry);
        if (this.#entries.size > this.#options.maximumEntries) {
            const first = [...this.#entries.values()].reduce((left, right) => right.untilMs < left.untilMs ? right : left);
            this.#entries.delete(first.fingerprint);
        }
    }
}

function isCleared(entry: SuspectEntry): boolean {
    return entry.state === "suspect" && entry.clearedMs !== undefined;
}

function withoutIsolation(entry: SuspectEntry): SuspectEntry {
    const { fingerprint, state, crashes, untilMs } = entry;
    return { fingerprint, state, crashes, untilMs };
}

function pickCleared({ clearedMs }: SuspectEntry): Pick<SuspectEntry, "clearedMs"> {
    return clearedMs === undefined ? {} : { clearedMs };
}

/** Merges two entries of a fingerprint: the union of their crashes, rejected if either entry is or if there are two or more crashes. */
function mergeEntries(left: SuspectEntry, right: SuspectEntry): SuspectEntry {
    const crashes = [...new Set([...left.crashes, ...right.crashes])].sort();
    const isRejected = left.state === "rejected" || right.state === "rejected" || crashes.length >= 2;
    const clearedMs = mergeCleared(left, right);
    const isolatedBy = mergeIsolation(left, right);
    return {
        fingerprint: left.fingerprint,
        state: isRejected ? "rejected" : "suspect",
        crashes,
        untilMs: Math.max(left.untilMs, right.untilMs),
        ...(isRejected || clearedMs === undefined ? {} : { clearedMs }),
        ...(isRejected || clearedMs !== undefined || isolatedBy === undefined ? {} : { isolatedBy }),
    };
}

/** A completion counts only if both entries have the same crashes; it doesn't clear a crash that only the other entry has. */
function mergeCleared(left: SuspectEntry, right: SuspectEntry): number | undefined {
    const isSame = left.crashes.join() === right.crashes.join();
    const cleared = [left.clearedMs, right.clearedMs].filter(value => value !== undefined);
    return isSame && cleared.length > 0 ? Math.max(...cleared) : undefined;
}

function mergeIsolation(left: SuspectEntry, right: SuspectEntry): SuspectEntry["isolatedBy"] {
    if (left.isolatedBy === undefined || right.isolatedBy === undefined) {
        return left.isolatedBy ?? right.isolatedBy;
    }
    const [first, second] = [left.isolatedBy, right.isolatedBy];
    const isFirst = first.untilMs > second.untilMs || (first.untilMs === second.untilMs && first.hostId <= second.hostId);
    return isFirst ? first : second;
}
