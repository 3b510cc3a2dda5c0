import type { EventLog } from "@filbertrelay/kernel";
import type { CallObserver } from "../environment.js";
import type { IngressMetrics } from "../telemetry/metrics.js";
import { stateEvents as events } from "./event.js";

/** Transfers that take longer are logged. */
const longTransferMs = 200;

/** Records calls to the store in the metrics, and responses that took long or were not read to their end in the log. */
export function createStoreCallObserver(
    { log, metrics }: { readonly log: EventLog; readonly metrics: IngressMetrics; },
): CallObserver {
    return (kind, result, transfer) => {
        const progress = transfer?.progress;
        metrics.recordStoreCall(kind, result, progress?.receivedBytes ?? 0);
        if (transfer === undefined || progress?.firstByteMs === undefined) {
            return;
        }
        if (transfer.reason !== undefined || progress.elapsedMs - progress.firstByteMs > longTransferMs) {
            log.write(events.transferLong, {
                kind,
                result,
                target: transfer.target,
                firstByteMs: Math.round(progress.firstByteMs),
                elapsedMs: Math.round(progress.elapsedMs),
                receivedBytes: progress.receivedBytes,
                totalBytes: progress.totalBytes,
                reason: transfer.reason,
            });
        }
    };
}
