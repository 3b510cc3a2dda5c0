import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import { parse } from "smol-toml";
import type { Argv, CommandModule } from "yargs";
import * as z from "zod";
import { runDemo } from "../demo/demo.js";
import type { DemoDeployment, DeploymentKeys } from "../demo/demo.js";
import type { RunResult } from "../demo/record.js";
import { formatSummary, isPassed } from "../demo/summary.js";
import { ExitCode, failed } from "../exit.js";
import type { CommandResult } from "../exit.js";
import { exampleFile } from "../fleet/binary.js";
import type { Output } from "../output.js";
import { loadAnswers } from "./check.js";
import { clock, readInput, run } from "./common.js";
import type { CommonArguments } from "./common.js";

interface DemoArguments extends CommonArguments {
    readonly deployment: DemoDeployment;
    readonly seed: number;
    readonly requests: number;
    readonly noticeSeconds: number;
    readonly output: string;
    readonly keep: boolean;
}

const keysSchema = z.record(z.string(), z.object({ operator: z.string(), customers: z.record(z.string(), z.string()) }));

/** `demo`: runs a deployment on loopback, disturbs it and checks the guarantees. */
export const demoCommand: CommandModule<object, DemoArguments> = {
    command: "demo",
    describe: "Run an example deployment on loopback for up to a minute, with a reclaim and an outage, and check the guarantees",
    builder: yargs =>
        yargs
            .option("deployment", {
                choices: ["chaulage", "salal"] as const,
                default: "chaulage" as const,
                describe: "Example deployment",
            })
            .option("seed", { type: "number", default: 1, describe: "Seed of the trace" })
            .option("requests", { type: "number", default: 300, describe: "Requests to play" })
            .option("notice-seconds", {
                type: "number",
                default: 4,
                describe: "Notice of the reclaim; 0 kills the hosts at once",
            })
            .option("output", { type: "string", default: "reports/demo.json", describe: "Result file for 'report'" })
            .option("keep", {
                type: "boolean",
                default: false,
                describe: "Keep settings and logs of the processes",
            }) as unknown as Argv<DemoArguments>,
    handler: commandArguments => run(commandArguments, demo),
};

async function demo(commandArguments: DemoArguments, output: Output): Promise<CommandResult> {
    const { deployment, seed, requests, noticeSeconds } = commandArguments;
    if (!Number.isSafeInteger(seed) || !Number.isSafeInteger(requests) || requests < 1 || requests > 2_000) {
        return failed(ExitCode.BadInput, "'--seed' must be a whole number and '--requests' one from 1 to 2000.");
    }
    if (!(noticeSeconds >= 0 && noticeSeconds <= 30)) {
        return failed(ExitCode.BadInput, "'--notice-seconds' must be a number from 0 to 30.");
    }
    const answers = loadAnswers(exampleFile(`${deployment}.toml`));
    if (!answers.ok) {
        return answers.result;
    }
    const keys = loadKeys(exampleFile("keys.toml"), deployment);
    if (!keys.ok) {
        return keys.result;
    }
    const result = await runDemo({
        clock,
        output,
        deployment,
        answers: answers.value,
        keys: keys.value,
        seed,
        requests,
        noticeMs: noticeSeconds * 1_000,
        keepsDirectory: commandArguments.keep,
    });
    return finishRun(result, commandArguments.output);
}

/** Writes the result file and turns the result into that of the command. */
export function finishRun(result: RunResult, file: string): CommandResult {
    try {
        mkdirSync(dirname(file), { recursive: true });
        writeFileSync(file, `${JSON.stringify(result)}\n`);
    }
    catch (error) {
        return failed(ExitCode.BadInput, `'${file}' can't be written: ${error instanceof Error ? error.message : String(error)}`);
    }
    const exitCode = isPassed(result) ? ExitCode.Success : ExitCode.CheckFailed;
    return { exitCode, value: { exitCode, file, ...result }, lines: [...formatSummary(result), "", `Result file: ${file}`] };
}

/** Reads the plain keys of a deployment; the result of a failure says what is missing. */
export function loadKeys(
    file: string,
    deployment: string,
): { readonly ok: true; readonly value: DeploymentKeys; } | { readonly ok: false; readonly result: CommandResult; } {
    const text = readInput(file);
    if (!text.ok) {
        return { ok: false, result: failed(ExitCode.BadInput, text.issue.message) };
    }
    try {
        const keys = keysSchema.parse(parse(text.value))[deployment];
        return keys === undefined ?
            { ok: false, result: failed(ExitCode.BadInput, `'${file}' has no keys of the deployment '${deployment}'.`) } :
            { ok: true, value: keys };
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return { ok: false, result: failed(ExitCode.BadInput, `'${file}' is no file of keys: ${reason}`) };
    }
}
