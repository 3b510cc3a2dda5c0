import type { Argv, CommandModule } from "yargs";
import { ExitCode } from "../exit.js";
import type { CommandResult } from "../exit.js";
import type { DaemonStatus, OperatorClient, OperatorIssue } from "../operator.js";
import { askAny, daemonFailed, run, withDaemonOptions, withOperatorClient } from "./common.js";
import type { DaemonArguments } from "./common.js";

interface RequestsArguments extends DaemonArguments {
    readonly unknown: boolean;
}

type Entry = DaemonStatus["entries"][number] & { readonly hostId: string; };

/** `requests`: lists the non-idempotent requests that the fleet holds. */
export const requestsCommand: CommandModule<object, RequestsArguments> = {
    command: "requests",
    describe: "List the non-idempotent requests that all entry hosts hold",
    builder: yargs =>
        withDaemonOptions(yargs).option("unknown", {
            type: "boolean",
            default: false,
            describe: "Only requests of which nobody can tell whether they ran",
        }) as unknown as Argv<RequestsArguments>,
    handler: commandArguments =>
        run(commandArguments, () => withOperatorClient(commandArguments, client => list(client, commandArguments))),
};

async function list(client: OperatorClient, commandArguments: RequestsArguments): Promise<CommandResult> {
    const first = await askAny(client, commandArguments.entry);
    if (!first.ok) {
        return daemonFailed(first.issue);
    }
    const entries: Entry[] = [];
    const unreachable: OperatorIssue[] = [];
    for (const member of first.value.members.filter(candidate => candidate.state !== "dead")) {
        const status = await client.status(member.callerAddress);
        if (status.ok) {
            entries.push(...status.value.entries.map(entry => ({ ...entry, hostId: member.hostId })));
        }
        else {
            unreachable.push(status.issue);
        }
    }
    const shown = entries.filter(entry => !commandArguments.unknown || entry.state === "unknown")
        .sort((left, right) => left.since.localeCompare(right.since));
    // An incomplete list must not be taken for "nothing is unknown".
    const exitCode = unreachable.length > 0 ? ExitCode.Unreachable : ExitCode.Success;
    return {
        exitCode,
        value: { exitCode, entries: shown, unreachable },
        lines: [
            ...shown.map(formatEntry),
            `${shown.length} requests${commandArguments.unknown ? " with an unknown outcome" : ""}.`,
            ...unreachable.map(issue => `The list is incomplete: ${issue.message}`),
        ],
    };
}

function formatEntry(entry: Entry): string {
    return `${entry.since}  ${
        entry.state.padEnd(8)
    }  ${entry.requestId}  ${entry.customer}  ${entry.service}/${entry.operation}  at ${entry.hostId}`;
}
