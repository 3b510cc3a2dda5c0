// One of three model engines spoils one answer in fifty, for 6.5 s at a time: a header of it holds a byte that no header may hold.
import { fileURLToPath } from "node:url";
import { setTimeout as delay } from "node:timers/promises";
import { nextId, send } from "../standins/client.mjs";
import { hostname, isTrouble, runCase } from "../standins/deployment.mjs";
import { stream, streamEvents } from "../standins/engine.mjs";
import { spoilOneIn } from "../standins/spoil.mjs";

const playMs = 60_000;
const intervalMs = 20;

/** The pieces that a complete stream holds, in order. */
const wholeStream = Array.from({ length: streamEvents }, (_, index) => index + 1).join(",");

function findViolation({ id, status, headers, body, isComplete, ending, isSent }) {
    if (!isSent || status !== 200) {
        return undefined;
    }
    const pieces = [...body.matchAll(/^id: (\d+)$/gm)].map(([, number]) => number).join(",");
    const signature = headers["x-filbertrelay-response-signature"];
    const common = { id, status, signature, pieces, isComplete, ending };
    if (signature !== `signed.${id}`) {
        return { rule: "MIXED", what: "a success without the engine's signature", ...common };
    }
    if (isComplete && pieces !== wholeStream) {
        return { rule: "ORDER", what: "a stream that ends as complete lacks pieces", ...common };
    }
    return undefined;
}

await runCase({
    caseFolder: fileURLToPath(new URL(".", import.meta.url)),
    play: async deployment => {
        const [faulty] = deployment.enginesOf("model");
        if (isTrouble) {
            spoilOneIn(deployment, faulty, {
                spoil: (request, channel) => void stream(request, channel, { extra: "X-Trace: 5f\x01c2\r\n" }),
            });
        }
        const answers = [];
        const untilMs = Date.now() + playMs;
        for (let turn = 0; Date.now() < untilMs; turn += 1) {
            const host = deployment.hosts[turn % deployment.hosts.length];
            const id = nextId("stream");
            answers.push(send(host.address, { id, path: "/stream/a", host: hostname }));
            await delay(intervalMs);
        }
        const ended = await Promise.all(answers);
        const runs = deployment.engines.flatMap(engine => engine.runs.map(id => ({ id, engine: engine.id })));
        for (const { body, ...answer } of ended) {
            const ranAt = runs.filter(run => run.id === answer.id).map(run => run.engine);
            const pieces = [...body.matchAll(/^id: (\d+)$/gm)].length;
            deployment.note("request", { ...answer, headers: undefined, pieces, ranAt });
        }
        return ended.map(findViolation).filter(violation => violation !== undefined);
    },
});
