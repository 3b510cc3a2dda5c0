import type { HostId } from "@filbertrelay/kernel";
import { publicationIntervalMs } from "../configuration/interval.js";
import { Fleet } from "./fleet.js";
import type { FleetNode, FleetOptions } from "./fleet.js";

const fetchMs = 10;
const submissionPeriodMs = 3_600;
const unfinishedAfterMs = 10_000;

/** The result of one run: times in milliseconds, rates per node and second, sent and received added up. */
export interface RunResult {
    readonly messages: number;
    readonly bytes: number;
    readonly largestBytes: number;
    readonly coreShare: number;
    readonly falseSuspicions: number;
    readonly falseRemovals: number;
    /** Per kind of change, the times until all running nodes knew of it. */
    readonly delays: Readonly<Record<string, readonly number[]>>;
    /** Number of changes that some node still did not know of after 10 s. */
    readonly unfinished: number;
}

interface Change {
    readonly name: string;
    readonly startMs: number;
    readonly missing: Set<FleetNode>;
}

/** Runs a fleet and records how long it takes until all nodes know of a change. */
export class Scenario {
    readonly fleet: Fleet;
    readonly #changes = new Map<string, Change>();
    readonly #delays: Record<string, number[]> = {};
    readonly #expectedDead = new Set<HostId>();
    readonly #publishedMs = new Map<FleetNode, number>();
    #version = 1;
    #falseSuspicions = 0;
    #falseRemovals = 0;
    #startMs = 0;
    #startCpu = process.cpuUsage();

    constructor(options: FleetOptions) {
        this.fleet = new Fleet(options);
        this.fleet.onChange = (node, { hostId, health, isLeaving }) => {
            if (health !== "alive" && !this.#expectedDead.has(hostId)) {
                this.#falseSuspicions += health === "suspect" ? 1 : 0;
                this.#falseRemovals += health === "dead" ? 1 : 0;
            }
            if (isLeaving || health === "dead") {
                this.#recordLearned(health === "dead" ? `death ${hostId}` : `leave ${hostId}`, node);
            }
        };
        this.fleet.onMessage = (node, { gossip }) => this.#fetchVersion(node, gossip.configurationVersion);
    }

    /** Makes a node leave the fleet. */
    leave(node: FleetNode): void {
        this.#startChange(`leave ${node.hostId}`, "leave", [node]);
        this.fleet.feed(node, { kind: "leave", nowMs: this.#nowMs });
    }

    /** Crashes nodes at the same time; each death is measured as a change of the given name. */
    kill(nodes: readonly FleetNode[], name: string): void {
        nodes.forEach(node => {
            node.isRunning = false;
            this.#expectedDead.add(node.hostId);
        });
        nodes.forEach(node => this.#startChange(`death ${node.hostId}`, name, []));
    }

    /** Submits a new configuration: two nodes per failure domain get it from the key-value service, the others from peers. */
    submitConfiguration(): void {
        this.#version += 1;
        this.#startChange(`version ${this.#version}`, "version", []);
        const watchers = new Map<string, number>();
        for (const node of this.fleet.serving()) {
            const count = watchers.get(node.failureDomain) ?? 0;
            watchers.set(node.failureDomain, count + 1);
            if (count < 2) {
                this.#fetchVersion(node, this.#version);
            }
        }
    }

    /** Repeats an action; the first one comes after one period. */
    repeat(periodMs: number, action: () => void): void {
        this.fleet.clock.after(periodMs, () => {
            action();
            this.repeat(periodMs, action);
        });
    }

    /** Submits configurations at the rate of the target: 24,000 a day. */
    submitAtTargetRate(): void {
        this.repeat(submissionPeriodMs, () => this.submitConfiguration());
    }

    /** Resets the counts of messages, bytes and processor time. */
    startCounting(): void {
        this.fleet.nodes.forEach(node => {
            node.messages = 0;
            node.bytes = 0;
        });
        this.#startMs = this.#nowMs;
        this.#startCpu = process.cpuUsage();
    }

    /** The result of the run; messages, bytes and processor time are counted since `startCounting`. */
    result(): RunResult {
        const { user, system } = process.cpuUsage(this.#startCpu);
        const running = this.fleet.nodes.filter(node => node.isRunning);
        const seconds = (this.#nowMs - this.#startMs) / 1_000;
        const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
        return {
            messages: sum(running.map(node => node.messages)) / running.length / seconds,
            bytes: sum(running.map(node => node.bytes)) / running.length / seconds,
            largestBytes: Math.max(...running.map(node => node.bytes)) / seconds,
            coreShare: (user + system) / 1e6 / this.fleet.nodes.length / seconds,
            falseSuspicions: this.#falseSuspicions,
            falseRemovals: this.#falseRemovals,
            delays: this.#delays,
            unfinished: [...this.#changes.values()].filter(({ startMs }) => this.#nowMs - startMs > unfinishedAfterMs).length,
        };
    }

    get #nowMs(): number {
        return this.fleet.clock.monotonicMs();
    }

    #startChange(key: string, name: string, informed: readonly FleetNode[]): void {
        const missing = new Set(this.fleet.nodes.filter(node => node.isRunning && !informed.includes(node)));
        this.#changes.set(key, { name, startMs: this.#nowMs, missing });
    }

    #recordLearned(key: string, node: FleetNode): void {
        const change = this.#changes.get(key);
        change?.missing.delete(node);
        for (const [pendingKey, { name, startMs, missing }] of change === undefined ? [] : this.#changes) {
            const isKnownByAll = [...missing].every(uninformed => !uninformed.isRunning);
            if (isKnownByAll) {
                this.#changes.delete(pendingKey);
                (this.#delays[name] ??= []).push(this.#nowMs - startMs);
            }
        }
    }

    #fetchVersion(node: FleetNode, version: number): void {
        if (version <= node.state.configurationVersion) {
            return;
        }
        this.fleet.clock.after(fetchMs, () => {
            if (!node.isRunning || node.state.configurationVersion >= version) {
                return;
            }
            this.fleet.feed(node, { kind: "configuration", nowMs: this.#nowMs, version });
            // A node with a newer version counts as knowing of the older ones.
            [...this.#changes.keys()].filter(key => key.startsWith("version ") && Number(key.slice(8)) <= version)
                .forEach(key => this.#recordLearned(key, node));
            this.#publish(node);
        });
    }

    #publish(node: FleetNode): void {
        const dueMs = (this.#publishedMs.get(node) ?? -Infinity) + publicationIntervalMs(this.fleet.nodes.length);
        if (this.#nowMs < dueMs) {
            return;
        }
        this.#publishedMs.set(node, this.#nowMs);
        const value = node.state.configurationVersion;
        const version = 1_796_000_000_000 + Math.round(this.#nowMs);
        this.fleet.feed(node, { kind: "publish", nowMs: this.#nowMs, name: "configuration", value, version });
    }
}
