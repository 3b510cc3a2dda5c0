import { contentTrait, createQuarantine, partTrait } from "@filbertrelay/policy";
import type { EndpointCrash, InterruptedRequest, Quarantine } from "@filbertrelay/policy";

/** One random day with hosts, endpoints and callers. */
export interface CrashDay {
    readonly hosts: number;
    readonly endpoints: number;
    readonly requestsPerSecond: number;
    /** Share of the requests of one of three kinds that carry the deadly part; 0 for a day without one. */
    readonly deadlyShare: number;
    /** Whether all deadly requests have the same content. */
    readonly isOneRequest: boolean;
    /** Whether requests with the part were sound before. */
    readonly isFormerlySound: boolean;
    readonly exchangeMs: number;
    /** Times in milliseconds at which endpoints stop for other reasons. */
    readonly otherCrashes: readonly { readonly atMs: number; readonly share: number; }[];
    /** Restarts of hosts, which lose all that they know. */
    readonly restarts: readonly { readonly atMs: number; readonly host: number; }[];
    readonly durationMs: number;
}

/** Draws a day; the options say whether requests of a kind crash endpoints on it and whether they were sound before. */
export function drawCrashDay(
    draw: () => number,
    { isDeadly, isFormerlySound = false }: { readonly isDeadly: boolean; readonly isFormerlySound?: boolean; },
): CrashDay {
    const pick = <T>(...values: readonly T[]): T => values[Math.floor(draw() * values.length)]!;
    const durationMs = 40_000;
    const hosts = pick(3, 5, 9, 9, 14, 40);
    const drawTimes = (most: number): readonly number[] =>
        Array.from({ length: Math.floor(draw() * (most + 1)) }, () => 2_000 + draw() * (durationMs - 5_000));
    return {
        hosts,
        endpoints: 3 + Math.floor(draw() * 12),
        requestsPerSecond: 8 + draw() * 70,
        // Between one in 250 and one in 2, evenly on a logarithmic scale.
        deadlyShare: isDeadly ? 0.5 * 125 ** -draw() : 0,
        isOneRequest: draw() < 0.2,
        isFormerlySound,
        exchangeMs: hosts > 12 ? 400 : 200,
        otherCrashes: drawTimes(3).map(atMs => ({ atMs, share: pick(0.1, 0.17, 0.34, 1) })),
        restarts: drawTimes(2).map(atMs => ({ atMs, host: Math.floor(draw() * hosts) })),
        durationMs,
    };
}

/** What happened on a day. */
export interface CrashDayResult {
    readonly crashesByDeadly: readonly number[];
    /** When each deadly request reached an endpoint, from a host in touch. */
    readonly deadlySentMs: readonly number[];
    readonly soundRejectedMs: readonly number[];
    readonly soundStarted: number;
}

interface SimulatedRequest {
    readonly isDeadly: boolean;
    readonly parts: readonly string[];
    readonly content: string;
    attempts: number;
    resubmissions: number;
}

interface Running {
    readonly request: SimulatedRequest;
    readonly host: number;
    readonly sentMs: number;
    hasProgress: boolean;
}

interface SimulatedEndpoint {
    readonly index: number;
    start: number;
    upFromMs: number;
    readonly running: Set<Running>;
}

interface SimulatedHost {
    quarantine: Quarantine;
    /** Difference between its monotonic clock and that of the simulation. */
    offsetMs: number;
    inTouchFromMs: number;
}

/** Time without disturbance after which a host is in touch; the bound for what it has to know. */
const contactMs = 3_000;
const deadlyFromMs = 6_000;
const deadlyUntilMs = 30_000;
const restartMs = 3_200;

/** Plays a day with a seeded generator of numbers in [0, 1). */
export function playCrashDay(day: CrashDay, draw: () => number): CrashDayResult {
    return new CrashSimulation(day, draw).play();
}

