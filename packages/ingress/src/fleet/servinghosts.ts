import type { Clock, EventLog, HostId } from "@filbertrelay/kernel";
import { chooseAggregators, chooseCounterpart, chooseServingHosts, largestAllServingFleet } from "@filbertrelay/policy/ingress";
import { fleetEvents as events } from "./event.js";
import type { HostRecord, HostTable } from "./hosts.js";

/** A newly registered host counts as alive for this long without having been heard from. */
const newHostGraceMs = 3_000;
/** An adopted serving set is valid for this long. */
const adoptedSetTtlMs = 2_500;
/** A host that has left the serving set or the store keeps its share of customer limits for this long. */
export const formerHostRetentionMs = 10_000;
/** Hosts of sets chosen within this time after the start are not retained: the sets change while hosts discover each other. */
const settleMs = 2_500;
/** Time constant of the exponential decay of a work peak; growing the set again costs callers more than spare hosts do. */
const peakDecayMs = 15_000;
/** If no larger share of a large fleet is alive, this host assumes that it is partitioned itself and treats all hosts as alive. */
const minReachableShare = 0.2;
/** The same share in a fleet where all hosts serve. */
const minReachableShareFullFleet = 0.5;

/** Options of `ServingHosts`. */
export interface ServingHostsOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly hostId: HostId;
    readonly hosts: HostTable;
    readonly isReachable: (hostId: HostId) => boolean;
    /** Whether a host has not responded to a report of this one lately. */
    readonly isUnresponsive: (hostId: HostId) => boolean;
    /** Processor time that callers' requests take on all hosts, in CPU seconds per second. */
    readonly work: () => number;
    /** The current duty holder, if known. */
    readonly dutyHolder: () => HostId | undefined;
}

/** Determines which hosts serve callers, and which of them exchange the use of all: the aggregators and the duty holder. */
export class ServingHosts {
    readonly #options: ServingHostsOptions;
    readonly #createdMs: number;
    readonly #knownSinceMs = new Map<string, number>();
    /** When each host was last in the serving set. */
    readonly #lastServedMs = new Map<HostId, number>();
    #serving: readonly HostRecord[] = [];
    #servingIds: ReadonlySet<HostId> = new Set();
    #aggregators: readonly HostId[] = [];
    #participants: readonly HostId[] = [];
    #active: readonly HostId[] = [];
    #isAggregating = false;
    #adopted: { readonly hostIds: ReadonlySet<HostId>; readonly atMs: number; } | undefined;
    #isAdopted = false;
    #peak = { work: 0, atMs: 0 };

    constructor(options: ServingHostsOptions) {
        this.#options = options;
        this.#createdMs = options.clock.monotonicMs();
    }

    /** The hosts that callers are sent to. */
    get serving(): readonly HostRecord[] {
        return this.#serving;
    }

    /** The hosts that exchange their use with each other, including this one if it takes part. */
    get participants(): readonly HostId[] {
        return this.#participants;
    }

    /** The serving hosts that others report to; all of them while the fleet includes a version that doesn't report through others. */
    get aggregators(): readonly HostId[] {
        return this.#aggregators;
    }

    /** Whether serving hosts report through aggregators. */
    get isAggregating(): boolean {
        return this.#isAggregating;
    }

    /** The hosts that send requests to endpoints or orders to the platform: the serving hosts and the duty holder. */
    get active(): readonly HostId[] {
        return this.#active;
    }

