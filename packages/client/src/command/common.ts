import { createSystemClock } from "@filbertrelay/kernel";
import type { Issue, Outcome } from "@filbertrelay/kernel";
import { readFileSync } from "node:fs";
import type { Argv } from "yargs";
import { ExitCode, failed } from "../exit.js";
import type { CommandResult } from "../exit.js";
import { createOperatorClient } from "../operator.js";
import type { DaemonStatus, OperatorClient, OperatorIssue } from "../operator.js";
import { createOutput } from "../output.js";
import type { Output } from "../output.js";

/** The clock of all commands. */
export const clock = createSystemClock();

/** Options that every command has. */
export interface CommonArguments {
    readonly json: boolean;
}

/** Options of commands that ask daemons. */
export interface DaemonArguments extends CommonArguments {
    readonly entry: readonly string[];
    readonly operatorKeyFile: string | undefined;
}

/** Adds the options of commands that ask daemons; the environment gives their defaults. */
export function withDaemonOptions<T>(yargs: Argv<T>): Argv<T & { entry: string[]; operatorKeyFile: string | undefined; }> {
    return yargs
        .option("entry", {
            type: "string",
            array: true,
            nargs: 1,
            default: (process.env["FILBERTRELAY_ENTRY"] ?? "").split(",").filter(address => address !== ""),
            describe: "Callers' address of an entry host, such as 10.0.0.5:8080; can be repeated (FILBERTRELAY_ENTRY)",
        })
        .option("operator-key-file", {
            type: "string",
            describe: "File that holds the operator key (otherwise FILBERTRELAY_OPERATOR_KEY)",
        }) as unknown as Argv<T & { entry: string[]; operatorKeyFile: string | undefined; }>;
}

/** Runs a command, writes its result and sets the process's exit code. */
export async function run<A extends CommonArguments>(
    commandArguments: A,
    command: (commandArguments: A, output: Output) => Promise<CommandResult>,
): Promise<void> {
    const output = createOutput({ json: commandArguments.json });
    const result = await command(commandArguments, output);
    output.result(result);
    process.exitCode = result.exitCode;
}

/** Reads a text file; a missing file is bad input. */
export function readInput(file: string): Outcome<string> {
    try {
        return { ok: true, value: readFileSync(file, "utf8") };
    }
    catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        return { ok: false, issue: { code: "input.unreadable", message: `'${file}' can't be read: ${message}` } };
    }
}

/** Runs a part of a command with a client of the daemons. */
export async function withOperatorClient(
    commandArguments: DaemonArguments,
    use: (client: OperatorClient) => Promise<CommandResult>,
): Promise<CommandResult> {
    const operatorKey = readOperatorKey(commandArguments);
    if (!operatorKey.ok) {
        return failed(ExitCode.BadInput, operatorKey.issue.message);
    }
    if (commandArguments.entry.length === 0) {
        return failed(ExitCode.BadInput, "Give the address of an entry host with '--entry' or in FILBERTRELAY_ENTRY.");
    }
    const client = createOperatorClient({ operatorKey: operatorKey.value });
    try {
        return await use(client);
    }
    finally {
        await client.close();
    }
}

/** Asks the given entry hosts one after the other for their status; gives the first answer. */
export async function askAny(client: OperatorClient, entries: readonly string[]): Promise<Outcome<DaemonStatus, OperatorIssue>> {
    let issue: OperatorIssue = { code: "daemon.unreachable", message: "No entry host was given." };
    for (const address of entries) {
        const status = await client.status(address);
        if (status.ok) {
            return status;
        }
        issue = status.issue;
    }
    return { ok: false, issue };
}

/** Maps a daemon's issue to a result; a refused operator key is bad input. */
export function daemonFailed(issue: OperatorIssue): CommandResult {
    return failed(issue.code === "daemon.unauthorized" ? ExitCode.BadInput : ExitCode.Unreachable, issue.message);
}

function readOperatorKey(commandArguments: DaemonArguments): Outcome<string, Issue> {
    const file = commandArguments.operatorKeyFile;
    const key = file === undefined ?
        { ok: true as const, value: process.env["FILBERTRELAY_OPERATOR_KEY"] ?? "" } :
        readInput(file);
    if (!key.ok) {
        return key;
    }
    const value = key.value.trim();
    const message = "Give the operator key in FILBERTRELAY_OPERATOR_KEY or with '--operator-key-file'.";
    return value === "" ? { ok: false, issue: { code: "input.operatorKey", message } } : { ok: true, value };
}
