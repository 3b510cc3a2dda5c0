import type { Clock, HostId, Incarnation } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { rankAggregators, ReceivedReports } from "@filbertrelay/policy/ingress";
import type { FleetClock, FleetReach, MessageTimes, WindowCounts } from "@filbertrelay/policy/ingress";
import { declareTopic } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import type { SharedFindings } from "./findings.js";
import type { HostTable } from "./hosts.js";
import type { PeerLiveness } from "./liveness.js";
import {
    attachReplySchema,
    attachReportSchema,
    describeOwnUse,
    describeWindowCounts,
    hasRecentUse,
    recordGroupUse,
    recordPeerUse,
    subtractUse,
} from "./report.js";
import type { AttachReply, AttachReport, SharedCounts, SharedUse } from "./report.js";
import type { ServingHosts } from "./servinghosts.js";
import type { StoreSync } from "./storesync.js";
import { fleetUseName, nameCounts } from "./usename.js";

const attachTopic = declareTopic("ingress.attach", { request: attachReportSchema, reply: attachReplySchema });

/** Time after which a report is given up and sent to another host; a late aggregator may reply until then. */
const requestTimeoutMs = 900;
/** The same for the hosts that are asked after the first one. */
const nextTimeoutMs = 400;
/** An unresponsive host is skipped for this long: longer than it takes to find out that all aggregators are. */
const unresponsiveSkipMs = 6_000;
/** The use of an attached host counts for this long after its last report. */
const attachedUseTtlMs = 2_500;
/** The sum of the fleet's use is cached for this long. */
const fleetUseCacheMs = 100;
/** The fleet's use counts as known for this long after it was received. */
const fleetUseTtlMs = 2_000;

/** The last report of a host that reports to this one. */
interface AttachedHost {
    /** Absent if the host takes part in the exchange or has no use. */
    readonly use: SharedUse | undefined;
    readonly incarnation: string;
    readonly windowCounts: WindowCounts;
}

/** Options of `Attachment`. */
export interface AttachmentOptions {
    readonly clock: Clock;
    readonly hostId: HostId;
    readonly incarnation: Incarnation;
    readonly peers: TcpPeerNetwork;
    readonly hosts: HostTable;
    readonly serving: ServingHosts;
    readonly counts: SharedCounts;
    readonly fleetClock: FleetClock;
    readonly liveness: PeerLiveness;
    readonly news: () => StoreSync | undefined;
    readonly findings: SharedFindings;
    readonly times: MessageTimes;
    /** Returns the use of all known hosts, including this one. */
    readonly fleetUse: () => SharedUse;
    /** Returns how many hosts share customer limits, and of how many of them this host knows the use. */
    readonly fleetReach: () => FleetReach;
}

/**
 * Attaches a host outside of the exchange to an aggregator. The attached host receives the serving set, changes of the store and the
 * use of the fleet, and reports its own use; the aggregator adds that use to its own reports.
 */
export class Attachment {
    readonly #options: AttachmentOptions;
    readonly #attached = new ReceivedReports<AttachedHost>(attachedUseTtlMs);
    readonly #skippedUntilMs = new Map<HostId, number>();
    #fleetUseReceivedMs = -Infinity;
    #fleetReach: FleetReach | undefined;
    #cachedFleetUse: { readonly use: SharedUse; readonly atMs: number; } | undefined;
    #isReporting = false;
    #comparisons = 0;

    constructor(options: AttachmentOptions) {
        this.#options = options;
    }

    start(): void {
        this.#options.peers.handle(attachTopic, (report, { from }) => Promise.resolve(this.#receive(from, report)));
    }

    /** How many hosts' use the aggregator knows; `undefined` if none has sent any recently. */
    get fleetReach(): FleetReach | undefined {
        return this.#nowMs() - this.#fleetUseReceivedMs < fleetUseTtlMs ? this.#fleetReach : undefined;
    }

    /** Reports to an aggregator. Falls back to the next one at once if there is no reply, since the host may have crashed. */
    async report(): Promise<void> {
        if (this.#isReporting) {
            return;
        }
        this.#isReporting = true;
        let contact = this.#chooseContact();
        let timeoutMs = requestTimeoutMs;
        while (contact !== undefined && !await this.#reportTo(contact, timeoutMs)) {
            this.#skippedUntilMs.set(contact, this.#nowMs() + unresponsiveSkipMs);
            this.#options.serving.refresh();
            contact = this.#chooseContact();
            timeoutMs = nextTimeoutMs;
        }
        this.#isReporting = false;
    }

