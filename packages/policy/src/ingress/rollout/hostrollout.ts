import { ExposureLimit, isStepValid } from "./exposure.js";
import type { RolloutRecord } from "./rolloutplan.js";
import { addResult, emptyRouteTally } from "./routetally.js";
import type { RequestResult, RouteTally, VersionTally } from "./routetally.js";

/** An endpoint as far as the choice between versions needs it. */
export interface VersionedEndpoint {
    readonly endpointId: string;
    readonly softwareVersion: string;
}

/** A version that an order or a status names while this host knows no record of its roll-out. */
export interface AnnouncedTarget {
    readonly version: string;
    /** Endpoints that this host knew before the order, which therefore serve without it. */
    readonly knownBefore: ReadonlySet<string>;
    /** Whether a roll-out is known to be in progress, so that the version is used in no case. */
    readonly isInProgress: boolean;
}

/** The results on one host since the order. */
export interface HostTally {
    readonly base: VersionTally;
    readonly target: VersionTally;
    /** New requests of the service, and requests that went to the target. */
    readonly requests: number;
    readonly exposed: number;
}

/** Options of `HostRollout`. */
export interface HostRolloutOptions {
    readonly exposureRatio: number;
    readonly rollbackMs: number;
    /** In [0, 1); see `ExposureLimit`. */
    readonly firstCredit: number;
}

/** The request for which endpoints are chosen. */
export interface VersionRequest {
    readonly nowMs: number;
    /** A time at which this host's copy of the store held all that the store held. */
    readonly copyConfirmedMs: number;
    /** Whether the request goes on with a stream, so that its version is given. */
    readonly isContinued: boolean;
    /** Whether the request was sent to an endpoint before. */
    readonly isRepeated: boolean;
}

/** The roll-out of one service on one host: which versions a request may go to, and what came back. */
export class HostRollout {
    readonly #options: HostRolloutOptions;
    #limit: ExposureLimit;
    #record: RolloutRecord | undefined;
    #stepSeenMs = -Infinity;
    #announced: AnnouncedTarget | undefined;
    #base: Record<string, RouteTally> = {};
    #target: Record<string, RouteTally> = {};
    #unreportedSinceMs: number | undefined;
    /** Number of results, and how many of them the last report held. */
    #results = 0;
    #reported = 0;

    constructor(options: HostRolloutOptions) {
        this.#options = options;
        this.#limit = new ExposureLimit(options.exposureRatio, options.firstCredit);
    }

    get record(): RolloutRecord | undefined {
        return this.#record;
    }

    /** Takes a record; an older step of the same order is ignored, as a restored store holds it. */
    setRecord(record: RolloutRecord, nowMs: number): void {
        const known = this.#record;
        const isSame = known !== undefined && isSameRollout(known, record);
        if (isSame && known.step >= record.step) {
            return;
        }
        if (!isSame) {
            this.#limit = new ExposureLimit(this.#options.exposureRatio, this.#options.firstCredit);
            this.#base = {};
            this.#target = {};
            this.#unreportedSinceMs = undefined;
        }
        this.#record = record;
        this.#stepSeenMs = nowMs;
    }

    /** Sets the target that is known without a record. */
    setAnnounced(announced: AnnouncedTarget | undefined): void {
        this.#announced = announced;
    }

    /** Returns those of the open endpoints that a request may go to. */
    select<Endpoint extends VersionedEndpoint>(endpoints: readonly Endpoint[], request: VersionRequest): readonly Endpoint[] {
        const record = this.#record;
        const permitted = this.#excludeAnnounced(endpoints).filter(({ softwareVersion }) =>
            record?.barredVersions.includes(softwareVersion) !== true
        );
        if (record === undefined || record.field !== undefined) {
            return permitted;
        }
        const targets = permitted.filter(({ softwareVersion }) => softwareVersion === record.target);
        const others = permitted.filter(({ softwareVersion }) => softwareVersion !== record.target);
        if (record.state === "completed") {
            const staying = permitted.filter(({ softwareVersion }) => !record.formerVersions.includes(softwareVersion));
            return request.isContinued || staying.length === 0 ? permitted : staying;
        }
        if (record.state === "reverted") {
            return request.isContinued && record.isWorse !== true ? permitted : others;
        }
        if (!this.#isValid(request)) {
            // A host that was cut off while the requests moved may find the former endpoints stopped.
            return record.phase === "moving" && others.length === 0 ? targets : others;
        }
        if (request.isContinued) {
            return permitted;
        }
        const chosen = record.phase === "moving" ?
            targets :
            targets.filter(({ endpointId }) => record.endpoints.includes(endpointId));
        const isExposed = record.phase === "moving" || (!request.isRepeated && this.#limit.mayExpose(record.share));
        return isExposed && chosen.length > 0 ? chosen : others;
    }

    /** Records that a request was sent; `isNew` for the first time. */
    recordSent(softwareVersion: string, isNew: boolean): void {
        if (this.#record?.state === "inProgress") {
            if (isNew) {
                this.#limit.recordRequest(this.#record.share);
            }
            if (softwareVersion === this.#record.target) {
                this.#limit.recordExposed();
            }
        }
    }

    /** Records what came back from an endpoint of a version. */
    recordResult(route: string, softwareVersion: string, result: RequestResult, nowMs: number): void {
        if (this.#record?.state !== "inProgress") {
            return;
        }
        const isTarget = softwareVersion === this.#record.target;
        const tallies = isTarget ? this.#target : this.#base;
        tallies[route] = addResult(tallies[route] ?? emptyRouteTally, result);
        this.#results += 1;
        if (isTarget) {
            this.#unreportedSinceMs ??= nowMs;
        }
    }

    /** Returns the tally to report; `undefined` if nothing was added since the last one. */
    takeReport(): HostTally | undefined {
        if (this.#record?.state !== "inProgress" || this.#results === this.#reported) {
            return undefined;
        }
        this.#reported = this.#results;
        return { base: { ...this.#base }, target: { ...this.#target }, ...this.#limit.counts };
    }

    /** Records whether the report taken at a time is in the store. */
    endReport(takenMs: number, isStored: boolean): void {
        if (!isStored) {
            this.#reported = -1;
        }
        else if (this.#unreportedSinceMs !== undefined && this.#unreportedSinceMs <= takenMs) {
            this.#unreportedSinceMs = this.#results > this.#reported ? takenMs : undefined;
        }
    }

    #isValid({ nowMs, copyConfirmedMs }: VersionRequest): boolean {
        const { rollbackMs } = this.#options;
        const unreportedSinceMs = this.#unreportedSinceMs;
        return isStepValid({ nowMs, stepSeenMs: this.#stepSeenMs, copyConfirmedMs, unreportedSinceMs }, rollbackMs);
    }

    #excludeAnnounced<Endpoint extends VersionedEndpoint>(endpoints: readonly Endpoint[]): readonly Endpoint[] {
        const announced = this.#announced;
        if (announced === undefined) {
            return endpoints;
        }
        const others = endpoints.filter(({ endpointId, softwareVersion }) =>
            softwareVersion !== announced.version || announced.knownBefore.has(endpointId)
        );
        // Without a roll-out in progress, an order may name the only version that serves; it is refused then.
        return others.length > 0 || announced.isInProgress ? others : endpoints;
    }
}

/** Whether two records belong to the same order. */
export function isSameRollout(left: RolloutRecord, right: RolloutRecord): boolean {
    return left.orderEra === right.orderEra && left.orderRevision === right.orderRevision && left.target === right.target;
}
