import type { HostListClient } from "@filbertrelay/connectors";
import { brandAs, invariant } from "@filbertrelay/kernel";
import type { Cancel, Clock, EventLog, FailureDomainId, HostId, Incarnation, Kernel } from "@filbertrelay/kernel";
import { createMembershipState, createMembershipTiming, stepMembership } from "@filbertrelay/policy";
import type { MembershipEffect, MembershipInput, MembershipMessage, MembershipState } from "@filbertrelay/policy";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import { randomInt } from "node:crypto";
import type { GossipValue, Member, MembershipService } from "../contract.js";
import type { Settings } from "../settings.js";
import { membershipEvents } from "./event.js";
import { identifySeeds, readHostList } from "./seeding.js";
import type { SeedingOptions } from "./seeding.js";
import { encodePingReply, encodeSyncReply, pingRequestTopic, pingTopic, pushTopic, syncTopic } from "./topic.js";
import { sendMessage } from "./transport.js";
import { viewMember, viewMembers, viewValues } from "./view.js";

const ticksPerPeriod = 10;
const valueLimitBytes = 1_024;
const startTimeoutMs = 3_000;
const isolatedRetryMs = 1_000;
const seedingIntervalMs = 30_000;
const leaveTimeoutMs = 1_000;

const emptyGossip = { updates: [], values: [], configurationVersion: 0 };

type PingReply = MembershipMessage & { readonly kind: "ack" | "nack"; };
type SendEffect = MembershipEffect & { readonly kind: "send"; };

/** Creates the membership service; register it as `membership`, after `peers` and `hostList`. */
export function createMembershipService(
    kernel: Kernel,
    settings: Pick<Settings, "host" | "cluster" | "timing">,
): GossipMembership {
    return new GossipMembership(kernel, settings);
}

/** Runs the membership protocol over the peer network; registered as `membership`, after `peers` and `hostList`. */
export class GossipMembership implements MembershipService {
    readonly #clock: Clock;
    readonly #log: EventLog;
    readonly #network: TcpPeerNetwork;
    readonly #hostList: HostListClient;
    readonly #settings: Pick<Settings, "host" | "cluster" | "timing">;
    readonly #callbacks = new Set<(member: Member) => void>();
    readonly #versionCallbacks = new Set<(host: HostId, version: number) => void>();
    readonly #pendingPingRequests = new Map<string, (reply: PingReply) => void>();
    readonly #stopping = new AbortController();
    #state: MembershipState;
    #cancelTick: Cancel | undefined;
    #lastValueVersion = 0;
    #newerIncarnation: Incarnation | undefined;
    #isStarted = false;
    #isIsolated = false;

    constructor(kernel: Kernel, settings: Pick<Settings, "host" | "cluster" | "timing">) {
        this.#clock = kernel.clock;
        this.#log = kernel.log;
        this.#network = kernel.get<TcpPeerNetwork>("peers");
        this.#hostList = kernel.get<HostListClient>("hostList");
        this.#settings = settings;
        this.#state = this.#createState(settings.host.peerAddress);
        this.#handleTopics();
    }

