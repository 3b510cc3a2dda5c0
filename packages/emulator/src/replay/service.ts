import { createVirtualClock } from "@filbertrelay/kernel";
import type { CustomerId, EndpointId, FailureDomainId, HostId, VirtualClock } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { createAdmission, createRetryBudget, planRecovery } from "@filbertrelay/policy";
import type {
    Admission,
    AdmissionCustomer,
    AdmissionUpdate,
    InterruptionCause,
    PublishedUse,
    RetryBudget,
} from "@filbertrelay/policy";
import type { EngineEnd, EngineOptions } from "../engine/engine.js";
import { createRandom } from "../random.js";
import { createFleet, observeFleet } from "./fleet.js";
import type { FleetEngine, FleetObserver } from "./fleet.js";
import type { Arrival, ReplayRequest } from "./request.js";
import type { Router, RouterFactory } from "./router.js";

/** What became of one request of a service run. */
export interface ServiceRecord {
    readonly request: ReplayRequest;
    readonly arrivedMs: number;
    admittedMs?: number;
    firstTokenMs?: number;
    finishedMs?: number;
    outcome: "open" | "done" | "refused" | "failed";
    attempts: number;
    /** Attempts that an engine refused without running anything. */
    refusals: number;
    forwardedTokens: number;
    computedTokens: number;
    /** Tokens computed by attempts that crashed. */
    lostTokens: number;
}

/** Options of `runService`. */
export interface ServiceOptions {
    readonly arrivals: readonly Arrival[];
    readonly router: RouterFactory;
    readonly hosts: number;
    readonly engines: number;
    readonly failureDomains: readonly string[];
    readonly engineOptions: Omit<EngineOptions, "clock">;
    readonly customers: readonly AdmissionCustomer[];
    /** Without admission every request is sent at once. */
    readonly admission: boolean;
    /** Retries earned per first attempt; `undefined` allows all retries. */
    readonly retryRatio?: number;
    /** Crashes the first engines at a time, for good or, with `repeatMs`, again and again after they were up. */
    readonly failure?: {
        readonly atMs: number;
        readonly engines: number;
        readonly repeatMs?: number;
        readonly untilMs?: number;
    };
    readonly seed: number;
}

interface ServiceHost {
    readonly admission: Admission;
    readonly router: Router;
    readonly budget: RetryBudget;
    /** Engines that did not answer; left out until they report again. */
    readonly down: Set<EndpointId>;
    readonly queued: Map<string, ServiceRecord>;
}

/** Interval at which hosts publish their use, and the time that it takes to arrive. */
const publishIntervalMs = 500;
const publishDelayMs = 1000;

/** Prompt tokens per second assumed for the expected time to the first token. */
const assumedTokensPerSecond = 6000;

/** Runs requests through admission, routing and retries of independent entry hosts, until all have ended. */
export function runService(options: ServiceOptions): readonly ServiceRecord[] {
    return new ServiceRun(createVirtualClock(), options).complete();
}

class ServiceRun {
    readonly #clock: VirtualClock;
    readonly #options: ServiceOptions;
    readonly #fleet: readonly FleetEngine[];
    readonly #hosts: readonly ServiceHost[];
    readonly #records: ServiceRecord[] = [];
    #open: number;

    constructor(clock: VirtualClock, options: ServiceOptions) {
        this.#clock = clock;
        this.#options = options;
        this.#fleet = createFleet({ clock, ...options });
        const random = createRandom(options.seed);
        this.#hosts = Array.from({ length: options.hosts }).map((...[, index]) => this.#createHost(index, random.unit(), random));
        this.#open = options.arrivals.length;
    }

    complete(): readonly ServiceRecord[] {
        const { failure } = this.#options;
        this.#options.arrivals.forEach(arrival => this.#clock.after(arrival.atMs, () => this.#arrive(arrival)));
        if (failure !== undefined) {
            this.#clock.after(failure.atMs, () => this.#fail(failure));
        }
        this.#exchange();
        while (this.#open > 0 && this.#clock.step()) {
            // Each step runs one event.
        }
        return this.#records;
    }

