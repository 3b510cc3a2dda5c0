import type { IngressService, Scaling } from "@filbertrelay/configuration";
import { brandAs, RepeatedTask } from "@filbertrelay/kernel";
import type { Clock, EventLog, FailureDomainId, Service } from "@filbertrelay/kernel";
import {
    createRequiredEndpoints,
    createStartBackoff,
    estimateInitialRequirement,
    planEndpoints,
} from "@filbertrelay/policy/ingress";
import type { DemandMeter, DomainCounts, RequiredEndpoints, StartBackoff } from "@filbertrelay/policy/ingress";
import type { DutyCalls, EndpointOrder } from "../contract.js";
import { fleetEvents as events } from "../fleet/event.js";
import type { ConfigurationState } from "../state/configuration.js";
import type { EndpointTable } from "../state/endpoints.js";
import type { DutyLease } from "./lease.js";

/** Interval between plans. */
const tickMs = 500;
/** Target utilization of an endpoint; the rest keeps queues short during bursts. */
const targetUtilization = 0.5;
/** Utilization above which requests begin to miss their latency objectives. */
const fullUtilization = 0.85;
/** Minimum number of endpoints of a service, so that others remain when one is lost. */
const minEndpoints = 4;
/** The endpoints required by a peak are kept for this long. */
const peakHoldMs = 20_000;
const requirement = { targetUtilization, minimum: minEndpoints, holdMs: peakHoldMs };
/** A host orders nothing for this long after it first saw endpoints of a service, so that it has seen all of them. */
const observationMs = 1_600;
/** The same time, from the start, when the host has seen no endpoint of the service. */
const emptyObservationMs = 2_900;
/** An order without effect is sent again after the time to start an endpoint plus this margin. */
const orderEffectMarginMs = 2_500;
/** Backoff after a refused order of reclaimable endpoints. */
const refusalBackoff = { initialMs: 2_500, maximumMs: 6_000 };

/** After a reclaim or a refusal, capacity counts as scarce for this long; refused orders are retried within it. */
const scarcityHoldMs = 6_000;

interface SentOrder {
    readonly count: number;
    readonly sentMs: number;
}

/** Scales services by ordering endpoints while this host is the duty holder. */
export class EndpointScaler implements Service {
    readonly #clock: Clock;
    readonly #log: EventLog;
    readonly #dutyLease: DutyLease;
    readonly #duties: DutyCalls;
    readonly #configuration: ConfigurationState;
    readonly #endpoints: EndpointTable;
    readonly #demand: DemandMeter;
    readonly #isRollingOut: (service: string) => boolean;
    readonly #required = new Map<string, RequiredEndpoints>();
    readonly #refusals: StartBackoff = createStartBackoff(refusalBackoff);
    readonly #orders = new Map<string, SentOrder>();
    readonly #scarceUntilMs = new Map<string, number>();
    /** When the first endpoint of each service was seen. */
    readonly #firstSeenMs = new Map<string, number>();
    readonly #createdMs: number;
    readonly #task: RepeatedTask;

    constructor(
        options: {
            readonly clock: Clock;
            readonly log: EventLog;
            readonly lead: DutyLease;
            readonly duties: DutyCalls;
            readonly configuration: ConfigurationState;
            readonly endpoints: EndpointTable;
            readonly demand: DemandMeter;
            /** Whether a roll-out of a service is in progress; its endpoints are not ordered then, since orders name no version. */
            readonly isRollingOut: (service: string) => boolean;
        },
    ) {
        this.#clock = options.clock;
        this.#task = new RepeatedTask(options.clock, { work: () => this.#run(), pauseMs: () => tickMs });
        this.#log = options.log;
        this.#dutyLease = options.lead;
        this.#duties = options.duties;
        this.#configuration = options.configuration;
        this.#endpoints = options.endpoints;
        this.#demand = options.demand;
        this.#isRollingOut = options.isRollingOut;
        this.#createdMs = options.clock.monotonicMs();
    }

    start(): Promise<void> {
        this.#task.start();
        return Promise.resolve();
    }

    async stop(): Promise<void> {
        await this.#task.stop();
    }

