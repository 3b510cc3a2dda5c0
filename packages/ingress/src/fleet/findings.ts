import type {
    CustomerCounts,
    EndpointLimits,
    EndpointPaces,
    EndpointReach,
    EndpointRooms,
    EndpointRuns,
    FinalCounts,
    LimitReport,
    PaceReport,
    Quarantine,
    QuarantineReport,
    ReachReport,
    RoomReport,
    RunReport,
} from "@filbertrelay/policy/ingress";

/** The part of the reports between hosts that tells what they found out and others can't learn from the store. */
export interface FindingsReport {
    readonly suspects?: QuarantineReport | undefined;
    readonly limits?: LimitReport | undefined;
    readonly runs?: RunReport | undefined;
    readonly paces?: PaceReport | undefined;
    readonly reach?: ReachReport | undefined;
    readonly rooms?: RoomReport | undefined;
    readonly finalCounts?: Readonly<Record<string, CustomerCounts>> | undefined;
}

/** The same part as this host writes it. */
export interface ReportedFindings {
    suspects?: QuarantineReport;
    limits?: LimitReport;
    runs?: RunReport;
    paces?: PaceReport;
    reach?: ReachReport;
    rooms?: RoomReport;
    finalCounts?: Record<string, Record<string, number>>;
}

/** Options of `SharedFindings`. */
export interface SharedFindingsOptions {
    readonly quarantine: Quarantine;
    readonly limits: EndpointLimits;
    readonly runs: EndpointRuns;
    readonly paces: EndpointPaces;
    readonly reach: EndpointReach;
    readonly rooms: EndpointRooms;
    readonly finals: FinalCounts;
}

/** What hosts find out about endpoints, requests and usage and pass on to each other, whichever host it came from. */
export class SharedFindings {
    readonly #options: SharedFindingsOptions;
    #described: ReportedFindings = {};

    constructor(options: SharedFindingsOptions) {
        this.#options = options;
    }

    describe(nowMs: number): ReportedFindings {
        const suspects = this.#options.quarantine.report(nowMs);
        const limits = this.#options.limits.report(nowMs);
        const runs = this.#options.runs.report(nowMs);
        const paces = this.#options.paces.report(nowMs);
        const reach = this.#options.reach.report(nowMs);
        const rooms = this.#options.rooms.report(nowMs);
        const finalCounts = this.#options.finals.missing();
        this.#described = {
            ...(suspects === undefined ? {} : { suspects }),
            ...(limits === undefined ? {} : { limits }),
            ...(runs === undefined ? {} : { runs }),
            ...(paces === undefined ? {} : { paces }),
            ...(reach === undefined ? {} : { reach }),
            ...(rooms === undefined ? {} : { rooms }),
            ...(finalCounts === undefined ? {} : { finalCounts }),
        };
        return this.#described;
    }

    /** Entries of the last report, by those of its parts that grow with endpoints in trouble; a metric. */
    countEntries(): Readonly<Record<string, number>> {
        const { limits, runs, paces, rooms, reach } = this.#described;
        const parts = {
            limits,
            runs,
            paces,
            roomCuts: rooms?.cuts,
            suspects: reach?.suspects,
            silent: reach?.silent,
            answers: reach?.answers,
            stranded: reach?.stranded,
        };
        return Object.fromEntries(Object.entries(parts).map(([part, entries]) => [part, Object.keys(entries ?? {}).length]));
    }

    /** `elapsedMs` is how long ago the report was written at most, `isAttached` whether its sender reports to this host only. */
    merge(
        { suspects, limits, runs, paces, rooms, reach, finalCounts = {} }: FindingsReport,
        nowMs: number,
        elapsedMs: number,
        isAttached = false,
    ): void {
        if (suspects !== undefined) {
            this.#options.quarantine.merge(suspects, nowMs, elapsedMs);
        }
        if (limits !== undefined) {
            this.#options.limits.merge(limits, nowMs, elapsedMs);
        }
        if (runs !== undefined) {
            this.#options.runs.merge(runs, nowMs, elapsedMs);
        }
        if (paces !== undefined) {
            this.#options.paces.merge(paces, nowMs, elapsedMs);
        }
        if (reach !== undefined) {
            this.#options.reach.merge(reach, nowMs, elapsedMs, isAttached);
        }
        if (rooms !== undefined) {
            this.#options.rooms.merge(rooms, nowMs, elapsedMs);
        }
        for (const [window, counts] of Object.entries(finalCounts)) {
            this.#options.finals.record(Number(window), counts, nowMs);
        }
    }
}
