import type { Clock, EventLog, HostId, Incarnation, Service } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import type { DemandMeter, FleetClock, FleetReach, LoadBoard, QuotaUse, UsageLedger, UsageQuota } from "@filbertrelay/policy";
import { declareTopic } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import { z } from "zod";
import type { StoreMirror } from "../state/mirror.js";
import { fleetEvents as events } from "./event.js";
import type { HostTable } from "./hosts.js";

const countsSchema = z.record(z.string(), z.number());
const reportSchema = z.object({
    incarnation: z.string(),
    /** The sender's wall-clock time, in milliseconds since 1970. */
    sentAtMs: z.number(),
    /** Revision of the store up to which the sender knows all changes. */
    revision: z.number(),
    quotaUse: z.object({
        ageMs: z.number(),
        /** Use within growing parts of the quota's window. */
        customers: z.record(z.string(), z.array(z.number())),
    }),
    windowCounts: z.record(z.string(), countsSchema),
    /** Busy endpoints by service. */
    demand: countsSchema,
    endpointUse: z.record(z.string(), z.object({ running: z.number(), waitingTokens: countsSchema })),
});
type Report = z.infer<typeof reportSchema>;

const exchangeTopic = declareTopic("ingress.exchange", { request: reportSchema, reply: reportSchema });

const changesTopic = declareTopic("ingress.changes", {
    request: z.object({ afterRevision: z.number() }),
    reply: z.object({
        isComplete: z.boolean(),
        revision: z.number(),
        changes: z.array(z.object({ key: z.string(), revision: z.number(), value: z.string().optional() })),
    }),
});

/** Shortest interval between two reports to the same peer. */
const shortestIntervalMs = 200;
/** Time per peer, which bounds the messages a host sends in a second whatever the size of the fleet. */
const intervalPerPeerMs = 20;
/** A call that takes longer than this is given up; peers are a few milliseconds apart. */
const callTimeoutMs = 600;
/** A peer that was not heard for this many intervals is not counted as reachable. */
const reachableIntervals = 6;
/** The store's own watch is preferred; peers are asked when it has been silent for this long. */
const mirrorAgeMs = 600;

/** Exchanges what shared limits and placing need with every other host. */
export class PeerExchange implements Service {
    readonly #clock: Clock;
    readonly #log: EventLog;
    readonly #hostId: HostId;
    readonly #incarnation: Incarnation;
    readonly #peers: TcpPeerNetwork;
    readonly #hosts: HostTable;
    readonly #mirror: StoreMirror;
    readonly #quota: UsageQuota;
    readonly #usage: UsageLedger;
    readonly #loads: LoadBoard;
    readonly #demand: DemandMeter;
    readonly #fleetClock: FleetClock;
    readonly #heardMs = new Map<HostId, number>();
    readonly #addresses = new Map<HostId, string>();
    #isAskingForChanges = false;
    #cancelTick: () => void = () => undefined;

    constructor(
        options: {
            readonly clock: Clock;
            readonly log: EventLog;
            readonly hostId: HostId;
            readonly incarnation: Incarnation;
            readonly peers: TcpPeerNetwork;
            readonly hosts: HostTable;
            readonly mirror: StoreMirror;
            readonly quota: UsageQuota;
            readonly usage: UsageLedger;
            readonly loads: LoadBoard;
            readonly demand: DemandMeter;
            readonly fleetClock: FleetClock;
        },
    ) {
        this.#clock = options.clock;
        this.#log = options.log;
        this.#hostId = options.hostId;
        this.#incarnation = options.incarnation;
        this.#peers = options.peers;
        this.#hosts = options.hosts;
        this.#mirror = options.mirror;
        this.#quota = options.quota;
        this.#usage = options.usage;
        this.#loads = options.loads;
        this.#demand = options.demand;
        this.#fleetClock = options.fleetClock;
    }

