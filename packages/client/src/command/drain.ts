import type { Argv, CommandModule } from "yargs";
import { ExitCode, failed } from "../exit.js";
import type { CommandResult } from "../exit.js";
import type { OperatorClient } from "../operator.js";
import type { Output } from "../output.js";
import { askAny, clock, daemonFailed, run, withDaemonOptions, withOperatorClient } from "./common.js";
import type { DaemonArguments } from "./common.js";

interface DrainArguments extends DaemonArguments {
    readonly host: string;
    readonly waitSeconds: number;
}

const pollIntervalMs = 500;

/** `drain HOST`: makes an entry host leave without cutting off its requests. */
export const drainCommand: CommandModule<object, DrainArguments> = {
    command: "drain <host>",
    describe: "Make an entry host leave: it refuses new requests, hands over what it holds and stops",
    builder: yargs =>
        withDaemonOptions(yargs)
            .positional("host", { type: "string", demandOption: true })
            .option("wait-seconds", {
                type: "number",
                default: 60,
                describe: "How long to wait until it has stopped",
            }) as unknown as Argv<
                DrainArguments
            >,
    handler: commandArguments =>
        run(commandArguments, (given, output) => withOperatorClient(given, client => drain(client, given, output))),
};

async function drain(client: OperatorClient, commandArguments: DrainArguments, output: Output): Promise<CommandResult> {
    const status = await askAny(client, commandArguments.entry);
    if (!status.ok) {
        return daemonFailed(status.issue);
    }
    const member = status.value.members.find(candidate => candidate.hostId === commandArguments.host);
    if (member === undefined) {
        return failed(ExitCode.BadInput, `The fleet has no host '${commandArguments.host}'.`);
    }
    const asked = await client.drain(member.callerAddress);
    if (!asked.ok) {
        return daemonFailed(asked.issue);
    }
    output.progress(`The host '${member.hostId}' is leaving.`);
    const endMs = clock.monotonicMs() + commandArguments.waitSeconds * 1_000;
    while (clock.monotonicMs() < endMs) {
        const reply = await client.status(member.callerAddress);
        if (!reply.ok && reply.issue.code === "daemon.unreachable") {
            const value = { exitCode: ExitCode.Success, hostId: member.hostId, state: "stopped" };
            return { exitCode: ExitCode.Success, value, lines: [`The host '${member.hostId}' has stopped.`] };
        }
        await clock.sleep(pollIntervalMs);
    }
    return failed(
        ExitCode.Unreachable,
        `The host '${member.hostId}' is leaving, but did not stop within ${commandArguments.waitSeconds} s.`,
    );
}
