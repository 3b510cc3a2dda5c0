import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy/ingress";
import { createRandom } from "./random.js";

/** How a cut shows: nothing comes through, connections are reset, or open ones live on while new ones are refused. */
export type CutKind = "hang" | "reset" | "refuse";

/** A time in which some hosts don't reach some endpoints. */
export interface LinkCut {
    readonly hosts: readonly number[];
    readonly kind: CutKind;
    /** All failure domains or services if absent. */
    readonly domain?: number | undefined;
    readonly service?: number | undefined;
    readonly fromMs: number;
    readonly toMs: number;
}

/** A run of hosts that send requests to endpoints of several services and failure domains. */
export interface ReachDay {
    readonly seed: number;
    readonly hosts: number;
    readonly domains: number;
    readonly services: number;
    readonly endpointsPerGroup: number;
    /** Of each host. */
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    /** Share of the requests that take 2.5 s. */
    readonly slowShare: number;
    readonly lossShare: number;
    readonly cuts: readonly LinkCut[];
    readonly crashes: readonly { readonly endpoint: number; readonly atMs: number; readonly isHost: boolean; }[];
    /** Times in which the endpoints of a service send nothing and then go on. */
    readonly silences: readonly { readonly service: number; readonly fromMs: number; readonly toMs: number; }[];
    readonly freezes: readonly { readonly host: number; readonly fromMs: number; readonly toMs: number; }[];
}

/** A host's way to an endpoint at a time. */
export interface SeenWay {
    readonly host: number;
    readonly endpoint: number;
    readonly way: policy.EndpointWay;
    readonly atMs: number;
}

/** What hosts did on a day. */
export interface ReachDayResult {
    /** Requests, with the way that each took. */
    readonly sends: readonly SeenWay[];
    /** Ways other than the direct one, looked up at each step for each endpoint. */
    readonly detours: readonly SeenWay[];
    readonly stranded: readonly { readonly host: number; readonly atMs: number; }[];
    /** Connections that were opened as probes. */
    readonly probes: number;
}

/** An endpoint with the numbers of its failure domain and its service. */
export interface PlacedEndpoint extends policy.ReachedEndpoint {
    readonly domain: number;
    readonly line: number;
}

/** Time of one step. */
export const reachStepMs = 50;
const reportSteps = 4;
const connectTimeoutMs = 400;
const attemptTimeoutMs = 1_500;
const longestDelaySteps = 4;
const slowWorkMs = 2_500;
const chunkMs = 200;

interface Attempt {
    readonly key: string;
    readonly endpoint: number;
    isOver: boolean;
}

interface HostEvent {
    /** Timers run before what waits on sockets when a process wakes. */
    readonly isTimer: boolean;
    readonly run: () => void;
}

/** Plays a day. */
export function playReachDay(day: ReachDay): ReachDayResult {
    return new ReachSimulation(day).play();
}

/** The endpoints of a day, in the order of their numbers. */
export function listEndpoints(day: ReachDay): readonly PlacedEndpoint[] {
    const groups = Array.from({ length: day.domains * day.services }, (_, index) => ({
        domain: index % day.domains,
        line: Math.floor(index / day.domains),
    }));
    return groups.flatMap(({ domain, line }) =>
        Array.from({ length: day.endpointsPerGroup }, (_, index) => ({
            domain,
            line,
            endpointId: brandAs<EndpointId>(`endpoint-${domain}-${line}-${index}`),
            startedAtMs: 1,
            failureDomain: brandAs<FailureDomainId>(`domain-${domain}`),
            service: `service-${line}`,
        }))
    );
}

/** Whether a cut keeps a host from an endpoint at a time. */
export function findCut(day: ReachDay, host: number, endpoint: number, nowMs: number): LinkCut | undefined {
    const { domain, line } = listPlaces(day)[endpoint]!;
    return day.cuts.find(cut =>
        nowMs >= cut.fromMs && nowMs < cut.toMs && cut.hosts.includes(host) &&
        (cut.domain ?? domain) === domain && (cut.service ?? line) === line
    );
}

