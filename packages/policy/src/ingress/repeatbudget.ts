import { SlidingWindow } from "./slidingwindow.js";

/** Options of `createRepeatBudget`. */
export interface RepeatBudgetOptions {
    readonly windowMs: number;
    /** Repeats allowed per request within the window. */
    readonly ratio: number;
    /** Repeats allowed in addition within the window, over all hosts. */
    readonly extra: number;
    readonly nowMs: number;
}

/** Limits how often requests of a service are sent to a further endpoint, over all hosts without an exchange. */
export interface RepeatBudget {
    /** Notes a request for the service. */
    recordRequest(service: string, nowMs: number): void;
    /** Takes one repeat; false when the share of this host is used up. */
    tryRepeat(service: string, knownHosts: number, nowMs: number): boolean;
}

/** Part of the budget that is used; the rest covers hosts that joined without being known yet. */
const usedBudgetShare = 0.85;

/** A host may always repeat one request within the window; the part that is not used covers it for the whole fleet. */
const leastRepeats = 1;

interface ServiceUse {
    readonly requests: SlidingWindow;
    readonly repeats: SlidingWindow;
}

/** Creates the budget of one host: it spends the ratio of its own requests and an equal part of the extra repeats. */
export function createRepeatBudget(options: RepeatBudgetOptions): RepeatBudget {
    const services = new Map<string, ServiceUse>();
    const useOf = (service: string, nowMs: number): ServiceUse => {
        const known = services.get(service);
        if (known !== undefined) {
            return known;
        }
        const created = {
            requests: new SlidingWindow(options.windowMs, nowMs),
            repeats: new SlidingWindow(options.windowMs, nowMs),
        };
        services.set(service, created);
        return created;
    };
    return {
        recordRequest: (service, nowMs) => useOf(service, nowMs).requests.add(1, nowMs),
        tryRepeat: (service, knownHosts, nowMs) => {
            const { requests, repeats } = useOf(service, nowMs);
            // A host that has just started may have used its part before.
            const age = Math.min(1, (nowMs - options.nowMs) / options.windowMs);
            const allowed = usedBudgetShare *
                (options.ratio * requests.sum(nowMs) + options.extra * age / Math.max(1, knownHosts));
            if (repeats.sum(nowMs) + 1 > Math.max(allowed, leastRepeats)) {
                return false;
            }
            repeats.add(1, nowMs);
            return true;
        },
    };
}
