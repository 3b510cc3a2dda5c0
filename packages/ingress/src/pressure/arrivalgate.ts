import type { Clock, EventFields, EventLog } from "@filbertrelay/kernel";
import { PressureAdmission, rankUrgencies } from "@filbertrelay/policy/ingress";
import type { ArrivingRequest, HostPressure, PressureReason } from "@filbertrelay/policy/ingress";
import type { Dialect, HeaderList } from "../contract.js";
import { describeError } from "../describeerror.js";
import { RequestBoundary } from "../request/boundary.js";
import type { ErrorResponse } from "../request/errorresponse.js";
import { requestEvents } from "../request/event.js";
import type { ActiveConfiguration, ConfigurationState } from "../state/configuration.js";
import type { IngressMetrics } from "../telemetry/metrics.js";
import { pressureEvents as events } from "./event.js";
import { TurnMeter } from "./turnmeter.js";

/** Refusals are counted, and logged and added to the metrics together at this interval. */
const summaryIntervalMs = 1_000;

/** The head of a request. */
export interface ArrivingHead {
    readonly hostname: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: () => HeaderList;
}

interface DescribedRequest extends ArrivingRequest {
    readonly priority: number;
}

/** Options of `ArrivalGate`. */
export interface ArrivalGateOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly dialect: Dialect;
    readonly configuration: Pick<ConfigurationState, "current">;
    readonly metrics: Pick<IngressMetrics, "recordInternalError" | "recordPressureRefusals" | "setPressure">;
    /** Uniform in [0, 1). */
    readonly draw: () => number;
    /** Counts a refused request as demand. */
    readonly onRefused: () => void;
    /** Told how long the host has been full, in milliseconds, and how many requests it has seen in that time. */
    readonly onPressed: (pressedMs: number, requests: number) => void;
    /** Time in which the host had work, in milliseconds from an arbitrary origin; that of the event loop by default. */
    readonly busyMs?: () => number;
    /** See `TurnMeter`. */
    readonly afterTurn?: (callback: () => void) => void;
}

