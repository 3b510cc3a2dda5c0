import { brandAs, createVirtualClock } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId, Incarnation, VirtualClock } from "@filbertrelay/kernel";
import { createMembershipState, createMembershipTiming, stepMembership } from "@filbertrelay/policy";
import type { MemberRecord, MembershipEffect, MembershipInput, MembershipMessage, MembershipState } from "@filbertrelay/policy";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { decodeMessage, encodeMessage } from "./codec.js";

const tickMs = 50;
const maximumDelayMs = 5;

/** Options of a simulated fleet. */
export interface FleetOptions {
    readonly size: number;
    readonly failureDomains: number;
    /** The share of messages that are lost, in each direction. */
    readonly loss: number;
    readonly seed: number;
    /** Maximum difference between the nodes' wall clocks, which makes them disagree on the probe round. */
    readonly clockSkewMs?: number;
}

/** One simulated node. */
export interface FleetNode {
    readonly index: number;
    readonly hostId: HostId;
    readonly failureDomain: string;
    readonly clockOffsetMs: number;
    state: MembershipState;
    isRunning: boolean;
    pausedUntilMs: number;
    waiting: (() => void)[];
    messages: number;
    bytes: number;
}

/** Simulates a fleet of membership state machines on a virtual clock; messages are encoded as the frames of the peer network. */
export class Fleet {
    readonly clock: VirtualClock = createVirtualClock();
    readonly nodes: FleetNode[];
    /** Called for each change of a member that a node records. */
    onChange: (node: FleetNode, record: MemberRecord) => void = () => undefined;
    /** Called for each message received. */
    onMessage: (node: FleetNode, message: MembershipMessage) => void = () => undefined;
    /** Whether the network delivers messages from one node to another. */
    canReach: (from: FleetNode, to: FleetNode) => boolean = () => true;
    readonly #options: FleetOptions;
    readonly #random: RandomGenerator;
    readonly #byId = new Map<HostId, FleetNode>();

    constructor(options: FleetOptions) {
        this.#options = options;
        this.#random = xoroshiro128plus(options.seed);
        this.nodes = Array.from({ length: options.size }, (...[, index]) => this.#createNode(index));
        const records = this.nodes.map(node => [node.hostId, node.state.members.get(node.hostId) as MemberRecord] as const);
        this.nodes.forEach(node => {
            node.state = { ...node.state, members: new Map(records) };
            this.clock.after(this.draw(tickMs), () => this.#runTickLoop(node));
        });
    }

    /** Draws an integer from 0 to the bound, exclusive. */
    draw(bound: number): number {
        return uniformInt(this.#random, 0, bound - 1);
    }

    /** Nodes that are running and not leaving. */
    serving(): FleetNode[] {
        return this.nodes.filter(node => node.isRunning && node.state.members.get(node.hostId)?.isLeaving === false);
    }

    /** Feeds an input to a node. */
    feed(node: FleetNode, input: MembershipInput): void {
        const { state, effects } = stepMembership(node.state, input);
        node.state = state;
        effects.forEach(effect => this.#execute(node, effect));
    }

    /** Pauses a node; messages that arrive in the meantime are delivered afterwards. */
    pause(node: FleetNode, ms: number): void {
        node.pausedUntilMs = this.clock.monotonicMs() + ms;
        this.clock.after(ms, () => {
            // Timers run before sockets are read, as in the event loop of Node.js.
            this.#tick(node);
            node.waiting.splice(0).forEach(delivery => delivery());
        });
    }

    #createNode(index: number): FleetNode {
        const hostId = brandAs<HostId>(`entry-${String(index).padStart(4, "0")}`);
        const failureDomain = `domain-${index % this.#options.failureDomains}`;
        const state = createMembershipState({
            self: hostId,
            incarnation: brandAs<Incarnation>(`1796000000000-${index.toString(36)}abcd`),
            details: {
                failureDomain: brandAs<FailureDomainId>(failureDomain),
                peerAddress: `10.0.${index >> 8}.${index % 256}:7700`,
                callerAddress: `10.0.${index >> 8}.${index % 256}:8080`,
            },
            timing: createMembershipTiming(500),
            nowMs: 0,
            seed: this.draw(2 ** 31),
        });
        const { clockSkewMs = 0 } = this.#options;
        const node = {
            index,
            hostId,
            failureDomain,
            clockOffsetMs: clockSkewMs === 0 ? 0 : this.draw(clockSkewMs + 1),
            state,
            isRunning: true,
            pausedUntilMs: 0,
            waiting: [],
            messages: 0,
            bytes: 0,
        };
        this.#byId.set(hostId, node);
        return node;
    }

    #runTickLoop(node: FleetNode): void {
        if (node.isRunning) {
            this.clock.after(tickMs, () => this.#runTickLoop(node));
        }
        if (this.clock.monotonicMs() >= node.pausedUntilMs) {
            this.#tick(node);
        }
    }

    #tick(node: FleetNode): void {
        const nowMs = this.clock.monotonicMs();
        if (node.isRunning) {
            this.feed(node, {
                kind: "tick",
                nowMs,
                round: Math.floor((nowMs + node.clockOffsetMs) / node.state.timing.periodMs),
            });
        }
    }

    #execute(node: FleetNode, effect: MembershipEffect): void {
        if (effect.kind === "changed") {
            this.onChange(node, effect.record);
        }
        if (effect.kind !== "send") {
            return;
        }
        const frame = encodeMessage(effect.message);
        node.messages += 1;
        node.bytes += frame.length;
        const receiver = this.#byId.get(effect.to);
        if (receiver !== undefined && this.draw(1_000_000) >= this.#options.loss * 1_000_000) {
            this.clock.after(1 + this.draw(maximumDelayMs), () => this.#deliver(node, receiver, effect.message, frame));
        }
    }

    #deliver(sender: FleetNode, receiver: FleetNode, original: MembershipMessage, frame: Buffer): void {
        if (!receiver.isRunning || !this.canReach(sender, receiver)) {
            return;
        }
        if (this.clock.monotonicMs() < receiver.pausedUntilMs) {
            receiver.waiting.push(() => this.#deliver(sender, receiver, original, frame));
            return;
        }
        receiver.messages += 1;
        receiver.bytes += frame.length;
        const message = decodeMessage(original, frame);
        this.onMessage(receiver, message);
        this.feed(receiver, { kind: "message", nowMs: this.clock.monotonicMs(), from: sender.hostId, message });
    }
}