    async #run(): Promise<void> {
        for (const service of this.#configuration.current()?.configuration.services ?? []) {
            if (service.scaling !== undefined && !this.#isRollingOut(service.name)) {
                await this.#scale(service, service.scaling);
            }
        }
    }

    async #scale(service: IngressService, scaling: Scaling): Promise<void> {
        const nowMs = this.#clock.monotonicMs();
        const demand = this.#demand.demand(service.name, nowMs);
        const failureDomains = Object.keys(scaling.domainPrices).length;
        const requiredEndpoints = this.#getRequired(service.name, failureDomains, nowMs).update(demand, nowMs);
        const essentialEndpoints = Math.ceil(requiredEndpoints * targetUtilization / fullUtilization);
        const serving = this.#countServing(service.name);
        if (this.#dutyLease.holder() === undefined || this.#isObserving(service.name, nowMs)) {
            this.#orders.clear();
            return;
        }
        const isScarce = this.#updateScarcity(service.name, serving, nowMs);
        const plan = planEndpoints({ scaling, requiredEndpoints, essentialEndpoints, serving, isScarce });
        for (const [domain, wanted] of plan) {
            const running = serving.get(domain) ?? { reclaimable: 0, onDemand: 0 };
            const failureDomain = brandAs<FailureDomainId>(domain);
            const common = { service: service.name, failureDomain };
            const details = { demand: Math.round(demand * 100) / 100, requiredEndpoints, essentialEndpoints, isScarce };
            await this.#order(
                { ...common, count: wanted.reclaimable, isReclaimable: true },
                running.reclaimable,
                scaling,
                details,
            );
            await this.#order({ ...common, count: wanted.onDemand, isReclaimable: false }, running.onDemand, scaling, details);
        }
    }

    /** Orders a number of endpoints if it differs from what is running, unless the same order is pending. */
    async #order(
        order: EndpointOrder,
        running: number,
        scaling: Scaling,
        details: Readonly<Record<string, number | boolean>>,
    ): Promise<void> {
        const key = `${order.service}/${order.failureDomain}/${order.isReclaimable ? "reclaimable" : "onDemand"}`;
        const nowMs = this.#clock.monotonicMs();
        const sent = this.#orders.get(key);
        if (order.isReclaimable && order.count > running && this.#refusals.excluded(nowMs).has(order.failureDomain)) {
            return;
        }
        const isPending = sent?.count === order.count && nowMs - sent.sentMs < scaling.startSeconds * 1_000 + orderEffectMarginMs;
        const holder = this.#dutyLease.holder();
        if (
            holder === undefined || isPending || (running === order.count && (sent === undefined || sent.count === order.count))
        ) {
            return;
        }
        this.#orders.set(key, { count: order.count, sentMs: nowMs });
        const ordered = await this.#dutyLease.runWhileHeld(current => this.#duties.orderEndpoints(current, order));
        if (ordered === undefined) {
            this.#orders.delete(key);
            return;
        }
        const fields = {
            service: order.service,
            failureDomain: order.failureDomain,
            count: order.count,
            isReclaimable: order.isReclaimable,
            running,
            term: holder.fencingToken,
            ...details,
        };
        if (ordered.ok) {
            this.#refusals.recordStart(order.failureDomain);
            this.#log.write(events.endpointsOrdered, fields);
            return;
        }
        this.#log.write(events.orderFailed, { ...fields, code: ordered.issue.code, message: ordered.issue.message });
        if (ordered.issue.code === "duty.staleToken") {
            this.#dutyLease.giveUp("the platform has seen a newer fencing token");
        }
        else if (ordered.issue.code === "duty.refused" && order.isReclaimable) {
            this.#refusals.recordRefusal(order.failureDomain, nowMs);
        }
        this.#orders.delete(key);
    }

    /** Whether a failure domain has recently lost all its reclaimable endpoints or an order of such endpoints was refused. */
    #updateScarcity(service: string, serving: ReadonlyMap<string, DomainCounts>, nowMs: number): boolean {
        const isReclaimed = this.#endpoints.ofService(service).some(endpoint =>
            endpoint.isLeaving && endpoint.isReclaimable && (serving.get(endpoint.failureDomain)?.reclaimable ?? 0) === 0
        );
        if (isReclaimed || this.#refusals.excluded(nowMs).size > 0) {
            this.#scarceUntilMs.set(service, nowMs + scarcityHoldMs);
        }
        return nowMs < (this.#scarceUntilMs.get(service) ?? -Infinity);
    }

    #getRequired(service: string, failureDomains: number, nowMs: number): RequiredEndpoints {
        const required = this.#required.get(service) ?? createRequiredEndpoints(requirement);
        this.#required.set(service, required);
        if (this.#isObserving(service, nowMs)) {
            const usable = this.#endpoints.usable(service);
            const reclaimable = usable.filter(({ isReclaimable }) => isReclaimable).length;
            const found = { onDemand: usable.length - reclaimable, reclaimable, failureDomains, targetUtilization };
            required.assume(estimateInitialRequirement(found), nowMs);
        }
        return required;
    }

    #isObserving(service: string, nowMs: number): boolean {
        const hasUsable = this.#endpoints.usable(service).length > 0;
        const firstSeenMs = this.#firstSeenMs.get(service) ?? (hasUsable ? nowMs : undefined);
        if (firstSeenMs === undefined) {
            return nowMs - this.#createdMs < emptyObservationMs;
        }
        this.#firstSeenMs.set(service, firstSeenMs);
        return nowMs - firstSeenMs < observationMs;
    }

    #countServing(service: string): ReadonlyMap<string, DomainCounts> {
        const counts = new Map<string, DomainCounts>();
        for (const endpoint of this.#endpoints.usable(service)) {
            const known = counts.get(endpoint.failureDomain) ?? { reclaimable: 0, onDemand: 0 };
            counts.set(
                endpoint.failureDomain,
                endpoint.isReclaimable ?
                    { ...known, reclaimable: known.reclaimable + 1 } :
                    { ...known, onDemand: known.onDemand + 1 },
            );
        }
        return counts;
    }
}
