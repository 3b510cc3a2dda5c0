import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy/ingress";
import { PlayedEndpoint } from "./brittleendpoint.js";
import { createRandom } from "./random.js";

/** A day on which the endpoints of a service are brittle for a while. */
export interface BrittleDay {
    readonly seed: number;
    readonly hosts: number;
    readonly endpoints: number;
    /** Requests that an endpoint runs at once. */
    readonly capacity: number;
    /** Requests that wait at an endpoint before it is brittle, and from `contactMs` later on. */
    readonly queue: number;
    readonly brittleQueue: number;
    /** Rejections within a second that an endpoint survives. */
    readonly rejections: number;
    /** First tries of callers, as a multiple of what all endpoints have room for. */
    readonly press: number;
    /** Mean time that a request takes. */
    readonly holdMs: number;
    /** Interval of the reports between hosts. */
    readonly exchangeMs: number;
    /** Fraction of the reports that are lost. */
    readonly lostReports: number;
    /** Hosts that start while endpoints are brittle, and hosts that freeze for some seconds then. */
    readonly starting: number;
    readonly freezing: number;
    /** Capacity in the entries of the endpoints; what they really run is `capacity`. */
    readonly statedCapacity: number;
    /** Callers press only from then on; before, they have a tenth of the room's requests. */
    readonly pressMs: number;
    /** At this time, callers move from the first half of the hosts to the second one. */
    readonly moveMs: number;
    /** Whether hosts keep to the room of brittle endpoints. */
    readonly isKept: boolean;
    /** Whether endpoints say that they are brittle. */
    readonly isBrittle: boolean;
}

/** What happened on a day. */
export interface BrittleResult {
    readonly falls: number;
    /** Fraction of the room that requests ran in, from `contactMs` after the endpoints became brittle until they no longer were. */
    readonly used: number;
    readonly rejected: number;
    /** First tries in that time, and those that were answered at the first try. */
    readonly tries: number;
    readonly served: number;
    /** Fraction of the room that was used from 2 s after the endpoints were no longer brittle. */
    readonly usedAfter: number;
    readonly mostReportBytes: number;
}

/** From then on the endpoints are brittle, until `steadyMs`. */
const brittleMs = 4_000;
const steadyMs = 20_000;
const dayMs = 26_000;
/** From this long after the first answer on, endpoints let fewer wait and fall. */
export const contactMs = 3_000;
const afterMs = 2_000;
/** What callers ask for in quiet times, as a multiple of the room. */
const quietPress = 0.1;
const objectiveMs = 2_500;
const timeLimitMs = 10_000;
const service = "service";
const domain = brandAs<FailureDomainId>("domain");

interface PlayedHost {
    readonly hostId: HostId;
    readonly offsetMs: number;
    readonly loads: policy.LoadTracker;
    readonly health: policy.EndpointHealth;
    readonly budget: policy.WindowedRetryBudget;
    readonly rooms: policy.EndpointRooms;
    readonly fromMs: number;
    /** Span in which the host is frozen. */
    readonly frozen: readonly [fromMs: number, untilMs: number];
    isAnnouncing: boolean;
}

/** Plays a day. */
export function playBrittleDay(day: BrittleDay): BrittleResult {
    return new BrittlePlay(day).play();
}

class BrittlePlay {
    readonly #day: BrittleDay;
    readonly #random: () => number;
    readonly #events: (() => void)[][] = [];
    readonly #hosts: readonly PlayedHost[];
    readonly #endpoints: readonly PlayedEndpoint[];
    #nowMs = 0;
    #requests = 0;
    #tries = 0;
    #served = 0;
    #mostReportBytes = 0;
    #busyMs = { from: 0, until: 0, after: 0, downFrom: 0, downUntil: 0 };

