import type { CustomerId, HostId, Kernel, RequestId, Service } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { createAdmission } from "@filbertrelay/policy";
import type { Admission, AdmissionRefusal, CustomerUse, PublishedUse } from "@filbertrelay/policy";
import { match } from "ts-pattern";
import { notRun } from "../caller/error.js";
import type { CallerIssue } from "../caller/error.js";
import type { ConfigurationService, MembershipService } from "../contract.js";
import type { EngineRouter } from "../routing/router.js";

const pollPeriodMs = 50;
const capacityPeriodMs = 100;
const minimumPublishPeriodMs = 1_000;
/** Keeps the bytes spent on shares flat: each host's value reaches every host, so hosts publish less often in a large fleet. */
const publishPeriodPerMemberMs = 50;

/** A published value holds at most 1 KB; customers with little use are left out of a longer one. */
const publishedUseBytes = 900;

/** The name under which hosts publish what their customers use of a model. */
export function gossipUseName(model: string): string {
    return `use.${model}`;
}

/** A model request that asks to start. */
export interface AdmissionTerms {
    readonly requestId: RequestId;
    readonly model: string;
    readonly customer: CustomerId;
    readonly priority: number;
    /** Wall-clock milliseconds by which the first token has to be out. */
    readonly deadlineAt: number;
    readonly expectedFirstTokenMs: number;
}

type AdmissionOutcome = { readonly ok: true; } | { readonly ok: false; readonly issue: CallerIssue; };

/** Admits model requests by customers' shares over all entry hosts; registered as `admission`. */
export class AdmissionControl implements Service {
    readonly #kernel: Kernel;
    readonly #configuration: ConfigurationService;
    readonly #membership: MembershipService;
    readonly #models = new Map<string, Admission>();
    readonly #capacityReadMs = new Map<string, number>();
    readonly #waiting = new Map<string, (outcome: AdmissionOutcome) => void>();
    readonly #stopping = new AbortController();
    readonly #published = new Map<string, string>();

    constructor(kernel: Kernel) {
        this.#kernel = kernel;
        this.#configuration = kernel.get<ConfigurationService>("configuration");
        this.#membership = kernel.get<MembershipService>("membership");
    }

    start(): Promise<void> {
        this.#configuration.onChange(() => this.#models.forEach(admission => admission.setCustomers(this.#customers())));
        void this.#pollLoop();
        void this.#shareLoop();
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#stopping.abort(new Error("Admission stopped."));
        return Promise.resolve();
    }

    /** Resolves when the request may start or is refused. */
    admit(terms: AdmissionTerms): Promise<AdmissionOutcome> {
        const nowMs = this.#kernel.clock.monotonicMs();
        this.#refreshCapacity(terms.model, nowMs);
        const decision = this.#admissionOf(terms.model).request({
            ...terms,
            deadlineMs: nowMs + terms.deadlineAt - this.#kernel.clock.now().getTime(),
        }, nowMs);
        return match(decision)
            .with({ type: "admit" }, () => Promise.resolve<AdmissionOutcome>({ ok: true }))
            .with({ type: "refuse" }, refusal => Promise.resolve<AdmissionOutcome>({ ok: false, issue: toIssue(refusal) }))
            .with({ type: "queue" }, () => new Promise<AdmissionOutcome>(resolve => this.#waiting.set(terms.requestId, resolve)))
            .exhaustive();
    }

    /** Frees the slot of a request that started. */
    finish(model: string, requestId: RequestId): void {
        this.#models.get(model)?.finish(requestId, this.#kernel.clock.monotonicMs());
        this.#poll();
    }

    #refreshCapacity(model: string, nowMs: number): void {
        if (nowMs - (this.#capacityReadMs.get(model) ?? -Infinity) >= capacityPeriodMs) {
            this.#capacityReadMs.set(model, nowMs);
            this.#admissionOf(model).setCapacity(this.#kernel.get<EngineRouter>("routing").slots(model));
        }
    }

    #admissionOf(model: string): Admission {
        const known = this.#models.get(model);
        if (known !== undefined) {
            return known;
        }
        const created = createAdmission({
            hostId: this.#membership.self().hostId,
            customers: this.#customers(),
            capacity: this.#kernel.get<EngineRouter>("routing").slots(model),
        });
        this.#models.set(model, created);
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
        for (const admission of this.#models.values()) {
            for (const update of admission.poll(nowMs)) {
                const outcome: AdmissionOutcome = update.decision.type === "admit" ?
                    { ok: true } :
                    { ok: false, issue: toIssue(update.decision) };
                this.#waiting.get(update.requestId)?.(outcome);
                this.#waiting.delete(update.requestId);
            }
        }
    }

    async #pollLoop(): Promise<void> {
        while (!this.#stopping.signal.aborted) {
            await this.#kernel.clock.sleep(pollPeriodMs, this.#stopping.signal).catch(() => undefined);
            if (this.#waiting.size > 0) {
                this.#poll();
            }
        }
    }

    async #shareLoop(): Promise<void> {
        while (!this.#stopping.signal.aborted) {
            const periodMs = Math.max(minimumPublishPeriodMs, this.#membership.members().length * publishPeriodPerMemberMs);
            await this.#kernel.clock.sleep(periodMs, this.#stopping.signal).catch(() => undefined);
            this.#publishUse();
            this.#takeShares();
        }
    }

    #publishUse(): void {
        for (const [model, admission] of this.#models) {
            const use = limitUse(admission.publishedUse().customers);
            const text = JSON.stringify(use);
            if (text !== (this.#published.get(model) ?? "{}")) {
                this.#published.set(model, text);
                this.#membership.publish(gossipUseName(model), use);
            }
        }
    }

    #takeShares(): void {
        const departed = new Set(
            this.#membership.members().filter(member => member.state === "dead").map(member => member.hostId),
        );
        for (const [model, admission] of this.#models) {
            const published = this.#membership.published(gossipUseName(model));
            this.#refreshCapacity(model, this.#kernel.clock.monotonicMs());
            admission.updateShares(published.map(item => toPublishedUse(item.host, item.value)), departed);
        }
        this.#poll();
    }
}

function toPublishedUse(hostId: HostId, value: unknown): PublishedUse {
    return { hostId, customers: value as Readonly<Record<string, CustomerUse>> };
}

function limitUse(customers: Readonly<Record<string, CustomerUse>>): Readonly<Record<string, CustomerUse>> {
    const ordered = Object.entries(customers).sort(([, left], [, right]) =>
        right.running + right.waiting - left.running - left.waiting
    );
    while (JSON.stringify(Object.fromEntries(ordered)).length > publishedUseBytes) {
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
                notRun(503, "admission.deadline", "The request can't be answered before its deadline at the present load.", {
                    retryAfterMs,
                }),
        )
        .with(
            "queueFull",
            () => notRun(429, "admission.queueFull", "Too many requests of this customer are waiting.", { retryAfterMs }),
        )
        .with("unknownCustomer", () => notRun(403, "admission.unknownCustomer", "The customer is not in the configuration."))
        .exhaustive();
}