class CrashSimulation {
    readonly #day: CrashDay;
    readonly #draw: () => number;
    readonly #hosts: SimulatedHost[];
    readonly #endpoints: SimulatedEndpoint[];
    readonly #queue: { readonly atMs: number; readonly run: () => void; }[] = [];
    readonly #result = {
        crashesByDeadly: [] as number[],
        deadlySentMs: [] as number[],
        soundRejectedMs: [] as number[],
        soundStarted: 0,
    };
    #nowMs = 0;
    #nextRequest = 0;

    constructor(day: CrashDay, draw: () => number) {
        this.#day = day;
        this.#draw = draw;
        this.#hosts = Array.from({ length: day.hosts }, (_, index) => this.#createHost(index));
        this.#endpoints = Array.from(
            { length: day.endpoints },
            (_, index) => ({ index, start: 0, upFromMs: 0, running: new Set<Running>() }),
        );
    }

    play(): CrashDayResult {
        const day = this.#day;
        this.#after(0, () => this.#arrive());
        this.#hosts.forEach((_, index) => this.#after(this.#between(0, day.exchangeMs), () => this.#exchange(index)));
        day.otherCrashes.forEach(({ atMs, share }) => this.#after(atMs, () => this.#crashMany(share)));
        day.restarts.forEach(({ atMs, host }) => this.#after(atMs, () => this.#restart(host)));
        while (this.#queue.length > 0) {
            const next = this.#queue.shift();
            if (next === undefined || next.atMs > day.durationMs) {
                break;
            }
            this.#nowMs = next.atMs;
            next.run();
        }
        return this.#result;
    }

    #createHost(index: number): SimulatedHost {
        return {
            quarantine: createQuarantine({
                isTrialHost: () => index === 0,
                onChange: () => this.#after(0, () => this.#send(index)),
            }),
            offsetMs: this.#between(0, 1e6),
            inTouchFromMs: 0,
        };
    }

    #restart(index: number): void {
        const host = this.#host(index);
        Object.assign(host, this.#createHost(index), { inTouchFromMs: this.#nowMs + contactMs });
    }

    #arrive(): void {
        const { requestsPerSecond, deadlyShare, isOneRequest, isFormerlySound } = this.#day;
        this.#after(-Math.log(1 - this.#draw()) * 1_000 / requestsPerSecond, () => this.#arrive());
        const kind = Math.floor(this.#draw() * 3);
        const group = Math.floor(this.#draw() * 4);
        const isTime = this.#nowMs >= deadlyFromMs && this.#nowMs < deadlyUntilMs;
        const isMarked = kind === 0 && (isTime || (isFormerlySound && this.#nowMs < deadlyFromMs)) && this.#draw() < deadlyShare;
        const isDeadly = isMarked && isTime;
        this.#nextRequest += 1;
        const own = isDeadly && isOneRequest ? "own-deadly" : `own-${this.#nextRequest}`;
        const session = isMarked ? (isOneRequest ? [] : ["deadly"]) : [`session-${kind}-${Math.floor(this.#draw() * 150)}`];
        const parts = [`system-${kind}`, `group-${kind}-${group}`, ...session, own];
        const request = { isDeadly, parts, content: own, attempts: 0, resubmissions: 0 };
        this.#dispatch(this.#pickHost(), request);
    }

    #dispatch(index: number, request: SimulatedRequest): void {
        const host = this.#host(index);
        const decision = host.quarantine.decide(this.#traits(request), this.#nowMs + host.offsetMs);
        if (decision.type === "reject") {
            if (!request.isDeadly) {
                this.#result.soundRejectedMs.push(this.#nowMs);
            }
            return;
        }
        const endpoint = this.#pickEndpoint(request);
        if (endpoint === undefined) {
            this.#resubmit(request);
            return;
        }
        request.attempts += 1;
        if (!request.isDeadly && request.attempts === 1) {
            this.#result.soundStarted += 1;
        }
        if (request.isDeadly && this.#nowMs >= host.inTouchFromMs) {
            this.#result.deadlySentMs.push(this.#nowMs);
        }
        const running: Running = { request, host: index, sentMs: this.#nowMs, hasProgress: false };
        const { start } = endpoint;
        endpoint.running.add(running);
        this.#after(this.#between(20, 250), () => this.#reachFirstToken(endpoint, start, running));
    }

    #reachFirstToken(endpoint: SimulatedEndpoint, start: number, running: Running): void {
        if (endpoint.start !== start || !endpoint.running.has(running)) {
            return;
        }
        if (running.request.isDeadly) {
            this.#result.crashesByDeadly.push(this.#nowMs);
            this.#crash(endpoint);
            return;
        }
        const host = this.#host(running.host);
        running.hasProgress = true;
        host.quarantine.recordProgress(this.#traits(running.request), this.#nowMs + host.offsetMs);
        this.#after(this.#between(100, 3_000), () => endpoint.running.delete(running));
    }

    #crash(endpoint: SimulatedEndpoint): void {
        const crashId = `${endpoint.index}/${endpoint.start}`;
        const broken = [...endpoint.running];
        endpoint.running.clear();
        endpoint.start += 1;
        endpoint.upFromMs = this.#nowMs + restartMs;
        for (const running of broken) {
            this.#after(this.#between(1, 12), () => this.#break(crashId, running));
        }
    }

    #break(crashId: string, { request, host: index, sentMs, hasProgress }: Running): void {
        const host = this.#host(index);
        if (!hasProgress) {
            const { content, parts } = this.#traits(request);
            const interrupted: InterruptedRequest = { content: content(), parts, sentMs: sentMs + host.offsetMs };
            const crashedMs = this.#nowMs + host.offsetMs;
            const crash: EndpointCrash = { crashId, crashedMs, interrupted: [interrupted] };
            host.quarantine.recordCrash(crash, crashedMs);
        }
        if (request.attempts % 2 === 1) {
            this.#dispatch(index, request);
        }
        else {
            this.#resubmit(request);
        }
    }

    #resubmit(request: SimulatedRequest): void {
        request.resubmissions += 1;
        if (request.resubmissions <= 2) {
            this.#after(this.#between(50, 400), () => this.#dispatch(this.#pickHost(), request));
        }
    }

    #crashMany(share: number): void {
        for (const endpoint of this.#endpoints) {
            if (this.#draw() < share && endpoint.upFromMs <= this.#nowMs) {
                this.#crash(endpoint);
            }
        }
    }

    #exchange(index: number): void {
        this.#after(this.#day.exchangeMs, () => this.#exchange(index));
        this.#send(index);
    }

    /** Sends a report to all other hosts, or to a few in a large fleet. */
    #send(index: number): void {
        const { hosts } = this.#day;
        // In large fleets, a host hears from few others at a time.
        const peers = this.#hosts.map((_, peer) => peer).filter(peer => peer !== index);
        for (const peer of hosts <= 12 ? peers : peers.sort(() => this.#draw() - 0.5).slice(0, 6)) {
            this.#after(this.#between(2, 20), () => {
                const from = this.#host(index);
                const report = from.quarantine.report(this.#nowMs + from.offsetMs);
                if (report !== undefined) {
                    const transitMs = this.#between(1, 15);
                    this.#after(transitMs, () => {
                        const to = this.#host(peer);
                        const received = JSON.parse(JSON.stringify(report)) as typeof report;
                        to.quarantine.merge(received, this.#nowMs + to.offsetMs, transitMs + this.#between(1, 20));
                    });
                }
            });
        }
    }

    #pickEndpoint({ parts }: SimulatedRequest): SimulatedEndpoint | undefined {
        const up = this.#endpoints.filter(({ upFromMs }) => upFromMs <= this.#nowMs);
        const affine = (parts[1]?.length ?? 0) + Number(parts[1]?.at(-1) ?? 0) * 7;
        return up[this.#draw() < 0.6 ? affine % Math.max(1, up.length) : Math.floor(this.#draw() * up.length)];
    }

    #pickHost(): number {
        return Math.floor(this.#draw() * this.#hosts.length);
    }

    #host(index: number): SimulatedHost {
        return this.#hosts[index]!;
    }

    #traits({ parts, content }: SimulatedRequest): Parameters<Quarantine["decide"]>[0] {
        return { parts: parts.map(partTrait), content: () => contentTrait(content) };
    }

    #between(least: number, most: number): number {
        return least + this.#draw() * (most - least);
    }

    #after(delayMs: number, run: () => void): void {
        const entry = { atMs: this.#nowMs + delayMs, run };
        let [low, high] = [0, this.#queue.length];
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.#queue[middle]!.atMs <= entry.atMs) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.#queue.splice(low, 0, entry);
    }
}
