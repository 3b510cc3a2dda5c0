import type { Clock, EventLog, HostId } from "@filbertrelay/kernel";
import { chooseServingHosts, largestAllServingFleet } from "@filbertrelay/policy/ingress";
import { fleetEvents as events } from "./event.js";
import type { HostRecord, HostTable } from "./hosts.js";

/** A host that was learned of less than this long ago counts as alive without having been heard. */
const hearingGraceMs = 3_000;
/** How long a list of another host holds without a newer one. */
const adoptedLifeMs = 2_500;
/** A host that has left the set, or the store, keeps its part of customers' limits for this long. */
export const formerLifeMs = 10_000;
/** While a fleet starts, hosts learn of each other one by one, and the sets that they choose don't last. */
const settleMs = 2_500;
/** Time in which a peak of the work decays to a third; growing again costs callers more than spare hosts do. */
const peakDecayMs = 15_000;
/** Part of a large fleet that has to be heard for silence to count as death; with fewer this host is taken to be cut off. */
const leastHeardShare = 0.2;
/** The same in a fleet in which all hosts exchange with each other. */
const leastHeardSmallShare = 0.5;

/** Options of `ServingHosts`. */
export interface ServingHostsOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly hostId: HostId;
    readonly hosts: HostTable;
    readonly isHeard: (hostId: HostId) => boolean;
    /** Processor time that callers' requests take on all hosts, in seconds a second. */
    readonly work: () => number;
    /** The host that holds the duties, as far as this one knows. */
    readonly dutyHolder: () => HostId | undefined;
}

/** Knows which hosts serve callers and which ones exchange their use: those that serve, and the holder of the duties. */
export class ServingHosts {
    readonly #options: ServingHostsOptions;
    readonly #createdMs: number;
    readonly #knownSinceMs = new Map<string, number>();
    /** When a host was last in the set. */
    readonly #servedMs = new Map<HostId, number>();
    #serving: readonly HostRecord[] = [];
    #servingIds: ReadonlySet<HostId> = new Set();
    #participants: readonly HostId[] = [];
    #adopted: { readonly hostIds: ReadonlySet<HostId>; readonly atMs: number; } | undefined;
    #isTold = false;
    #peak = { work: 0, atMs: 0 };

    constructor(options: ServingHostsOptions) {
        this.#options = options;
        this.#createdMs = options.clock.monotonicMs();
    }

    /** Hosts that callers are sent to. */
    get serving(): readonly HostRecord[] {
        return this.#serving;
    }

    /** Hosts that exchange their use with each other, this one included if it is one of them. */
    get participants(): readonly HostId[] {
        return this.#participants;
    }

