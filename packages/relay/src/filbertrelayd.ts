#!/usr/bin/env node
import { createEventLog, createSystemClock, InvariantError, invariantExitCode } from "@filbertrelay/kernel";
import type { EventLog, Issue } from "@filbertrelay/kernel";
import { readFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { createDaemon } from "./daemon.js";
import { lifecycleEvents as events } from "./lifecycle/event.js";
import type { Lifecycle } from "./lifecycle/lifecycle.js";
import { parseSettings } from "./settings.js";
import type { Settings } from "./settings.js";

const invalidSettingsExitCode = 2;
const startFailedExitCode = 3;

const commandLine = await yargs(hideBin(process.argv))
    .scriptName("filbertrelayd")
    .usage("$0 --settings FILE\n\nRuns one entry host of filbertrelay.")
    .option("settings", { type: "string", demandOption: true, describe: "Settings file in TOML" })
    .option("check", { type: "boolean", default: false, describe: "Check the settings and exit" })
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message || error.message}\n`);
        process.exit(invalidSettingsExitCode);
    })
    .parseAsync();

const settings = loadSettings(commandLine.settings);
if (commandLine.check) {
    process.stdout.write("The settings are valid.\n");
    process.exit(0);
}
await run(settings);

async function run(checked: Settings): Promise<void> {
    const clock = createSystemClock();
    const log = createEventLog({
        clock,
        format: checked.log.format,
        level: checked.log.level,
        context: { host: checked.host.id },
    });
    exitOnUncaughtError(log);
    const kernel = createDaemon(checked, { clock, log, onDrained: () => process.exit(0) });
    try {
        await kernel.start();
    }
    catch (error) {
        log.write(events.startFailed, { error: String(error) });
        process.exit(startFailedExitCode);
    }
    log.write(events.started, { failureDomain: checked.host.failureDomain, callerAddress: checked.host.callerAddress });
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        process.on(signal, () => kernel.get<Lifecycle>("lifecycle").drain("signal"));
    }
}

function loadSettings(file: string): Settings {
    const parsed = parseSettings(readSettingsFile(file));
    if (parsed.ok) {
        return parsed.value;
    }
    return exitWithIssues(file, parsed.issue.issues);
}

function readSettingsFile(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        return exitWithIssues(file, [{
            code: "settings.unreadable",
            message: error instanceof Error ? error.message : String(error),
        }]);
    }
}

function exitWithIssues(file: string, issues: readonly Issue[]): never {
    for (const issue of issues) {
        process.stderr.write(
            `${file}: ${issue.path === undefined ? "" : `'${issue.path.join(".")}': `}${issue.message} (${issue.code})\n`,
        );
    }
    process.exit(invalidSettingsExitCode);
}

function exitOnUncaughtError(log: EventLog): void {
    const stop = (error: unknown): void => {
        log.write(events.defect, { error: error instanceof Error ? error.stack ?? error.message : String(error) });
        process.exit(error instanceof InvariantError ? invariantExitCode : 1);
    };
    process.on("uncaughtException", stop);
    process.on("unhandledRejection", stop);
}
