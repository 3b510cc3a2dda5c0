// Another writer puts one entry into the store whose address can't be used; all engines are sound.
import { fileURLToPath } from "node:url";
import { setTimeout as delay } from "node:timers/promises";
import { isTrouble, runCase } from "../standins/deployment.mjs";
import { checkAnswers, playKeptLoad } from "../standins/keptload.mjs";

const playMs = 20_000;
const leadMs = 5_000;
/** The bench's fault: on a tenth of the machines in use, two at least, processes end by themselves three times in the day. */
function checkOwnEnds({ hosts, ownEnds }) {
    const ended = hosts.filter(({ name }) => ownEnds.filter(({ host }) => host === name).length >= 3);
    return ended.length < Math.max(2, hosts.length / 10) ?
        [] :
        [{ rule: "Fault", what: "processes that ended by themselves three times", hosts: ended.map(({ name }) => name) }];
}

await runCase({
    caseFolder: fileURLToPath(new URL(".", import.meta.url)),
    play: async deployment => {
        const load = playKeptLoad(deployment, { playMs, channelsPerPath: 8 });
        await delay(leadMs);
        if (isTrouble) {
            const [{ address }] = deployment.enginesOf("ledger");
            deployment.note("another writer puts an entry");
            deployment.store.put("servers/i-other", {
                backend: "ledger",
                address: `${address.split(":")[0]}:80800`,
                zone: "zone-0",
                version: "v1",
                capacity: 6,
                state: "ready",
                coldRemainingMs: 0,
                sequence: 1,
                born: Date.now(),
            });
        }
        const answers = await load;
        deployment.note("own ends of processes", { ends: deployment.ownEnds });
        return [...checkAnswers(deployment, answers, []), ...checkOwnEnds(deployment)];
    },
});