    async start(): Promise<void> {
        if (this.#settings.host.peerAddress.endsWith(":0")) {
            this.#state = this.#createState(this.#network.address);
        }
        void this.#step({ kind: "tick", nowMs: this.#clock.monotonicMs(), round: this.#round() });
        this.#scheduleTick();
        const isFirstAttemptDone = this.#seed();
        await settleWithin(this.#clock, isFirstAttemptDone, startTimeoutMs);
        if (this.#newerIncarnation !== undefined) {
            await this.#adoptNewerIncarnation(this.#newerIncarnation);
        }
        this.#isStarted = true;
        void isFirstAttemptDone.then(() => this.#seedLoop());
    }

    async stop(deadlineMs: number): Promise<void> {
        this.#stopping.abort(new Error("The membership service stopped."));
        this.#cancelTick?.();
        this.#pendingPingRequests.forEach(reply => reply({ kind: "nack", sequence: 0, gossip: emptyGossip }));
        const nowMs = this.#clock.monotonicMs();
        await this.#stepWithin({ kind: "stop", nowMs }, Math.min(leaveTimeoutMs, Math.max(0, deadlineMs - nowMs)));
    }

    self(): Member {
        const own = this.#state.members.get(this.#state.self);
        invariant(own !== undefined, "This host is not in its own membership table.");
        return viewMember(own);
    }

    members(): readonly Member[] {
        return viewMembers(this.#state);
    }

    async leave(): Promise<void> {
        await this.#stepWithin({ kind: "leave", nowMs: this.#clock.monotonicMs() }, leaveTimeoutMs);
    }

    onChange(callback: (member: Member) => void): Cancel {
        this.#callbacks.add(callback);
        return () => this.#callbacks.delete(callback);
    }

    publish(name: string, value: unknown): void {
        const bytes = Buffer.byteLength(JSON.stringify(value) ?? "");
        invariant(
            bytes <= valueLimitBytes,
            `The value '${name}' takes ${bytes} bytes; the limit is ${valueLimitBytes}.`,
        );
        // Versions are based on wall-clock time, so that they also grow across restarts of the process.
        this.#lastValueVersion = Math.max(this.#clock.now().getTime(), this.#lastValueVersion + 1);
        void this.#step({ kind: "publish", nowMs: this.#clock.monotonicMs(), name, value, version: this.#lastValueVersion });
    }

    published(name: string): readonly GossipValue[] {
        return viewValues(this.#state, name);
    }

    /** Sets the version of the configuration in effect, which every further message announces. */
    announceConfiguration(version: number): void {
        void this.#step({ kind: "configuration", nowMs: this.#clock.monotonicMs(), version });
    }

    /** Calls back when a peer announces a higher configuration version than this host's. */
    onConfigurationAnnounced(callback: (host: HostId, version: number) => void): Cancel {
        this.#versionCallbacks.add(callback);
        return () => this.#versionCallbacks.delete(callback);
    }

    #createState(peerAddress: string, startMs = this.#clock.now().getTime()): MembershipState {
        const { host, timing } = this.#settings;
        return createMembershipState({
            self: brandAs<HostId>(host.id),
            incarnation: brandAs<Incarnation>(`${startMs}-${randomInt(36 ** 6).toString(36)}`),
            details: {
                failureDomain: brandAs<FailureDomainId>(host.failureDomain),
                peerAddress: host.advertisedPeerAddress ?? peerAddress,
                callerAddress: host.advertisedCallerAddress ?? host.callerAddress,
            },
            timing: createMembershipTiming(timing.probePeriodMs),
            nowMs: this.#clock.monotonicMs(),
            seed: randomInt(2 ** 31),
        });
    }

    // The clock may have been set back since a previous process of this host started; peers would ignore the older start time.
    async #adoptNewerIncarnation(known: Incarnation): Promise<void> {
        const { peerAddress } = this.self();
        this.#state = this.#createState(peerAddress, Number.parseInt(known, 10) + 1);
        await settleWithin(this.#clock, this.#seed(), startTimeoutMs);
    }

    #recordNewerIncarnation(incarnation: Incarnation): void {
        if (this.#isStarted && this.#newerIncarnation !== incarnation) {
            this.#log.write(membershipEvents.superseded, { incarnation });
        }
        this.#newerIncarnation = incarnation;
    }

    #round(): number {
        return Math.floor(this.#clock.now().getTime() / this.#settings.timing.probePeriodMs);
    }

    #scheduleTick(): void {
        this.#cancelTick = this.#clock.after(this.#settings.timing.probePeriodMs / ticksPerPeriod, () => {
            void this.#step({ kind: "tick", nowMs: this.#clock.monotonicMs(), round: this.#round() });
            this.#scheduleTick();
        });
    }

    async #seedLoop(): Promise<void> {
        const { signal } = this.#stopping;
        while (!signal.aborted) {
            const isIsolated = !this.members().some(({ state, hostId }) => state !== "dead" && hostId !== this.#state.self);
            await this.#clock.sleep(isIsolated ? isolatedRetryMs : seedingIntervalMs, signal).catch(() => undefined);
            if (!signal.aborted) {
                await this.#seed();
            }
        }
    }

    // Runs both at once, so that a slow host list does not delay the seeds and vice versa.
    async #seed(): Promise<void> {
        await Promise.all([this.#joinFoundHosts(identifySeeds), this.#joinFoundHosts(readHostList)]);
        const isIsolated = this.#state.members.size === 1;
        if (isIsolated && !this.#isIsolated) {
            this.#log.write(membershipEvents.noPeers, { seeds: this.#settings.cluster.seeds });
        }
        this.#isIsolated = isIsolated;
    }

    async #joinFoundHosts(findHosts: (options: SeedingOptions) => Promise<readonly HostId[]>): Promise<void> {
        const { members, self } = this.#state;
        const hosts = await findHosts({
            log: this.#log,
            network: this.#network,
            hostList: this.#hostList,
            self,
            ownAddress: this.self().peerAddress,
            // Seeds are only contacted while no other member is known; the host list later finds the other side of a partition.
            seeds: members.size === 1 ? this.#settings.cluster.seeds : [],
            isKnown: hostId => this.#state.members.has(hostId),
        });
        await Promise.all(hosts.map(host => this.#step({ kind: "join", nowMs: this.#clock.monotonicMs(), host })));
    }

    #handleTopics(): void {
        this.#network.handle(pingTopic, ({ sequence, gossip }, { from }) => {
            const reply = this.#receive(from, { kind: "ping", sequence, gossip }, "ack");
            return Promise.resolve(encodePingReply(reply));
        });
        this.#network.handle(pingRequestTopic, async ({ sequence, target, gossip }, { from }) => {
            const reply = new Promise<PingReply>(resolve => this.#pendingPingRequests.set(`${from} ${sequence}`, resolve));
            this.#receive(from, { kind: "pingRequest", sequence, target, gossip });
            return encodePingReply(await reply);
        });
        this.#network.handle(syncTopic, ({ hashes, isJoining, gossip }, { from }) => {
            const reply = this.#receive(from, { kind: "sync", hashes, isJoining, gossip }, "syncReply");
            return Promise.resolve(encodeSyncReply(reply));
        });
        this.#network.handle(pushTopic, ({ gossip }, { from }) => {
            this.#receive(from, { kind: "push", gossip });
            return Promise.resolve({});
        });
    }

    #receive<Kind extends MembershipMessage["kind"]>(
        from: HostId,
        message: MembershipMessage,
        replyKind?: Kind,
    ): MembershipMessage & { readonly kind: Kind; } {
        this.#reportNewerVersion(from, message.gossip.configurationVersion);
        let reply: MembershipMessage | undefined;
        void this.#step({ kind: "message", nowMs: this.#clock.monotonicMs(), from, message }, effect => {
            if (effect.to === from && effect.message.kind === replyKind) {
                reply = effect.message;
                return true;
            }
            return false;
        });
        invariant(replyKind === undefined || reply !== undefined, `The state machine sent no reply to '${message.kind}'.`);
        return reply as MembershipMessage & { readonly kind: Kind; };
    }

    #reportNewerVersion(from: HostId, version: number): void {
        if (version > this.#state.configurationVersion) {
            this.#versionCallbacks.forEach(callback => callback(from, version));
        }
    }

    async #stepWithin(input: MembershipInput, waitMs: number): Promise<void> {
        await settleWithin(this.#clock, this.#step(input), waitMs);
    }

    #step(input: MembershipInput, takeReply: (effect: SendEffect) => boolean = () => false): Promise<unknown> {
        const { state, effects } = stepMembership(this.#state, input);
        this.#state = state;
        const rest = effects.filter(effect => effect.kind !== "send" || !takeReply(effect));
        return Promise.all(rest.map(effect => this.#runEffect(effect)));
    }

    async #runEffect(effect: MembershipEffect): Promise<void> {
        switch (effect.kind) {
            case "send":
                await this.#send(effect);
                break;
            case "changed":
                this.#handleMemberChange(viewMember(effect.record));
                break;
            case "forgotten":
                this.#network.forget(effect.hostId);
                break;
            case "superseded":
                this.#recordNewerIncarnation(effect.incarnation);
                break;
        }
    }

    #handleMemberChange(member: Member): void {
        const { hostId, state, peerAddress, failureDomain } = member;
        if (hostId !== this.#state.self) {
            this.#network.setAddress(hostId, peerAddress);
        }
        this.#log.write(membershipEvents.memberChanged, { member: hostId, state, peerAddress, failureDomain });
        this.#callbacks.forEach(callback => callback(member));
    }

    async #send({ to, message }: SendEffect): Promise<void> {
        if (message.kind === "ack" || message.kind === "nack") {
            const key = `${to} ${message.sequence}`;
            this.#pendingPingRequests.get(key)?.(message);
            this.#pendingPingRequests.delete(key);
            return;
        }
        invariant(message.kind !== "syncReply", "The reply to a sync was not taken by the handler of the sync.");
        const reply = await sendMessage(this.#network, to, message, this.#settings.timing.probePeriodMs);
        if (reply !== undefined) {
            this.#receive(to, reply);
        }
    }
}

/** Resolves when the work is done or the time has passed, whichever is first; rejects if the work fails before that. */
async function settleWithin(clock: Clock, work: Promise<unknown>, ms: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
        const cancel = clock.afterInput(ms, resolve);
        work.then(() => resolve(), reject).finally(cancel);
    });
}
