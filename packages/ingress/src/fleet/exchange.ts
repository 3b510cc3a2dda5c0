import type { Clock, EventLog, HostId, Incarnation, Service } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import {
    attachIntervalMs,
    exchangeIntervalMs,
    MessageTimes,
    PeerCalls,
    planExchange,
    reachabilityTimeoutMs,
    ReceivedReports,
} from "@filbertrelay/policy/ingress";
import type { ExchangePlan, FleetClock, FleetReach } from "@filbertrelay/policy/ingress";
import { declareTopic } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import * as z from "zod";
import { Announcer } from "./announcer.js";
import { Attachment } from "./attachment.js";
import type { SharedFindings } from "./findings.js";
import type { HostTable } from "./hosts.js";
import { PeerLiveness } from "./liveness.js";
import { OwnReports } from "./ownreports.js";
import { PeerAddresses } from "./peeraddresses.js";
import {
    addUses,
    callersKey,
    describeGroupUse,
    dropUseWhere,
    groupReportSchema,
    hostReportSchema,
    recordGroupUse,
    recordPeerUse,
} from "./report.js";
import type { GroupReport, HostReport, SharedCounts, SharedUse } from "./report.js";
import { formerHostRetentionMs, ServingHosts } from "./servinghosts.js";
import type { StoreSync } from "./storesync.js";
import { isGroupUse, isInOtherReport, nameCounts, nameGroupUse } from "./usename.js";

const exchangeTopic = declareTopic("ingress.exchange", { request: hostReportSchema, reply: hostReportSchema });
const groupTopic = declareTopic("ingress.group", { request: z.object({}), reply: groupReportSchema });

/** Time after which a report is given up and another one sent, on a new connection if the peer was silent; late peers may reply until then. */
const callTimeoutMs = 1_200;
/** Number of intervals between direct reports to the duty holder, which needs the counts of all hosts within seconds. */
const holderIntervals = 4;
/** An unresponsive group representative is skipped for this long. */
const unresponsiveSkipMs = 2_000;
/** Number of intervals after which a participant compares the serving set with another host, which may not count it in. */
const compareIntervals = 4;
/** The use of a group is passed on for this long after its last report. */
const groupUseTtlMs = 2_500;

/** Options of `PeerExchange`. */
export interface PeerExchangeOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly hostId: HostId;
    readonly incarnation: Incarnation;
    readonly peers: TcpPeerNetwork;
    readonly hosts: HostTable;
    readonly counts: SharedCounts;
    readonly fleetClock: FleetClock;
    readonly findings: SharedFindings;
    /** The current duty holder, if known. */
    readonly dutyHolder: () => HostId | undefined;
    /** Called for each round of reports outside of the regular interval. */
    readonly onAnnounced?: () => void;
}

/**
 * Exchanges the use that customer limits and endpoint selection depend on. In large fleets a few of the serving hosts, the aggregators,
 * exchange it with each other, and every other host reports to one of them. While the fleet includes older versions all serving
 * hosts exchange: among all hosts of a group and with one representative of each other group.
 */
export class PeerExchange implements Service {
    readonly #options: PeerExchangeOptions;
    readonly serving: ServingHosts;
    readonly #attachment: Attachment;
    /** For each group peer, the hosts attached to it with the milliseconds since each was last heard from. */
    readonly #attachedToGroupPeers = new ReceivedReports<Readonly<Record<string, number>>>(groupUseTtlMs);
    readonly #groupUses = new ReceivedReports<SharedUse>(groupUseTtlMs);
    readonly #liveness: PeerLiveness;
    readonly #addresses: PeerAddresses;
    readonly #skippedUntilMs = new Map<HostId, number>();
    readonly #times: MessageTimes;
    #plan: ExchangePlan;
    readonly #reports: OwnReports;
    readonly #announcer: Announcer;
    #tickCount = 0;
    #storeSync: StoreSync | undefined;
    #cancelTick: () => void = () => undefined;
    readonly #calls = new PeerCalls();
    readonly #groupCalls = new PeerCalls();

