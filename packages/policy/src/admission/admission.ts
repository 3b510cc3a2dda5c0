import type { CustomerId, HostId } from "@filbertrelay/kernel";
import { allocateShares } from "./share.js";
import type { ShareDemand } from "./share.js";

/** A model request that asks for a batch slot. */
export interface AdmissionRequest {
    readonly requestId: string;
    readonly customer: CustomerId;
    /** Smaller is more urgent. */
    readonly priority: number;
    /** Monotonic time by which the first token has to be out. */
    readonly deadlineMs: number;
    /** Expected time from admission to the first token. */
    readonly expectedFirstTokenMs: number;
}

/** Why a request is refused; it was not run. */
export type RefusalReason = "deadline" | "queueFull" | "unknownCustomer";

/** A refusal, with the time after which another attempt may be admitted. */
export interface AdmissionRefusal {
    readonly type: "refuse";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
}

/** The answer to a request for admission. */
export type AdmissionDecision =
    | { readonly type: "admit"; }
    | { readonly type: "queue"; readonly position: number; readonly expectedWaitMs: number; }
    | AdmissionRefusal;

/** A later answer to a request that was queued. */
export interface AdmissionUpdate {
    readonly requestId: string;
    readonly decision: { readonly type: "admit"; } | AdmissionRefusal;
}

/** Slots that one customer uses and waits for at one host. */
export interface CustomerUse {
    readonly running: number;
    readonly waiting: number;
}

/** What a host publishes about its customers. */
export interface PublishedUse {
    readonly hostId: HostId;
    readonly customers: Readonly<Record<string, CustomerUse>>;
}

/** A customer as the admission sees it. */
export interface AdmissionCustomer {
    readonly customer: CustomerId;
    readonly weight: number;
    /** Requests in progress over all hosts. */
    readonly concurrencyLimit: number;
}

/** Options of `createAdmission`. */
export interface AdmissionOptions {
    readonly hostId: HostId;
    readonly customers: readonly AdmissionCustomer[];
    /** Batch slots of all endpoints together. */
    readonly capacity: number;
    /** Upper limit of requests that wait at this host per customer; 1000 by default. */
    readonly maximumWaiting?: number;
    /** Assumed time in a slot until requests finished; 5 s by default. */
    readonly defaultSlotHoldMs?: number;
}

/** Decides at one host which model requests start, wait or are refused. */
export interface Admission {
    request(request: AdmissionRequest, nowMs: number): AdmissionDecision;
    /** Admits queued requests that fit and refuses those that can't meet their deadline any more. */
    poll(nowMs: number): readonly AdmissionUpdate[];
    /** Frees the slot of an admitted request, however it ended. */
    finish(requestId: string, nowMs: number): void;
    /** Removes a queued request whose caller has gone. */
    cancel(requestId: string): void;
    /** Takes the use that other hosts published. A host that is absent keeps its last use, as in a partition, unless it is in `departed`. */
    updateShares(published: readonly PublishedUse[], departed?: ReadonlySet<HostId>): void;
    /** What this host publishes. */
    publishedUse(): PublishedUse;
    /** Takes the slots of all live endpoints. */
    setCapacity(capacity: number): void;
    /** Takes customers from a new configuration. */
    setCustomers(customers: readonly AdmissionCustomer[]): void;
    /** Slots that a customer may use at this host now. */
    localLimit(customer: CustomerId): number;
}

/** Creates the admission of one host. */
export function createAdmission(options: AdmissionOptions): Admission {
    return new FairAdmission(options);
}

interface CustomerState {
    readonly settings: AdmissionCustomer;
    readonly running: Map<string, number>;
    readonly waiting: AdmissionRequest[];
    slotHoldMs: number;
}

/** Weight of a new observation in the mean time in a slot. */
const holdSmoothing = 0.05;

class FairAdmission implements Admission {
    readonly #hostId: HostId;
    readonly #maximumWaiting: number;
    readonly #defaultSlotHoldMs: number;
    readonly #customers = new Map<CustomerId, CustomerState>();
    readonly #owners = new Map<string, CustomerId>();
    readonly #others = new Map<HostId, PublishedUse>();
    #othersUse = new Map<string, number>();
    #capacity: number;

    constructor(options: AdmissionOptions) {
        this.#hostId = options.hostId;
        this.#maximumWaiting = options.maximumWaiting ?? 1000;
        this.#defaultSlotHoldMs = options.defaultSlotHoldMs ?? 5000;
        this.#capacity = options.capacity;
        this.setCustomers(options.customers);
    }

    request(request: AdmissionRequest, nowMs: number): AdmissionDecision {
        const state = this.#customers.get(request.customer);
        if (state === undefined) {
            return { type: "refuse", reason: "unknownCustomer", retryAfterMs: 0 };
        }
        const position = insertionIndex(state.waiting, request);
        state.waiting.splice(position, 0, request);
        const limit = this.localLimit(request.customer);
        if (position === 0 && state.running.size < limit) {
            this.#admit(state, request, nowMs);
            return { type: "admit" };
        }
        const expectedWaitMs = expectWaitMs(state, position, limit);
        const refusal = this.#refuseEarly(state, request, expectedWaitMs, nowMs);
        if (refusal !== undefined) {
            state.waiting.splice(position, 1);
            return refusal;
        }
        this.#owners.set(request.requestId, request.customer);
        return { type: "queue", position, expectedWaitMs };
    }

    poll(nowMs: number): readonly AdmissionUpdate[] {
        const updates: AdmissionUpdate[] = [];
        for (const [customer, state] of this.#customers) {
            this.#refuseLate(state, nowMs, updates);
            let limit = this.localLimit(customer);
            for (let next = state.waiting[0]; next !== undefined && state.running.size < limit; next = state.waiting[0]) {
                this.#admit(state, next, nowMs);
                updates.push({ requestId: next.requestId, decision: { type: "admit" } });
                limit = this.localLimit(customer);
            }
        }
        return updates;
    }

