// Measures the processor time that one host spends on the exchange with its peers, for fleets of the given sizes in one process.
// Usage: node scripts/measure-exchange.mjs 12 24 72 120   (after npm run build)
import { HostTable, PeerExchange, SharedFindings, StoreMirror, StoreSync } from "@filbertrelay/ingress";
import { createSystemClock, silentEventLog } from "@filbertrelay/kernel";
import { createPlatformStore } from "@filbertrelay/platform";
import { StandinStore } from "@filbertrelay/platform/standins";
import * as policy from "@filbertrelay/policy";
import { createPeerNetwork } from "@filbertrelay/wire";
import { fork } from "node:child_process";

const firstPort = 21_000;
const settleMs = 3_000;
const measuredMs = 8_000;
const customers = 16;
const endpoints = 46;
const requestsPerSecond = 10;
const requestMs = 400;
const limit = { unit: "tokens", perSecond: 1e6, burst: 1e6, unstatedTokens: 200 };

const [size] = process.argv.slice(2);
if (process.send === undefined) {
    for (const hosts of process.argv.slice(2)) {
        await new Promise(resolve => fork(process.argv[1], [hosts]).on("exit", resolve));
    }
}
else {
    await measure(Number(size));
    process.exit(0);
}

async function measure(hostCount) {
    const clock = createSystemClock();
    const store = new StandinStore();
    await store.start();
    const hosts = Array.from({ length: hostCount }, (_, index) => ({
        hostId: `edge-${index}`,
        peerAddress: `127.0.0.1:${firstPort + index}`,
    }));
    for (const { hostId, peerAddress } of hosts) {
        const entry = { incarnation: "run-1", callerAddress: "127.0.0.1:1", peerAddress, failureDomain: "domain-1" };
        store.put(`filbertrelay/hosts/${hostId}`, entry);
    }
    for (const host of hosts) {
        await startHost(clock, store, host);
    }
    await clock.sleep(settleMs);
    const before = process.cpuUsage();
    const startMs = clock.monotonicMs();
    await clock.sleep(measuredMs);
    const { user, system } = process.cpuUsage(before);
    const cores = (user + system) / 1_000 / (clock.monotonicMs() - startMs);
    console.log(`${hostCount} hosts: ${(cores / hostCount).toFixed(4)} of a core per host`);
}

async function startHost(clock, store, { hostId, peerAddress }) {
    const client = createPlatformStore({ address: store.address, clock, timeoutMs: 600, onCall: () => undefined });
    const mirror = new StoreMirror({ store: client, clock, log: silentEventLog, draw: Math.random });
    const table = new HostTable({ mirror, log: silentEventLog });
    const peers = createPeerNetwork({
        clock,
        log: silentEventLog,
        hostId,
        listenAddress: peerAddress,
        keys: ["a-key-of-sixteen-characters"],
        frameBytes: 1_048_576,
    });
    const counts = {
        quota: policy.createUsageQuota({ windowMs: 8_000, tolerance: 0, nowMs: clock.monotonicMs() }),
        usage: policy.createUsageLedger(5_000),
        loads: policy.createLoadTracker(),
        demand: policy.createDemandMeter(),
    };
    const exchange = new PeerExchange({
        clock,
        log: silentEventLog,
        hostId,
        incarnation: "run-1",
        peers,
        hosts: table,
        counts,
        fleetClock: policy.createFleetClock({ clock }),
        findings: new SharedFindings({
            quarantine: policy.createQuarantine({ isTrialHost: () => true }),
            limits: policy.createEndpointLimits({ hostId, listHosts: () => [] }),
        }),
        dutyHolder: () => "edge-1",
    });
    const news = new StoreSync({ clock, hostId, peers, mirror, listReachable: () => exchange.listReachable() });
    exchange.setStoreSync(news);
    let sent = 0;
    setInterval(() => {
        sent += 1;
        countRequest(clock, counts, exchange, `${hostId}-${sent}`, sent);
    }, 1_000 / requestsPerSecond);
    for (const service of [mirror, peers, news, exchange]) {
        await service.start();
    }
}

function countRequest(clock, counts, exchange, requestId, number) {
    const customer = `customer-${number % customers}`;
    const nowMs = clock.monotonicMs();
    counts.loads.recordDispatch({
        requestId,
        endpointId: `engine-${number * 7 % endpoints}`,
        priority: number % 3,
        tokens: 2_000,
    });
    counts.usage.record(customer, clock.now());
    counts.quota.tryAcquire(customer, limit, 3_000, exchange.reach(), nowMs);
    counts.demand.recordWork("assistant", 50, nowMs);
    clock.after(requestMs, () => counts.loads.recordEnd(requestId));
}