    /** Compares the serving set with that of another host while this host takes part in the exchange. */
    async compare(): Promise<void> {
        const contact = this.#options.serving.chooseCounterpart(this.#comparisons);
        this.#comparisons += 1;
        if (contact !== undefined && !await this.#reportTo(contact, requestTimeoutMs)) {
            this.#skippedUntilMs.set(contact, this.#nowMs() + unresponsiveSkipMs);
        }
    }

    /** Whether a host has not responded to a report lately. */
    isUnresponsive(hostId: HostId): boolean {
        return (this.#skippedUntilMs.get(hostId) ?? -Infinity) > this.#nowMs();
    }

    async #reportTo(contact: HostId, timeoutMs: number): Promise<boolean> {
        const { peers, fleetClock, counts, liveness, serving, news, times } = this.#options;
        const sentMs = this.#nowMs();
        const reply = await peers.call(contact, attachTopic, this.#createReport(contact), {
            timeoutMs,
            isRepeatable: true,
        });
        if (!reply.ok) {
            return false;
        }
        const { sentAtMs, time, knowledge, use, fleetReach, fleetTimeMs, setAgeMs, servingWork } = reply.value;
        if (time !== undefined) {
            times.receive(contact, time, this.#nowMs());
        }
        // The ages in a reply count from when it was written, which was after the call began.
        const elapsedMs = this.#nowMs() - sentMs;
        const servingAges = Object.entries(reply.value.serving).map(([hostId, ageMs]) => ({
            hostId: brandAs<HostId>(hostId),
            ageMs: ageMs + elapsedMs,
        }));
        this.#skippedUntilMs.delete(contact);
        liveness.recordContact(contact);
        servingAges.forEach(({ hostId, ageMs }) => liveness.recordContact(hostId, ageMs));
        fleetClock.recordPeerTime(contact, new Date(sentAtMs));
        if (fleetTimeMs !== undefined && !serving.isParticipant) {
            fleetClock.recordFleetTime(new Date(fleetTimeMs));
        }
        serving.recordPeerWork(servingWork);
        serving.adopt(servingAges.map(({ hostId }) => hostId), setAgeMs + elapsedMs);
        news()?.reconcile(contact, knowledge, sentMs);
        this.#options.findings.merge(reply.value, this.#nowMs(), elapsedMs);
        if (use !== undefined && !serving.isParticipant) {
            recordGroupUse(counts, fleetUseName, use, this.#nowMs());
            this.#fleetUseReceivedMs = this.#nowMs();
            // Older versions know the whole fleet's use if they send any.
            const knownHosts = Math.max(1, this.#options.hosts.size);
            this.#fleetReach = fleetReach ?? { knownHosts, reachableHosts: knownHosts };
        }
        return true;
    }

    /** Whether a host is attached to this one. */
    isAttached(hostId: HostId): boolean {
        return this.#attached.entries(this.#nowMs()).some(([sender]) => sender === hostId);
    }

    /** The hosts attached to this one, with the milliseconds since the last report of each. */
    listAges(): Record<string, number> {
        const nowMs = this.#nowMs();
        return Object.fromEntries(
            this.#attached.entries(nowMs).map(([hostId, { receivedMs }]) => [hostId, Math.round(nowMs - receivedMs)]),
        );
    }

    /** Use of the hosts attached to this one, except those that report theirs through the exchange. */
    listUses(): readonly { readonly hostId: string; readonly use: SharedUse; }[] {
        const exchanging = new Set<string>(this.#options.serving.participants);
        return this.#attached.entries(this.#nowMs()).flatMap(([hostId, { report: { use } }]) =>
            use === undefined || exchanging.has(hostId) ? [] : [{ hostId, use }]
        );
    }

    /** Requests that the hosts attached to this one have started in the open usage windows, by host and run. */
    listCounts(): Record<string, Record<string, Record<string, number>>> {
        return Object.fromEntries(
            this.#attached.entries(this.#nowMs()).map(([hostId, { report }]) => [
                nameCounts(hostId, report.incarnation),
                copyCounts(report.windowCounts),
            ]),
        );
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }

