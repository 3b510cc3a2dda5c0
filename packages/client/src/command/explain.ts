import type { Argv, CommandModule } from "yargs";
import * as z from "zod";
import { ExitCode, failed } from "../exit.js";
import type { CommandResult } from "../exit.js";
import { explainFromLogs } from "../logs/explanation.js";
import type { DaemonStatus, OperatorClient, OperatorIssue } from "../operator.js";
import { askAny, daemonFailed, run, withDaemonOptions, withOperatorClient } from "./common.js";
import type { DaemonArguments } from "./common.js";

interface ExplainArguments extends DaemonArguments {
    readonly id: string;
    readonly logs?: readonly string[] | undefined;
}

const explanationSchema = z.object({
    requestId: z.string(),
    decisions: z.array(z.object({ at: z.string(), what: z.string(), details: z.record(z.string(), z.unknown()) })),
});

type Decision = z.infer<typeof explanationSchema>["decisions"][number] & { readonly hostId: string; };

/** `explain ID`: shows the decisions about one request, from the hosts that remember it or from their logs. */
export const explainCommand: CommandModule<object, ExplainArguments> = {
    command: "explain <id>",
    describe: "Show why a request went where it went",
    builder: yargs =>
        withDaemonOptions(yargs)
            .positional("id", { type: "string", demandOption: true })
            .option("logs", {
                type: "string",
                array: true,
                describe: "Log files of hosts; then no host is asked",
            }) as unknown as Argv<ExplainArguments>,
    handler: commandArguments => {
        const { id, logs } = commandArguments;
        return run(commandArguments, () =>
            logs === undefined ?
                withOperatorClient(commandArguments, client => explain(client, commandArguments)) :
                Promise.resolve(explainFromLogs(id, logs)));
    },
};

async function explain(client: OperatorClient, commandArguments: ExplainArguments): Promise<CommandResult> {
    const status = await askAny(client, commandArguments.entry);
    if (!status.ok) {
        return daemonFailed(status.issue);
    }
    const members = status.value.members.filter(member => member.state !== "dead");
    const asked = await Promise.all(members.map(member => askMember(client, member, commandArguments.id)));
    const decisions = asked.flatMap(answer => answer.decisions).sort((left, right) => left.at.localeCompare(right.at));
    const unreachable = asked.flatMap(answer => answer.issues);
    if (decisions.length === 0) {
        return unreachable.length > 0 ?
            failed(ExitCode.Unreachable, "No host that answered remembers the request; some did not answer.", unreachable) :
            failed(ExitCode.BadInput, `No host remembers the request '${commandArguments.id}'.`);
    }
    const lines = decisions.map(decision =>
        `${decision.at}  ${decision.hostId}  ${decision.what}  ${JSON.stringify(decision.details)}`
    );
    const value = { requestId: commandArguments.id, decisions, unreachable };
    return { exitCode: ExitCode.Success, value, lines: [...lines, ...unreachable.map(issue => `Not asked: ${issue.message}`)] };
}

interface MemberAnswer {
    readonly decisions: readonly Decision[];
    readonly issues: readonly OperatorIssue[];
}

/** Asks one host for its decisions and for the entry of a non-idempotent request in the shards that it owns. */
async function askMember(
    client: OperatorClient,
    member: DaemonStatus["members"][number],
    requestId: string,
): Promise<MemberAnswer> {
    const { hostId, callerAddress } = member;
    const reply = await client.explain(callerAddress, requestId);
    const explanation = reply.ok ? explanationSchema.safeParse(reply.value).data : undefined;
    const remembered = (explanation?.decisions ?? []).map(decision => ({ ...decision, hostId }));
    const status = await client.status(callerAddress);
    const entries = status.ok ? status.value.entries.filter(entry => entry.requestId === requestId) : [];
    const held = entries.map(({ since, state, customer, service, operation }) => ({
        at: since,
        what: `held as '${state}'`,
        details: { customer, service, operation },
        hostId,
    }));
    const issues = [reply, status].flatMap(answer => answer.ok || answer.issue.code === "daemon.notFound" ? [] : [answer.issue]);
    return { decisions: [...remembered, ...held], issues };
}
