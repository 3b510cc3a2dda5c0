// Measures the processor time that a host spends on telling other hosts what it uses and has found out. The measured hosts are processes of
// their own, the other hosts of the fleet run in one process that isn't measured; all serve.
// Usage: node scripts/measure-exchange.mjs 24 73 195   (after npm run build)
// The first measured host is the strongest one, the second one of the weakest. In the phase 'trouble' endpoints start, name limits, fall
// silent and are lost on all hosts.
import { HostTable, PeerExchange, SharedFindings, StoreMirror, StoreSync } from "@filbertrelay/ingress";
import { createSystemClock, silentEventLog } from "@filbertrelay/kernel";
import { createPlatformStore } from "@filbertrelay/platform";
import { StandinStore } from "@filbertrelay/platform/standins";
import * as policy from "@filbertrelay/policy";
import { createPeerNetwork } from "@filbertrelay/wire";
import { fork } from "node:child_process";

const settleMs = 5_000;
const measuredMs = 8_000;
const customers = 16;
const endpointCount = 46;
const requestsPerSecond = 10;
const requestMs = 400;
/** Processor time of callers' requests of a host, in milliseconds per second; keeps all hosts in the serving set. */
const workMs = 200;
const peerPort = 8_002;
const limit = { unit: "tokens", perSecond: 1e6, burst: 1e6, unstatedTokens: 200 };
const endpoints = Array.from({ length: endpointCount }, (_, index) => ({
    endpointId: `engine-${index}`,
    startedAtMs: 1,
    capacity: 64,
    failureDomain: `domain-${index % 3}`,
    service: `service-${index % 2}`,
}));

const [role, ...words] = process.argv.slice(2);
if (process.send === undefined) {
    for (const size of process.argv.slice(2).map(Number)) {
        await measureFleet(size);
    }
}
else if (role === "fleet") {
    await runFleet(...words.map(Number));
}
else {
    await runMeasured(role, ...words);
}

async function measureFleet(size) {
    const measured = [0, size - 1];
    const fleet = fork(process.argv[1], ["fleet", size, process.pid, ...measured]);
    const address = await nextMessage(fleet);
    const hosts = measured.map(index => fork(process.argv[1], ["host", size, process.pid, index, address]));
    for (const phase of ["calm", "trouble"]) {
        [fleet, ...hosts].forEach(child => child.send(phase));
        const figures = await Promise.all(hosts.map(nextMessage));
        const [strong, weak] = figures.map(({ core, messages }) =>
            `${(core * 100).toFixed(2)}% of a core, ${messages.toFixed(0)} messages/s`
        );
        console.log(`${size} hosts, ${phase}: strongest ${strong}; weakest ${weak}`);
    }
    [fleet, ...hosts].forEach(child => child.kill());
}

function nextMessage(child) {
    return new Promise(resolve => child.once("message", resolve));
}

function describeHosts(size, network) {
    return Array.from({ length: size }, (_, index) => ({
        hostId: `edge-${index}`,
        peerAddress: `127.${network % 250 + 1}.${index >> 7}.${(index & 127) + 1}:${peerPort}`,
        failureDomain: `domain-${index % 3}`,
        strength: index < 6 ? 1.35 : 0.324,
    }));
}

async function runFleet(size, network, ...measured) {
    const store = new StandinStore();
    await store.start();
    const hosts = describeHosts(size, network);
    hosts.forEach(({ hostId, ...entry }) => {
        const value = { incarnation: "run-1", callerAddress: "127.0.0.1:1", aggregates: true, ...entry };
        store.put(`filbertrelay/hosts/${hostId}`, value);
    });
    const others = hosts.filter((_, index) => !measured.includes(index));
    const troubles = [];
    for (const host of others) {
        troubles.push((await startHost(store.address, host)).trouble);
    }
    process.on("message", phase => phase === "trouble" && troubles.forEach(trouble => trouble()));
    process.send(store.address);
}

async function runMeasured(_, size, network, index, address) {
    const { trouble, traffic } = await startHost(address, describeHosts(Number(size), Number(network))[Number(index)]);
    process.on("message", async phase => {
        if (phase === "trouble") {
            trouble();
        }
        await new Promise(resolve => setTimeout(resolve, settleMs));
        const before = process.cpuUsage();
        const messagesBefore = traffic();
        const startMs = performance.now();
        await new Promise(resolve => setTimeout(resolve, measuredMs));
        const elapsedMs = performance.now() - startMs;
        const { user, system } = process.cpuUsage(before);
        process.send({ core: (user + system) / 1_000 / elapsedMs, messages: (traffic() - messagesBefore) / elapsedMs * 1_000 });
    });
}