    #fail(failure: NonNullable<ServiceOptions["failure"]>): void {
        const { repeatMs, untilMs = Infinity } = failure;
        const again = repeatMs !== undefined && this.#clock.monotonicMs() + repeatMs < untilMs;
        this.#fleet.slice(0, failure.engines).forEach(({ engine }) => engine.crash(repeatMs === undefined ? Infinity : 1000));
        if (again) {
            this.#clock.after(repeatMs, () => this.#fail(failure));
        }
    }

    #createHost(index: number, phase: number, random: ReturnType<typeof createRandom>): ServiceHost {
        const router = this.#options.router(this.#fleet, random);
        const host: ServiceHost = {
            router,
            admission: createAdmission({
                hostId: brandAs<HostId>(`host-${index}`),
                customers: this.#options.customers,
                capacity: this.#countSlots(new Set()),
            }),
            budget: createRetryBudget({
                ratio: this.#options.retryRatio ?? Infinity,
                burst: this.#options.retryRatio === undefined ? Infinity : 3,
            }),
            down: new Set(),
            queued: new Map(),
        };
        const observer: FleetObserver = {
            recordUnreachable: endpointId => this.#markDown(host, endpointId),
            recordReport: (endpointId, report) => {
                this.#markUp(host, endpointId);
                router.recordReport(endpointId, report);
            },
            applyCacheEvents: (endpointId, events) => router.applyCacheEvents(endpointId, events),
        };
        observeFleet(this.#fleet, observer, { clock: this.#clock, intervalMs: 250, phaseMs: 250 * phase });
        this.#pollLater(host, 250 * phase);
        return host;
    }

    #countSlots(down: ReadonlySet<EndpointId>): number {
        const slots = this.#options.engineOptions.batchSlots ?? 24;
        return slots * this.#fleet.filter(({ endpointId }) => !down.has(endpointId)).length;
    }

    #pollLater(host: ServiceHost, delayMs: number): void {
        this.#clock.after(delayMs, () => {
            this.#poll(host);
            this.#pollLater(host, 100);
        });
    }

    /** Publishes every host's use to the others, late. */
    #exchange(): void {
        const published: readonly PublishedUse[] = this.#hosts.map(host => host.admission.publishedUse());
        this.#clock.after(publishDelayMs, () => this.#hosts.forEach(host => host.admission.updateShares(published)));
        this.#clock.after(publishIntervalMs, () => this.#exchange());
    }

    #arrive({ request, host: hostNumber }: Arrival): void {
        const host = this.#hosts[hostNumber];
        if (host === undefined) {
            throw new RangeError(`There is no entry host ${hostNumber}.`);
        }
        const nowMs = this.#clock.monotonicMs();
        const record: ServiceRecord = {
            request,
            arrivedMs: nowMs,
            outcome: "open",
            attempts: 0,
            forwardedTokens: 0,
            computedTokens: 0,
            refusals: 0,
            lostTokens: 0,
        };
        this.#records.push(record);
        if (!this.#options.admission) {
            this.#start(host, record);
            return;
        }
        const decision = host.admission.request({
            requestId: request.id,
            customer: request.customer,
            priority: request.priority,
            deadlineMs: nowMs + request.deadlineMs,
            expectedFirstTokenMs: 1000 * request.prompt.promptTokens / assumedTokensPerSecond,
        }, nowMs);
        if (decision.type === "admit") {
            this.#start(host, record);
        }
        else if (decision.type === "queue") {
            host.queued.set(request.id, record);
        }
        else {
            this.#close(record, "refused");
        }
    }

    #poll(host: ServiceHost): void {
        for (const { requestId, decision } of host.admission.poll(this.#clock.monotonicMs()) as readonly AdmissionUpdate[]) {
            const record = host.queued.get(requestId);
            host.queued.delete(requestId);
            if (record !== undefined && decision.type === "admit") {
                this.#start(host, record);
            }
            else if (record !== undefined) {
                this.#close(record, "refused");
            }
        }
    }

    #start(host: ServiceHost, record: ServiceRecord): void {
        record.admittedMs = this.#clock.monotonicMs();
        host.budget.recordAttempt(record.request.customer, "model");
        this.#dispatch(host, record, new Set());
    }

    #dispatch(host: ServiceHost, record: ServiceRecord, failedDomains: ReadonlySet<FailureDomainId>): void {
        const { request } = record;
        const limits = { excluded: host.down, avoidedFailureDomains: failedDomains };
        const endpointId = host.router.choose(request, this.#clock.now(), limits);
        const target = this.#fleet.find(engine => engine.endpointId === endpointId);
        if (target === undefined) {
            this.#finish(host, record, "failed");
            return;
        }
        record.attempts += 1;
        const { prompt, priority, answerTokens } = request;
        const knownTokens = record.forwardedTokens;
        target.engine.submit({ requestId: request.id, prompt, priority, maxTokens: answerTokens, answerTokens, knownTokens }, {
            token: offset => this.#recordToken(host, record, target, offset),
            end: end => this.#recordEnd(host, record, target, end),
        });
    }

    #recordToken(host: ServiceHost, record: ServiceRecord, { endpointId }: FleetEngine, offset: number): void {
        if (record.forwardedTokens === offset - 1) {
            record.forwardedTokens = offset;
        }
        if (record.firstTokenMs === undefined) {
            record.firstTokenMs = this.#clock.monotonicMs();
            host.router.recordFirstToken(endpointId, record.request, this.#clock.now());
        }
    }

    #recordEnd(host: ServiceHost, record: ServiceRecord, target: FleetEngine, end: EngineEnd): void {
        const { request } = record;
        host.router.recordFinish(target.endpointId, request, this.#clock.now());
        record.computedTokens += end.computedTokens;
        record.refusals += end.reason === "refused" ? 1 : 0;
        if (end.reason === "stop" || end.reason === "length") {
            this.#finish(host, record, "done");
            return;
        }
        this.#markDown(host, target.endpointId);
        record.lostTokens += end.computedTokens;
        this.#recover(host, record, target, end.reason === "refused" ? "refused" : "crashed");
    }

    #recover(host: ServiceHost, record: ServiceRecord, target: FleetEngine, cause: InterruptionCause): void {
        const { request } = record;
        const plan = planRecovery({
            cause,
            endpointId: target.endpointId,
            promptTokens: request.prompt.promptTokens,
            forwardedTokens: record.forwardedTokens,
            reconnects: 0,
            attemptsElsewhere: record.attempts - 1,
            remainingMs: record.arrivedMs + request.deadlineMs - this.#clock.monotonicMs(),
            retryAllowed: host.budget.tryRetry(request.customer, "model"),
        });
        if (plan.action === "resumeElsewhere") {
            this.#dispatch(host, record, new Set([target.failureDomain]));
        }
        else if (plan.action === "wait") {
            this.#clock.after(plan.retryAfterMs, () => this.#recover(host, record, target, cause));
        }
        else {
            this.#finish(host, record, "failed");
        }
    }

    #markDown(host: ServiceHost, endpointId: EndpointId): void {
        if (!host.down.has(endpointId)) {
            host.down.add(endpointId);
            host.router.forget(endpointId);
            host.admission.setCapacity(this.#countSlots(host.down));
        }
    }

    #markUp(host: ServiceHost, endpointId: EndpointId): void {
        if (host.down.delete(endpointId)) {
            host.admission.setCapacity(this.#countSlots(host.down));
        }
    }

    #finish(host: ServiceHost, record: ServiceRecord, outcome: "done" | "failed"): void {
        host.admission.finish(record.request.id, this.#clock.monotonicMs());
        this.#close(record, outcome);
        this.#poll(host);
    }

    #close(record: ServiceRecord, outcome: ServiceRecord["outcome"]): void {
        record.outcome = outcome;
        record.finishedMs = this.#clock.monotonicMs();
        this.#open -= 1;
    }
}

/** Customers of a trace as the admission takes them. */
export function listCustomers(
    customers: readonly { readonly name: string; readonly weight: number; readonly concurrencyLimit: number; }[],
): readonly AdmissionCustomer[] {
    return customers.map(({ name, weight, concurrencyLimit }) => ({
        customer: brandAs<CustomerId>(name),
        weight,
        concurrencyLimit,
    }));
}
