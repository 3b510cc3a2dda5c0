// Runs daemons of two builds in one fleet: every entry host is replaced by the new build and then by the old one again, while callers send
// model requests and bookings. Guards against renames that change messages between peers, settings or stored values.
//   node scripts/mixed-relay.mjs OLD NEW
// OLD and NEW are checkouts after `npm install && npm run build`. The harness is taken from OLD, which must be commit de8cdbb or have its
// names. Exits with 1 if a guarantee is violated.
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import path from "node:path";
import { pathToFileURL } from "node:url";
const [old, fresh] = process.argv.slice(2).map(directory => path.resolve(directory));
const load = file => import(pathToFileURL(path.join(old, file)).href);
const { launchFleet, callModel, callService, checkGuarantees, EntryPoints, FleetProcess, waitFor } = await load(
    "packages/client/dist/index.js",
);
const { checkAnswers } = await load("packages/configuration/dist/index.js");
const { createSystemClock } = await load("packages/kernel/dist/index.js");
const { answerText } = await load("packages/standins/dist/index.js");
const require = createRequire(path.join(old, "package.json"));
const { parse } = require("smol-toml");
const { Agent, request } = require("undici");
const read = name => parse(readFileSync(path.join(old, "examples", name), "utf8"));
const keys = read("keys.toml").chaulage.customers;
const customers = Object.keys(keys);
const clock = createSystemClock();
const limitMs = 60_000;
const fleet = await launchFleet({
    answers: checkAnswers(read("chaulage.toml")).value,
    entryHosts: 3,
    enginesPerModel: 2,
    instancesPerService: 1,
    daemonSettings: { timing: { drainLimitMs: 30_000 } },
    keepsDirectory: true,
});
console.log("directory", fleet.directory);
const dispatcher = new Agent({ connections: null, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
const context = () => ({
    clock,
    dispatcher,
    entryPoints: new EntryPoints({ clock, dispatcher, seeds: fleet.callerAddresses() }),
});
const models = [], booked = [], open = [];
let isSending = true, count = 0;
const loop = (async () => {
    while (isSending) {
        const index = count++;
        const customer = customers[index % customers.length];
        const key = `key-${index}`;
        open.push(
            callService(context(), {
                customerKey: keys[customer],
                service: "booking",
                method: "POST",
                path: "/bookings",
                body: JSON.stringify({ key, customer }),
                idempotencyKey: key,
                deadlineMs: limitMs,
                patienceMs: limitMs,
            })
                .then(answer => booked.push({ key, outcomes: [answer.outcome] })),
        );
        const messages = [{ role: "user", content: `Question ${index} of ${customer}` }];
        open.push(
            callModel(context(), {
                customerKey: keys[customer],
                model: "assistant",
                messages,
                maxTokens: 40,
                seed: index,
                deadlineMs: limitMs,
                patienceMs: limitMs,
            })
                .then(answer =>
                    models.push({
                        name: `q${index}`,
                        accepted: answer.outcome !== "refused",
                        complete: answer.outcome === "complete",
                        own: answer.tokens.join("") === answerText(messages, 40),
                        outOfOrder: answer.outOfOrder,
                        outcome: answer.outcome,
                        error: answer.error,
                    })
                ),
        );
        await clock.sleep(150);
    }
})();
const daemon = repo => path.join(repo, "packages/relay/dist/filbertrelayd.js");
async function replace(hostId, repo) {
    const host = fleet.host(hostId);
    const exit = await fleet.stopHost(hostId, limitMs);
    host.process = new FleetProcess({
        name: hostId,
        command: [daemon(repo), "--settings", path.join(fleet.directory, `${hostId}.toml`)],
        logFile: path.join(fleet.directory, `${hostId}.log`),
    });
    host.endedMs = undefined;
    await fleet.platform.cloud.control.attach(hostId, { pid: host.process.pid, address: host.address });
    await fleet.waitUntilReady();
    // All hosts list all three entry points, whatever build each one runs.
    for (const other of fleet.entryHosts()) {
        await waitFor(`${other.hostId} to list 3 entry points`, async () => {
            try {
                const answer = await request(`http://${other.callerAddress}/v1/entry-points`, { dispatcher });
                const { entryPoints } = await answer.body.json();
                return new Set(entryPoints.map(point => point.hostId)).size === 3 ? true : undefined;
            }
            catch {
                return undefined;
            }
        }, { limitMs: 20_000 });
    }
    console.log(
        `${hostId} now runs ${
            repo === old ? "old" : "new"
        } (stop gave ${exit}); bookings ${booked.length}, answers ${models.length}`,
    );
}
let isBroken = false;
try {
    await clock.sleep(2_000);
    const ids = fleet.entryHosts().map(host => host.hostId);
    for (const repo of [fresh, old]) {
        for (const id of ids) {
            await replace(id, repo);
            await clock.sleep(2_000);
        }
    }
    isSending = false;
    await loop;
    await Promise.all(open);
    const executions = await fleet.executions();
    const outcomes = booked.map(({ key, outcomes: list }) => ({ key, outcomes: list, executions: executions.get(key) ?? 0 }));
    const known = new Set(outcomes.map(({ key }) => key));
    const checks = checkGuarantees(outcomes, models, [...executions.keys()].filter(key => !known.has(key)));
    checks.forEach(check => console.log(check.passed ? "passed" : "FAILED", check.name, "-", check.details));
    const tally = {};
    outcomes.forEach(({ outcomes: [outcome] }) => tally[outcome] = (tally[outcome] ?? 0) + 1);
    models.forEach(({ outcome }) => tally[`model ${outcome}`] = (tally[`model ${outcome}`] ?? 0) + 1);
    console.log(JSON.stringify(tally));
    isBroken = checks.some(check => !check.passed);
}
catch (error) {
    console.error(error);
    isBroken = true;
}
finally {
    await fleet.stop();
    await dispatcher.destroy();
}
process.exit(isBroken ? 1 : 0);
