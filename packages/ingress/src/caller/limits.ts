import type { Clock, EventLog } from "@filbertrelay/kernel";
import { divideDescriptors, divideMemory, MemoryBudget } from "@filbertrelay/policy/ingress";
import type { ConnectionShares, MemoryShares } from "@filbertrelay/policy/ingress";
import { readFileSync } from "node:fs";
import { totalmem } from "node:os";
import type { IngressSettings } from "../settings.js";
import type { IngressMetrics } from "../telemetry/metrics.js";
import { callerEvents as events } from "./event.js";
import { ReadTurns } from "./readturns.js";
import { TransferWatch } from "./transferwatch.js";

const bytesPerMb = 1_048_576;
/** Where the system tells no limit. */
const defaultDescriptors = 1_024;

/** The limits for callers of one host, shared by all of its addresses. */
export interface CallerLimits {
    readonly memory: MemoryShares;
    readonly connections: ConnectionShares;
    readonly requestsAhead: number;
    readonly stallMs: number;
    readonly budget: MemoryBudget;
    readonly watch: TransferWatch;
    readonly readTurns: ReadTurns;
    /** Records that a limit took effect. */
    readonly report: (limit: keyof typeof events, fields?: Readonly<Record<string, string | number>>) => void;
}

/** Creates the limits from the settings, or from those of the process where the settings name none. */
export function createCallerLimits(
    { limits }: IngressSettings,
    options: { readonly clock: Clock; readonly log: EventLog; readonly metrics: IngressMetrics; },
): CallerLimits {
    const { clock, log, metrics } = options;
    const memory = divideMemory(limits.memoryMb ?? readMemoryBytes() / bytesPerMb);
    return {
        memory,
        connections: divideDescriptors(limits.descriptors ?? readDescriptors()),
        requestsAhead: limits.requestsAhead,
        stallMs: limits.stallSeconds * 1_000,
        budget: new MemoryBudget(memory.callerBytes),
        watch: new TransferWatch(clock),
        readTurns: new ReadTurns(clock),
        report: (limit, fields = {}) => {
            metrics.recordLimit(limit);
            log.write(events[limit], fields);
        },
    };
}

/** Memory that the process may use: the limit of its control group, or all that the system has. */
function readMemoryBytes(): number {
    const constrained = process.constrainedMemory();
    const total = totalmem();
    return constrained > 0 ? Math.min(constrained, total) : total;
}

function readDescriptors(): number {
    try {
        const limit = /^Max open files\s+(\d+)/m.exec(readFileSync("/proc/self/limits", "utf8"))?.[1];
        return limit === undefined ? defaultDescriptors : Number(limit);
    }
    catch {
        return defaultDescriptors;
    }
}