    /** Returns the preferred aggregator that is not being skipped. */
    #chooseContact(): HostId | undefined {
        const { hostId: self, serving } = this.#options;
        return rankAggregators(self, serving.aggregators).find(hostId => !this.isUnresponsive(hostId));
    }

    #createReport(contact: HostId): AttachReport {
        const { clock, incarnation, counts, news, serving, times } = this.#options;
        const use = describeOwnUse(counts, this.#nowMs());
        return {
            incarnation,
            sentAtMs: clock.now().getTime(),
            time: times.describe(contact, this.#nowMs()),
            knowledge: news()?.status() ?? { revision: 0, materialRevision: 0 },
            isParticipant: serving.isParticipant,
            ...(hasRecentUse(use) && !serving.isParticipant ? { use } : {}),
            windowCounts: describeWindowCounts(counts),
            ...this.#options.findings.describe(this.#nowMs()),
        };
    }

    #receive(from: HostId, report: AttachReport): AttachReply {
        const { clock, counts, fleetClock, liveness, serving, news, times } = this.#options;
        const nowMs = this.#nowMs();
        const writtenMs = report.time === undefined ? undefined : times.receive(from, report.time, nowMs);
        this.#skippedUntilMs.delete(from);
        liveness.recordContact(from);
        fleetClock.recordPeerTime(from, new Date(report.sentAtMs));
        const { incarnation, windowCounts } = report;
        counts.usage.recordPeerCounts(nameCounts(from, incarnation), windowCounts);
        const use = report.use === undefined || serving.isServing(from) ? report.use : clearMissingTime(report.use);
        // Participants of the exchange report to the duty holder themselves.
        this.#attached.record(from, { use, incarnation, windowCounts: report.isParticipant ? {} : windowCounts }, nowMs);
        if (use !== undefined) {
            recordPeerUse(counts, from, use, nowMs);
        }
        news()?.reconcile(from, report.knowledge, writtenMs);
        const elapsedMs = writtenMs === undefined ? requestTimeoutMs : nowMs - writtenMs;
        this.#options.findings.merge(report, nowMs, elapsedMs, !report.isParticipant);
        return {
            sentAtMs: clock.now().getTime(),
            time: times.describe(from, nowMs),
            knowledge: news()?.status() ?? { revision: 0, materialRevision: 0 },
            serving: Object.fromEntries(serving.serving.map(({ hostId }) => [hostId, liveness.ageMs(hostId)])),
            setAgeMs: serving.setAgeMs,
            servingWork: serving.work,
            ...(report.isParticipant ?
                {} :
                { use: this.#describeFleetUseFor(from, use), fleetReach: this.#options.fleetReach() }),
            fleetTimeMs: fleetClock.now().getTime(),
            ...this.#options.findings.describe(nowMs),
        };
    }

    /** Returns the fleet's use without that of the attached host; one without callers only gets what limits its first requests. */
    #describeFleetUseFor(hostId: HostId, own: SharedUse | undefined): SharedUse {
        const nowMs = this.#nowMs();
        if (this.#cachedFleetUse === undefined || nowMs - this.#cachedFleetUse.atMs > fleetUseCacheMs) {
            this.#cachedFleetUse = { use: this.#options.fleetUse(), atMs: nowMs };
        }
        const { use } = this.#cachedFleetUse;
        if (own === undefined) {
            return this.#options.serving.isServing(hostId) ? use : { ...use, endpointUse: {}, demand: {}, callerWork: {} };
        }
        return subtractUse(use, own);
    }
}

/** Callers are not sent to a host that doesn't serve, so time that it did not count is assumed to contain no use. */
function clearMissingTime(use: SharedUse): SharedUse {
    return { ...use, quotaUse: { ...use.quotaUse, missingMs: use.quotaUse.missingMs.map(() => 0) } };
}

function copyCounts(counts: WindowCounts): Record<string, Record<string, number>> {
    return Object.fromEntries(Object.entries(counts).map(([window, customers]) => [window, { ...customers }]));
}
