// One of three engines spoils one answer in twenty, for 6.5 s at a time: an interim head comes before the answer's.
import { fileURLToPath } from "node:url";
import { setTimeout as delay } from "node:timers/promises";
import { KeptChannel, nextId } from "../standins/client.mjs";
import { hostname, isTrouble, runCase } from "../standins/deployment.mjs";
import { renderAnswer } from "../standins/engine.mjs";
import { checkAnswers } from "../standins/keptload.mjs";
import { spoilOneIn } from "../standins/spoil.mjs";

const playMs = 85_000;
/** Few requests a second, as on the sheets, so that a host's channels to an engine are seldom idle for less than their limit. */
const roundMs = 2_000;
const channelsPerHost = 10;

/** Sends a request on each channel at the same time, round after round. */
async function playRounds({ hosts }) {
    const answers = [];
    const channels = hosts.flatMap(host => Array.from({ length: channelsPerHost }, () => new KeptChannel(host.address)));
    for (const untilMs = Date.now() + playMs; Date.now() < untilMs;) {
        const round = channels.map(async (channel, index) => {
            const isPost = index % 2 === 0;
            const id = nextId(isPost ? "post" : "look");
            answers.push(
                await channel.request({
                    id,
                    method: isPost ? "POST" : "GET",
                    path: isPost ? "/post/a" : "/look/a",
                    host: hostname,
                    body: isPost ? `order ${id}` : "",
                }),
            );
        });
        await Promise.all([...round, delay(roundMs)]);
    }
    channels.forEach(channel => channel.close());
    return answers;
}

await runCase({
    caseFolder: fileURLToPath(new URL(".", import.meta.url)),
    play: async deployment => {
        const [faulty] = deployment.enginesOf("ledger");
        if (isTrouble) {
            spoilOneIn(deployment, faulty, {
                oneIn: 20,
                spoil: (request, channel) => channel.send(`HTTP/1.1 102 Processing\r\n\r\n${renderAnswer(request)}`),
            });
        }
        const answers = await playRounds(deployment);
        deployment.note("own ends of processes", { ends: deployment.ownEnds });
        return checkAnswers(deployment, answers, [faulty]);
    },
});
