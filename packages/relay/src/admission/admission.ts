import type { CustomerId, HostId, Kernel, RequestId, Service } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { createAdmission } from "@filbertrelay/policy";
import type { Admission, AdmissionRefusal, CustomerUse, PublishedUse } from "@filbertrelay/policy";
import { match } from "ts-pattern";
import { notExecutedIssue } from "../caller/error.js";
import type { CallerIssue } from "../caller/error.js";
import type { ConfigurationService, MembershipService } from "../contract.js";
import type { EngineRouter } from "../routing/router.js";

const pollPeriodMs = 50;
const capacityRefreshPeriodMs = 100;
const minimumPublishPeriodMs = 1_000;
/** Bounds the gossip traffic: each host's value reaches every host, so hosts of a large fleet publish less often. */
const publishPeriodPerMemberMs = 50;

/** Gossip values are limited to 1 KB; the customers with the least usage are left out of a longer one. */
const maximumUsageBytes = 900;

/** The gossip name under which hosts publish their customers' usage of a model. */
export function usageGossipName(model: string): string {
    return `use.${model}`;
}

/** A model request to admit. */
export interface AdmissionRequest {
    readonly requestId: RequestId;
    readonly model: string;
    readonly customer: CustomerId;
    readonly priority: number;
    /** Wall-clock time in milliseconds by which the first token has to be sent. */
    readonly deadlineAt: number;
    readonly expectedFirstTokenMs: number;
}

type AdmissionOutcome = { readonly ok: true; } | { readonly ok: false; readonly issue: CallerIssue; };

/** Admits model requests by customers' fair shares of the capacity over all entry hosts; registered as `admission`. */
export class AdmissionControl implements Service {
    readonly #kernel: Kernel;
    readonly #configuration: ConfigurationService;
    readonly #membership: MembershipService;
    readonly #admissions = new Map<string, Admission>();
    readonly #capacityRefreshedMs = new Map<string, number>();
    readonly #queued = new Map<string, (outcome: AdmissionOutcome) => void>();
    readonly #stopping = new AbortController();
    readonly #published = new Map<string, string>();

    constructor(kernel: Kernel) {
        this.#kernel = kernel;
        this.#configuration = kernel.get<ConfigurationService>("configuration");
        this.#membership = kernel.get<MembershipService>("membership");
    }

    start(): Promise<void> {
        this.#configuration.onChange(() => this.#admissions.forEach(admission => admission.setCustomers(this.#customers())));
        void this.#pollLoop();
        void this.#usageLoop();
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#stopping.abort(new Error("Admission stopped."));
        return Promise.resolve();
    }

