import { createConsola } from "consola";
import type { ConsolaInstance } from "consola";
import type { Clock } from "./clock.js";
import type { EventDeclaration, EventFields, EventLevel, EventLog } from "./event.js";

/** The log output format: JSON lines, or text for a terminal. */
export type LogFormat = "json" | "text";

const consolaLevels: Record<EventLevel, number> = { error: 0, warn: 1, info: 3, debug: 4 };

/** Options of `createEventLog`. */
export interface EventLogOptions {
    readonly clock: Clock;
    readonly format: LogFormat;
    readonly level: EventLevel;
    /** Fields added to every line, such as the host id. */
    readonly context: EventFields;
    /** Receives each line as JSON; by default lines go to standard error through consola. */
    readonly write?: (line: string) => void;
}

/** Creates an event log. */
export function createEventLog(options: EventLogOptions): EventLog {
    const { write } = options;
    if (write !== undefined) {
        return {
            write: (event, fields = {}) => {
                if (consolaLevels[event.level] <= consolaLevels[options.level]) {
                    write(JSON.stringify(describeLine(options, event, fields)));
                }
            },
        };
    }
    const output = createConsola({
        level: consolaLevels[options.level],
        stdout: process.stderr,
        stderr: process.stderr,
        ...(options.format === "json" ? { reporters: [jsonReporter()] } : {}),
    });
    return { write: (event, fields = {}) => writeEvent(output, options, event, fields) };
}

function jsonReporter(): { log: (entry: { args: unknown[]; }) => void; } {
    return { log: entry => void process.stderr.write(`${JSON.stringify(entry.args[0])}\n`) };
}

function writeEvent(output: ConsolaInstance, options: EventLogOptions, event: EventDeclaration, fields: EventFields): void {
    if (options.format === "json") {
        output[event.level](describeLine(options, event, fields));
        return;
    }
    const details = Object.entries({ ...options.context, ...fields }).map(([name, value]) => `${name}=${String(value)}`);
    output[event.level](`[${event.number}] ${event.text} ${details.join(" ")}`);
}

function describeLine(options: EventLogOptions, event: EventDeclaration, fields: EventFields): Record<string, unknown> {
    const line = { time: options.clock.now().toISOString(), level: event.level, event: event.number, text: event.text };
    return { ...line, ...options.context, ...fields };
}