/** Refuses requests that the host has no time for when their heads have been read, before anything is spent on them. */
export class ArrivalGate {
    readonly #options: ArrivalGateOptions;
    readonly #turns: TurnMeter;
    readonly #busyMs: () => number;
    readonly #boundary = new RequestBoundary(error => {
        this.#options.metrics.recordInternalError("request");
        this.#options.log.write(requestEvents.requestBroken, { error: describeError(error) });
    });
    readonly #admission: PressureAdmission;
    readonly #refused = new Map<PressureReason, Map<number, number>>();
    #isSummaryDue = false;
    #requests = 0;
    #isPressed = false;
    #urgencies: { readonly active: ActiveConfiguration; readonly byPriority: ReadonlyMap<number, number>; } | undefined;

    constructor(options: ArrivalGateOptions) {
        this.#options = options;
        this.#turns = new TurnMeter(options.clock, options.afterTurn);
        this.#busyMs = options.busyMs ?? measureBusyMs;
        this.#admission = new PressureAdmission({
            draw: options.draw,
            nowMs: options.clock.monotonicMs(),
            busyMs: this.#busyMs(),
        });
    }

    /** Returns the response of a request that the host doesn't take. An error of this host is recorded, and the request taken. */
    check(head: ArrivingHead, nowMs: number): ErrorResponse | undefined {
        let refusal: ErrorResponse | undefined;
        this.#boundary.run(() => {
            refusal = this.#check(head, nowMs);
        });
        return refusal;
    }

    #check(head: ArrivingHead, nowMs: number): ErrorResponse | undefined {
        let arriving: DescribedRequest | undefined;
        const decision = this.#admission.decide(nowMs, this.#turns.recordRead(nowMs), this.#busyMs, () => {
            arriving = this.#describe(head);
            return arriving;
        });
        this.#recordPressure();
        this.#reportPressed();
        if (decision.admitted || arriving === undefined) {
            return undefined;
        }
        this.#recordRefusal(decision.reason, arriving.priority);
        this.#options.onRefused();
        return {
            status: 503,
            code: "host.full",
            message: "This host has no room for the request.",
            executed: "no",
            retryAfterMs: decision.retryAfterMs,
        };
    }

    /** Records that an admitted request was received as a whole. */
    recordReceived(): void {
        this.#admission.recordReceived();
    }

    /** Records how long it took to start a received request, in milliseconds; `undefined` if its caller had left. */
    recordStart(elapsedMs: number | undefined): void {
        this.#admission.recordStart(elapsedMs);
    }

    #describe({ hostname, target, headers }: ArrivingHead): DescribedRequest | undefined {
        const active = this.#options.configuration.current();
        const route = active?.routes.find(hostname, target);
        if (active === undefined || route === undefined) {
            return undefined;
        }
        const { waitMs, apiKey, lastEventId } = this.#options.dialect.describeRequest(headers());
        const customer = apiKey === undefined ? undefined : active.customersByKey?.get(apiKey);
        const priority = customer?.priority ?? route.priority;
        return {
            priority,
            urgency: this.#rankPriorities(active).get(priority) ?? 0,
            waitMs: Math.min(route.timeLimitMs, waitMs ?? Infinity),
            objectiveMs: route.objectiveMs,
            isContinuation: lastEventId !== undefined,
        };
    }

    /** Urgency by priority, for the priorities that the configuration names. */
    #rankPriorities(active: ActiveConfiguration): ReadonlyMap<number, number> {
        if (this.#urgencies?.active !== active) {
            const { routes, customers = [] } = active.configuration;
            const priorities = [...routes, ...customers].flatMap(({ priority }) => priority === undefined ? [] : [priority]);
            this.#urgencies = { active, byPriority: rankUrgencies(priorities) };
        }
        return this.#urgencies.byPriority;
    }

    #recordPressure(): void {
        const { isPressed, pressure } = this.#admission;
        if (isPressed === this.#isPressed) {
            return;
        }
        this.#isPressed = isPressed;
        this.#options.log.write(isPressed ? events.pressureStarted : events.pressureEnded, describePressure(pressure));
        this.#options.metrics.setPressure(pressure);
    }

    #reportPressed(): void {
        this.#requests += 1;
        const pressedMs = this.#admission.takePressedMs();
        if (pressedMs > 0) {
            this.#options.onPressed(pressedMs, this.#requests);
        }
        if (pressedMs > 0 || !this.#admission.isPressed) {
            this.#requests = 0;
        }
    }

    #recordRefusal(reason: PressureReason, priority: number): void {
        const counts = this.#refused.get(reason) ?? new Map<number, number>();
        this.#refused.set(reason, counts.set(priority, (counts.get(priority) ?? 0) + 1));
        if (!this.#isSummaryDue) {
            this.#isSummaryDue = true;
            this.#options.clock.after(summaryIntervalMs, () => this.#summarize());
        }
    }

    #summarize(): void {
        this.#isSummaryDue = false;
        const byPriority = new Map<number, number>();
        const byReason = new Map<string, number>();
        for (const [reason, counts] of this.#refused) {
            for (const [priority, count] of counts) {
                this.#options.metrics.recordPressureRefusals(reason, priority, count);
                byReason.set(reason, (byReason.get(reason) ?? 0) + count);
                byPriority.set(priority, (byPriority.get(priority) ?? 0) + count);
            }
        }
        this.#refused.clear();
        const { pressure } = this.#admission;
        this.#options.metrics.setPressure(pressure);
        this.#options.log.write(events.requestsShed, {
            byPriority: describeCounts(byPriority),
            byReason: describeCounts(byReason),
            ...describePressure(pressure),
        });
    }
}

/** Time in which the event loop did not wait for input, in milliseconds. On a host with a share of a core it includes waits for it. */
function measureBusyMs(): number {
    return performance.eventLoopUtilization().active;
}

function describeCounts(counts: ReadonlyMap<string | number, number>): readonly string[] {
    return [...counts].map(([name, count]) => `${name}:${count}`);
}

function describePressure({ utilization, readDelayMs }: HostPressure): EventFields {
    return { utilization: Number(utilization.toFixed(2)), readDelayMs: Math.round(readDelayMs) };
}