    /** Resolves once the request may start or has been refused. */
    admit(request: AdmissionRequest): Promise<AdmissionOutcome> {
        const nowMs = this.#kernel.clock.monotonicMs();
        this.#refreshCapacity(request.model, nowMs);
        const decision = this.#admissionOf(request.model).request({
            ...request,
            deadlineMs: nowMs + request.deadlineAt - this.#kernel.clock.now().getTime(),
        }, nowMs);
        return match(decision)
            .with({ type: "admit" }, () => Promise.resolve<AdmissionOutcome>({ ok: true }))
            .with({ type: "refuse" }, refusal => Promise.resolve<AdmissionOutcome>({ ok: false, issue: toIssue(refusal) }))
            .with({ type: "queue" }, () => new Promise<AdmissionOutcome>(resolve => this.#queued.set(request.requestId, resolve)))
            .exhaustive();
    }

    /** Frees the slot of an admitted request. */
    finish(model: string, requestId: RequestId): void {
        this.#admissions.get(model)?.finish(requestId, this.#kernel.clock.monotonicMs());
        this.#poll();
    }

    #refreshCapacity(model: string, nowMs: number): void {
        if (nowMs - (this.#capacityRefreshedMs.get(model) ?? -Infinity) >= capacityRefreshPeriodMs) {
            this.#capacityRefreshedMs.set(model, nowMs);
            this.#admissionOf(model).setCapacity(this.#kernel.get<EngineRouter>("routing").slots(model));
        }
    }

    #admissionOf(model: string): Admission {
        const known = this.#admissions.get(model);
        if (known !== undefined) {
            return known;
        }
        const created = createAdmission({
            hostId: this.#membership.self().hostId,
            customers: this.#customers(),
            capacity: this.#kernel.get<EngineRouter>("routing").slots(model),
        });
        this.#admissions.set(model, created);
        return created;
    }

    #customers(): { customer: CustomerId; weight: number; concurrencyLimit: number; }[] {
        return this.#configuration.current().customers.map(({ name, weight, concurrencyLimit }) => ({
            customer: brandAs<CustomerId>(name),
            weight,
            concurrencyLimit,
        }));
    }

    #poll(): void {
        const nowMs = this.#kernel.clock.monotonicMs();
        for (const admission of this.#admissions.values()) {
            for (const update of admission.poll(nowMs)) {
                const outcome: AdmissionOutcome = update.decision.type === "admit" ?
                    { ok: true } :
                    { ok: false, issue: toIssue(update.decision) };
                this.#queued.get(update.requestId)?.(outcome);
                this.#queued.delete(update.requestId);
            }
        }
    }

    async #pollLoop(): Promise<void> {
        while (!this.#stopping.signal.aborted) {
            await this.#kernel.clock.sleep(pollPeriodMs, this.#stopping.signal).catch(() => undefined);
            if (this.#queued.size > 0) {
                this.#poll();
            }
        }
    }

    async #usageLoop(): Promise<void> {
        while (!this.#stopping.signal.aborted) {
            const periodMs = Math.max(minimumPublishPeriodMs, this.#membership.members().length * publishPeriodPerMemberMs);
            await this.#kernel.clock.sleep(periodMs, this.#stopping.signal).catch(() => undefined);
            this.#publishUsage();
            this.#applyPublishedUsage();
        }
    }

    #publishUsage(): void {
        for (const [model, admission] of this.#admissions) {
            const usage = truncateUsage(admission.publishedUse().customers);
            const serialized = JSON.stringify(usage);
            if (serialized !== (this.#published.get(model) ?? "{}")) {
                this.#published.set(model, serialized);
                this.#membership.publish(usageGossipName(model), usage);
            }
        }
    }

    #applyPublishedUsage(): void {
        const deadHosts = new Set(
            this.#membership.members().filter(member => member.state === "dead").map(member => member.hostId),
        );
        for (const [model, admission] of this.#admissions) {
            const published = this.#membership.published(usageGossipName(model));
            this.#refreshCapacity(model, this.#kernel.clock.monotonicMs());
            admission.updateShares(published.map(item => toPublishedUse(item.host, item.value)), deadHosts);
        }
        this.#poll();
    }
}

function toPublishedUse(hostId: HostId, value: unknown): PublishedUse {
    return { hostId, customers: value as Readonly<Record<string, CustomerUse>> };
}

function truncateUsage(customers: Readonly<Record<string, CustomerUse>>): Readonly<Record<string, CustomerUse>> {
    const ordered = Object.entries(customers).sort(([, left], [, right]) =>
        right.running + right.waiting - left.running - left.waiting
    );
    while (JSON.stringify(Object.fromEntries(ordered)).length > maximumUsageBytes) {
        ordered.pop();
    }
    return Object.fromEntries(ordered);
}

function toIssue(refusal: AdmissionRefusal): CallerIssue {
    const { retryAfterMs } = refusal;
    return match(refusal.reason)
        .with(
            "deadline",
            () =>
                notExecutedIssue(
                    503,
                    "admission.deadline",
                    "The request can't be served before its deadline at the current load.",
                    {
                        retryAfterMs,
                    },
                ),
        )
        .with(
            "queueFull",
            () =>
                notExecutedIssue(429, "admission.queueFull", "Too many requests of this customer are queued.", { retryAfterMs }),
        )
        .with(
            "unknownCustomer",
            () => notExecutedIssue(403, "admission.unknownCustomer", "The customer is not in the configuration."),
        )
        .exhaustive();
}
