import { generateConfiguration } from "@filbertrelay/configuration";
import { parseTrace } from "@filbertrelay/emulator";
import type { Trace } from "@filbertrelay/emulator";
import type { Argv, CommandModule } from "yargs";
import { loadExpectedAnswer } from "../demo/demo.js";
import { findUnplayable, playTrace } from "../demo/player.js";
import { RecomputedTokens } from "../demo/recomputed.js";
import { buildResult } from "../demo/result.js";
import { ExitCode, failed } from "../exit.js";
import type { CommandResult } from "../exit.js";
import { createOperatorClient } from "../operator.js";
import type { Output } from "../output.js";
import { loadAnswers } from "./check.js";
import { askAny, clock, daemonFailed, readInput, run } from "./common.js";
import type { CommonArguments } from "./common.js";
import { finishRun, loadKeys } from "./demo.js";

interface ReplayArguments extends CommonArguments {
    readonly trace: string;
    readonly answers: string;
    readonly keys: string;
    readonly entry: readonly string[];
    readonly durationSeconds: number;
    readonly standIns: boolean;
    readonly output: string;
}

const longestDeadlineMs = 120_000;
const patienceMs = 120_000;

/** `replay TRACE`: plays a trace against a running deployment and checks the answers. */
export const replayCommand: CommandModule<object, ReplayArguments> = {
    command: "replay <trace>",
    describe: "Play a trace against a running deployment and check every answer",
    builder: yargs =>
        yargs
            .positional("trace", { type: "string", demandOption: true, describe: "Trace file in JSON lines" })
            .option("answers", { type: "string", demandOption: true, describe: "Answers of the deployment" })
            .option("keys", { type: "string", demandOption: true, describe: "Plain keys in the form of examples/keys.toml" })
            .option("entry", {
                type: "string",
                array: true,
                nargs: 1,
                demandOption: true,
                describe: "Callers' address of an entry host; can be repeated",
            })
            .option("duration-seconds", { type: "number", default: 60, describe: "Time to which the trace is scaled" })
            .option("stand-ins", {
                type: "boolean",
                default: false,
                describe: "The engines are the stand-ins: compare each answer with its own",
            })
            .option("output", {
                type: "string",
                default: "reports/replay.json",
                describe: "Result file for 'report'",
            }) as unknown as Argv<
                ReplayArguments
            >,
    handler: commandArguments => run(commandArguments, replay),
};

async function replay(commandArguments: ReplayArguments, output: Output): Promise<CommandResult> {
    const answers = loadAnswers(commandArguments.answers);
    if (!answers.ok) {
        return answers.result;
    }
    const { deployment } = answers.value;
    const keys = loadKeys(commandArguments.keys, deployment);
    if (!keys.ok) {
        return keys.result;
    }
    const trace = loadTrace(commandArguments.trace);
    if (!trace.ok) {
        return trace.result;
    }
    const configuration = generateConfiguration(answers.value);
    const faults = findUnplayable(trace.value, configuration);
    if (faults.length > 0) {
        return failed(
            ExitCode.BadInput,
            `The configuration of '${deployment}' lacks what the trace names: ${faults.join(", ")}.`,
        );
    }
    const client = createOperatorClient({ operatorKey: keys.value.operator });
    const status = await askAny(client, commandArguments.entry);
    if (!status.ok) {
        await client.close();
        return daemonFailed(status.issue);
    }
    const startedAt = clock.now();
    const startMs = clock.monotonicMs();
    const recomputed = new RecomputedTokens({
        client,
        clock,
        addresses: () => status.value.members.map(member => member.callerAddress),
    });
    recomputed.start();
    output.progress(`Playing ${trace.value.entries.length} requests in ${commandArguments.durationSeconds} s.`);
    const played = await playTrace({
        clock,
        trace: trace.value,
        durationMs: commandArguments.durationSeconds * 1_000,
        configuration,
        customerKeys: keys.value.customers,
        seeds: commandArguments.entry,
        expectedAnswer: commandArguments.standIns ? await loadExpectedAnswer() : undefined,
        runName: `replay-${startedAt.getTime()}`,
        longestDeadlineMs,
        patienceMs,
        originMs: startMs,
    });
    const recomputedTokens = await recomputed.finish();
    await client.close();
    const durationMs = clock.monotonicMs() - startMs;
    const result = buildResult({
        deployment,
        command: "replay",
        startedAt,
        durationMs,
        events: [],
        played,
        recomputedTokens,
        cost: [],
    });
    return finishRun(result, commandArguments.output);
}

function loadTrace(
    file: string,
): { readonly ok: true; readonly value: Trace; } | { readonly ok: false; readonly result: CommandResult; } {
    const text = readInput(file);
    if (!text.ok) {
        return { ok: false, result: failed(ExitCode.BadInput, text.issue.message) };
    }
    try {
        return { ok: true, value: parseTrace(text.value) };
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return { ok: false, result: failed(ExitCode.BadInput, `'${file}' is no trace: ${reason}`) };
    }
}
