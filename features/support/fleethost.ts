import type { Store } from "@filbertrelay/connectors";
import { EndpointTable, HostTable, PeerExchange, StoreMirror, StoreSync } from "@filbertrelay/ingress";
import type { ServingHosts } from "@filbertrelay/ingress";
import { brandAs, createSystemClock, silentEventLog } from "@filbertrelay/kernel";
import type { EventLog, HostId, Incarnation } from "@filbertrelay/kernel";
import { createPlatformDecoder, createPlatformStore } from "@filbertrelay/platform";
import type { StandinStore } from "@filbertrelay/platform/standins";
import * as policy from "@filbertrelay/policy";
import { createTestFindings } from "./findings.js";
import { createTestPeers } from "./peernetwork.js";

const clock = createSystemClock();

/** The parts of a host that share state with other hosts, on loopback. */
export class FleetHost {
    readonly loads = policy.createLoadTracker();
    readonly mirror: StoreMirror;
    readonly endpoints: EndpointTable;
    readonly callerWork = policy.createDemandMeter({ spanMs: 3_000, shortestSpanMs: 1_000 });
    readonly exchange: PeerExchange;
    readonly serving: ServingHosts;
    watches = 0;
    /** Numbers of the logged events. */
    logged: number[] = [];
    readonly #services: readonly { start(): Promise<void>; stop(deadlineMs: number): Promise<void>; }[];

    constructor(readonly hostId: HostId, peerAddress: string, store: StandinStore) {
        const client = this.#countWatches(
            createPlatformStore({ address: store.address, clock, timeoutMs: 600, onCall: () => undefined }),
        );
        const log: EventLog = { write: ({ number }) => void this.logged.push(number) };
        this.mirror = new StoreMirror({ store: client, clock, log, draw: Math.random, applyMs: 2_000 });
        this.endpoints = new EndpointTable({ mirror: this.mirror, decoder: createPlatformDecoder(), log });
        const hosts = new HostTable({ mirror: this.mirror, log: silentEventLog });
        const peers = createTestPeers(clock, hostId, peerAddress);
        const exchange = this.exchange = new PeerExchange({
            clock,
            log: silentEventLog,
            hostId,
            incarnation: brandAs<Incarnation>("run-1"),
            peers,
            hosts,
            counts: {
                quota: policy.createUsageQuota({ windowMs: 8_000, tolerance: 0, nowMs: clock.monotonicMs() }),
                usage: policy.createUsageLedger(5_000),
                loads: this.loads,
                demand: policy.createDemandMeter(),
                callerWork: this.callerWork,
            },
            fleetClock: policy.createFleetClock({ clock }),
            findings: createTestFindings(hostId),
            dutyHolder: () => undefined,
        });
        this.serving = exchange.serving;
        const news = new StoreSync({
            clock,
            hostId,
            peers,
            mirror: this.mirror,
            listReachable: () => exchange.listReachable(),
            serving: exchange.serving,
            applyMs: 2_000,
        });
        exchange.setStoreSync(news);
        this.#services = [this.mirror, peers, news, exchange];
    }

    async start(): Promise<void> {
        for (const service of this.#services) {
            await service.start();
        }
    }

    async stop(): Promise<void> {
        for (const service of this.#services.toReversed()) {
            await service.stop(clock.monotonicMs());
        }
    }

    #countWatches(store: Store): Store {
        return {
            get era() {
                return store.era;
            },
            onEra: listener => store.onEra(listener),
            get: key => store.get(key),
            list: prefix => store.list(prefix),
            commit: transaction => store.commit(transaction),
            grantLease: timeToLiveMs => store.grantLease(timeToLiveMs),
            renewLease: leaseId => store.renewLease(leaseId),
            endLease: leaseId => store.endLease(leaseId),
            watch: (prefix, options) => {
                this.watches += 1;
                return store.watch(prefix, options);
            },
        };
    }
}