    start(): Promise<void> {
        this.#peers.handle(exchangeTopic, (report, { from }) => {
            this.#receive(from, report);
            return Promise.resolve(this.#report());
        });
        this.#peers.handle(changesTopic, ({ afterRevision }) => Promise.resolve(this.#describeChanges(afterRevision)));
        this.#tick();
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#cancelTick();
        return Promise.resolve();
    }

    /** How many hosts are known and how many of them are heard. */
    reach(): FleetReach {
        const others = this.#others();
        return { knownHosts: others.length + 1, reachableHosts: 1 + others.filter(hostId => this.isHeard(hostId)).length };
    }

    /** Whether a peer was heard lately. */
    isHeard(hostId: HostId): boolean {
        const heardMs = this.#heardMs.get(hostId);
        return heardMs !== undefined && this.#clock.monotonicMs() - heardMs < reachableIntervals * this.#intervalMs();
    }

    #others(): HostId[] {
        return this.#hosts.list().map(host => host.hostId).filter(hostId => hostId !== this.#hostId);
    }

    #intervalMs(): number {
        return Math.max(shortestIntervalMs, intervalPerPeerMs * this.#hosts.list().length);
    }

    #tick(): void {
        const others = this.#others();
        this.#learnAddresses();
        for (const peer of others) {
            // One call carries the reports of both sides, so that only one of two hosts calls.
            if (this.#hostId < peer) {
                void this.#exchangeWith(peer);
            }
            this.#noteSilence(peer);
        }
        this.#cancelTick = this.#clock.after(this.#intervalMs(), () => this.#tick());
    }

    #learnAddresses(): void {
        const hosts = this.#hosts.list();
        for (const { hostId, peerAddress } of hosts) {
            if (hostId !== this.#hostId && this.#addresses.get(hostId) !== peerAddress) {
                this.#addresses.set(hostId, peerAddress);
                this.#peers.setAddress(hostId, peerAddress);
            }
        }
        for (const hostId of this.#addresses.keys()) {
            if (this.#hosts.get(hostId) === undefined) {
                this.#addresses.delete(hostId);
                this.#heardMs.delete(hostId);
                this.#peers.forget(hostId);
            }
        }
    }

    async #exchangeWith(peer: HostId): Promise<void> {
        const reply = await this.#peers.call(peer, exchangeTopic, this.#report(), {
            timeoutMs: callTimeoutMs,
            isRepeatable: true,
        });
        if (reply.ok) {
            this.#receive(peer, reply.value);
        }
    }

    #receive(peer: HostId, report: Report): void {
        const nowMs = this.#clock.monotonicMs();
        if (!this.isHeard(peer)) {
            this.#log.write(events.peerRegained, { peer, revision: report.revision });
        }
        this.#heardMs.set(peer, nowMs);
        this.#fleetClock.recordPeerTime(peer, new Date(report.sentAtMs));
        this.#quota.recordPeerUse(peer, report.quotaUse, nowMs);
        this.#usage.recordPeerCounts(`${peer}/${report.incarnation}`, report.windowCounts);
        this.#demand.recordPeerDemand(peer, report.demand, nowMs);
        this.#loads.recordPeerUse(peer, report.endpointUse, nowMs);
        if (report.revision > this.#mirror.revision && this.#mirror.ageMs() > mirrorAgeMs && !this.#isAskingForChanges) {
            void this.#askForChanges(peer);
        }
    }

    async #askForChanges(peer: HostId): Promise<void> {
        this.#isAskingForChanges = true;
        const body = { afterRevision: this.#mirror.revision };
        const reply = await this.#peers.call(peer, changesTopic, body, { timeoutMs: callTimeoutMs, isRepeatable: true });
        this.#isAskingForChanges = false;
        if (reply.ok) {
            this.#mirror.mergeFromPeer(peer, {
                ...reply.value,
                changes: reply.value.changes.map(({ key, revision, value }) =>
                    value === undefined ? { key, revision } : { key, revision, value }
                ),
            });
        }
    }

    #describeChanges(afterRevision: number): z.input<typeof changesTopic.reply> {
        const { isComplete, revision, changes } = this.#mirror.changesSince(afterRevision);
        return { isComplete, revision, changes: [...changes] };
    }

    #report(): Report {
        return {
            incarnation: this.#incarnation,
            sentAtMs: this.#clock.now().getTime(),
            revision: this.#mirror.revision,
            quotaUse: copyQuotaUse(this.#quota.ownUse(this.#clock.monotonicMs())),
            windowCounts: copyCounts(this.#usage.ownCounts()),
            demand: { ...this.#demand.ownDemand(this.#clock.monotonicMs()) },
            endpointUse: copyUse(this.#loads.ownUse()),
        };
    }

    #noteSilence(peer: HostId): void {
        const heardMs = this.#heardMs.get(peer);
        if (heardMs !== undefined && !this.isHeard(peer)) {
            this.#heardMs.delete(peer);
            this.#log.write(events.peerLost, { peer, ageMs: Math.round(this.#clock.monotonicMs() - heardMs) });
        }
    }
}

function copyQuotaUse({ ageMs, customers }: QuotaUse): Report["quotaUse"] {
    return { ageMs, customers: Object.fromEntries(Object.entries(customers).map(([name, use]) => [name, [...use]])) };
}

function copyCounts(counts: ReturnType<UsageLedger["ownCounts"]>): Report["windowCounts"] {
    return Object.fromEntries(Object.entries(counts).map(([window, customers]) => [window, { ...customers }]));
}

function copyUse(use: ReturnType<LoadBoard["ownUse"]>): Report["endpointUse"] {
    return Object.fromEntries(
        Object.entries(use).map(([endpoint, entry]) => [
            endpoint,
            { running: entry.running, waitingTokens: { ...entry.waitingTokens } },
        ]),
    );
}

/** Names one run of this process. */
export function createIncarnation(now: Date, draw: () => number): Incarnation {
    return brandAs<Incarnation>(`${now.getTime()}-${Math.floor(draw() * 1e9).toString(36)}`);
}
