import { createConsola } from "consola";
import type { CommandResult } from "./exit.js";

/** Where a command writes: progress goes to standard error, the result to standard output. */
export interface Output {
    /** One step of a long command; a styled line on a terminal, a plain line in a pipe. */
    progress(text: string): void;
    warn(text: string): void;
    /** Writes the result as text or as one JSON document. */
    result(result: CommandResult): void;
}

/** Creates the output of a command. */
export function createOutput(options: { readonly json: boolean; }): Output {
    const log = createConsola({
        stdout: process.stderr,
        stderr: process.stderr,
        fancy: process.stderr.isTTY,
        formatOptions: { date: false },
    });
    return {
        progress: text => log.info(text),
        warn: text => log.warn(text),
        result: result => {
            const text = options.json ? JSON.stringify(result.value, undefined, 2) : result.lines.join("\n");
            if (text !== "") {
                process.stdout.write(`${text}\n`);
            }
        },
    };
}

/** An output that drops everything. */
export const silentOutput: Output = { progress: () => undefined, warn: () => undefined, result: () => undefined };