    /**
     * Hosts that share customers' limits: those that serve, and those that did lately, registered or not. The entry of a host that is
     * cut off lapses after seconds, while its callers may still reach it.
     */
    get sharers(): readonly HostId[] {
        const nowMs = this.#options.clock.monotonicMs();
        const registered = this.isFullFleet ? this.#options.hosts.list().map(({ hostId }) => hostId) : [];
        const former = [...this.#servedMs].filter(([, servedMs]) => nowMs - servedMs < formerLifeMs).map(([hostId]) => hostId);
        return [...new Set([...registered, ...this.#servingIds, ...former])];
    }

    /** Whether all hosts serve because the fleet is small. */
    get isFullFleet(): boolean {
        return this.#options.hosts.size <= largestAllServingFleet;
    }

    isServing(hostId: HostId): boolean {
        return this.#servingIds.has(hostId);
    }

    /** Whether this host exchanges its use with the others. */
    get isParticipant(): boolean {
        return this.isFullFleet || this.#participants.includes(this.#options.hostId);
    }

    /** Time since this set was chosen by a host that serves, in milliseconds. */
    get setAgeMs(): number {
        return this.#isTold && this.#adopted !== undefined ? this.#options.clock.monotonicMs() - this.#adopted.atMs : 0;
    }

    /** Takes the set that another host that serves chose some time ago, unless a younger one is known. */
    adopt(hostIds: readonly HostId[], ageMs: number): void {
        const atMs = this.#options.clock.monotonicMs() - ageMs;
        if (this.#adopted === undefined || this.#adopted.atMs <= atMs) {
            this.#adopted = { hostIds: new Set(hostIds), atMs };
        }
    }

    /** Processor time that the set is made for, in seconds a second: the present work, or what is left of a former peak. */
    get work(): number {
        const nowMs = this.#options.clock.monotonicMs();
        const decayed = this.#peak.work * Math.exp(-(nowMs - this.#peak.atMs) / peakDecayMs);
        this.#peak = { work: Math.max(this.#options.work(), decayed), atMs: nowMs };
        return this.#peak.work;
    }

    /** Takes what another host makes its set for, so that all choose the same one while a peak decays. */
    noteWork(work: number): void {
        if (work > this.work) {
            this.#peak = { work, atMs: this.#options.clock.monotonicMs() };
        }
    }

    /** Chooses the set anew from what is known now. */
    refresh(): void {
        const { clock, hosts, dutyHolder } = this.#options;
        const nowMs = clock.monotonicMs();
        const known = hosts.list();
        this.#noteKnown(known, nowMs);
        const wasServing = this.#servingIds.has(this.#options.hostId);
        this.#serving = this.#chooseServing(known, nowMs);
        this.#servingIds = new Set(this.#serving.map(host => host.hostId));
        this.#noteRole(wasServing, known.length);
        if (nowMs - this.#createdMs > settleMs) {
            const sharing = this.isFullFleet ? known.map(({ hostId }) => hostId) : this.#servingIds;
            sharing.forEach(hostId => this.#servedMs.set(hostId, nowMs));
        }
        const holder = dutyHolder();
        this.#participants = known.map(host => host.hostId).filter(id =>
            this.isFullFleet || id === holder || this.#servingIds.has(id)
        );
    }

    #noteRole(wasServing: boolean, hosts: number): void {
        const isServing = this.#servingIds.has(this.#options.hostId);
        if (isServing !== wasServing) {
            this.#options.log.write(events.servingChanged, {
                isServing,
                serving: this.#serving.length,
                hosts,
                work: Math.round(this.work * 100) / 100,
                isTold: this.#isTold,
            });
        }
    }

    #noteKnown(known: readonly HostRecord[], nowMs: number): void {
        const present = new Set<string>();
        for (const { hostId, incarnation } of known) {
            const run = `${hostId}/${incarnation}`;
            present.add(run);
            if (!this.#knownSinceMs.has(run)) {
                this.#knownSinceMs.set(run, nowMs);
            }
        }
        [...this.#knownSinceMs.keys()].filter(run => !present.has(run)).forEach(run => this.#knownSinceMs.delete(run));
        [...this.#servedMs].filter(([, servedMs]) => nowMs - servedMs > formerLifeMs).forEach(([id]) =>
            this.#servedMs.delete(id)
        );
    }

    #chooseServing(known: readonly HostRecord[], nowMs: number): readonly HostRecord[] {
        const { hostId } = this.#options;
        const adopted = this.#adopted;
        // A host may choose the set by itself only while others that serve count it in, or if none of them answers.
        this.#isTold = false;
        if (!this.isFullFleet && adopted !== undefined && nowMs - adopted.atMs < adoptedLifeMs && !adopted.hostIds.has(hostId)) {
            const told = known.filter(host => adopted.hostIds.has(host.hostId));
            if (told.length > 0) {
                this.#isTold = true;
                return told;
            }
        }
        return chooseServingHosts(this.#selectAlive(known, nowMs), { work: this.work });
    }

    #selectAlive(known: readonly HostRecord[], nowMs: number): readonly HostRecord[] {
        const { hostId: self, isHeard } = this.#options;
        const alive = known.filter(({ hostId, incarnation }) =>
            hostId === self || isHeard(hostId) ||
            (!this.isFullFleet && nowMs - (this.#knownSinceMs.get(`${hostId}/${incarnation}`) ?? nowMs) < hearingGraceMs)
        );
        const leastShare = this.isFullFleet ? leastHeardSmallShare : leastHeardShare;
        return alive.length > known.length * leastShare ? alive : known;
    }
}