    constructor(options: PeerExchangeOptions) {
        this.#options = options;
        const { clock, log, hostId, incarnation, peers, hosts, counts, fleetClock, findings, dutyHolder } = options;
        this.#times = new MessageTimes(incarnation);
        this.#addresses = new PeerAddresses(peers, hosts, hostId);
        this.#announcer = new Announcer(clock, { send: () => this.#announce(), intervalMs: () => this.#intervalMs() });
        this.#plan = planExchange(hostId, [], { isAvoided: () => false });
        this.#liveness = new PeerLiveness({ clock, log, self: hostId, timeoutMs: () => this.#reachabilityTimeoutMs() });
        this.serving = new ServingHosts({
            clock,
            log,
            hostId,
            hosts,
            isReachable: other => this.isReachable(other),
            isUnresponsive: other => this.#attachment.isUnresponsive(other),
            work: () => counts.callerWork.demand(callersKey, this.#nowMs()),
            dutyHolder,
        });
        this.#attachment = new Attachment({
            clock,
            hostId,
            incarnation,
            peers,
            hosts,
            counts,
            fleetClock,
            serving: this.serving,
            liveness: this.#liveness,
            news: () => this.#storeSync,
            findings,
            times: this.#times,
            fleetUse: () => this.#describeFleetUse(),
            fleetReach: () => this.reach(),
        });
        this.#reports = new OwnReports({
            clock,
            hostId,
            incarnation,
            counts,
            attachment: this.#attachment,
            liveness: this.#liveness,
            serving: this.serving,
            times: this.#times,
            plan: () => this.#plan,
            attachedToGroupPeers: this.#attachedToGroupPeers,
            dutyHolder,
            knowledge: () => this.#storeSync?.status() ?? { revision: 0, materialRevision: 0 },
            findings,
        });
    }

    start(): Promise<void> {
        const { peers } = this.#options;
        peers.handle(exchangeTopic, (report, { from }) => {
            const writtenMs = report.time === undefined ? undefined : this.#times.receive(from, report.time, this.#nowMs());
            this.#receive(from, report, writtenMs);
            return Promise.resolve(this.#reports.hostReport(from));
        });
        peers.handle(groupTopic, (_, { from }) => {
            this.#liveness.recordContact(from);
            return Promise.resolve(this.#reports.groupReport());
        });
        this.#attachment.start();
        this.#tick();
        return Promise.resolve();
    }

    /** Exchanges reports sooner than at the next interval, since something urgent has become known. */
    announce(): void {
        this.#announcer.announce();
    }

    stop(): Promise<void> {
        this.#announcer.stop();
        this.#cancelTick();
        return Promise.resolve();
    }

    /** Sets the synchronization whose status is sent with all reports. */
    setStoreSync(news: StoreSync): void {
        this.#storeSync = news;
    }

    /** Returns how many hosts share the customer limits and how many of them are reachable, including this one. */
    reach(): FleetReach {
        if (this.serving.isParticipant) {
            const { quotaHosts } = this.serving;
            const reachable = quotaHosts.filter(hostId => hostId === this.#options.hostId || this.isReachable(hostId)).length;
            // After this time without contact the other hosts use this host's share of the limits themselves.
            const isCutOff = (this.#storeSync?.storeAgeMs() ?? 0) > formerHostRetentionMs && reachable * 2 < quotaHosts.length;
            return { knownHosts: Math.max(1, quotaHosts.length), reachableHosts: isCutOff ? 0 : Math.max(1, reachable) };
        }
        return this.#attachment.fleetReach ?? { knownHosts: Math.max(1, this.#options.hosts.size), reachableHosts: 1 };
    }

    /** Whether a host was recently heard from, directly or through the report of another host. */
    isReachable(hostId: HostId): boolean {
        return this.#liveness.isReachable(hostId);
    }

    /** Time without contact after which a host counts as unreachable. */
    #reachabilityTimeoutMs(): number {
        return reachabilityTimeoutMs({ intervalMs: this.#intervalMs(), isAttached: !this.serving.isParticipant });
    }

    /** The reachable hosts that serve callers or hold the duties, including this one if it does. */
    listReachable(): readonly HostId[] {
        return this.serving.active.filter(hostId => hostId === this.#options.hostId || this.isReachable(hostId));
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }

    #intervalMs(): number {
        if (this.serving.isParticipant) {
            return exchangeIntervalMs(this.#plan, this.serving.isAggregating);
        }
        const { hostId, hosts } = this.#options;
        return attachIntervalMs({ hosts: hosts.size, isServing: this.serving.isServing(hostId) });
    }

    #tick(): void {
        this.#addresses.update(hostId => this.#forget(hostId));
        this.serving.refresh();
        const { isParticipant, participants } = this.serving;
        this.#updatePlan(isParticipant ? participants.filter(hostId => hostId !== this.#options.hostId) : []);
        if (isParticipant) {
            this.#exchange();
        }
        if (!isParticipant) {
            void this.#attachment.report();
        }
        else if (!this.serving.isFullFleet && this.#tickCount % compareIntervals === 0) {
            void this.#attachment.compare();
        }
        this.#reportToHolder();
        this.#liveness.dropUnreachable();
        this.#tickCount += 1;
        this.#cancelTick();
        this.#cancelTick = this.#options.clock.after(this.#intervalMs(), () => this.#tick());
    }

    #announce(): void {
        this.#options.onAnnounced?.();
        if (this.serving.isParticipant) {
            this.#plan.groupPeers.forEach(peer => void this.#exchangeWith(peer, true));
        }
        else {
            void this.#attachment.report();
        }
    }

    #exchange(): void {
        const { groupPeers, representatives } = this.#plan;
        for (const peer of groupPeers) {
            // A call carries the reports of both sides, so only one host of each pair makes it.
            if (this.#options.hostId < peer) {
                void this.#exchangeWith(peer);
            }
        }
        for (const peer of representatives.values()) {
            void this.#requestGroupReport(peer);
        }
    }

    #reportToHolder(): void {
        const { dutyHolder, hosts, hostId } = this.#options;
        const holder = dutyHolder();
        // Aggregators pass on the counts of the hosts that report to them.
        const isDirect = this.serving.isParticipant || !this.serving.isAggregating;
        const isDue = isDirect && holder !== undefined && holder !== hostId && this.#tickCount % holderIntervals === 0;
        if (isDue && hosts.get(holder) !== undefined && !this.#plan.groupPeers.includes(holder) && this.#hasWindowCounts()) {
            void this.#exchangeWith(holder);
        }
    }

    /** Whether this host may have counted requests in a usage window that is still open. */
    #hasWindowCounts(): boolean {
        return this.serving.isParticipant || Object.keys(this.#options.counts.usage.ownCounts()).length > 0;
    }

    #updatePlan(others: readonly HostId[]): void {
        const { clock, hostId } = this.#options;
        const former = this.#plan;
        const isAvoided = (peer: HostId): boolean => (this.#skippedUntilMs.get(peer) ?? -Infinity) > this.#nowMs();
        const plan = planExchange(hostId, [hostId, ...others], { isAvoided });
        this.#plan = plan;
        const formerPeers = new Set(former.groupPeers);
        const hasLeft = plan.groupPeers.length === 0 && formerPeers.size > 0;
        if (plan.groups !== former.groups || hasLeft || plan.groupPeers.some(peer => !formerPeers.has(peer))) {
            // Until the new groups have reported, counting use twice does less harm than missing it.
            clock.after(2 * this.#intervalMs(), () => this.#dropOutdatedUse());
        }
    }

    /** Drops the use that other reports include now. */
    #dropOutdatedUse(): void {
        const { counts, hosts } = this.#options;
        const sources = {
            isParticipant: this.serving.isParticipant,
            plan: this.#plan,
            isRegistered: (hostId: HostId) => hosts.get(hostId) !== undefined,
            isAttached: (hostId: HostId) => this.#attachment.isAttached(hostId),
        };
        dropUseWhere(counts, name => isInOtherReport(name, sources));
    }

    #forget(hostId: HostId): void {
        this.#liveness.forget(hostId);
        this.#skippedUntilMs.delete(hostId);
        this.#times.forget(hostId);
    }

    async #exchangeWith(peer: HostId, isUrgent = false): Promise<void> {
        if (!this.#calls.begin(peer, isUrgent)) {
            return;
        }
        await this.#sendReport(peer);
        if (this.#calls.end(peer) && this.#plan.groupPeers.includes(peer)) {
            void this.#exchangeWith(peer);
        }
    }

    async #sendReport(peer: HostId): Promise<void> {
        const sentMs = this.#nowMs();
        const reply = await this.#options.peers.call(peer, exchangeTopic, this.#reports.hostReport(peer), {
            timeoutMs: callTimeoutMs,
            isRepeatable: true,
        });
        if (reply.ok) {
            if (reply.value.time !== undefined) {
                this.#times.receive(peer, reply.value.time, this.#nowMs());
            }
            this.#receive(peer, reply.value, sentMs);
        }
    }

    async #requestGroupReport(peer: HostId): Promise<void> {
        if (!this.#groupCalls.begin(peer, false)) {
            return;
        }
        const sentMs = this.#nowMs();
        const reply = await this.#options.peers.call(peer, groupTopic, {}, { timeoutMs: callTimeoutMs, isRepeatable: true });
        this.#groupCalls.end(peer);
        if (reply.ok) {
            this.#receiveGroup(peer, reply.value, sentMs);
        }
        else {
            this.#skippedUntilMs.set(peer, this.#nowMs() + unresponsiveSkipMs);
        }
    }

    /** `writtenMs` is when the peer wrote the report at the earliest, if known. */
    #receive(peer: HostId, report: HostReport, writtenMs: number | undefined): void {
        const { fleetClock, counts, hostId, incarnation } = this.#options;
        const nowMs = this.#nowMs();
        this.#options.findings.merge(report, nowMs, writtenMs === undefined ? callTimeoutMs : nowMs - writtenMs);
        const elapsedMs = writtenMs === undefined ? 0 : nowMs - writtenMs;
        this.#liveness.recordContact(peer);
        fleetClock.recordPeerTime(peer, new Date(report.sentAtMs));
        counts.usage.recordPeerCounts(nameCounts(peer, report.incarnation), report.windowCounts);
        const ownCounts = nameCounts(hostId, incarnation);
        // A host that reported to the peer until it became the duty holder has its own counts.
        Object.entries(report.attachedCounts ?? {}).filter(([name]) => name !== ownCounts).forEach(([name, attachedCounts]) =>
            counts.usage.recordPeerCounts(name, attachedCounts)
        );
        // The duty holder also gets reports from hosts of other groups, whose use it receives from the representatives.
        if (this.#plan.groupPeers.includes(peer)) {
            recordPeerUse(counts, peer, report.use, nowMs);
            this.serving.recordPeerWork(report.servingWork);
            this.#attachedToGroupPeers.record(peer, report.attached, nowMs - elapsedMs);
            for (const [attached, ageMs] of Object.entries(report.attached)) {
                this.#liveness.recordContact(brandAs<HostId>(attached), ageMs + elapsedMs);
            }
        }
        this.#storeSync?.reconcile(peer, report.knowledge, writtenMs);
    }

    #receiveGroup(peer: HostId, report: GroupReport, writtenMs: number): void {
        const { counts, hostId } = this.#options;
        const nowMs = this.#nowMs();
        this.#liveness.recordContact(peer);
        this.#options.findings.merge(report, nowMs, nowMs - writtenMs);
        this.#storeSync?.reconcile(peer, report.knowledge, writtenMs);
        this.serving.recordPeerWork(report.servingWork);
        if (report.groups !== this.#plan.groups || report.group === this.#plan.ownGroup) {
            return;
        }
        for (const [member, ageMs] of Object.entries(report.members)) {
            if (member !== hostId) {
                this.#liveness.recordContact(brandAs<HostId>(member), ageMs + nowMs - writtenMs);
            }
        }
        const name = nameGroupUse(report.groups, report.group);
        recordGroupUse(counts, name, report.use, nowMs);
        this.#groupUses.record(name, report.use, nowMs);
    }

    #describeFleetUse(): SharedUse {
        const nowMs = this.#nowMs();
        const { groups } = this.#plan;
        const groupUses = this.#groupUses.entries(nowMs).filter(([name]) => isGroupUse(name, groups));
        return addUses([describeGroupUse(this.#options.counts, nowMs), ...groupUses.map(([, { report }]) => report)]);
    }
}
