import { checkAnswers } from "@filbertrelay/configuration";
import type { Answers } from "@filbertrelay/configuration";
import { existsSync, writeFileSync } from "node:fs";
import { stringify } from "smol-toml";
import type { Argv, CommandModule } from "yargs";
import { ExitCode, failed } from "../exit.js";
import type { CommandResult } from "../exit.js";
import { terminalAsk } from "../questionnaire/question.js";
import type { Ask } from "../questionnaire/question.js";
import { askQuestionnaire } from "../questionnaire/questionnaire.js";
import { loadAnswers } from "./check.js";
import { run } from "./common.js";
import type { CommonArguments } from "./common.js";

interface InitArguments extends CommonArguments {
    readonly from: string | undefined;
    readonly output: string;
    readonly force: boolean;
}

/** `init`: asks the questionnaire's questions, or reads answers, and writes a checked file of answers. */
export const initCommand: CommandModule<object, InitArguments> = {
    command: "init",
    describe: "Answer the questionnaire and write the answers to a file",
    builder: yargs =>
        yargs
            .option("from", { type: "string", describe: "Read the answers from this file instead of asking" })
            .option("output", { type: "string", default: "answers.toml", describe: "File to write" })
            .option("force", { type: "boolean", default: false, describe: "Overwrite the file" }) as unknown as Argv<
                InitArguments
            >,
    handler: commandArguments => run(commandArguments, initialise),
};

async function initialise(commandArguments: InitArguments): Promise<CommandResult> {
    if (existsSync(commandArguments.output) && !commandArguments.force) {
        return failed(ExitCode.BadInput, `'${commandArguments.output}' exists already; use '--force' to overwrite it.`);
    }
    if (commandArguments.from !== undefined) {
        const answers = loadAnswers(commandArguments.from);
        return answers.ok ? writeAnswers(commandArguments.output, answers.value, {}) : answers.result;
    }
    if (!process.stdin.isTTY) {
        return failed(ExitCode.BadInput, "The questions need a terminal; use '--from FILE' in a pipe.");
    }
    return askAndWrite(terminalAsk, commandArguments.output);
}

async function askAndWrite(ask: Ask, file: string): Promise<CommandResult> {
    try {
        const { document, keys } = await askQuestionnaire(ask);
        const answers = checkAnswers(document);
        return answers.ok ?
            writeAnswers(file, answers.value, keys) :
            failed(ExitCode.BadInput, answers.issue.message, answers.issue.issues);
    }
    catch (error) {
        return failed(
            ExitCode.BadInput,
            `The questionnaire was not finished: ${error instanceof Error ? error.message : String(error)}`,
        );
    }
}

function writeAnswers(file: string, answers: Answers, keys: Readonly<Record<string, string>>): CommandResult {
    try {
        writeFileSync(file, `${stringify(answers)}\n`);
    }
    catch (error) {
        return failed(ExitCode.BadInput, `'${file}' can't be written: ${error instanceof Error ? error.message : String(error)}`);
    }
    const keyLines = Object.entries(keys).map(([owner, key]) => `  ${owner}: ${key}`);
    return {
        exitCode: ExitCode.Success,
        value: { exitCode: ExitCode.Success, file, keys },
        lines: [
            `The answers are valid and were written to '${file}'.`,
            ...(keyLines.length === 0 ? [] : ["Hand out these new keys now; only their hashes are kept:", ...keyLines]),
        ],
    };
}
