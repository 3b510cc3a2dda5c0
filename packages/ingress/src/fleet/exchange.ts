import type { Clock, EventLog, HostId, Incarnation, Service } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { planExchange } from "@filbertrelay/policy/ingress";
import type { ExchangePlan, FleetClock, FleetReach } from "@filbertrelay/policy/ingress";
import { declareTopic } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import { z } from "zod";
import { fleetEvents as events } from "./event.js";
import type { HostTable } from "./hosts.js";
import { describeGroupUse, describeOwnUse, describeWindowCounts, groupReportSchema, hostReportSchema } from "./report.js";
import type { GroupReport, HostReport, SharedCounts } from "./report.js";
import type { StoreNews } from "./storenews.js";

const exchangeTopic = declareTopic("ingress.exchange", { request: hostReportSchema, reply: hostReportSchema });
const groupTopic = declareTopic("ingress.group", { request: z.object({}), reply: groupReportSchema });

/** Shortest interval between two reports to the same peer where all pairs exchange. */
const shortestIntervalMs = 200;
/** The same in groups: a report of a group takes 0.2 ms of a processor, which a small host of a large fleet can't spend oftener. */
const shortestGroupIntervalMs = 400;
/** Time per peer, which bounds the messages a host sends in a second whatever the size of the fleet. */
const intervalPerPeerMs = 20;
/** A call that takes longer than this is given up; peers are a few milliseconds apart. */
const callTimeoutMs = 600;
/** A host that was not heard for this many intervals is not counted as reachable. */
const reachableIntervals = 6;
/** A report is used for several peers within this time: making one costs more than sending it. */
const reportLifeMs = 80;
/** Every how many intervals a host reports to the holder of the duties, which needs everybody's counts within seconds. */
const holderIntervals = 4;
/** A host that did not answer for its group is passed over for this long. */
const avoidMs = 2_000;

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

/** Exchanges what shared limits and placing need: between all hosts of a group, and between one host of each two groups. */
export class PeerExchange implements Service {
    readonly #options: PeerExchangeOptions;
    readonly #heardMs = new Map<HostId, number>();
    readonly #addresses = new Map<HostId, string>();
    readonly #avoidedUntilMs = new Map<HostId, number>();
    #plan: ExchangePlan;
    readonly #reports: { host?: HostReport; hostMs: number; group?: GroupReport; groupMs: number; } = { hostMs: 0, groupMs: 0 };
    #tickCount = 0;
    #news: StoreNews | undefined;
    #cancelTick: () => void = () => undefined;

    constructor(options: PeerExchangeOptions) {
        this.#options = options;
        this.#plan = planExchange(options.hostId, [], { isAvoided: () => false });
    }

