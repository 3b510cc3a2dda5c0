// The only engine of one service sends answers without end that belong to another request; another service, whose engine is sound, goes on.
import { fork } from "node:child_process";
import { renderResponse } from "../../platform/dist/standins/index.js";
import { createConfiguration, delay, hasTrouble, isStatusRequest, play } from "../harness-3/harness.mjs";
import { judge, sendSteadily } from "../harness-3/ordinary.mjs";

/** Marks the kind of bytes that the engine sends: whole answers that name another request. */
const foreignAnswers = 0;
/** Rate of the engine over all of its channels: 500 Mbit/s, half of a machine's link. */
const bytesPerSecond = 62_500_000;
const timeoutMs = 2_000;
const waitMs = 4_000;
const calmMs = 3_000;
const troubleMs = 12_000;
const recordFile = new URL("record.txt", import.meta.url).pathname;

await play(recordFile, async deployment => {
    const runs = { ledger: 0, records: 0 };
    await deployment.addEngine("records-1", { backend: "records", capacity: 6 }, (request, connection) => {
        if (!isStatusRequest(request)) {
            runs.records += 1;
        }
        setTimeout(() => connection.send(renderResponse(request)), 50);
    });
    const engine = fork(new URL("../harness-3/endless.mjs", import.meta.url), [String(foreignAnswers), String(bytesPerSecond)]);
    try {
        const port = await new Promise(resolve => engine.on("message", message => message.port === undefined ? runs.ledger += 1 : resolve(message.port)));
        deployment.engines.set("ledger-1", {
            engine: { address: `127.0.0.1:${port}`, stop: () => undefined },
            entry: { backend: "ledger", zone: "zone-0", version: "v1", capacity: 6, state: "ready", coldRemainingMs: 0, born: Date.now() },
        });
        const common = { timeoutMs, targetLatencyMs: 386 };
        const routes = [
            { ...common, name: "short-orders", prefix: "/orders/", routeType: "non_idempotent", backend: "ledger", maxAttempts: 1 },
            { ...common, name: "records", prefix: "/records/", routeType: "idempotent", backend: "records", maxAttempts: 2 },
        ];
        const backends = [{ name: "records", maxConnections: 110, healthPath: "/healthz" }];
        await deployment.start({ hosts: 1, configuration: createConfiguration({ routes, backends }) });
        await delay(1_500);
        const [host] = deployment.hosts;
        const send = (name, untilMs) => Promise.all([
            sendSteadily(deployment, host, { name: `order-${name}`, path: "/orders/1", method: "POST", intervalMs: 85, timeoutMs, waitMs, untilMs }),
            sendSteadily(deployment, host, { name: `lookup-${name}`, path: "/records/1", method: "GET", intervalMs: 200, timeoutMs, waitMs, untilMs }),
        ]);
        (await send("calm", performance.now() + calmMs)).forEach(results => judge(deployment, results, timeoutMs));
        engine.send({ isSound: !hasTrouble });
        deployment.note(hasTrouble ? "the engine of the orders now sends answers to another request without end" : "the engine of the orders goes on as before");
        const [orders, lookups] = await send("later", performance.now() + troubleMs);
        judge(deployment, orders, timeoutMs);
        judge(deployment, lookups, timeoutMs);
        deployment.note(`runs: ${JSON.stringify(runs)}; peak memory ${Math.round(host.peakMemoryMb() ?? 0)} MB; own ends: ${host.ownEnds.length}`);
        return judge(deployment, [...orders, ...lookups], timeoutMs);
    }
    finally {
        engine.kill("SIGKILL");
    }
});
