import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId, Service } from "@filbertrelay/kernel";
import type { LoadTracker } from "@filbertrelay/policy/ingress";
import type { DutyLease } from "../duty/lease.js";
import type { IngressSettings } from "../settings.js";
import type { ConfigurationState } from "../state/configuration.js";
import { RolloutDuty } from "./rolloutduty.js";
import { VersionSplit } from "./versionsplit.js";
import type { VersionSplitOptions } from "./versionsplit.js";

/** Options of `createRollouts`. */
export interface RolloutsOptions extends Omit<VersionSplitOptions, "promises"> {
    readonly promises: IngressSettings["promises"];
    readonly configuration: ConfigurationState;
    readonly loads: LoadTracker;
}

/** The part of a host that carries out roll-outs. */
export interface Rollouts {
    readonly split: VersionSplit;
    /** Creates the duty of the holder; does nothing where the deployment has no roll-outs. */
    createDuty(lead: DutyLease): Service;
}

/** Creates the part of a host that carries out roll-outs; without the settings for them it changes nothing. */
export function createRollouts(options: RolloutsOptions): Rollouts {
    const { promises: { exposureRatio, rollbackMs }, loads, clock } = options;
    const promises = exposureRatio === undefined || rollbackMs === undefined ? undefined : { exposureRatio, rollbackMs };
    const split = new VersionSplit({ ...options, promises });
    const countRunning = (endpointId: string): number =>
        loads.estimate(brandAs<EndpointId>(endpointId), 0, clock.monotonicMs()).running;
    return {
        split,
        createDuty: lead =>
            promises === undefined ?
                { start: () => Promise.resolve(), stop: () => Promise.resolve() } :
                new RolloutDuty({ ...options, exposureRatio: promises.exposureRatio, lead, split, countRunning }),
    };
}
