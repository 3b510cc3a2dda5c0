import { formatDifference } from "@filbertrelay/configuration";
import type { Answers, ConfigurationHead, Difference } from "@filbertrelay/configuration";
import { createKeyValueClient } from "@filbertrelay/connectors";
import type { KeyValueClient } from "@filbertrelay/connectors";
import { randomUUID } from "node:crypto";
import type { Argv, CommandModule } from "yargs";
import { ExitCode, failed } from "../exit.js";
import type { CommandResult } from "../exit.js";
import type { Output } from "../output.js";
import { formatRollout, waitForRollout } from "../rollout.js";
import type { Rollout } from "../rollout.js";
import { planSubmission, readHead, submit } from "../submission.js";
import type { ReadHead, SubmissionIssue } from "../submission.js";
import { loadAnswers } from "./check.js";
import { clock, run, withDaemonOptions, withOperatorClient } from "./common.js";
import type { DaemonArguments } from "./common.js";

/** Arguments of `apply`. */
export interface ApplyArguments extends DaemonArguments {
    readonly file: string;
    readonly keyValue: string | undefined;
    readonly dryRun: boolean;
    readonly expectedVersion: number | undefined;
    readonly waitSeconds: number;
}

const submitLimitMs = 20_000;

/** `apply FILE`: writes the configuration and waits until it is in effect. */
export const applyCommand: CommandModule<object, ApplyArguments> = {
    command: "apply <file>",
    describe: "Submit the answers in a file and wait until every failure domain has the new version",
    builder: yargs =>
        withDaemonOptions(yargs)
            .positional("file", { type: "string", demandOption: true })
            .option("key-value", {
                type: "string",
                default: process.env["FILBERTRELAY_KEY_VALUE"],
                describe: "URL of the key-value service (FILBERTRELAY_KEY_VALUE)",
            })
            .option("dry-run", { type: "boolean", default: false, describe: "Show what would change and write nothing" })
            .option("expected-version", { type: "number", describe: "Write only if this version is still in place" })
            .option("wait-seconds", {
                type: "number",
                default: 60,
                describe: "How long to wait for the daemons; 0: not at all",
            }) as unknown as Argv<
                ApplyArguments
            >,
    handler: commandArguments => run(commandArguments, apply),
};

async function apply(commandArguments: ApplyArguments, output: Output): Promise<CommandResult> {
    const answers = loadAnswers(commandArguments.file);
    if (!answers.ok) {
        return answers.result;
    }
    if (commandArguments.keyValue === undefined || !URL.canParse(commandArguments.keyValue)) {
        return failed(
            ExitCode.BadInput,
            "Give the URL of the key-value service with '--key-value' or in FILBERTRELAY_KEY_VALUE.",
        );
    }
    const needsDaemons = !commandArguments.dryRun && commandArguments.waitSeconds > 0;
    const submitAnswers = () =>
        withKeyValue(commandArguments.keyValue ?? "", client => write(client, answers.value, commandArguments, output));
    if (!needsDaemons) {
        return (await submitAnswers()).result;
    }
    return withOperatorClient(commandArguments, async client => {
        const written = await submitAnswers();
        if (written.head === undefined) {
            return written.result;
        }
        const { version, configuration } = written.head;
        const rollout = await waitForRollout({
            client,
            clock,
            entries: commandArguments.entry,
            version,
            failureDomains: configuration.failureDomains,
            limitMs: commandArguments.waitSeconds * 1_000,
            onProgress: progress => output.progress(`Version ${version} in effect: ${formatRollout(progress)}`),
        });
        return withRollout(written.result, version, rollout);
    });
}

interface Written {
    readonly head: ConfigurationHead | undefined;
    readonly result: CommandResult;
}

