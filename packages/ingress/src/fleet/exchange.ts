import type { Clock, EventLog, HostId, Incarnation, Service } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { planExchange, ReceivedReports } from "@filbertrelay/policy/ingress";
import type { ExchangePlan, FleetClock, FleetReach } from "@filbertrelay/policy/ingress";
import { declareTopic } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import { z } from "zod";
import { Attachment, fleetUseName } from "./attachment.js";
import { HeardHosts } from "./heardhosts.js";
import type { HostTable } from "./hosts.js";
import {
    addUses,
    callersKey,
    describeGroupUse,
    describeOwnUse,
    describeWindowCounts,
    forgetUseWhere,
    groupReportSchema,
    hostReportSchema,
    recordGroupUse,
    recordPeerUse,
} from "./report.js";
import type { GroupReport, HostReport, SharedCounts, SharedUse } from "./report.js";
import { formerLifeMs, ServingHosts } from "./servinghosts.js";
import type { StoreNews } from "./storenews.js";

const exchangeTopic = declareTopic("ingress.exchange", { request: hostReportSchema, reply: hostReportSchema });
const groupTopic = declareTopic("ingress.group", { request: z.object({}), reply: groupReportSchema });

/** Shortest interval between two reports to the same peer where all pairs exchange. */
const shortestIntervalMs = 200;
/** The same in groups: a report of a group takes 0.2 ms of a processor, which a small host of a large fleet can't spend oftener. */
const shortestGroupIntervalMs = 400;
/** Time per peer, which bounds the messages a host sends in a second whatever the size of the fleet. */
const intervalPerPeerMs = 30;
/** A call that takes longer than this is given up; peers are a few milliseconds apart. */
const callTimeoutMs = 600;
/** A host that was not heard for this many intervals, and at least for the given time, is not counted as reachable. */
const reachableIntervals = 4;
const shortestSilenceMs = 1_200;
/** A report is used for several peers within this time: making one costs more than sending it. */
const reportLifeMs = 80;
/** Every how many intervals a host reports to the holder of the duties, which needs everybody's counts within seconds. */
const holderIntervals = 4;
/** A host that did not answer for its group is passed over for this long. */
const avoidMs = 2_000;
/** How often a host outside of the serving set reports to one that serves. */
const attachIntervalMs = 500;
/** Every how many intervals a host that serves asks another one whether it is counted in. */
const confirmIntervals = 4;
/** Use of a group that has not reported for this long is not told to others any more. */
const groupUseLifeMs = 2_500;

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
    /** The host that holds the duties, as far as this one knows. */
    readonly dutyHolder: () => HostId | undefined;
}

/**
 * Exchanges what shared limits and placing need between the hosts that serve callers: between all of a group, and between one host
 * of each two groups. The other hosts report to one that serves.
 */
export class PeerExchange implements Service {
    readonly #options: PeerExchangeOptions;
    /** Which hosts serve callers. */
    readonly serving: ServingHosts;
    readonly #attachment: Attachment;
    /** Hosts outside of the exchange that the mates hear, with their ages. */
    readonly #attachedToMates = new ReceivedReports<Readonly<Record<string, number>>>(groupUseLifeMs);
    readonly #groupUses = new ReceivedReports<SharedUse>(groupUseLifeMs);
    readonly #heard: HeardHosts;
    readonly #addresses = new Map<HostId, string>();
    readonly #avoidedUntilMs = new Map<HostId, number>();
    #plan: ExchangePlan;
    readonly #reports: { host?: HostReport; hostMs: number; group?: GroupReport; groupMs: number; } = { hostMs: 0, groupMs: 0 };
    #tickCount = 0;
    #news: StoreNews | undefined;
    #cancelTick: () => void = () => undefined;

