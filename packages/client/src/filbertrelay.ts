#!/usr/bin/env node
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { applyCommand } from "./command/apply.js";
import { checkCommand } from "./command/check.js";
import { demoCommand } from "./command/demo.js";
import { drainCommand } from "./command/drain.js";
import { explainCommand } from "./command/explain.js";
import { initCommand } from "./command/init.js";
import { replayCommand } from "./command/replay.js";
import { reportCommand } from "./command/report.js";
import { requestsCommand } from "./command/requests.js";
import { statusCommand } from "./command/status.js";
import { ExitCode } from "./exit.js";

await yargs(hideBin(process.argv))
    .scriptName("filbertrelay")
    .usage("$0 COMMAND\n\nOperates a deployment of filbertrelay.")
    .option("json", { type: "boolean", default: false, describe: "Write the result as one JSON document" })
    .command(initCommand)
    .command(checkCommand)
    .command(applyCommand)
    .command(statusCommand)
    .command(explainCommand)
    .command(requestsCommand)
    .command(drainCommand)
    .command(replayCommand)
    .command(demoCommand)
    .command(reportCommand)
    .demandCommand(1, "Give a command.")
    .strict()
    .wrap(120)
    .epilogue(
        "Exit codes: 0 success, 1 a guarantee or check failed, 2 bad input or usage, 3 unreachable, 4 lost a concurrent submission.",
    )
    .fail((message, error) => {
        // yargs gives usage faults as messages; anything else is a defect and keeps its stack.
        process.stderr.write(`${message ?? error.stack ?? error.message}\n`);
        process.exit(message === null || message === undefined ? 70 : ExitCode.BadInput);
    })
    .parseAsync();
