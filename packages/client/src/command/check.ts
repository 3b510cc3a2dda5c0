import { digestOf, generateConfiguration, parseAnswers } from "@filbertrelay/configuration";
import type { Answers, Configuration } from "@filbertrelay/configuration";
import type { Argv, CommandModule } from "yargs";
import { ExitCode, failed } from "../exit.js";
import type { CommandResult } from "../exit.js";
import { readInput, run } from "./common.js";
import type { CommonArguments } from "./common.js";

interface CheckArguments extends CommonArguments {
    readonly file: string;
}

/** `check FILE`: checks answers and shows what they generate. */
export const checkCommand: CommandModule<object, CheckArguments> = {
    command: "check <file>",
    describe: "Check the answers in a file and summarise the configuration that they generate",
    builder: yargs => yargs.positional("file", { type: "string", demandOption: true }) as Argv<CheckArguments>,
    handler: commandArguments => run(commandArguments, async ({ file }) => checkFile(file)),
};

/** Reads and checks answers; the result of a failure lists every fault. */
export function loadAnswers(
    file: string,
): { readonly ok: true; readonly value: Answers; } | { readonly ok: false; readonly result: CommandResult; } {
    const text = readInput(file);
    if (!text.ok) {
        return { ok: false, result: failed(ExitCode.BadInput, text.issue.message) };
    }
    const answers = parseAnswers(text.value);
    return answers.ok ?
        { ok: true, value: answers.value } :
        { ok: false, result: failed(ExitCode.BadInput, `${file}: ${answers.issue.message}`, answers.issue.issues) };
}

function checkFile(file: string): CommandResult {
    const answers = loadAnswers(file);
    if (!answers.ok) {
        return answers.result;
    }
    const configuration = generateConfiguration(answers.value);
    const digest = digestOf(configuration);
    return {
        exitCode: ExitCode.Success,
        value: { exitCode: ExitCode.Success, digest, configuration },
        lines: [`${file}: the answers are valid.`, ...summarise(configuration), `Digest: ${digest}`],
    };
}

function summarise(configuration: Configuration): string[] {
    const nonIdempotent = configuration.services.flatMap(service =>
        service.operations.filter(operation => !operation.idempotent).map(operation => `${service.name}/${operation.name}`)
    );
    const engines = configuration.models.map(model => `${model.name} (${model.enginesAtPeak} engines at peak)`);
    const list = (items: readonly string[]): string => items.length === 0 ? "none" : items.join(", ");
    return [
        `Deployment: ${configuration.deployment} in ${list(configuration.failureDomains)}`,
        `Models: ${list(engines)}`,
        `Services: ${list(configuration.services.map(service => service.name))}`,
        `Operations that must run at most once: ${list(nonIdempotent)}`,
        `Customers: ${list(configuration.customers.map(customer => customer.name))}`,
        `Shards: ${configuration.shards.count} (generation ${configuration.shards.generation}), ` +
        `batches of at most ${configuration.shards.batchIntervalMs} ms`,
    ];
}