    /**
     * The hosts that share customer limits: those that serve now or did recently, even if no longer registered. The entry of a
     * partitioned host expires within seconds, while callers may still reach the host.
     */
    get quotaHosts(): readonly HostId[] {
        const nowMs = this.#options.clock.monotonicMs();
        const registered = this.isFullFleet ? this.#options.hosts.list().map(({ hostId }) => hostId) : [];
        const former = [...this.#lastServedMs].filter(([, servedMs]) => nowMs - servedMs < formerHostRetentionMs).map((
            [hostId],
        ) => hostId);
        return [...new Set([...registered, ...this.#servingIds, ...former])];
    }

    /** Whether all hosts serve because the fleet is small. */
    get isFullFleet(): boolean {
        return this.#options.hosts.size <= largestAllServingFleet;
    }

    isServing(hostId: HostId): boolean {
        return this.#servingIds.has(hostId);
    }

    /** Returns the host with which this one compares the serving set while it takes part in the exchange. */
    chooseCounterpart(round: number): HostId | undefined {
        const { hostId, hosts, isUnresponsive } = this.#options;
        const registered = hosts.list();
        const choice = { hosts: registered.length, isUnresponsive, participants: this.#participants, round };
        return chooseCounterpart(hostId, registered, choice);
    }

    /** Whether this host takes part in the exchange. */
    get isParticipant(): boolean {
        return this.isFullFleet || this.#participants.includes(this.#options.hostId);
    }

    /** Milliseconds since a serving host chose this set. */
    get setAgeMs(): number {
        return this.#isAdopted && this.#adopted !== undefined ? this.#options.clock.monotonicMs() - this.#adopted.atMs : 0;
    }

    /** Adopts the set that another serving host chose `ageMs` ago, unless a newer one is known. */
    adopt(hostIds: readonly HostId[], ageMs: number): void {
        const atMs = this.#options.clock.monotonicMs() - ageMs;
        if (this.#adopted === undefined || this.#adopted.atMs <= atMs) {
            this.#adopted = { hostIds: new Set(hostIds), atMs };
        }
    }

    /** Processor time that the set is sized for, in CPU seconds per second: the current work, or a decaying peak if higher. */
    get work(): number {
        const nowMs = this.#options.clock.monotonicMs();
        const decayed = this.#peak.work * Math.exp(-(nowMs - this.#peak.atMs) / peakDecayMs);
        this.#peak = { work: Math.max(this.#options.work(), decayed), atMs: nowMs };
        return this.#peak.work;
    }

    /** Records the work that another host sizes its set for, so that all choose the same set while a peak decays. */
    recordPeerWork(work: number): void {
        if (work > this.work) {
            this.#peak = { work, atMs: this.#options.clock.monotonicMs() };
        }
    }

    /** Recomputes the serving set and the participants. */
    refresh(): void {
        const { clock, hosts, dutyHolder, isUnresponsive } = this.#options;
        const nowMs = clock.monotonicMs();
        const known = hosts.list();
        this.#updateKnown(known, nowMs);
        const wasServing = this.#servingIds.has(this.#options.hostId);
        this.#serving = this.#chooseServing(known, nowMs);
        this.#servingIds = new Set(this.#serving.map(host => host.hostId));
        this.#logRoleChange(wasServing, known.length);
        if (nowMs - this.#createdMs > settleMs) {
            const sharing = this.isFullFleet ? known.map(({ hostId }) => hostId) : this.#servingIds;
            sharing.forEach(hostId => this.#lastServedMs.set(hostId, nowMs));
        }
        this.#isAggregating = !this.isFullFleet && known.every(({ aggregates }) => aggregates);
        const choice = { hosts: known.length, isUnresponsive };
        const aggregators = this.#isAggregating ? chooseAggregators(this.#serving, choice) : this.#serving;
        this.#aggregators = aggregators.map(host => host.hostId);
        const holder = dutyHolder();
        const exchanging = new Set([...this.#aggregators, holder]);
        const knownIds = known.map(host => host.hostId);
        this.#participants = knownIds.filter(id => this.isFullFleet || exchanging.has(id));
        this.#active = knownIds.filter(id => this.isFullFleet || id === holder || this.#servingIds.has(id));
    }

    #logRoleChange(wasServing: boolean, hosts: number): void {
        const isServing = this.#servingIds.has(this.#options.hostId);
        if (isServing !== wasServing) {
            this.#options.log.write(events.servingChanged, {
                isServing,
                serving: this.#serving.length,
                hosts,
                work: Math.round(this.work * 100) / 100,
                isTold: this.#isAdopted,
            });
        }
    }

    #updateKnown(known: readonly HostRecord[], nowMs: number): void {
        const present = new Set<string>();
        for (const { hostId, incarnation } of known) {
            const run = `${hostId}/${incarnation}`;
            present.add(run);
            if (!this.#knownSinceMs.has(run)) {
                this.#knownSinceMs.set(run, nowMs);
            }
        }
        [...this.#knownSinceMs.keys()].filter(run => !present.has(run)).forEach(run => this.#knownSinceMs.delete(run));
        [...this.#lastServedMs].filter(([, servedMs]) => nowMs - servedMs > formerHostRetentionMs).forEach(([id]) =>
            this.#lastServedMs.delete(id)
        );
    }

    #chooseServing(known: readonly HostRecord[], nowMs: number): readonly HostRecord[] {
        const { hostId } = this.#options;
        const adopted = this.#adopted;
        // Hosts that exchange hear of all others and choose the set themselves, as does a host to which none of them responds.
        this.#isAdopted = false;
        const isChooser = adopted?.hostIds.has(hostId) === true && (!this.#isAggregating || this.#aggregators.includes(hostId));
        if (!this.isFullFleet && adopted !== undefined && nowMs - adopted.atMs < adoptedSetTtlMs && !isChooser) {
            const adoptedHosts = known.filter(host => adopted.hostIds.has(host.hostId));
            if (adoptedHosts.length > 0) {
                this.#isAdopted = true;
                return adoptedHosts;
            }
        }
        return chooseServingHosts(this.#selectAlive(known, nowMs), { work: this.work });
    }

    #selectAlive(known: readonly HostRecord[], nowMs: number): readonly HostRecord[] {
        const { hostId: self, isReachable } = this.#options;
        const alive = known.filter(({ hostId, incarnation }) =>
            hostId === self || isReachable(hostId) ||
            (!this.isFullFleet && nowMs - (this.#knownSinceMs.get(`${hostId}/${incarnation}`) ?? nowMs) < newHostGraceMs)
        );
        const minShare = this.isFullFleet ? minReachableShareFullFleet : minReachableShare;
        return alive.length > known.length * minShare ? alive : known;
    }
}
