import type { HostId } from "@filbertrelay/kernel";

/** Times of processes of endpoints, as ages in milliseconds; keyed by `createCrashId`. */
type ProcessAges = Readonly<Record<string, number>>;

/** What hosts tell each other of their ways to endpoints; ages are in milliseconds. */
export interface ReachReport {
    /** Endpoints to which some host has lost a connection or couldn't open one. */
    readonly suspects?: ProcessAges;
    /** Endpoints from which the sender, or a host that reports only to it, gets nothing though it waits. */
    readonly silent?: ProcessAges;
    /** When any host last heard endpoints that are suspects or silent. */
    readonly answers?: ProcessAges;
    /** Hosts that are cut off. */
    readonly stranded?: ProcessAges;
}

/** What this host itself says in a report. */
export interface OwnFindings {
    readonly suspects: readonly string[];
    readonly silent: readonly string[];
    readonly isStranded: boolean;
    /** When this host last heard a process. */
    readonly answeredMs: (process: string) => number;
}

/** A report of a suspect, or of a host that is cut off, holds for this long; reports go round several times as often. */
const statementTtlMs = 1_500;
/** Answers outlast the suspicion that they refute. */
const answerTtlMs = 5_000;
/** Most processes of a kind in a report. */
const maximumEntries = 100;

/** The latest times of something, which expire. */
class LatestTimes<Key extends string> {
    readonly #ttlMs: number;
    readonly #times = new Map<Key, number>();

    constructor(ttlMs: number) {
        this.#ttlMs = ttlMs;
    }

    get size(): number {
        return this.#times.size;
    }

    get(key: Key): number {
        return this.#times.get(key) ?? -Infinity;
    }

    /** Newest time of all. */
    get newestMs(): number {
        return Math.max(-Infinity, ...this.#times.values());
    }

    merge(ages: ProcessAges | undefined, writtenMs: number, nowMs: number): void {
        for (const [key, ageMs] of Object.entries(ages ?? {})) {
            // The earliest possible time, so that nothing becomes younger by being passed on.
            const atMs = writtenMs - ageMs;
            if (nowMs - atMs <= this.#ttlMs && atMs > this.get(key as Key)) {
                this.#times.set(key as Key, atMs);
            }
        }
    }

    /** The keys whose time has not expired; drops the others. */
    live(nowMs: number): ReadonlyMap<Key, number> {
        for (const [key, atMs] of this.#times) {
            if (nowMs - atMs > this.#ttlMs) {
                this.#times.delete(key);
            }
        }
        return this.#times;
    }
}

/** What other hosts have said of endpoints and of themselves. */
export class SharedSightings {
    readonly #suspects = new LatestTimes<string>(statementTtlMs);
    readonly #silent = new LatestTimes<string>(statementTtlMs);
    /** Silences of hosts that report only to this one. */
    readonly #attachedSilent = new LatestTimes<string>(statementTtlMs);
    readonly #answers = new LatestTimes<string>(answerTtlMs);
    readonly #stranded = new LatestTimes<HostId>(statementTtlMs);

    /** When another host last heard a process; negative infinity if unknown. */
    answeredMs(process: string): number {
        return this.#answers.get(process);
    }

    /** When any host last heard any endpoint that some host suspected. */
    get newestAnswerMs(): number {
        return this.#answers.newestMs;
    }

    /** Processes that other hosts suspect, with the time at which they last did. */
    suspects(nowMs: number): ReadonlyMap<string, number> {
        return this.#suspects.size === 0 ? noTimes : this.#suspects.live(nowMs);
    }

    strandedHosts(nowMs: number): ReadonlySet<HostId> {
        return this.#stranded.size === 0 ? noHosts : new Set(this.#stranded.live(nowMs).keys());
    }

    /** `isAttached` says whether the sender reports only to this host, so that no other one can answer it. */
    merge({ suspects, silent, answers, stranded }: ReachReport, nowMs: number, elapsedMs: number, isAttached: boolean): void {
        const writtenMs = nowMs - elapsedMs;
        if (isAttached) {
            this.#attachedSilent.merge(silent, writtenMs, nowMs);
        }
        this.#suspects.merge(suspects, writtenMs, nowMs);
        this.#silent.merge(silent, writtenMs, nowMs);
        this.#answers.merge(answers, writtenMs, nowMs);
        this.#stranded.merge(stranded, writtenMs, nowMs);
    }

    report(hostId: HostId, own: OwnFindings, nowMs: number): ReachReport | undefined {
        const suspects = listNewest(this.#suspects.live(nowMs), own.suspects, nowMs);
        // Silences are common, and the peers that hear of one can answer it, so they are passed on by an aggregator only.
        const silent = listNewest(this.#attachedSilent.live(nowMs), own.silent, nowMs);
        const others = this.#answers.live(nowMs);
        const asked = [...suspects.map(([process]) => process), ...own.silent, ...this.#silent.live(nowMs).keys()];
        const answers = [...new Set(asked)]
            .map(process => [process, Math.max(own.answeredMs(process), others.get(process) ?? -Infinity)] as const)
            .filter(([, atMs]) => nowMs - atMs <= answerTtlMs);
        const stranded = listNewest(this.#stranded.live(nowMs), own.isStranded ? [hostId] : [], nowMs);
        const report = {
            ...describe("suspects", suspects, nowMs),
            ...describe("silent", silent, nowMs),
            ...describe("answers", answers, nowMs),
            ...describe("stranded", stranded, nowMs),
        };
        return Object.keys(report).length === 0 ? undefined : report;
    }
}

const noTimes: ReadonlyMap<string, number> = new Map();
const noHosts: ReadonlySet<HostId> = new Set();

function listNewest(
    others: ReadonlyMap<string, number>,
    own: readonly string[],
    nowMs: number,
): readonly (readonly [string, number])[] {
    const times = new Map([...others, ...own.map(key => [key, nowMs] as const)]);
    return [...times].sort((left, right) => right[1] - left[1]).slice(0, maximumEntries);
}

function describe(
    name: keyof ReachReport,
    times: readonly (readonly [string, number])[],
    nowMs: number,
): { readonly [Name in keyof ReachReport]?: ProcessAges; } {
    return times.length === 0 ? {} : {
        [name]: Object.fromEntries(times.map(([key, atMs]) => [key, Math.max(0, Math.ceil(nowMs - atMs))])),
    };
}
