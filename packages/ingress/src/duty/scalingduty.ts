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
import type { Lead } from "./lead.js";

/** How often the plan is made anew. */
const tickMs = 500;
/** Part of an endpoint's time that may be busy; the rest keeps waiting short when requests come in bunches. */
const targetUtilization = 0.5;
/** Part that is busy when requests begin to miss their objectives. */
const fullUtilization = 0.85;
/** Endpoints that are needed at the least, so that a loss of one leaves others. */
const leastEndpoints = 4;
/** How long a peak keeps its endpoints. */
const peakHoldMs = 20_000;
const requirement = { targetUtilization, minimum: leastEndpoints, holdMs: peakHoldMs };
/** A host orders nothing before it has known endpoints of the service for this long: all of them appear within it. */
const observeMs = 1_600;
/** Without any endpoint of the service it orders after this time. */
const observeNothingMs = 2_900;
/** Beyond the time to start an endpoint, an order that shows no effect is repeated. */
const orderMarginMs = 2_500;
/** Delays after a refused order of reclaimable endpoints. */
const refusalBackoff = { initialMs: 2_500, maximumMs: 6_000 };

/** How long a reclaim or a refusal is taken to tell of more; refused orders are tried again within this time. */
const scarceMs = 6_000;

interface SentOrder {
    readonly count: number;
    readonly sentMs: number;
}

/** Orders endpoints for the services that can be scaled, while this host holds the duties. */
export class ScalingDuty implements Service {
    readonly #clock: Clock;
    readonly #log: EventLog;
    readonly #lead: Lead;
    readonly #duties: DutyCalls;
    readonly #configuration: ConfigurationState;
    readonly #endpoints: EndpointTable;
    readonly #demand: DemandMeter;
    readonly #required = new Map<string, RequiredEndpoints>();
    readonly #refusals: StartBackoff = createStartBackoff(refusalBackoff);
    readonly #orders = new Map<string, SentOrder>();
    readonly #scarceUntilMs = new Map<string, number>();
    /** When endpoints of a service were first known. */
    readonly #knownMs = new Map<string, number>();
    readonly #createdMs: number;
    readonly #task: RepeatedTask;

    constructor(
        options: {
            readonly clock: Clock;
            readonly log: EventLog;
            readonly lead: Lead;
            readonly duties: DutyCalls;
            readonly configuration: ConfigurationState;
            readonly endpoints: EndpointTable;
            readonly demand: DemandMeter;
        },
    ) {
        this.#clock = options.clock;
        this.#task = new RepeatedTask(options.clock, { work: () => this.#run(), pauseMs: () => tickMs });
        this.#log = options.log;
        this.#lead = options.lead;
        this.#duties = options.duties;
        this.#configuration = options.configuration;
        this.#endpoints = options.endpoints;
        this.#demand = options.demand;
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
            if (service.scaling !== undefined) {
                await this.#scale(service, service.scaling);
            }
        }
    }

    async #scale(service: IngressService, scaling: Scaling): Promise<void> {
        const nowMs = this.#clock.monotonicMs();
        const demand = this.#demand.demand(service.name, nowMs);
        const failureDomains = Object.keys(scaling.domainPrices).length;
        const requiredEndpoints = this.#requiredOf(service.name, failureDomains, nowMs).update(demand, nowMs);
        const essentialEndpoints = Math.ceil(requiredEndpoints * targetUtilization / fullUtilization);
        const serving = this.#countServing(service.name);
        if (this.#lead.holder() === undefined || this.#isObserving(service.name, nowMs)) {
            this.#orders.clear();
            return;
        }
        const isScarce = this.#noteScarcity(service.name, serving, nowMs);
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

    /** Sends an order that differs from what runs, unless it was sent and may still take effect. */
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
        const isPending = sent?.count === order.count && nowMs - sent.sentMs < scaling.startSeconds * 1_000 + orderMarginMs;
        const holder = this.#lead.holder();
        if (
            holder === undefined || isPending || (running === order.count && (sent === undefined || sent.count === order.count))
        ) {
            return;
        }
        this.#orders.set(key, { count: order.count, sentMs: nowMs });
        const ordered = await this.#lead.act(current => this.#duties.orderEndpoints(current, order));
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
            this.#lead.yieldTo("the platform knows a later holder");
        }
        else if (ordered.issue.code === "duty.refused" && order.isReclaimable) {
            this.#refusals.recordRefusal(order.failureDomain, nowMs);
        }
        this.#orders.delete(key);
    }

    /** Whether a failure domain has just lost its reclaimable endpoints, or an order of some was refused. */
    #noteScarcity(service: string, serving: ReadonlyMap<string, DomainCounts>, nowMs: number): boolean {
        const isReclaimed = this.#endpoints.ofService(service).some(endpoint =>
            endpoint.isLeaving && endpoint.isReclaimable && (serving.get(endpoint.failureDomain)?.reclaimable ?? 0) === 0
        );
        if (isReclaimed || this.#refusals.excluded(nowMs).size > 0) {
            this.#scarceUntilMs.set(service, nowMs + scarceMs);
        }
        return nowMs < (this.#scarceUntilMs.get(service) ?? -Infinity);
    }

    #requiredOf(service: string, failureDomains: number, nowMs: number): RequiredEndpoints {
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
        const isKnown = this.#endpoints.usable(service).length > 0;
        const knownMs = this.#knownMs.get(service) ?? (isKnown ? nowMs : undefined);
        if (knownMs === undefined) {
            return nowMs - this.#createdMs < observeNothingMs;
        }
        this.#knownMs.set(service, knownMs);
        return nowMs - knownMs < observeMs;
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
