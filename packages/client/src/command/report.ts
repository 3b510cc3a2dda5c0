import { parseJson } from "@filbertrelay/kernel";
import { writeFileSync } from "node:fs";
import type { Argv, CommandModule } from "yargs";
import { resultSchema } from "../demo/record.js";
import { ExitCode, failed } from "../exit.js";
import type { CommandResult } from "../exit.js";
import { renderReport } from "../report/page.js";
import { readInput, run } from "./common.js";
import type { CommonArguments } from "./common.js";

interface ReportArguments extends CommonArguments {
    readonly result: string;
    readonly output: string | undefined;
}

/** `report`: renders a result file of `demo` or `replay` as an HTML page. */
export const reportCommand: CommandModule<object, ReportArguments> = {
    command: "report [result]",
    describe: "Render the result of a demo or replay as one self-contained HTML page",
    builder: yargs =>
        yargs
            .positional("result", { type: "string", default: "reports/demo.json", describe: "Result file" })
            .option("output", {
                type: "string",
                describe: "Page to write; the result file's name with .html by default",
            }) as unknown as Argv<
                ReportArguments
            >,
    handler: commandArguments => run(commandArguments, async given => report(given)),
};

function report(commandArguments: ReportArguments): CommandResult {
    const text = readInput(commandArguments.result);
    if (!text.ok) {
        return failed(ExitCode.BadInput, text.issue.message);
    }
    const parsed = resultSchema.safeParse(parseJson(text.value));
    if (!parsed.success) {
        const first = parsed.error.issues[0];
        return failed(
            ExitCode.BadInput,
            `'${commandArguments.result}' is no result file: ${first?.path.join(".") ?? ""}: ${first?.message ?? ""}`,
        );
    }
    const file = commandArguments.output ?? `${commandArguments.result.replace(/\.json$/, "")}.html`;
    try {
        writeFileSync(file, renderReport(parsed.data));
    }
    catch (error) {
        return failed(ExitCode.BadInput, `'${file}' can't be written: ${error instanceof Error ? error.message : String(error)}`);
    }
    return {
        exitCode: ExitCode.Success,
        value: { exitCode: ExitCode.Success, file },
        lines: [`The report was written to '${file}'.`],
    };
}
