import { match } from "ts-pattern";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runAdmission } from "./experiment/admission.js";
import { runPlanner } from "./experiment/planner.js";
import { runRouting } from "./experiment/routing.js";
import { runStreams } from "./experiment/streams.js";
import { runSuspects } from "./experiment/suspects.js";

const options = yargs(hideBin(process.argv))
    .usage("$0 <name> [options]")
    .command(
        "$0 <name>",
        "Runs one experiment under a virtual clock and prints its table.",
        command =>
            command.positional("name", {
                choices: ["routing", "admission", "streams", "suspects", "planner"] as const,
                demandOption: true,
            }),
    )
    .option("seed", { type: "number", default: 1, describe: "seed of arrivals and faults" })
    .option("trace", { choices: ["tuning", "reported"] as const, default: "reported" as const, describe: "committed trace" })
    .strict()
    .parseSync();

const table = match(options.name as string)
    .with("routing", () => runRouting(options.trace, options.seed))
    .with("admission", () => runAdmission(options.trace, options.seed))
    .with("streams", () => runStreams(options.trace, options.seed))
    .with("suspects", () => runSuspects(options.trace, options.seed))
    .with("planner", () => runPlanner(options.seed))
    .otherwise(name => `There is no experiment '${name}'.`);
process.stdout.write(`${table}\n`);
