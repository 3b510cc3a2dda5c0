import { countPressedWork } from "@filbertrelay/policy/ingress";
import { callersKey } from "../fleet/report.js";
import type { RequestContext } from "../request/context.js";
import { requestProcessorMs } from "../request/pipeline.js";
import type { IngressSettings } from "../settings.js";
import { ArrivalGate } from "./arrivalgate.js";

/**
 * Creates the gate of a host. What it refuses counts as demand when the serving set is sized, and a host that is full counts with
 * its whole processor. `draw` is uniform in [0, 1).
 */
export function createArrivalGate(
    context: RequestContext,
    { host: { processorShare, processorSpeed } }: IngressSettings,
    draw: () => number,
): ArrivalGate {
    const { clock, log, dialect, configuration, metrics, callerWork } = context;
    const recordWork = (workMs: number): void => callerWork.recordWork(callersKey, workMs, clock.monotonicMs());
    return new ArrivalGate({
        clock,
        log,
        dialect,
        configuration,
        metrics,
        draw,
        onRefused: () => recordWork(requestProcessorMs),
        onPressed: (pressedMs, requests) => {
            const strength = processorShare * processorSpeed;
            recordWork(countPressedWork({ strength, pressedMs, countedMs: requests * requestProcessorMs }));
        },
    });
}
