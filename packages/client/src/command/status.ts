import type { Argv, CommandModule } from "yargs";
import { ExitCode } from "../exit.js";
import type { CommandResult } from "../exit.js";
import type { DaemonStatus } from "../operator.js";
import { askAny, daemonFailed, run, withDaemonOptions, withOperatorClient } from "./common.js";
import type { DaemonArguments } from "./common.js";

/** `status`: shows the fleet as one entry host knows it. */
export const statusCommand: CommandModule<object, DaemonArguments> = {
    command: "status",
    describe: "Show members, configuration versions, shards and counters as an entry host knows them",
    builder: yargs => withDaemonOptions(yargs) as unknown as Argv<DaemonArguments>,
    handler: commandArguments =>
        run(commandArguments, () =>
            withOperatorClient(commandArguments, async client => {
                const status = await askAny(client, commandArguments.entry);
                return status.ok ? describe(status.value) : daemonFailed(status.issue);
            })),
};

function describe(status: DaemonStatus): CommandResult {
    const versions = new Map(status.versions.map(entry => [entry.hostId, entry.version]));
    const members = status.members.map(member =>
        `  ${member.hostId.padEnd(24)} ${member.failureDomain.padEnd(18)} ${member.state.padEnd(8)} ` +
        `${member.callerAddress.padEnd(22)} version ${versions.get(member.hostId) ?? "unknown"}`
    );
    const counters = Object.entries(status.counters).map(([name, value]) => `  ${name.padEnd(40)} ${value}`);
    const shards = status.shards.map(shard => `${shard.shard} (epoch ${shard.epoch}, ${shard.mode})`).join(", ");
    return {
        exitCode: ExitCode.Success,
        value: status,
        lines: [
            `Asked host: ${status.host.id} in ${status.host.failureDomain}, ${status.host.state}`,
            `Configuration: ${
                status.configuration === undefined ?
                    "none" :
                    `version ${status.configuration.version}, ${status.configuration.digest}`
            }`,
            "Members:",
            ...members,
            `Shards owned by this host: ${shards === "" ? "none" : shards}`,
            `Entries held by this host: ${status.entries.length}, of them unknown: ${
                status.entries.filter(entry => entry.state === "unknown").length
            }`,
            "Counters:",
            ...counters,
        ],
    };
}