    constructor(day: BrittleDay) {
        this.#day = day;
        this.#random = createRandom(day.seed);
        // The first numbers of neighbouring seeds are alike.
        Array.from({ length: 20 }, this.#random);
        this.#endpoints = Array.from({ length: day.endpoints }, (_, index) => this.#createEndpoint(index));
        const hostIds = Array.from({ length: day.hosts }, (_, index) => brandAs<HostId>(`host-${index}`));
        this.#hosts = hostIds.map((hostId, index) => this.#createHost(hostId, index));
    }

    play(): BrittleResult {
        const { endpoints, capacity, exchangeMs, hosts } = this.#day;
        for (const host of this.#hosts) {
            const firstMs = host.fromMs + this.#random() * exchangeMs;
            for (let atMs = firstMs; atMs < dayMs; atMs += exchangeMs * (0.9 + 0.2 * this.#random())) {
                this.#schedule(atMs, () => this.#report(host, hosts));
            }
        }
        const { press, pressMs, holdMs } = this.#day;
        const roomPerMs = endpoints * capacity / holdMs;
        const perMs = (atMs: number): number => roomPerMs * (atMs < pressMs ? quietPress : press);
        for (let atMs = 0; atMs < dayMs; atMs -= Math.log(1 - this.#random()) / perMs(atMs)) {
            this.#schedule(atMs, () => this.#arrive(true));
        }
        const measure = (): number => this.#endpoints.reduce((sum, { busyMs }) => sum + busyMs, 0);
        const down = (): number => this.#endpoints.reduce((sum, { downMs }) => sum + downMs, 0);
        this.#schedule(brittleMs + contactMs, () => this.#busyMs = { ...this.#busyMs, from: measure(), downFrom: down() });
        this.#schedule(steadyMs, () => this.#busyMs = { ...this.#busyMs, until: measure(), downUntil: down() });
        this.#schedule(steadyMs + afterMs, () => this.#busyMs.after = measure());
        for (this.#nowMs = 0; this.#nowMs < dayMs; this.#nowMs += 1) {
            this.#events[this.#nowMs]?.forEach(run => run());
        }
        const room = (spanMs: number): number => spanMs * endpoints * capacity;
        const { from, until, after } = this.#busyMs;
        return {
            falls: this.#endpoints.reduce((sum, { falls }) => sum + falls.length, 0),
            used: (until - from) / room(steadyMs - brittleMs - contactMs),
            rejected: this.#endpoints.reduce((sum, { rejected }) => sum + rejected.filter(atMs => isFragile(atMs)).length, 0),
            tries: this.#tries,
            served: this.#served,
            usedAfter: (measure() - after) / room(dayMs - steadyMs - afterMs),
            mostReportBytes: this.#mostReportBytes,
        };
    }

    #createEndpoint(index: number): PlayedEndpoint {
        const { capacity, queue, brittleQueue, rejections, isBrittle, holdMs } = this.#day;
        return new PlayedEndpoint({
            endpointId: brandAs<EndpointId>(`endpoint-${index}`),
            capacity,
            queue: nowMs => isFragile(nowMs) ? brittleQueue : queue,
            rejections: nowMs => isBrittle && isFragile(nowMs) ? rejections : undefined,
            drawHoldMs: () => holdMs * (0.3 + 1.4 * this.#random()),
            drawDownMs: () => 3_000 + 3_000 * this.#random(),
            schedule: (atMs, run) => this.#schedule(atMs, run),
        });
    }

    #createHost(hostId: HostId, index: number): PlayedHost {
        const { starting, freezing } = this.#day;
        const offsetMs = this.#random() * 1e6;
        const loads = policy.createLoadTracker();
        const isStarting = index < starting;
        const frozenMs = brittleMs + contactMs + this.#random() * (steadyMs - brittleMs - contactMs);
        const isFreezing = !isStarting && index < starting + freezing;
        const host: PlayedHost = {
            hostId,
            offsetMs,
            loads,
            health: policy.createEndpointHealth(),
            budget: policy.createWindowedRetryBudget({ windowMs: 10_000, ratio: 0.1, extra: 10, nowMs: offsetMs }),
            rooms: policy.createEndpointRooms({
                hostId,
                listHosts: () => this.#hosts.filter(({ fromMs }) => fromMs <= this.#nowMs).map(other => other.hostId),
                observe: nowMs => loads.estimator(Infinity, nowMs),
                onChange: () => this.#announce(host),
                onJoin: () => this.#announce(host),
                onCount: () => undefined,
            }),
            fromMs: isStarting ? brittleMs + this.#random() * 10_000 : 0,
            frozen: isFreezing ? [frozenMs, frozenMs + 1_000 + 3_000 * this.#random()] : [Infinity, Infinity],
            isAnnouncing: false,
        };
        return host;
    }

    #schedule(atMs: number, run: () => void): void {
        (this.#events[Math.max(this.#nowMs + 1, Math.ceil(atMs))] ??= []).push(run);
    }

    /** Runs a step of a host as soon as the host isn't frozen. */
    #runAt(host: PlayedHost, run: (nowMs: number) => void): void {
        const [fromMs, untilMs] = host.frozen;
        if (this.#nowMs >= fromMs && this.#nowMs < untilMs) {
            this.#schedule(untilMs, () => this.#runAt(host, run));
        }
        else if (this.#nowMs >= host.fromMs) {
            run(this.#nowMs + host.offsetMs);
        }
    }

    #announce(host: PlayedHost): void {
        if (!host.isAnnouncing) {
            host.isAnnouncing = true;
            this.#schedule(this.#nowMs + 5, () => {
                host.isAnnouncing = false;
                // Beyond a dozen hosts, only those of the same group hear at once.
                this.#report(host, this.#day.hosts <= 12 ? this.#day.hosts : Math.ceil(Math.sqrt(this.#day.hosts)));
            });
        }
    }