    constructor(options: PeerExchangeOptions) {
        this.#options = options;
        const { clock, log, hostId, incarnation, peers, hosts, counts, fleetClock, dutyHolder } = options;
        this.#plan = planExchange(hostId, [], { isAvoided: () => false });
        this.#heard = new HeardHosts({ clock, log, self: hostId, silenceMs: () => this.#silenceMs() });
        this.serving = new ServingHosts({
            clock,
            log,
            hostId,
            hosts,
            isHeard: other => this.isHeard(other),
            work: () => counts.callerWork.demand(callersKey, this.#nowMs()),
            dutyHolder,
        });
        this.#attachment = new Attachment({
            clock,
            hostId,
            incarnation,
            peers,
            counts,
            fleetClock,
            serving: this.serving,
            heard: this.#heard,
            news: () => this.#news,
            fleetUse: () => this.#describeFleetUse(),
        });
    }

    start(): Promise<void> {
        const { peers } = this.#options;
        peers.handle(exchangeTopic, (report, { from }) => {
            this.#receive(from, report);
            return Promise.resolve(this.#hostReport());
        });
        peers.handle(groupTopic, (_, { from }) => {
            this.#heard.note(from);
            return Promise.resolve(this.#groupReport());
        });
        this.#attachment.start();
        this.#tick();
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#cancelTick();
        return Promise.resolve();
    }

    /** Adds what the hosts know of the store to the reports. */
    carry(news: StoreNews): void {
        this.#news = news;
    }

    /** How many hosts share the limits and with how many of them use is being exchanged, this one included. */
    reach(): FleetReach {
        if (this.serving.isParticipant) {
            const { sharers } = this.serving;
            const reachable = sharers.filter(hostId => hostId === this.#options.hostId || this.isHeard(hostId)).length;
            // The others use this host's part of the limits once it has been cut off for as long.
            const isGivenUp = (this.#news?.storeAgeMs() ?? 0) > formerLifeMs && reachable * 2 < sharers.length;
            return { knownHosts: Math.max(1, sharers.length), reachableHosts: isGivenUp ? 0 : Math.max(1, reachable) };
        }
        const knownHosts = Math.max(1, this.#options.hosts.size);
        return { knownHosts, reachableHosts: this.#attachment.isFleetUseKnown ? knownHosts : 1 };
    }

    /** Whether a host was heard lately, by this one or by another one that reports it. */
    isHeard(hostId: HostId): boolean {
        return this.#heard.isHeard(hostId);
    }

    /** Silence after which a host is not counted as reachable. */
    #silenceMs(): number {
        return Math.max(shortestSilenceMs, reachableIntervals * this.#intervalMs());
    }

    /** The hosts of the exchange that are heard, this one included where it takes part. */
    listHeard(): readonly HostId[] {
        return this.serving.participants.filter(hostId => hostId === this.#options.hostId || this.isHeard(hostId));
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }

    #intervalMs(): number {
        const { groups, groupPeers, representatives } = this.#plan;
        if (!this.serving.isParticipant) {
            return attachIntervalMs;
        }
        const shortestMs = groups === 1 ? shortestIntervalMs : shortestGroupIntervalMs;
        return Math.max(shortestMs, intervalPerPeerMs * (groupPeers.length + representatives.size));
    }

    #tick(): void {
        this.#learnAddresses();
        this.serving.refresh();
        const { isParticipant, participants } = this.serving;
        this.#arrange(isParticipant ? participants.filter(hostId => hostId !== this.#options.hostId) : []);
        if (isParticipant) {
            this.#exchange();
        }
        if (!isParticipant || (!this.serving.isFullFleet && this.#tickCount % confirmIntervals === 0)) {
            void this.#attachment.report();
        }
        this.#reportToHolder();
        this.#heard.dropSilent();
        this.#tickCount += 1;
        this.#cancelTick();
        this.#cancelTick = this.#options.clock.after(this.#intervalMs(), () => this.#tick());
    }

    #exchange(): void {
        const { groupPeers, representatives } = this.#plan;
        for (const peer of groupPeers) {
            // One call carries the reports of both sides, so that only one of two hosts calls.
            if (this.#options.hostId < peer) {
                void this.#exchangeWith(peer);
            }
        }
        for (const peer of representatives.values()) {
            void this.#askForGroup(peer);
        }
    }

    #reportToHolder(): void {
        const { dutyHolder, hosts, hostId } = this.#options;
        const holder = dutyHolder();
        const isDue = holder !== undefined && holder !== hostId && this.#tickCount % holderIntervals === 0;
        if (isDue && hosts.get(holder) !== undefined && !this.#plan.groupPeers.includes(holder) && this.#hasCounts()) {
            void this.#exchangeWith(holder);
        }
    }

    /** Whether this host has counted requests in a window that is still open. */
    #hasCounts(): boolean {
        return this.serving.isParticipant || Object.keys(this.#options.counts.usage.ownCounts()).length > 0;
    }

    #arrange(others: readonly HostId[]): void {
        const { clock, hostId, counts } = this.#options;
        const former = this.#plan;
        const isAvoided = (peer: HostId): boolean => (this.#avoidedUntilMs.get(peer) ?? -Infinity) > this.#nowMs();
        const plan = planExchange(hostId, [hostId, ...others], { isAvoided });
        this.#plan = plan;
        const formerMates = new Set(former.groupPeers);
        if (plan.groups !== former.groups || plan.groupPeers.some(mate => !formerMates.has(mate))) {
            // Until the new groups have reported, use that is counted twice does less harm than use that is not counted.
            clock.after(2 * this.#intervalMs(), () => forgetUseWhere(counts, name => this.#isReportedOtherwise(name)));
        }
    }

    /** Whether the use that is kept under a name is part of another report now. */
    #isReportedOtherwise(name: string): boolean {
        if (name === fleetUseName) {
            return this.serving.isParticipant;
        }
        if (isGroupName(name)) {
            return !name.startsWith(groupPrefix(this.#plan.groups));
        }
        // The use of a host that has ended stays until it has left the window.
        const hostId = brandAs<HostId>(name);
        return this.#options.hosts.get(hostId) !== undefined && !this.#plan.groupPeers.includes(hostId) &&
            !this.#attachment.isAttached(hostId);
    }

    #learnAddresses(): void {
        const { hosts, hostId: self, peers } = this.#options;
        for (const { hostId, peerAddress } of hosts.list()) {
            if (hostId !== self && this.#addresses.get(hostId) !== peerAddress) {
                this.#addresses.set(hostId, peerAddress);
                peers.setAddress(hostId, peerAddress);
            }
        }
        for (const hostId of this.#addresses.keys()) {
            if (hosts.get(hostId) === undefined) {
                this.#addresses.delete(hostId);
                this.#heard.forget(hostId);
                this.#avoidedUntilMs.delete(hostId);
                peers.forget(hostId);
            }
        }
    }

    async #exchangeWith(peer: HostId): Promise<void> {
        const reply = await this.#options.peers.call(peer, exchangeTopic, this.#hostReport(), {
            timeoutMs: callTimeoutMs,
            isRepeatable: true,
        });
        if (reply.ok) {
            this.#receive(peer, reply.value);
        }
    }

    async #askForGroup(peer: HostId): Promise<void> {
        const reply = await this.#options.peers.call(peer, groupTopic, {}, { timeoutMs: callTimeoutMs, isRepeatable: true });
        if (reply.ok) {
            this.#receiveGroup(peer, reply.value);
        }
        else {
            this.#avoidedUntilMs.set(peer, this.#nowMs() + avoidMs);
        }
    }

    #receive(peer: HostId, report: HostReport): void {
        const { fleetClock, counts } = this.#options;
        const nowMs = this.#nowMs();
        this.#heard.note(peer);
        fleetClock.recordPeerTime(peer, new Date(report.sentAtMs));
        counts.usage.recordPeerCounts(`${peer}/${report.incarnation}`, report.windowCounts);
        // The holder of the duties hears hosts whose use it learns from their groups.
        if (this.#plan.groupPeers.includes(peer)) {
            recordPeerUse(counts, peer, report.use, nowMs);
            this.serving.noteWork(report.servingWork);
            this.#attachedToMates.record(peer, report.attached, nowMs);
            for (const [attached, ageMs] of Object.entries(report.attached)) {
                this.#heard.note(brandAs<HostId>(attached), ageMs);
            }
        }
        this.#news?.learn(peer, report.knowledge);
    }

    #receiveGroup(peer: HostId, report: GroupReport): void {
        const { counts, hostId } = this.#options;
        const nowMs = this.#nowMs();
        this.#heard.note(peer);
        this.#news?.learn(peer, report.knowledge);
        this.serving.noteWork(report.servingWork);
        if (report.groups !== this.#plan.groups || report.group === this.#plan.ownGroup) {
            return;
        }
        for (const [member, ageMs] of Object.entries(report.members)) {
            if (member !== hostId) {
                this.#heard.note(brandAs<HostId>(member), ageMs);
            }
        }
        const name = `${groupPrefix(report.groups)}${report.group}`;
        recordGroupUse(counts, name, report.use, nowMs);
        this.#groupUses.record(name, report.use, nowMs);
    }

    #describeFleetUse(): SharedUse {
        const nowMs = this.#nowMs();
        const prefix = groupPrefix(this.#plan.groups);
        const groups = this.#groupUses.entries(nowMs).filter(([name]) => name.startsWith(prefix)).map(([, { report }]) => report);
        return addUses([describeGroupUse(this.#options.counts, nowMs), ...groups]);
    }

    /** The report of this host, made anew when it is older than what a peer would notice. */
    #hostReport(): HostReport {
        const nowMs = this.#nowMs();
        if (this.#reports.host === undefined || nowMs - this.#reports.hostMs > reportLifeMs) {
            this.#reports.host = this.#describeHost();
            this.#reports.hostMs = nowMs;
        }
        return this.#reports.host;
    }

    /** The same for the group. */
    #groupReport(): GroupReport {
        const nowMs = this.#nowMs();
        if (this.#reports.group === undefined || nowMs - this.#reports.groupMs > reportLifeMs) {
            this.#reports.group = this.#describeGroup();
            this.#reports.groupMs = nowMs;
        }
        return this.#reports.group;
    }

    #describeHost(): HostReport {
        return {
            incarnation: this.#options.incarnation,
            sentAtMs: this.#options.clock.now().getTime(),
            knowledge: this.#news?.knowledge() ?? { revision: 0, materialRevision: 0 },
            use: addUses([describeOwnUse(this.#options.counts, this.#nowMs()), ...this.#attachment.uses()]),
            windowCounts: describeWindowCounts(this.#options.counts),
            servingWork: this.serving.work,
            attached: this.#attachment.ages(),
        };
    }

    #describeGroup(): GroupReport {
        const nowMs = this.#nowMs();
        const heard = this.#plan.groupPeers.filter(peer => this.isHeard(peer)).map(peer =>
            [peer, this.#heard.ageMs(peer)] as const
        );
        return {
            groups: this.#plan.groups,
            group: this.#plan.ownGroup,
            members: {
                ...this.#attachment.ages(),
                ...Object.fromEntries([[this.#options.hostId, 0], ...heard, ...this.#listAttachedToMates(nowMs)]),
            },
            servingWork: this.serving.work,
            knowledge: this.#news?.knowledge() ?? { revision: 0, materialRevision: 0 },
            use: describeGroupUse(this.#options.counts, nowMs),
        };
    }

    #listAttachedToMates(nowMs: number): readonly (readonly [string, number])[] {
        return this.#attachedToMates.live(nowMs).flatMap(({ report, receivedMs }) =>
            Object.entries(report).map(([hostId, ageMs]) => [hostId, Math.round(ageMs + nowMs - receivedMs)] as const)
        );
    }
}

function groupPrefix(groups: number): string {
    return `group/${groups}/`;
}

function isGroupName(name: string): boolean {
    return name.startsWith("group/");
}
