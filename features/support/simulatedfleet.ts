import type { StoreMirror } from "@filbertrelay/ingress";
import { HostTable, PeerExchange } from "@filbertrelay/ingress";
import { brandAs, createVirtualClock, failure, silentEventLog, success } from "@filbertrelay/kernel";
import type { HostId, Incarnation, VirtualClock } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import { createTestFindings } from "./findings.js";

/** Time that a message takes from one host to another. */
const delayMs = 5;
const stepMs = 10;
const quotaWindowMs = 8_000;

/** Options of `SimulatedFleet`. */
export interface SimulatedFleetOptions {
    readonly hosts: number;
    /** Tolerance of customers' limits, in units. */
    readonly quotaTolerance: number;
    /** Whether the version of a host reports through aggregators; all do by default. */
    readonly aggregates?: (index: number) => boolean;
    /** The host that holds the duties; none by default. */
    readonly dutyHolder?: HostId;
}

type Handler = (body: unknown, context: { readonly from: HostId; }) => Promise<unknown>;

/** The exchange of a fleet whose hosts all serve, over a simulated network and in virtual time. */
export class SimulatedFleet {
    readonly clock: VirtualClock = createVirtualClock();
    readonly hosts: readonly SimulatedHost[];
    /** Calls that each host has made or answered, by host. */
    readonly calls = new Map<HostId, number>();
    readonly #byId: ReadonlyMap<HostId, SimulatedHost>;
    #cancelWork: () => void = () => undefined;

    constructor(options: SimulatedFleetOptions) {
        const { hosts, aggregates = () => true } = options;
        const entries = Array.from({ length: hosts }, (_, index) => ({
            hostId: brandAs<HostId>(`edge-${index}`),
            entry: {
                incarnation: "run-1",
                callerAddress: "127.0.0.1:1",
                peerAddress: "127.0.0.1:1",
                failureDomain: `domain-${index % 3}`,
                strength: index < 6 ? 1.35 : 0.324,
                aggregates: aggregates(index),
            },
        }));
        this.hosts = entries.map(({ hostId }) => new SimulatedHost(hostId, this, entries, options));
        this.#byId = new Map(this.hosts.map(host => [host.hostId, host]));
    }

    /** Starts all hosts, and requests that keep them in the serving set. */
    async start(): Promise<void> {
        for (const { exchange } of this.hosts) {
            await exchange.start();
        }
        const work = (): void => {
            this.hosts.forEach(host => host.counts.callerWork.recordWork("callers", 40, this.clock.monotonicMs()));
            this.#cancelWork = this.clock.after(100, work);
        };
        work();
    }

    async stop(): Promise<void> {
        this.#cancelWork();
        for (const { exchange } of this.hosts) {
            await exchange.stop();
        }
    }

    /** Advances in small steps, so that what follows a message happens at its time. */
    async run(ms: number, onStep: () => void = () => undefined): Promise<void> {
        for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
            onStep();
            this.clock.advance(stepMs);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Whether messages of one host get to another one. */
    isConnected(from: SimulatedHost, to: SimulatedHost): boolean {
        return from.isAlive && to.isAlive && from.partition === to.partition;
    }

    async call(from: SimulatedHost, peer: HostId, topic: string, body: unknown, timeoutMs: number): Promise<unknown> {
        const to = this.#byId.get(peer);
        const sentMs = this.clock.monotonicMs();
        await this.clock.sleep(delayMs);
        if (to === undefined || !this.isConnected(from, to)) {
            await this.clock.sleep(timeoutMs - delayMs);
            return failure({ code: "peer.timeout", message: "No reply.", sent: true });
        }
        [from, to].forEach(({ hostId }) => this.calls.set(hostId, (this.calls.get(hostId) ?? 0) + 1));
        const reply = await to.answer(topic, structuredClone(body), from.hostId);
        await this.clock.sleep(delayMs);
        if (!this.isConnected(from, to)) {
            await this.clock.sleep(sentMs + timeoutMs - this.clock.monotonicMs());
            return failure({ code: "peer.timeout", message: "No reply.", sent: true });
        }
        return success(structuredClone(reply));
    }
}

/** One host of a simulated fleet; a dead one neither sends nor receives. */
export class SimulatedHost {
    readonly exchange: PeerExchange;
    readonly counts;
    readonly table: HostTable;
    isAlive = true;
    partition = 0;
    readonly #handlers = new Map<string, Handler>();

    constructor(
        readonly hostId: HostId,
        fleet: SimulatedFleet,
        entries: readonly { readonly hostId: HostId; readonly entry: object; }[],
        { quotaTolerance, dutyHolder }: SimulatedFleetOptions,
    ) {
        const { clock } = fleet;
        // The limits hold from the beginning, as after a time without faults.
        const nowMs = -2 * quotaWindowMs;
        this.counts = {
            quota: policy.createUsageQuota({ windowMs: quotaWindowMs, tolerance: quotaTolerance, nowMs }),
            usage: policy.createUsageLedger(5_000),
            loads: policy.createLoadTracker(),
            demand: policy.createDemandMeter(),
            callerWork: policy.createDemandMeter({ spanMs: 3_000, shortestSpanMs: 1_000 }),
        };
        let listener: Parameters<StoreMirror["listen"]>[1] | undefined;
        const mirror: Partial<StoreMirror> = { listen: (_, added) => void (listener = added) };
        this.table = new HostTable({ mirror: mirror as StoreMirror, log: silentEventLog });
        for (const [index, { hostId: other, entry }] of entries.entries()) {
            const change = { key: `filbertrelay/hosts/${other}`, value: JSON.stringify(entry), revision: index + 1 };
            listener!(change, { way: "listing" });
        }
        const peers = {
            handle: ({ name }: { readonly name: string; }, handler: Handler) => void this.#handlers.set(name, handler),
            call: (peer: HostId, { name }: { readonly name: string; }, body: unknown, options: { readonly timeoutMs: number; }) =>
                fleet.call(this, peer, name, body, options.timeoutMs),
            setAddress: () => undefined,
            forget: () => undefined,
        };
        this.exchange = new PeerExchange({
            clock,
            log: silentEventLog,
            hostId,
            incarnation: brandAs<Incarnation>("run-1"),
            peers: peers as unknown as TcpPeerNetwork,
            hosts: this.table,
            counts: this.counts,
            fleetClock: policy.createFleetClock({ clock }),
            findings: createTestFindings(hostId),
            dutyHolder: () => dutyHolder,
        });
    }

    /** Requests in progress at an endpoint over all hosts, as far as this host knows. */
    running(endpointId: Parameters<policy.LoadTracker["estimate"]>[0], nowMs: number): number {
        return this.counts.loads.estimate(endpointId, 1, nowMs).running;
    }

    answer(topic: string, body: unknown, from: HostId): Promise<unknown> {
        return this.#handlers.get(topic)!(body, { from });
    }
}
