import { SlidingWindow } from "./slidingwindow.js";

/** Options of `createWindowedRetryBudget`. */
export interface WindowedRetryBudgetOptions {
    readonly windowMs: number;
    /** Retries allowed per request within the window. */
    readonly ratio: number;
    /** Additional retries allowed within the window, over all hosts. */
    readonly extra: number;
    readonly nowMs: number;
}

/** Limits the retries of a service on further endpoints over all hosts, without communication between the hosts. */
export interface WindowedRetryBudget {
    /** Records a request for the service. */
    recordRequest(service: string, nowMs: number): void;
    /** Acquires one retry; false when this host's share is exhausted. */
    tryRetry(service: string, knownHosts: number, nowMs: number): boolean;
}

/** Fraction of the budget that is used; the rest covers hosts that joined but are not known yet. */
const usedBudgetShare = 0.85;

/** Each host may always retry one request within the window; the unused fraction of the budget covers this. */
const minimumRetries = 1;

interface ServiceUse {
    readonly requests: SlidingWindow;
    readonly retries: SlidingWindow;
}

/** Creates the budget of one host: the ratio of its own requests plus an equal share of the extra retries. */
export function createWindowedRetryBudget(options: WindowedRetryBudgetOptions): WindowedRetryBudget {
    const services = new Map<string, ServiceUse>();
    const useOf = (service: string, nowMs: number): ServiceUse => {
        const known = services.get(service);
        if (known !== undefined) {
            return known;
        }
        const created = {
            requests: new SlidingWindow(options.windowMs, nowMs),
            retries: new SlidingWindow(options.windowMs, nowMs),
        };
        services.set(service, created);
        return created;
    };
    return {
        recordRequest: (service, nowMs) => useOf(service, nowMs).requests.add(1, nowMs),
        tryRetry: (service, knownHosts, nowMs) => {
            const { requests, retries } = useOf(service, nowMs);
            // A host that has just restarted may have spent its share before the restart.
            const age = Math.min(1, (nowMs - options.nowMs) / options.windowMs);
            const allowed = usedBudgetShare *
                (options.ratio * requests.sum(nowMs) + options.extra * age / Math.max(1, knownHosts));
            if (retries.sum(nowMs) + 1 > Math.max(allowed, minimumRetries)) {
                return false;
            }
            retries.add(1, nowMs);
            return true;
        },
    };
}
