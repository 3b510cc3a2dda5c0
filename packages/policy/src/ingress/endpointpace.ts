import type { EndpointId, HostId } from "@filbertrelay/kernel";
import { rendezvousScore } from "../rendezvous.js";
import { createCrashId } from "../suspects/crash.js";
import type { EndpointProcess } from "./endpointnotices.js";

/** The windows of endpoints that start, as sent to other hosts; keyed by the process, times are ages in milliseconds. */
export type PaceReport = Readonly<
    Record<
        string,
        { readonly window: number; readonly capacity: number; readonly ageMs: number; readonly setbackAgeMs?: number; }
    >
>;

/** What changed in the slow start of an endpoint. */
export type PaceChange = "started" | "late" | "failed" | "opened";

/** Options of `createEndpointPaces`. */
export interface EndpointPacesOptions {
    readonly hostId: HostId;
    readonly onChange: (endpointId: EndpointId, change: PaceChange, window: number) => void;
    /** The hosts that send requests to endpoints, as far as this one can reach them. */
    readonly listHosts: () => readonly HostId[];
}

/** An endpoint whose pace is looked up. */
export interface PacedEndpoint extends EndpointProcess {
    /** Number of requests that it runs concurrently. */
    readonly capacity: number;
}

/** How long an endpoint took to answer a request, or to begin a stream. */
export interface TimedAnswer {
    readonly elapsedMs: number;
    /** Latency objective of the request. */
    readonly objectiveMs: number;
}

/**
 * Slow start of endpoints that have just started or recovered. Each has a window, the requests that all hosts together may have
 * there, which grows with answers that come in time and shrinks with those that don't. It answers a single load: that of many
 * hosts which discover an idle endpoint at the same moment.
 */
export interface EndpointPaces {
    /** Starts the slow start of a process that has just started; does nothing for one that is known. */
    start(endpoint: PacedEndpoint, nowMs: number): void;
    /** Records that this host sent a request. */
    recordSend(endpoint: EndpointProcess, nowMs: number): void;
    /** Records an answer that came `elapsedMs` after its request was sent. */
    recordAnswer(endpoint: EndpointProcess, answer: TimedAnswer, nowMs: number): void;
    /** Records that an endpoint didn't answer, and starts its slow start anew. */
    recordSetback(endpoint: PacedEndpoint, nowMs: number): void;
    /**
     * The requests that this host may have at an endpoint at the same time; infinite for one that is not in its slow start. `share` is
     * the fraction of the requests for which the endpoint is considered.
     */
    allowance(endpoint: EndpointProcess, share: number, nowMs: number): number;
    /** Endpoints in their slow start; a metric. */
    readonly size: number;
    forget(endpointId: EndpointId): void;
    /** `undefined` while no endpoint has started recently. */
    report(nowMs: number): PaceReport | undefined;
    /** Takes over what another host has found; `elapsedMs` is how long ago the report was written at most. */
    merge(report: PaceReport, nowMs: number, elapsedMs: number): void;
}

/** First window as a fraction of the capacity: three rounds of good answers open the endpoint. */
const firstWindowShare = 1 / 8;
/** Answers within this fraction of their objective leave room for more requests; the window holds between it and the objective. */
const earlyShare = 0.5;
/** Fraction of the window that a late answer leaves. */
const lateShrink = 0.5;
/** Answers of one round describe the same moment, so they shrink the window only once. */
const shrinkPauseMs = 300;
/** A window from which no host has had an answer for this long doubles, so that an endpoint without callers is not held back. */
const idleGrowthMs = 1_000;
/** An open window is reported for this long, so that the other hosts open theirs. */
const openReportMs = 5_000;

interface Pace {
    readonly endpointId: EndpointId;
    readonly capacity: number;
    window: number;
    /** When the endpoint last failed or was late; negative infinity if it never did. */
    setbackMs: number;
    /** When the window last changed or an answer confirmed it. */
    changedMs: number;
}

/** Creates a record without endpoints. */
export function createEndpointPaces(options: EndpointPacesOptions): EndpointPaces {
    return new SharedEndpointPaces(options);
}

class SharedEndpointPaces implements EndpointPaces {
    readonly #options: EndpointPacesOptions;
    /** By the process of the endpoint. */
    readonly #paces = new Map<string, Pace>();

    constructor(options: EndpointPacesOptions) {
        this.#options = options;
    }

