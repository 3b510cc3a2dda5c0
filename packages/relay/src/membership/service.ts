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
import { encodeAnswer, encodeSyncReply, pingRequestTopic, pingTopic, pushTopic, syncTopic } from "./topic.js";
import { sendMessage } from "./transport.js";
import { viewMember, viewMembers, viewValues } from "./view.js";

const ticksPerPeriod = 10;
const valueLimitBytes = 1_024;
const startWaitMs = 3_000;
const aloneRetryMs = 1_000;
const seedingIntervalMs = 30_000;
const farewellMs = 1_000;

const emptyGossip = { updates: [], values: [], configurationVersion: 0 };

type Answer = MembershipMessage & { readonly kind: "ack" | "nack"; };
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
    readonly #relays = new Map<string, (answer: Answer) => void>();
    readonly #stopping = new AbortController();
    #state: MembershipState;
    #cancelTick: Cancel | undefined;
    #lastValueVersion = 0;
    #superseding: Incarnation | undefined;
    #isStarted = false;
    #isAlone = false;

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
        void this.#run({ kind: "tick", nowMs: this.#clock.monotonicMs(), round: this.#round() });
        this.#scheduleTick();
        const isFirstAttemptDone = this.#seed();
        await settleWithin(this.#clock, isFirstAttemptDone, startWaitMs);
        if (this.#superseding !== undefined) {
            await this.#takeNewerIncarnation(this.#superseding);
        }
        this.#isStarted = true;
        void isFirstAttemptDone.then(() => this.#seedLoop());
    }

    async stop(deadlineMs: number): Promise<void> {
        this.#stopping.abort(new Error("The membership service stopped."));
        this.#cancelTick?.();
        this.#relays.forEach(answer => answer({ kind: "nack", sequence: 0, gossip: emptyGossip }));
        const nowMs = this.#clock.monotonicMs();
        await this.#runUrgently({ kind: "stop", nowMs }, Math.min(farewellMs, Math.max(0, deadlineMs - nowMs)));
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
        await this.#runUrgently({ kind: "leave", nowMs: this.#clock.monotonicMs() }, farewellMs);
    }

    onChange(callback: (member: Member) => void): Cancel {
        this.#callbacks.add(callback);
        return () => this.#callbacks.delete(callback);
    }

    publish(name: string, value: unknown): void {
        const bytes = Buffer.byteLength(JSON.stringify(value) ?? "");
        invariant(
            bytes <= valueLimitBytes,
            `The value '${name}' takes ${bytes} bytes; at most ${valueLimitBytes} are published.`,
        );
        // Wall-clock time keeps versions growing when the process restarts.
        this.#lastValueVersion = Math.max(this.#clock.now().getTime(), this.#lastValueVersion + 1);
        void this.#run({ kind: "publish", nowMs: this.#clock.monotonicMs(), name, value, version: this.#lastValueVersion });
    }

    published(name: string): readonly GossipValue[] {
        return viewValues(this.#state, name);
    }

    /** Announces the version of the configuration in effect with every further message. */
    announceConfiguration(version: number): void {
        void this.#run({ kind: "configuration", nowMs: this.#clock.monotonicMs(), version });
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

    // The clock may have been set back since a former process of this host started; the others would ignore the older start time.
    async #takeNewerIncarnation(known: Incarnation): Promise<void> {
        const { peerAddress } = this.self();
        this.#state = this.#createState(peerAddress, Number.parseInt(known, 10) + 1);
        await settleWithin(this.#clock, this.#seed(), startWaitMs);
    }

    #noteSuperseded(incarnation: Incarnation): void {
        if (this.#isStarted && this.#superseding !== incarnation) {
            this.#log.write(membershipEvents.superseded, { incarnation });
        }
        this.#superseding = incarnation;
    }

    #round(): number {
        return Math.floor(this.#clock.now().getTime() / this.#settings.timing.probePeriodMs);
    }

    #scheduleTick(): void {
        this.#cancelTick = this.#clock.after(this.#settings.timing.probePeriodMs / ticksPerPeriod, () => {
            void this.#run({ kind: "tick", nowMs: this.#clock.monotonicMs(), round: this.#round() });
            this.#scheduleTick();
        });
    }

    async #seedLoop(): Promise<void> {
        const { signal } = this.#stopping;
        while (!signal.aborted) {
            const isAlone = !this.members().some(({ state, hostId }) => state !== "dead" && hostId !== this.#state.self);
            await this.#clock.sleep(isAlone ? aloneRetryMs : seedingIntervalMs, signal).catch(() => undefined);
            if (!signal.aborted) {
                await this.#seed();
            }
        }
    }

    // A slow host list must not delay the seeds, nor the other way round.
    async #seed(): Promise<void> {
        await Promise.all([this.#joinThrough(identifySeeds), this.#joinThrough(readHostList)]);
        const isAlone = this.#state.members.size === 1;
        if (isAlone && !this.#isAlone) {
            this.#log.write(membershipEvents.noPeers, { seeds: this.#settings.cluster.seeds });
        }
        this.#isAlone = isAlone;
    }

    async #joinThrough(findHosts: (options: SeedingOptions) => Promise<readonly HostId[]>): Promise<void> {
        const { members, self } = this.#state;
        const hosts = await findHosts({
            log: this.#log,
            network: this.#network,
            hostList: this.#hostList,
            self,
            ownAddress: this.self().peerAddress,
            // Seeds are only asked while no member is known; the host list finds the other side of a partition later.
            seeds: members.size === 1 ? this.#settings.cluster.seeds : [],
            isKnown: hostId => this.#state.members.has(hostId),
        });
        await Promise.all(hosts.map(host => this.#run({ kind: "join", nowMs: this.#clock.monotonicMs(), host })));
    }

    #handleTopics(): void {
        this.#network.handle(pingTopic, ({ sequence, gossip }, { from }) => {
            const answer = this.#receive(from, { kind: "ping", sequence, gossip }, "ack");
            return Promise.resolve(encodeAnswer(answer));
        });
        this.#network.handle(pingRequestTopic, async ({ sequence, target, gossip }, { from }) => {
            const answer = new Promise<Answer>(resolve => this.#relays.set(`${from} ${sequence}`, resolve));
            this.#receive(from, { kind: "pingRequest", sequence, target, gossip });
            return encodeAnswer(await answer);
        });
        this.#network.handle(syncTopic, ({ hashes, isJoining, gossip }, { from }) => {
            const answer = this.#receive(from, { kind: "sync", hashes, isJoining, gossip }, "syncReply");
            return Promise.resolve(encodeSyncReply(answer));
        });
        this.#network.handle(pushTopic, ({ gossip }, { from }) => {
            this.#receive(from, { kind: "push", gossip });
            return Promise.resolve({});
        });
    }

    #receive<Kind extends MembershipMessage["kind"]>(
        from: HostId,
        message: MembershipMessage,
        answerKind?: Kind,
    ): MembershipMessage & { readonly kind: Kind; } {
        this.#noteVersion(from, message.gossip.configurationVersion);
        let answer: MembershipMessage | undefined;
        void this.#run({ kind: "message", nowMs: this.#clock.monotonicMs(), from, message }, effect => {
            if (effect.to === from && effect.message.kind === answerKind) {
                answer = effect.message;
                return true;
            }
            return false;
        });
        invariant(answerKind === undefined || answer !== undefined, `No answer to '${message.kind}' was made.`);
        return answer as MembershipMessage & { readonly kind: Kind; };
    }

    #noteVersion(from: HostId, version: number): void {
        if (version > this.#state.configurationVersion) {
            this.#versionCallbacks.forEach(callback => callback(from, version));
        }
    }

    async #runUrgently(input: MembershipInput, waitMs: number): Promise<void> {
        await settleWithin(this.#clock, this.#run(input), waitMs);
    }

    #run(input: MembershipInput, takeAnswer: (effect: SendEffect) => boolean = () => false): Promise<unknown> {
        const { state, effects } = stepMembership(this.#state, input);
        this.#state = state;
        const rest = effects.filter(effect => effect.kind !== "send" || !takeAnswer(effect));
        return Promise.all(rest.map(effect => this.#execute(effect)));
    }

    async #execute(effect: MembershipEffect): Promise<void> {
        switch (effect.kind) {
            case "send":
                await this.#send(effect);
                break;
            case "changed":
                this.#noteChange(viewMember(effect.record));
                break;
            case "forgotten":
                this.#network.forget(effect.hostId);
                break;
            case "superseded":
                this.#noteSuperseded(effect.incarnation);
                break;
        }
    }

    #noteChange(member: Member): void {
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
            this.#relays.get(key)?.(message);
            this.#relays.delete(key);
            return;
        }
        invariant(message.kind !== "syncReply", "The answer to a sync was not taken by its handler.");
        const reply = await sendMessage(this.#network, to, message, this.#settings.timing.probePeriodMs);
        if (reply !== undefined) {
            this.#receive(to, reply);
        }
    }
}

/** Resolves when the work is done, or after the given time. */
async function settleWithin(clock: Clock, work: Promise<unknown>, ms: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
        const cancel = clock.after(ms, resolve);
        work.then(() => resolve(), reject).finally(cancel);
    });
}