    finish(requestId: string, nowMs: number): void {
        const state = this.#ownerState(requestId);
        const startedMs = state?.running.get(requestId);
        if (state === undefined || startedMs === undefined) {
            return;
        }
        state.running.delete(requestId);
        this.#owners.delete(requestId);
        state.slotHoldMs += holdSmoothing * (nowMs - startedMs - state.slotHoldMs);
    }

    cancel(requestId: string): void {
        const state = this.#ownerState(requestId);
        const index = state?.waiting.findIndex(request => request.requestId === requestId) ?? -1;
        if (index >= 0) {
            state?.waiting.splice(index, 1);
            this.#owners.delete(requestId);
        }
    }

    updateShares(published: readonly PublishedUse[], departed: ReadonlySet<HostId> = new Set()): void {
        for (const use of published) {
            if (use.hostId !== this.#hostId) {
                this.#others.set(use.hostId, use);
            }
        }
        departed.forEach(hostId => this.#others.delete(hostId));
        this.#othersUse = new Map();
        for (const use of this.#others.values()) {
            for (const [name, { running, waiting }] of Object.entries(use.customers)) {
                this.#othersUse.set(name, (this.#othersUse.get(name) ?? 0) + running + waiting);
            }
        }
    }

    publishedUse(): PublishedUse {
        const busy = [...this.#customers].filter(([, state]) => state.running.size + state.waiting.length > 0);
        const customers = busy.map(([name, state]) => [name, { running: state.running.size, waiting: state.waiting.length }]);
        return { hostId: this.#hostId, customers: Object.fromEntries(customers) as Record<string, CustomerUse> };
    }

    setCapacity(capacity: number): void {
        this.#capacity = capacity;
    }

    setCustomers(customers: readonly AdmissionCustomer[]): void {
        const names = new Set(customers.map(({ customer }) => customer));
        for (const [name, state] of this.#customers) {
            if (!names.has(name) && state.running.size + state.waiting.length === 0) {
                this.#customers.delete(name);
            }
        }
        for (const settings of customers) {
            const known = this.#customers.get(settings.customer);
            const created = { running: new Map(), waiting: [], slotHoldMs: this.#defaultSlotHoldMs };
            this.#customers.set(settings.customer, { ...(known ?? created), settings });
        }
    }

    localLimit(customer: CustomerId): number {
        const state = this.#customers.get(customer);
        const own = state === undefined ? 0 : state.running.size + state.waiting.length;
        if (own === 0) {
            return 0;
        }
        const demands = [...this.#customers.values()].map(entry => this.#demandOf(entry));
        const share = allocateShares(demands, this.#capacity).get(customer) ?? 0;
        const total = own + (this.#othersUse.get(customer) ?? 0);
        // At least one, so that a host with a small part of a customer's requests never starves them.
        return Math.max(1, Math.round(share * own / total));
    }

    #demandOf(state: CustomerState): ShareDemand {
        const { customer, weight, concurrencyLimit } = state.settings;
        const total = state.running.size + state.waiting.length + (this.#othersUse.get(customer) ?? 0);
        return { name: customer, weight, demand: Math.min(total, concurrencyLimit) };
    }

    #ownerState(requestId: string): CustomerState | undefined {
        const customer = this.#owners.get(requestId);
        return customer === undefined ? undefined : this.#customers.get(customer);
    }

    #admit(state: CustomerState, request: AdmissionRequest, nowMs: number): void {
        state.waiting.shift();
        state.running.set(request.requestId, nowMs);
        this.#owners.set(request.requestId, request.customer);
    }

    #refuseEarly(
        state: CustomerState,
        request: AdmissionRequest,
        expectedWaitMs: number,
        nowMs: number,
    ): AdmissionRefusal | undefined {
        const lateMs = nowMs + expectedWaitMs + request.expectedFirstTokenMs - request.deadlineMs;
        if (lateMs > 0) {
            return { type: "refuse", reason: "deadline", retryAfterMs: Math.ceil(lateMs) };
        }
        if (state.waiting.length > this.#maximumWaiting) {
            return { type: "refuse", reason: "queueFull", retryAfterMs: Math.ceil(expectedWaitMs) };
        }
        return undefined;
    }

    #refuseLate(state: CustomerState, nowMs: number, updates: AdmissionUpdate[]): void {
        for (let index = state.waiting.length - 1; index >= 0; index -= 1) {
            const request = state.waiting[index];
            if (request !== undefined && nowMs + request.expectedFirstTokenMs > request.deadlineMs) {
                state.waiting.splice(index, 1);
                this.#owners.delete(request.requestId);
                const retryAfterMs = Math.ceil(state.slotHoldMs);
                updates.push({ requestId: request.requestId, decision: { type: "refuse", reason: "deadline", retryAfterMs } });
            }
        }
    }
}

/** Where a request belongs in a queue that is ordered by priority, then deadline, then arrival. */
function insertionIndex(waiting: readonly AdmissionRequest[], request: AdmissionRequest): number {
    const index = waiting.findIndex(other =>
        other.priority > request.priority || (other.priority === request.priority && other.deadlineMs > request.deadlineMs)
    );
    return index < 0 ? waiting.length : index;
}

/** Expected time until as many slots are free as there are requests before this one, and one more. */
function expectWaitMs(state: CustomerState, position: number, limit: number): number {
    const before = position + 1 + Math.max(0, state.running.size - limit);
    return before * state.slotHoldMs / Math.max(1, limit);
}
