import type { Clock, HostId, Incarnation } from "@filbertrelay/kernel";
import type { ExchangePlan, MessageTimes, ReceivedReports } from "@filbertrelay/policy/ingress";
import type { Attachment } from "./attachment.js";
import type { PeerLiveness } from "./liveness.js";
import { addUses, describeGroupUse, describeOwnUse, describeWindowCounts } from "./report.js";
import type { GroupReport, HostReport, MirrorStatus, SharedCounts } from "./report.js";
import type { ServingHosts } from "./servinghosts.js";

/** A report is reused for several peers for this long, since creating it costs more than sending it. */
const reportCacheMs = 80;

/** Options of `OwnReports`. */
export interface OwnReportsOptions {
    readonly clock: Clock;
    readonly hostId: HostId;
    readonly incarnation: Incarnation;
    readonly counts: SharedCounts;
    readonly attachment: Attachment;
    readonly liveness: PeerLiveness;
    readonly serving: ServingHosts;
    readonly times: MessageTimes;
    readonly plan: () => ExchangePlan;
    /** For each group peer, the hosts attached to it with the milliseconds since each was last heard from. */
    readonly attachedToGroupPeers: ReceivedReports<Readonly<Record<string, number>>>;
    readonly knowledge: () => MirrorStatus;
}

/** Writes the reports that this host sends to its peers. */
export class OwnReports {
    readonly #options: OwnReportsOptions;
    readonly #cached: { host?: HostReport; hostMs: number; group?: GroupReport; groupMs: number; } = { hostMs: 0, groupMs: 0 };

    constructor(options: OwnReportsOptions) {
        this.#options = options;
    }

    /** Returns the report of this host for a peer. */
    hostReport(peer: HostId): HostReport {
        const { times, knowledge } = this.#options;
        return { ...this.#cachedHostReport(), time: times.describe(peer, this.#nowMs()), knowledge: knowledge() };
    }

    /** Returns the report of this host's group. */
    groupReport(): GroupReport {
        return { ...this.#cachedGroupReport(), knowledge: this.#options.knowledge() };
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }

    #cachedHostReport(): HostReport {
        const nowMs = this.#nowMs();
        if (this.#cached.host === undefined || nowMs - this.#cached.hostMs > reportCacheMs) {
            this.#cached.host = this.#describeHost();
            this.#cached.hostMs = nowMs;
        }
        return this.#cached.host;
    }

    #cachedGroupReport(): GroupReport {
        const nowMs = this.#nowMs();
        if (this.#cached.group === undefined || nowMs - this.#cached.groupMs > reportCacheMs) {
            this.#cached.group = this.#describeGroup();
            this.#cached.groupMs = nowMs;
        }
        return this.#cached.group;
    }

    #describeHost(): HostReport {
        const { incarnation, clock, knowledge, counts, attachment, serving } = this.#options;
        return {
            incarnation,
            sentAtMs: clock.now().getTime(),
            knowledge: knowledge(),
            use: addUses([describeOwnUse(counts, this.#nowMs()), ...attachment.listUses()]),
            windowCounts: describeWindowCounts(counts),
            servingWork: serving.work,
            attached: attachment.listAges(),
        };
    }

    #describeGroup(): GroupReport {
        const { plan, liveness, attachment, hostId, serving, knowledge, counts } = this.#options;
        const { groups, ownGroup, groupPeers } = plan();
        const nowMs = this.#nowMs();
        const reachable = groupPeers.filter(peer => liveness.isReachable(peer)).map(peer =>
            [peer, liveness.ageMs(peer)] as const
        );
        return {
            groups,
            group: ownGroup,
            members: {
                ...attachment.listAges(),
                ...Object.fromEntries([[hostId, 0], ...reachable, ...this.#listAttachedToGroupPeers(nowMs)]),
            },
            servingWork: serving.work,
            knowledge: knowledge(),
            use: describeGroupUse(counts, nowMs),
        };
    }

    #listAttachedToGroupPeers(nowMs: number): readonly (readonly [string, number])[] {
        return this.#options.attachedToGroupPeers.live(nowMs).flatMap(({ report, receivedMs }) =>
            Object.entries(report).map(([hostId, ageMs]) => [hostId, Math.round(ageMs + nowMs - receivedMs)] as const)
        );
    }
}