    start(): Promise<void> {
        const { peers } = this.#options;
        peers.handle(exchangeTopic, (report, { from }) => {
            this.#receive(from, report);
            return Promise.resolve(this.#hostReport());
        });
        peers.handle(groupTopic, (_, { from }) => {
            this.#noteHeard(from, this.#nowMs());
            return Promise.resolve(this.#groupReport());
        });
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

    /** How many hosts are known and how many of them are heard. */
    reach(): FleetReach {
        return { knownHosts: this.#others().length + 1, reachableHosts: this.listHeard().length };
    }

    /** Whether a host was heard lately, by this one or by another one that answers for its group. */
    isHeard(hostId: HostId): boolean {
        const heardMs = this.#heardMs.get(hostId);
        return heardMs !== undefined && this.#nowMs() - heardMs < reachableIntervals * this.#intervalMs();
    }

    /** The hosts that are heard, this one included. */
    listHeard(): readonly HostId[] {
        return [this.#options.hostId, ...this.#others().filter(hostId => this.isHeard(hostId))];
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }

    #others(): HostId[] {
        return this.#options.hosts.list().map(host => host.hostId).filter(hostId => hostId !== this.#options.hostId);
    }

    #intervalMs(): number {
        const { groups, mates, partners } = this.#plan;
        const shortestMs = groups === 1 ? shortestIntervalMs : shortestGroupIntervalMs;
        return Math.max(shortestMs, intervalPerPeerMs * (mates.length + partners.size));
    }

    #tick(): void {
        const others = this.#others();
        this.#learnAddresses();
        this.#arrange(others);
        const { mates, partners } = this.#plan;
        for (const peer of mates) {
            // One call carries the reports of both sides, so that only one of two hosts calls.
            if (this.#options.hostId < peer) {
                void this.#exchangeWith(peer);
            }
        }
        for (const peer of partners.values()) {
            void this.#askForGroup(peer);
        }
        const holder = this.#options.dutyHolder();
        if (
            holder !== undefined && this.#tickCount % holderIntervals === 0 && others.includes(holder) && !mates.includes(holder)
        ) {
            void this.#exchangeWith(holder);
        }
        others.forEach(peer => this.#noteSilence(peer));
        this.#tickCount += 1;
        this.#cancelTick();
        this.#cancelTick = this.#options.clock.after(this.#intervalMs(), () => this.#tick());
    }

    #arrange(others: readonly HostId[]): void {
        const { clock, hostId, counts } = this.#options;
        const former = this.#plan.groups;
        const isAvoided = (peer: HostId): boolean => (this.#avoidedUntilMs.get(peer) ?? -Infinity) > this.#nowMs();
        const plan = planExchange(hostId, [hostId, ...others], { isAvoided });
        this.#plan = plan;
        if (plan.groups !== former) {
            // Until the new groups have reported, use that is counted twice does less harm than use that is not counted.
            clock.after(2 * this.#intervalMs(), () => {
                const known = new Set<string>(this.#others());
                const mates = new Set<string>(this.#plan.mates);
                counts.quota.forgetWhere(name =>
                    isGroupName(name) ? !name.startsWith(groupPrefix(this.#plan.groups)) : known.has(name) && !mates.has(name)
                );
            });
        }
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
                this.#heardMs.delete(hostId);
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
        this.#noteHeard(peer, nowMs);
        fleetClock.recordPeerTime(peer, new Date(report.sentAtMs));
        counts.usage.recordPeerCounts(`${peer}/${report.incarnation}`, report.windowCounts);
        // The holder of the duties hears hosts whose use it learns from their groups.
        if (this.#plan.mates.includes(peer)) {
            counts.quota.recordPeerUse(peer, report.use.quotaUse, nowMs);
            counts.demand.recordPeerDemand(peer, report.use.demand, nowMs);
            counts.loads.recordPeerUse(peer, report.use.endpointUse, nowMs);
        }
        this.#news?.learn(peer, report.knowledge);
    }

    #receiveGroup(peer: HostId, report: GroupReport): void {
        const { counts, hostId } = this.#options;
        const nowMs = this.#nowMs();
        this.#noteHeard(peer, nowMs);
        this.#news?.learn(peer, report.knowledge);
        if (report.groups !== this.#plan.groups || report.group === this.#plan.ownGroup) {
            return;
        }
        for (const [member, ageMs] of Object.entries(report.members)) {
            if (member !== hostId) {
                this.#noteHeard(brandAs<HostId>(member), nowMs - ageMs);
            }
        }
        const name = `${groupPrefix(report.groups)}${report.group}`;
        counts.quota.recordGroupUse(name, report.use.quotaUse, nowMs);
        counts.demand.recordGroupDemand(name, report.use.demand, nowMs);
        counts.loads.recordGroupUse(name, report.use.endpointUse, nowMs);
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
            use: describeOwnUse(this.#options.counts, this.#nowMs()),
            windowCounts: describeWindowCounts(this.#options.counts),
        };
    }

    #describeGroup(): GroupReport {
        const nowMs = this.#nowMs();
        const heard = this.#plan.mates.flatMap(peer => {
            const heardMs = this.#heardMs.get(peer);
            return heardMs === undefined ? [] : [[peer, Math.round(nowMs - heardMs)] as const];
        });
        return {
            groups: this.#plan.groups,
            group: this.#plan.ownGroup,
            members: Object.fromEntries([[this.#options.hostId, 0], ...heard]),
            knowledge: this.#news?.knowledge() ?? { revision: 0, materialRevision: 0 },
            use: describeGroupUse(this.#options.counts, nowMs),
        };
    }

    #noteHeard(peer: HostId, heardMs: number): void {
        const isSilent = !this.isHeard(peer);
        this.#heardMs.set(peer, Math.max(heardMs, this.#heardMs.get(peer) ?? -Infinity));
        if (isSilent && this.isHeard(peer)) {
            this.#options.log.write(events.peerRegained, { peer });
        }
    }

    #noteSilence(peer: HostId): void {
        const heardMs = this.#heardMs.get(peer);
        if (heardMs !== undefined && !this.isHeard(peer)) {
            this.#heardMs.delete(peer);
            this.#options.log.write(events.peerLost, { peer, ageMs: Math.round(this.#nowMs() - heardMs) });
        }
    }
}

function groupPrefix(groups: number): string {
    return `group/${groups}/`;
}

function isGroupName(name: string): boolean {
    return name.startsWith("group/");
}

/** Names one run of this process. */
export function createIncarnation(now: Date, draw: () => number): Incarnation {
    return brandAs<Incarnation>(`${now.getTime()}-${Math.floor(draw() * 1e9).toString(36)}`);
}