async function write(
    keyValue: KeyValueClient,
    answers: Answers,
    commandArguments: ApplyArguments,
    output: Output,
): Promise<Written> {
    const base = await readHead(keyValue);
    if (!base.ok) {
        return submissionFailed(base.issue);
    }
    const refusal = checkExpectedVersion(base.value, commandArguments.expectedVersion);
    if (refusal !== undefined) {
        return refusal;
    }
    const plan = planSubmission(answers, base.value);
    if (!plan.ok) {
        return submissionFailed(plan.issue);
    }
    if (plan.value === undefined) {
        return unchanged(base.value.head);
    }
    const lines = plan.value.map(formatChange);
    if (commandArguments.dryRun) {
        const value = { exitCode: ExitCode.Success, isDryRun: true, differences: plan.value };
        return {
            head: undefined,
            result: {
                exitCode: ExitCode.Success,
                value,
                lines: [`${plan.value.length} changes, nothing was written:`, ...lines],
            },
        };
    }
    output.progress(`Submitting ${plan.value.length} changes.`);
    const submission = { keyValue, clock, answers, base: base.value, submissionId: randomUUID(), limitMs: submitLimitMs };
    const submitted = await submit(submission);
    return submitted.ok ? succeeded(submitted.value, plan.value, lines) : submissionFailed(submitted.issue);
}

function succeeded(head: ConfigurationHead, differences: readonly Difference[], lines: readonly string[]): Written {
    const value = {
        exitCode: ExitCode.Success,
        version: head.version,
        digest: head.digest,
        submissionId: head.submissionId,
        differences,
    };
    return {
        head,
        result: {
            exitCode: ExitCode.Success,
            value,
            lines: [`Version ${head.version} was written with these changes:`, ...lines],
        },
    };
}

function unchanged(head: ConfigurationHead | undefined): Written {
    const value = { exitCode: ExitCode.Success, version: head?.version, digest: head?.digest, differences: [] };
    const lines = [`Version ${head?.version ?? 0} has the same answers already; nothing was written.`];
    return { head, result: { exitCode: ExitCode.Success, value, lines } };
}

function checkExpectedVersion(base: ReadHead, expected: number | undefined): Written | undefined {
    const present = base.head?.version ?? 0;
    if (expected === undefined || expected === present) {
        return undefined;
    }
    const message = `Version ${present} is in place instead of the expected version ${expected}; nothing was written.`;
    return { head: undefined, result: failed(ExitCode.LostSubmission, message) };
}

function submissionFailed(issue: SubmissionIssue): Written {
    if (issue.code !== "submission.lost") {
        const exitCode = issue.code === "submission.invalid" ? ExitCode.BadInput : ExitCode.Unreachable;
        return { head: undefined, result: failed(exitCode, issue.message, issue.issues) };
    }
    const differences = issue.differences ?? [];
    const value = {
        exitCode: ExitCode.LostSubmission,
        error: { message: issue.message, code: issue.code },
        other: { version: issue.other?.version, submissionId: issue.other?.submissionId, differences },
    };
    const lines = [issue.message, "The other submission changed:", ...differences.map(formatChange)];
    return { head: undefined, result: { exitCode: ExitCode.LostSubmission, value, lines } };
}

function formatChange(difference: Difference): string {
    return difference.path.length === 0 ? "  + the first configuration" : `  ${formatDifference(difference)}`;
}

function withRollout(result: CommandResult, version: number, rollout: Rollout | undefined): CommandResult {
    const isComplete = rollout?.isComplete === true;
    const exitCode = isComplete ? ExitCode.Success : ExitCode.Unreachable;
    const domains = rollout?.domains ?? [];
    const last = isComplete ?
        `Version ${version} is in effect: ${formatRollout(rollout)}` :
        `Version ${version} was written, but not every failure domain reported it in time: ${
            rollout === undefined ? "no entry host answered" : formatRollout(rollout)
        }`;
    return {
        exitCode,
        value: { ...result.value as object, exitCode, isInEffect: isComplete, domains },
        lines: [...result.lines, last],
    };
}

async function withKeyValue<T>(url: string, use: (client: KeyValueClient) => Promise<T>): Promise<T> {
    const client = createKeyValueClient({ url, clock });
    try {
        return await use(client);
    }
    finally {
        await client.stop();
    }
}
