import type { CustomerId, HostId } from "@filbertrelay/kernel";
import { allocateShares } from "./share.js";
import type { ShareDemand } from "./share.js";

/** A model request that needs a batch slot. */
export interface AdmissionRequest {
    readonly requestId: string;
    readonly customer: CustomerId;
    /** A smaller number is more urgent. */
    readonly priority: number;
    /** Monotonic time by which the first token must be produced. */
    readonly deadlineMs: number;
    /** Expected time from admission to the first token. */
    readonly expectedFirstTokenMs: number;
}

/** Why a request was refused without running. */
export type RefusalReason = "deadline" | "queueFull" | "unknownCustomer";

/** A refusal, with the delay after which a retry may be admitted. */
export interface AdmissionRefusal {
    readonly type: "refuse";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
}

/** The result of an admission request. */
export type AdmissionDecision =
    | { readonly type: "admit"; }
    | { readonly type: "queue"; readonly position: number; readonly expectedWaitMs: number; }
    | AdmissionRefusal;

/** The later decision on a queued request. */
export interface AdmissionUpdate {
    readonly requestId: string;
    readonly decision: { readonly type: "admit"; } | AdmissionRefusal;
}

/** Number of running and waiting requests of one customer at one host. */
export interface CustomerUse {
    readonly running: number;
    readonly waiting: number;
}

/** A host's published slot usage by customer. */
export interface PublishedUse {
    readonly hostId: HostId;
    readonly customers: Readonly<Record<string, CustomerUse>>;
}

/** A customer's admission settings. */
export interface AdmissionCustomer {
    readonly customer: CustomerId;
    readonly weight: number;
    /** Maximum number of running requests over all hosts. */
    readonly concurrencyLimit: number;
}

/** Options of `createAdmission`. */
export interface AdmissionOptions {
    readonly hostId: HostId;
    readonly customers: readonly AdmissionCustomer[];
    /** Total number of batch slots of all endpoints. */
    readonly capacity: number;
    /** Maximum number of waiting requests per customer at this host; 1000 by default. */
    readonly maximumWaiting?: number;
    /** Time in a slot that is assumed until requests have finished; 5 s by default. */
    readonly defaultSlotHoldMs?: number;
}

/** Decides for one host whether model requests are admitted, queued or refused. */
export interface Admission {
    request(request: AdmissionRequest, nowMs: number): AdmissionDecision;
    /** Admits queued requests that fit and refuses those that can't meet their deadline any more. */
    poll(nowMs: number): readonly AdmissionUpdate[];
    /** Frees the slot of an admitted request, whatever its outcome. */
    finish(requestId: string, nowMs: number): void;
    /** Removes a queued request whose caller has disconnected. */
    cancel(requestId: string): void;
    /** Merges the usage published by other hosts. A missing host keeps its last usage, as in a partition, unless it is in `departed`. */
    updateShares(published: readonly PublishedUse[], departed?: ReadonlySet<HostId>): void;
    /** This host's usage, to be published. */
    publishedUse(): PublishedUse;
    /** Sets the total number of batch slots of all live endpoints. */
    setCapacity(capacity: number): void;
    /** Replaces the customers after a configuration change. */
    setCustomers(customers: readonly AdmissionCustomer[]): void;
    /** Number of slots that a customer may currently use at this host. */
    localLimit(customer: CustomerId): number;
}

/** Creates the admission control of one host. */
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
    readonly #customerByRequest = new Map<string, CustomerId>();
    readonly #otherHosts = new Map<HostId, PublishedUse>();
    #otherHostsTotals = new Map<string, number>();
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
        const refusal = this.#checkRefusal(state, request, expectedWaitMs, nowMs);
        if (refusal !== undefined) {
            state.waiting.splice(position, 1);
            return refusal;
        }
        this.#customerByRequest.set(request.requestId, request.customer);
        return { type: "queue", position, expectedWaitMs };
    }

    poll(nowMs: number): readonly AdmissionUpdate[] {
        const updates: AdmissionUpdate[] = [];
        for (const [customer, state] of this.#customers) {
            this.#refuseExpired(state, nowMs, updates);
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
        const state = this.#stateOf(requestId);
        const startedMs = state?.running.get(requestId);
        if (state === undefined || startedMs === undefined) {
            return;
        }
        state.running.delete(requestId);
        this.#customerByRequest.delete(requestId);
        state.slotHoldMs += holdSmoothing * (nowMs - startedMs - state.slotHoldMs);
    }

    cancel(requestId: string): void {
        const state = this.#stateOf(requestId);
        const index = state?.waiting.findIndex(request => request.requestId === requestId) ?? -1;
        if (index >= 0) {
            state?.waiting.splice(index, 1);
            this.#customerByRequest.delete(requestId);
        }
    }

    updateShares(published: readonly PublishedUse[], departed: ReadonlySet<HostId> = new Set()): void {
        for (const use of published) {
            if (use.hostId !== this.#hostId) {
                this.#otherHosts.set(use.hostId, use);
            }
        }
        departed.forEach(hostId => this.#otherHosts.delete(hostId));
        this.#otherHostsTotals = new Map();
        for (const use of this.#otherHosts.values()) {
            for (const [name, { running, waiting }] of Object.entries(use.customers)) {
                this.#otherHostsTotals.set(name, (this.#otherHostsTotals.get(name) ?? 0) + running + waiting);
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
        const total = own + (this.#otherHostsTotals.get(customer) ?? 0);
        // At least one, so that a host with a small share of a customer's requests doesn't starve them.
        return Math.max(1, Math.round(share * own / total));
    }

    #demandOf(state: CustomerState): ShareDemand {
        const { customer, weight, concurrencyLimit } = state.settings;
        const total = state.running.size + state.waiting.length + (this.#otherHostsTotals.get(customer) ?? 0);
        return { name: customer, weight, demand: Math.min(total, concurrencyLimit) };
    }

    #stateOf(requestId: string): CustomerState | undefined {
        const customer = this.#customerByRequest.get(requestId);
        return customer === undefined ? undefined : this.#customers.get(customer);
    }

    #admit(state: CustomerState, request: AdmissionRequest, nowMs: number): void {
        state.waiting.shift();
        state.running.set(request.requestId, nowMs);
        this.#customerByRequest.set(request.requestId, request.customer);
    }

    #checkRefusal(
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

    #refuseExpired(state: CustomerState, nowMs: number, updates: AdmissionUpdate[]): void {
        for (let index = state.waiting.length - 1; index >= 0; index -= 1) {
            const request = state.waiting[index];
            if (request !== undefined && nowMs + request.expectedFirstTokenMs > request.deadlineMs) {
                state.waiting.splice(index, 1);
                this.#customerByRequest.delete(request.requestId);
                const retryAfterMs = Math.ceil(state.slotHoldMs);
                updates.push({ requestId: request.requestId, decision: { type: "refuse", reason: "deadline", retryAfterMs } });
            }
        }
    }
}

/** Insertion index of a request in a queue ordered by priority, then deadline, then arrival. */
function insertionIndex(waiting: readonly AdmissionRequest[], request: AdmissionRequest): number {
    const index = waiting.findIndex(other =>
        other.priority > request.priority || (other.priority === request.priority && other.deadlineMs > request.deadlineMs)
    );
    return index < 0 ? waiting.length : index;
}

/** Expected time until enough slots have become free for this request and all requests before it. */
function expectWaitMs(state: CustomerState, position: number, limit: number): number {
    const neededSlots = position + 1 + Math.max(0, state.running.size - limit);
    return neededSlots * state.slotHoldMs / Math.max(1, limit);
}
