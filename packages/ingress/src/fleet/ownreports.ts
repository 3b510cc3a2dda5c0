import type { Clock, HostId, Incarnation } from "@filbertrelay/kernel";
import type { ExchangePlan, MessageTimes, ReceivedReports } from "@filbertrelay/policy/ingress";
import type { Attachment } from "./attachment.js";
import type { SharedFindings } from "./findings.js";
import type { PeerLiveness } from "./liveness.js";
import { addUses, describeGroupUse, describeOwnUse, describeWindowCounts } from "./report.js";
import type { GroupReport, HostReport, MirrorStatus, SharedCounts, SharedUse } from "./report.js";
import type { ServingHosts } from "./servinghosts.js";

/** The use in a report is reused for several peers for this long, since summing it up costs more than sending it. */
const useCacheMs = 80;

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
    /** The current duty holder, if known. */
    readonly dutyHolder: () => HostId | undefined;
    readonly knowledge: () => MirrorStatus;
    readonly findings: SharedFindings;
}

/** Writes the reports that this host sends to its peers. */
export class OwnReports {
    readonly #options: OwnReportsOptions;
    readonly #hostUse: CachedValue<SharedUse>;
    readonly #groupUse: CachedValue<SharedUse>;

    constructor(options: OwnReportsOptions) {
        this.#options = options;
        const { counts, attachment } = options;
        this.#hostUse = new CachedValue(nowMs => {
            const attached = attachment.listUses();
            const own = describeOwnUse(counts, nowMs, attached.map(({ hostId }) => hostId));
            // The use of limits is counted already, as of now instead of the last reports.
            return { ...addUses([own, ...attached.map(({ use }) => use)]), quotaUse: own.quotaUse };
        });
        this.#groupUse = new CachedValue(nowMs => describeGroupUse(counts, nowMs));
    }

    /** Returns the report of this host for a peer. */
    hostReport(peer: HostId): HostReport {
        const { incarnation, clock, times, knowledge, counts, attachment, serving, dutyHolder } = this.#options;
        const nowMs = clock.monotonicMs();
        return {
            incarnation,
            sentAtMs: clock.now().getTime(),
            time: times.describe(peer, nowMs),
            knowledge: knowledge(),
            use: this.#hostUse.get(nowMs),
            windowCounts: describeWindowCounts(counts),
            servingWork: serving.work,
            attached: attachment.listAges(),
            ...(peer === dutyHolder() ? { attachedCounts: attachment.listCounts() } : {}),
            ...this.#options.findings.describe(nowMs),
        };
    }

    /** Returns the report of this host's group. */
    groupReport(): GroupReport {
        const { clock, plan, liveness, attachment, hostId, serving, knowledge } = this.#options;
        const { groups, ownGroup, groupPeers } = plan();
        const nowMs = clock.monotonicMs();
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
            use: this.#groupUse.get(nowMs),
            ...this.#options.findings.describe(nowMs),
        };
    }

    #listAttachedToGroupPeers(nowMs: number): readonly (readonly [string, number])[] {
        return this.#options.attachedToGroupPeers.live(nowMs).flatMap(({ report, receivedMs }) =>
            Object.entries(report).map(([hostId, ageMs]) => [hostId, Math.round(ageMs + nowMs - receivedMs)] as const)
        );
    }
}

/** A value that is computed anew when it is older than `useCacheMs`. */
class CachedValue<Value> {
    readonly #compute: (nowMs: number) => Value;
    #cached: { readonly value: Value; readonly atMs: number; } | undefined;

    constructor(compute: (nowMs: number) => Value) {
        this.#compute = compute;
    }

    get(nowMs: number): Value {
        if (this.#cached === undefined || nowMs - this.#cached.atMs > useCacheMs) {
            this.#cached = { value: this.#compute(nowMs), atMs: nowMs };
        }
        return this.#cached.value;
    }
}
