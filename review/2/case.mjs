// One of three engines spoils one answer in fifty, for 6 s at a time: a header of it holds bytes that no header may hold.
import { fileURLToPath } from "node:url";
import { isTrouble, runCase } from "../standins/deployment.mjs";
import { renderAnswer } from "../standins/engine.mjs";
import { checkAnswers, playKeptLoad } from "../standins/keptload.mjs";
import { spoilOneIn } from "../standins/spoil.mjs";

const playMs = 45_000;

await runCase({
    caseFolder: fileURLToPath(new URL(".", import.meta.url)),
    play: async deployment => {
        const [faulty] = deployment.enginesOf("ledger");
        if (isTrouble) {
            spoilOneIn(deployment, faulty, {
                spoil: (request, channel) => channel.send(renderAnswer(request, "X-Trace: 5f\x01c2\r\n")),
            });
        }
        const answers = await playKeptLoad(deployment, { playMs });
        deployment.note("own ends of processes", { ends: deployment.ownEnds });
        return checkAnswers(deployment, answers, [faulty]);
    },
});