    get size(): number {
        return [...this.#paces.values()].filter(pace => !isOpen(pace)).length;
    }

    start(endpoint: PacedEndpoint, nowMs: number): void {
        const id = processId(endpoint);
        if (!this.#paces.has(id)) {
            const pace = createPace(endpoint, nowMs);
            this.#paces.set(id, pace);
            this.#announce(pace, "started");
        }
    }

    recordSend(endpoint: EndpointProcess, nowMs: number): void {
        const pace = this.#find(endpoint);
        if (pace !== undefined) {
            pace.changedMs = Math.max(pace.changedMs, nowMs);
        }
    }

    recordAnswer(endpoint: EndpointProcess, { elapsedMs, objectiveMs }: TimedAnswer, nowMs: number): void {
        const pace = this.#find(endpoint);
        if (pace === undefined) {
            return;
        }
        pace.changedMs = nowMs;
        if (elapsedMs <= earlyShare * objectiveMs) {
            // The answers that the other hosts get at the same time are assumed to be like this one.
            this.#grow(pace, pace.window + this.#countSharing(pace));
        }
        else if (elapsedMs > objectiveMs && nowMs - pace.setbackMs > shrinkPauseMs) {
            pace.window = Math.max(firstWindow(pace.capacity), pace.window * lateShrink);
            pace.setbackMs = nowMs;
            this.#announce(pace, "late");
        }
    }

    recordSetback(endpoint: PacedEndpoint, nowMs: number): void {
        const pace = { ...createPace(endpoint, nowMs), setbackMs: nowMs };
        this.#paces.set(processId(endpoint), pace);
        this.#announce(pace, "failed");
    }

    allowance(endpoint: EndpointProcess, share: number, nowMs: number): number {
        const pace = this.#find(endpoint);
        if (pace === undefined || this.#growIdle(pace, nowMs)) {
            return Infinity;
        }
        const { hostId, listHosts } = this.#options;
        const perHost = pace.window / Math.max(1, listHosts().length * share);
        // Hosts that all agree on take what can't be divided evenly.
        const isFavoured = rendezvousScore(processId(endpoint), hostId) < perHost % 1;
        return Math.floor(perHost) + Number(isFavoured);
    }

    forget(endpointId: EndpointId): void {
        [...this.#paces].filter(([, pace]) => pace.endpointId === endpointId).forEach(([id]) => this.#paces.delete(id));
    }

    report(nowMs: number): PaceReport | undefined {
        for (const [id, pace] of this.#paces) {
            if (isOpen(pace) && nowMs - pace.changedMs > openReportMs) {
                this.#paces.delete(id);
            }
        }
        return this.#paces.size === 0 ? undefined : Object.fromEntries(
            [...this.#paces].map(([id, { window, capacity, changedMs, setbackMs }]) => [id, {
                window,
                capacity,
                ageMs: Math.max(0, Math.round(nowMs - changedMs)),
                ...(setbackMs === -Infinity ? {} : { setbackAgeMs: Math.max(0, Math.round(nowMs - setbackMs)) }),
            }]),
        );
    }

    merge(report: PaceReport, nowMs: number, elapsedMs: number): void {
        for (const [id, { window, ageMs, setbackAgeMs }] of Object.entries(report)) {
            const pace = this.#paces.get(id);
            // A host learns of processes from the store; a pace alone doesn't tell whose it is.
            if (pace === undefined) {
                continue;
            }
            const setbackMs = setbackAgeMs === undefined ? -Infinity : nowMs - elapsedMs - setbackAgeMs;
            // The window after the latest setback holds, and of those the largest: equal however reports arrive.
            if (setbackMs > pace.setbackMs + shrinkPauseMs) {
                pace.window = Math.min(pace.capacity, window);
                pace.setbackMs = setbackMs;
            }
            else if (setbackMs > pace.setbackMs - shrinkPauseMs) {
                this.#grow(pace, Math.max(pace.window, window));
            }
            pace.changedMs = Math.max(pace.changedMs, nowMs - elapsedMs - ageMs);
        }
    }

    /** The slow start of an endpoint that is in one. */
    #find(endpoint: EndpointProcess): Pace | undefined {
        // Most of the time no endpoint starts, and every request asks for each endpoint.
        const pace = this.#paces.size === 0 ? undefined : this.#paces.get(processId(endpoint));
        return pace === undefined || isOpen(pace) ? undefined : pace;
    }

    /** Returns whether the window is open. */
    #growIdle(pace: Pace, nowMs: number): boolean {
        const rounds = Math.floor((nowMs - pace.changedMs) / idleGrowthMs);
        if (rounds > 0) {
            pace.changedMs += rounds * idleGrowthMs;
            this.#grow(pace, pace.window * 2 ** rounds);
        }
        return isOpen(pace);
    }

    #grow(pace: Pace, window: number): void {
        if (!isOpen(pace)) {
            pace.window = Math.min(pace.capacity, window);
            if (isOpen(pace)) {
                this.#announce(pace, "opened");
            }
        }
    }

    #announce({ endpointId, window }: Pace, change: PaceChange): void {
        this.#options.onChange(endpointId, change, window);
    }

    #countSharing(pace: Pace): number {
        return Math.max(1, Math.min(this.#options.listHosts().length, Math.floor(pace.window)));
    }
}

function createPace({ endpointId, capacity }: PacedEndpoint, nowMs: number): Pace {
    return { endpointId, capacity, window: firstWindow(capacity), setbackMs: -Infinity, changedMs: nowMs };
}

function firstWindow(capacity: number): number {
    return Math.max(1, capacity * firstWindowShare);
}

function isOpen({ window, capacity }: Pace): boolean {
    return window >= capacity;
}

function processId({ endpointId, startedAtMs }: EndpointProcess): string {
    return createCrashId(endpointId, startedAtMs);
}