async function startHost(storeAddress, { hostId, peerAddress }) {
    const clock = createSystemClock();
    const client = createPlatformStore({ address: storeAddress, clock, timeoutMs: 600, onCall: () => undefined });
    const mirror = new StoreMirror({ store: client, clock, log: silentEventLog, draw: Math.random, applyMs: 2_000 });
    const hosts = new HostTable({ mirror, log: silentEventLog });
    const keys = ["a-key-of-sixteen-characters"];
    const network = { clock, log: silentEventLog, hostId, listenAddress: peerAddress, keys, frameBytes: 1_048_576 };
    const peers = createPeerNetwork(network);
    const counts = {
        quota: policy.createUsageQuota({ windowMs: 8_000, tolerance: 0, nowMs: clock.monotonicMs() }),
        usage: policy.createUsageLedger(5_000),
        loads: policy.createLoadTracker(),
        demand: policy.createDemandMeter(),
        callerWork: policy.createDemandMeter({ spanMs: 3_000, shortestSpanMs: 1_000 }),
    };
    const listHosts = () => exchange.listReachable();
    const ignore = () => undefined;
    const limits = policy.createEndpointLimits({ hostId, listHosts });
    const paces = policy.createEndpointPaces({ hostId, listHosts, onChange: ignore });
    const reach = policy.createEndpointReach({ hostId, listHosts, onChange: ignore });
    const exchange = new PeerExchange({
        clock,
        log: silentEventLog,
        hostId,
        incarnation: "run-1",
        peers,
        hosts,
        counts,
        fleetClock: policy.createFleetClock({ clock }),
        findings: new SharedFindings({
            quarantine: policy.createQuarantine({ isTrialHost: () => true }),
            limits,
            runs: new policy.EndpointRuns(4_800),
            paces,
            reach,
            rooms: policy.createEndpointRooms({
                hostId,
                listHosts,
                observe: () => () => ({ running: 0, ownRunning: 0, tokensAhead: 0, waitingTokens: 0 }),
                onChange: ignore,
                onJoin: ignore,
                onCount: ignore,
            }),
            finals: new policy.FinalCounts(),
        }),
        dutyHolder: () => "edge-1",
    });
    const { serving } = exchange;
    const news = new StoreSync({ clock, hostId, peers, mirror, listReachable: listHosts, serving, applyMs: 2_000 });
    exchange.setStoreSync(news);
    let sent = 0;
    setInterval(() => countRequest({ clock, counts, exchange, reach }, hostId, sent++), 1_000 / requestsPerSecond);
    for (const service of [mirror, peers, news, exchange]) {
        await service.start();
    }
    const trouble = () => setInterval(() => sufferTrouble({ clock, limits, paces, reach }, hostId, sent), 300);
    return { trouble, traffic: () => countMessages(peers.traffic()) };
}

function countRequest({ clock, counts, exchange, reach }, hostId, number) {
    const customer = `customer-${number % customers}`;
    const requestId = `${hostId}-${number}`;
    const endpoint = endpoints[number * 7 % endpointCount];
    const nowMs = clock.monotonicMs();
    counts.loads.recordDispatch({ requestId, endpointId: endpoint.endpointId, priority: number % 3, tokens: 2_000 });
    counts.usage.record(customer, clock.now());
    counts.quota.tryAcquire(customer, limit, 3_000, exchange.reach(), nowMs);
    counts.demand.recordWork("assistant", 50, nowMs);
    counts.callerWork.recordWork("callers", workMs / requestsPerSecond, nowMs);
    clock.after(requestMs, () => {
        counts.loads.recordEnd(requestId);
        reach.recordHeard(endpoint, clock.monotonicMs());
    });
}

/** A quarter of the endpoints starts, some name limits, fall silent or lose connections. */
function sufferTrouble({ clock, limits, paces, reach }, hostId, number) {
    const nowMs = clock.monotonicMs();
    endpoints.slice(0, 12).forEach(endpoint => paces.recordSetback(endpoint, nowMs));
    endpoints.slice(12, 16).forEach(({ endpointId }) => limits.recordAnswer(endpointId, 5, nowMs));
    const [lost, ...silent] = [0, 1, 2].map(step => endpoints[16 + (number * 5 + step) % 30]);
    reach.recordLost(lost, nowMs);
    silent.forEach((endpoint, step) => reach.recordSent(`${hostId}-silent-${step}`, endpoint, nowMs));
}

function countMessages(traffic) {
    return [...traffic].reduce((sum, { framesSent, framesReceived }) => sum + framesSent + framesReceived, 0);
}