const places = new WeakMap<ReachDay, readonly PlacedEndpoint[]>();

function listPlaces(day: ReachDay): readonly PlacedEndpoint[] {
    const known = places.get(day) ?? listEndpoints(day);
    places.set(day, known);
    return known;
}

class ReachSimulation {
    readonly #day: ReachDay;
    readonly #endpoints: readonly PlacedEndpoint[];
    readonly #hosts: readonly SimulatedHost[];
    readonly #random: () => number;
    #nowMs = 0;
    #requests = 0;
    #probes = 0;
    readonly #sends: SeenWay[] = [];

    constructor(day: ReachDay) {
        this.#day = day;
        this.#endpoints = listPlaces(day);
        const draw = createRandom(day.seed);
        this.#random = () => (draw(), draw());
        const hostIds = Array.from({ length: day.hosts }, (_, index) => brandAs<HostId>(`host-${index}`));
        this.#hosts = hostIds.map(hostId => new SimulatedHost(hostId, hostIds));
    }

    play(): ReachDayResult {
        const detours: SeenWay[] = [];
        const stranded: { readonly host: number; readonly atMs: number; }[] = [];
        for (let step = 0; this.#nowMs < this.#day.durationMs; step += 1, this.#nowMs = step * reachStepMs) {
            this.#day.cuts.filter(({ fromMs, kind }) => fromMs === this.#nowMs && kind === "reset").forEach(cut =>
                this.#reset(cut)
            );
            for (const [index, host] of this.#hosts.entries()) {
                if (this.#isFrozen(index)) {
                    continue;
                }
                this.#act(index, host, step);
                this.#endpoints.forEach((endpoint, number) => {
                    const way = host.reach.wayTo(endpoint, this.#nowMs);
                    if (way !== "direct") {
                        detours.push({ host: index, endpoint: number, way, atMs: this.#nowMs });
                    }
                });
                if (host.reach.isStranded(this.#nowMs)) {
                    stranded.push({ host: index, atMs: this.#nowMs });
                }
            }
        }
        return { sends: this.#sends, detours, stranded, probes: this.#probes };
    }

    #act(index: number, host: SimulatedHost, step: number): void {
        for (const endpoint of host.reach.takeDueProbes(this.#endpoints, this.#nowMs)) {
            this.#probes += 1;
            const number = this.#endpoints.findIndex(({ endpointId }) => endpointId === endpoint.endpointId);
            this.#open(index, number, isAccepted =>
                host.reach.recordProbe(
                    endpoint,
                    { result: isAccepted ? "answered" : "unreachable", startedMs: this.#nowMs },
                    this.#nowMs,
                ));
        }
        if (step % reportSteps === index % reportSteps) {
            this.#report(index, host);
        }
        host.runDue(this.#nowMs);
        for (let due = this.#day.requestsPerSecond * reachStepMs / 1_000; due > this.#random(); due -= 1) {
            this.#request(index, host);
        }
    }

    #report(index: number, host: SimulatedHost): void {
        const writtenMs = this.#nowMs;
        const report = host.reach.report(writtenMs);
        if (report === undefined) {
            return;
        }
        this.#hosts.forEach((other, number) => {
            if (number !== index && this.#random() >= this.#day.lossShare) {
                const delayMs = Math.floor(this.#random() * longestDelaySteps) * reachStepMs;
                this.#later(
                    other,
                    delayMs,
                    false,
                    () => other.reach.merge(report, this.#nowMs, this.#nowMs - writtenMs + Math.floor(this.#random() * 30)),
                );
            }
        });
    }

    #request(index: number, host: SimulatedHost): void {
        const endpoint = Math.floor(this.#random() * this.#endpoints.length);
        const way = host.reach.wayTo(this.#endpoints[endpoint]!, this.#nowMs);
        const hasOpen = (host.idle.get(endpoint) ?? 0) > 0;
        const taken = way === "open" && !hasOpen ? "relay" : way;
        this.#sends.push({ host: index, endpoint, way: taken === "direct" && hasOpen ? "open" : taken, atMs: this.#nowMs });
        if (taken !== "relay") {
            this.#send(index, host, endpoint);
            return;
        }
        const chosen = Math.floor(this.#random() * this.#hosts.length);
        const relay = this.#hosts[chosen]!;
        const isAble = chosen !== index && !this.#isFrozen(chosen) && !relay.reach.isStranded(this.#nowMs);
        if (isAble && relay.reach.wayTo(this.#endpoints[endpoint]!, this.#nowMs) === "direct") {
            this.#send(chosen, relay, endpoint);
        }
    }

    #send(index: number, host: SimulatedHost, endpoint: number): void {
        const idle = host.idle.get(endpoint) ?? 0;
        if (idle > 0) {
            host.idle.set(endpoint, idle - 1);
            this.#start(index, host, endpoint);
            return;
        }
        this.#open(index, endpoint, isAccepted => {
            const record = this.#endpoints[endpoint]!;
            if (isAccepted) {
                host.reach.recordConnected(record, this.#nowMs);
                this.#start(index, host, endpoint);
            }
            else {
                host.reach.recordConnectFailure(record, this.#nowMs);
            }
        });
    }

    #open(index: number, endpoint: number, settle: (isAccepted: boolean) => void): void {
        const host = this.#hosts[index]!;
        const cut = findCut(this.#day, index, endpoint, this.#nowMs);
        const crash = this.#findCrash(endpoint);
        const hangs = cut?.kind === "hang" || crash?.isHost === true;
        this.#later(host, hangs ? connectTimeoutMs : reachStepMs, hangs, () => {
            const isCut = cut !== undefined || findCut(this.#day, index, endpoint, this.#nowMs) !== undefined;
            settle(!isCut && crash === undefined);
        });
    }

    #start(index: number, host: SimulatedHost, endpoint: number): void {
        const attempt: Attempt = { key: `request-${this.#requests += 1}`, endpoint, isOver: false };
        const record = this.#endpoints[endpoint]!;
        host.reach.recordSent(attempt.key, record, this.#nowMs);
        host.attempts.add(attempt);
        const isSlow = this.#random() < this.#day.slowShare;
        const isStream = !isSlow && this.#random() < 0.3;
        const workMs = isSlow ? slowWorkMs : reachStepMs * (1 + Math.floor(this.#random() * 5));
        this.#later(host, Math.max(attemptTimeoutMs, workMs + 500), true, () => this.#end(host, attempt, false));
        this.#expect(index, attempt, this.#nowMs + workMs, isStream ? 5 : 0);
    }

    /** Lets the answer arrive, or its next part. */
    #expect(index: number, attempt: Attempt, atMs: number, parts: number): void {
        const host = this.#hosts[index]!;
        const { line } = this.#endpoints[attempt.endpoint]!;
        const silence = this.#day.silences.find(({ service, fromMs, toMs }) => service === line && atMs >= fromMs && atMs < toMs);
        const sentMs = silence?.toMs ?? atMs;
        const crash = this.#day.crashes.find(({ endpoint, atMs: crashMs }) => endpoint === attempt.endpoint && crashMs <= sentMs);
        const delayMs = crash === undefined ? Math.floor(this.#random() * 3) * reachStepMs : reachStepMs;
        const arrivalMs = (crash?.atMs ?? sentMs) + delayMs;
        if (crash?.isHost === true) {
            return;
        }
        this.#later(
            host,
            Math.max(0, arrivalMs - this.#nowMs),
            false,
            () => this.#receive(index, attempt, crash !== undefined, parts),
        );
    }

    #receive(index: number, attempt: Attempt, isCrash: boolean, parts: number): void {
        const host = this.#hosts[index]!;
        const cut = findCut(this.#day, index, attempt.endpoint, this.#nowMs);
        if (attempt.isOver) {
            return;
        }
        if (cut?.kind === "hang") {
            // Sent again once packets come through.
            this.#later(host, cut.toMs - this.#nowMs + reachStepMs, false, () => this.#receive(index, attempt, isCrash, parts));
            return;
        }
        const record = this.#endpoints[attempt.endpoint]!;
        if (isCrash || cut?.kind === "reset") {
            host.reach.recordLost(record, this.#nowMs);
            this.#end(host, attempt, false);
            return;
        }
        host.reach.recordHeard(record, this.#nowMs);
        if (parts > 0) {
            this.#expect(index, attempt, this.#nowMs + chunkMs, parts - 1);
        }
        else {
            this.#end(host, attempt, true);
        }
    }

    #end(host: SimulatedHost, attempt: Attempt, isKept: boolean): void {
        if (!attempt.isOver) {
            attempt.isOver = true;
            host.reach.recordEnded(attempt.key);
            host.attempts.delete(attempt);
            host.idle.set(attempt.endpoint, (host.idle.get(attempt.endpoint) ?? 0) + Number(isKept));
        }
    }

    #reset(cut: LinkCut): void {
        for (const index of cut.hosts) {
            const host = this.#hosts[index]!;
            const isCut = (endpoint: number): boolean => findCut(this.#day, index, endpoint, this.#nowMs) === cut;
            [...host.idle.keys()].filter(isCut).forEach(endpoint => host.idle.delete(endpoint));
            [...host.attempts].filter(({ endpoint }) => isCut(endpoint)).forEach(attempt =>
                this.#later(host, 0, false, () => {
                    if (!attempt.isOver) {
                        host.reach.recordLost(this.#endpoints[attempt.endpoint]!, this.#nowMs);
                        this.#end(host, attempt, false);
                    }
                })
            );
        }
    }

    #findCrash(endpoint: number): ReachDay["crashes"][number] | undefined {
        return this.#day.crashes.find(crash => crash.endpoint === endpoint && crash.atMs <= this.#nowMs);
    }

    #isFrozen(index: number): boolean {
        return this.#day.freezes.some(({ host, fromMs, toMs }) => host === index && this.#nowMs >= fromMs && this.#nowMs < toMs);
    }

    #later(host: SimulatedHost, delayMs: number, isTimer: boolean, run: () => void): void {
        host.add(this.#nowMs + delayMs, { isTimer, run });
    }
}

class SimulatedHost {
    readonly reach: policy.EndpointReach;
    /** Open connections without a request, by endpoint. */
    readonly idle = new Map<number, number>();
    readonly attempts = new Set<Attempt>();
    readonly #events = new Map<number, HostEvent[]>();
    #doneMs = -reachStepMs;

    constructor(hostId: HostId, hostIds: readonly HostId[]) {
        this.reach = policy.createEndpointReach({ hostId, listHosts: () => hostIds, onChange: () => undefined });
    }

    add(atMs: number, event: HostEvent): void {
        const dueMs = Math.max(atMs, this.#doneMs + reachStepMs);
        const known = this.#events.get(dueMs);
        if (known === undefined) {
            this.#events.set(dueMs, [event]);
        }
        else {
            known.push(event);
        }
    }

    /** Runs what is due, with what became due while the host was frozen. */
    runDue(nowMs: number): void {
        const due: HostEvent[] = [];
        for (let atMs = this.#doneMs + reachStepMs; atMs <= nowMs; atMs += reachStepMs) {
            due.push(...this.#events.get(atMs) ?? []);
            this.#events.delete(atMs);
        }
        this.#doneMs = nowMs;
        [...due.filter(({ isTimer }) => isTimer), ...due.filter(({ isTimer }) => !isTimer)].forEach(({ run }) => run());
    }
}
