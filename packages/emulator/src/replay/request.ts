import type { CustomerId } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import type { PromptBlocks } from "@filbertrelay/policy";
import { hashPrefixBlocks } from "@filbertrelay/policy";
import { createRandom } from "../random.js";
import { expandMessages } from "../trace/content.js";
import type { Trace } from "../trace/trace.js";

/** A model request of a trace, ready for replay. */
export interface ReplayRequest {
    readonly id: string;
    readonly customer: CustomerId;
    readonly caller: string;
    readonly kind: string;
    readonly priority: number;
    /** Time from arrival by which the first token is wanted. */
    readonly deadlineMs: number;
    readonly prompt: PromptBlocks;
    readonly answerTokens: number;
}

/** A request with the time at which it arrives and the entry host that gets it. */
export interface Arrival {
    readonly atMs: number;
    readonly host: number;
    readonly request: ReplayRequest;
}

/**
 * Expands the model requests of a trace, in order of time. With a copy number the documents and own texts differ from those of
 * other copies, while system prompts and manuals are the same.
 */
export function prepareRequests(trace: Trace, copy = 0): readonly ReplayRequest[] {
    const texts = new Map<string, string>();
    const callers = new Map(trace.header.callerKinds.map(caller => [caller.name, caller]));
    return trace.entries.flatMap((entry, index) => {
        if (entry.type !== "model") {
            return [];
        }
        const caller = callers.get(entry.caller);
        const parts = copy === 0 ? entry.parts : entry.parts.map(([name, tokens]) => [renamePart(name, copy), tokens] as const);
        return [{
            id: `r${index}-${copy}`,
            customer: brandAs<CustomerId>(entry.customer),
            caller: entry.caller,
            kind: entry.kind,
            priority: caller?.priority ?? 5,
            deadlineMs: caller?.deadlineMs ?? 60_000,
            prompt: hashPrefixBlocks(expandMessages(parts, texts)),
            answerTokens: entry.answer,
        }];
    });
}

function renamePart(name: string, copy: number): string {
    return name.startsWith("system-") || name.startsWith("manual-") ? name : `${name}#${copy}`;
}

/**
 * Spreads requests over time as a Poisson process of the given rate, in the order of the trace, over entry hosts chosen at
 * random. The traced day is far below the fleet's capacity; this puts its requests at a chosen load.
 */
export function scheduleArrivals(
    requests: readonly ReplayRequest[],
    options: { readonly requestsPerSecond: number; readonly hosts: number; readonly seed: number; },
): readonly Arrival[] {
    const random = createRandom(options.seed);
    let atMs = 0;
    return requests.map(request => {
        atMs += random.exponential(1000 / options.requestsPerSecond);
        return { atMs, host: random.integer(0, options.hosts - 1), request };
    });
}
