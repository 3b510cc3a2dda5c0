import { callersKey } from "../fleet/report.js";
import type { RequestContext } from "../request/context.js";
import { requestProcessorMs } from "../request/pipeline.js";
import { ArrivalGate } from "./arrivalgate.js";

/** Creates the gate of a host; what it refuses counts as demand when the serving set is sized. `draw` is uniform in [0, 1). */
export function createArrivalGate(context: RequestContext, draw: () => number): ArrivalGate {
    const { clock, log, dialect, configuration, metrics, callerWork } = context;
    const onRefused = (): void => callerWork.recordWork(callersKey, requestProcessorMs, clock.monotonicMs());
    return new ArrivalGate({ clock, log, dialect, configuration, metrics, draw, onRefused });
}