    /** Sends a report to the next so many hosts. */
    #report(host: PlayedHost, count: number): void {
        this.#runAt(host, nowMs => {
            const use = host.loads.ownUse();
            const rooms = host.rooms.report(nowMs);
            if (rooms !== undefined && this.#random() < 0.01) {
                this.#mostReportBytes = Math.max(this.#mostReportBytes, JSON.stringify(rooms).length);
            }
            const first = this.#hosts.indexOf(host);
            for (let step = 1; step < count; step += 1) {
                const other = this.#hosts[(first + step) % this.#hosts.length]!;
                if (this.#random() >= this.#day.lostReports) {
                    this.#schedule(this.#nowMs + 1 + this.#random() * 20, () =>
                        this.#runAt(other, otherMs => {
                            other.loads.recordPeerUse(host.hostId, use, otherMs);
                            if (rooms !== undefined) {
                                other.rooms.merge(rooms, otherMs, 25);
                            }
                        }));
                }
            }
        });
    }

    /** A caller's try, at any host that is listed. */
    #arrive(isFirst: boolean): void {
        const { moveMs, exchangeMs } = this.#day;
        const half = this.#hosts.length / 2;
        const listed = this.#hosts.filter(({ fromMs }, index) =>
            this.#nowMs >= fromMs + exchangeMs && (moveMs === Infinity || index >= half === this.#nowMs >= moveMs)
        );
        const host = listed[Math.floor(this.#random() * listed.length)];
        const isCounted = isFirst && this.#nowMs >= brittleMs + contactMs && this.#nowMs < steadyMs;
        this.#tries += Number(isCounted);
        if (host !== undefined) {
            this.#runAt(host, nowMs => {
                host.budget.recordRequest(service, nowMs);
                this.#dispatch(host, { requestId: `request-${this.#requests += 1}`, tried: new Set(), isFirst, isCounted });
            });
        }
    }

    #dispatch(host: PlayedHost, request: PlayedTry): void {
        const nowMs = this.#nowMs + host.offsetMs;
        const { statedCapacity: capacity, holdMs, isKept } = this.#day;
        const all = this.#endpoints.map(({ endpointId }) => ({ endpointId, service, capacity }));
        const open = isKept ? host.rooms.select(service, all, nowMs) : all;
        const estimate = host.loads.estimator(0, nowMs);
        const choice = policy.chooseLowestCostEndpoint(
            open.map(({ endpointId }) => ({
                endpointId,
                capacity,
                failureDomain: domain,
                isQuarantined: host.health.isQuarantined(endpointId, nowMs),
                observe: () => ({
                    load: estimate(endpointId),
                    cachedTokens: 0,
                    failureRatio: host.health.failureRatio(endpointId, nowMs),
                    allowance: Infinity,
                }),
            })),
            {
                parts: [],
                promptTokens: 0,
                requestId: request.requestId,
                tried: request.tried,
                homeDomain: domain,
                tokenMs: 0,
                slotHoldMs: holdMs,
                objectiveMs,
                isRepeatable: true,
            },
        );
        const endpoint = this.#endpoints.find(({ endpointId }) => endpointId === choice?.endpointId);
        if (choice === undefined || endpoint === undefined) {
            this.#refuse(request, host.rooms.retryAfterMs(service, holdMs, nowMs) ?? 250);
            return;
        }
        const decision = policy.decideStart({
            expectedStartMs: choice.expectedStartMs,
            workMs: holdMs,
            elapsedMs: 0,
            objectiveMs,
            remainingMs: timeLimitMs,
            isTrialDue: false,
        });
        if (request.tried.size === 0 && !decision.started) {
            this.#refuse(request, decision.retryAfterMs);
            return;
        }
        this.#send(host, endpoint, request);
    }

    #send(host: PlayedHost, endpoint: PlayedEndpoint, request: PlayedTry): void {
        const { endpointId } = endpoint;
        const capacity = this.#day.statedCapacity;
        const loadKey = `${request.requestId}#${request.tried.size}`;
        request.tried.add(endpointId);
        host.rooms.recordSend({ endpointId, service, capacity }, this.#nowMs + host.offsetMs);
        host.loads.recordDispatch({ requestId: loadKey, endpointId, priority: 0, tokens: 0 });
        const finish = (result: "answered" | "rejected" | "lost" | "unreachable"): void =>
            this.#schedule(this.#nowMs + 1 + this.#random() * 4, () =>
                this.#runAt(host, nowMs => {
                    host.loads.recordEnd(loadKey);
                    if (result === "answered" || result === "rejected") {
                        const brittleRejections = this.#saysBrittle() ? this.#day.rejections : undefined;
                        host.rooms.recordAnswer({ endpointId, service, capacity }, {
                            brittleRejections,
                            isFull: result === "rejected",
                        }, nowMs);
                    }
                    this.#finishAttempt(host, endpointId, request, result);
                }));
        this.#schedule(this.#nowMs + 1 + this.#random() * 4, () => {
            const result = endpoint.receive(this.#nowMs, finish);
            if (result !== "taken") {
                finish(result);
            }
        });
    }

    #finishAttempt(
        host: PlayedHost,
        endpointId: EndpointId,
        request: PlayedTry,
        result: "answered" | "rejected" | "lost" | "unreachable",
    ): void {
        const nowMs = this.#nowMs + host.offsetMs;
        if (result === "answered") {
            host.health.recordSuccess(endpointId);
            this.#served += Number(request.isCounted);
            return;
        }
        if (result !== "rejected") {
            host.health.recordFailure(endpointId, result === "lost" ? "broken" : "unreachable", nowMs);
        }
        if (result === "unreachable" || host.budget.tryRetry(service, this.#day.hosts, nowMs)) {
            this.#dispatch(host, request);
        }
    }

    #refuse({ isFirst }: PlayedTry, retryAfterMs: number): void {
        if (isFirst) {
            this.#schedule(this.#nowMs + retryAfterMs, () => this.#arrive(false));
        }
    }

    #saysBrittle(): boolean {
        return this.#day.isBrittle && this.#nowMs >= brittleMs && this.#nowMs < steadyMs;
    }
}

/** Whether endpoints let fewer wait and fall over. */
function isFragile(nowMs: number): boolean {
    return nowMs >= brittleMs + contactMs && nowMs < steadyMs;
}

/** A caller's try at a host. */
interface PlayedTry {
    readonly requestId: string;
    readonly tried: Set<EndpointId>;
    readonly isFirst: boolean;
    readonly isCounted: boolean;
}
