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
        const lines = new LineRenderer(options);
        return {
            write: (event, fields = {}) => {
                if (consolaLevels[event.level] <= consolaLevels[options.level]) {
                    write(lines.render(event, fields));
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

/** Renders lines as JSON; what is the same in all lines of an event is rendered once. */
class LineRenderer {
    readonly #options: EventLogOptions;
    readonly #beginnings = new Map<EventDeclaration, string>();
    readonly #ownNames: readonly string[];

    constructor(options: EventLogOptions) {
        this.#options = options;
        this.#ownNames = ["time", "level", "event", "text", ...Object.keys(options.context)];
    }

    render(event: EventDeclaration, fields: EventFields): string {
        if (this.#ownNames.some(name => name in fields)) {
            return JSON.stringify(describeLine(this.#options, event, fields));
        }
        const rest = JSON.stringify(fields);
        const time = this.#options.clock.now().toISOString();
        return `{"time":"${time}",${this.#beginning(event)}${rest === "{}" ? "}" : `,${rest.slice(1)}`}`;
    }

    /** The fields after the time that are the same in all lines of an event. */
    #beginning(event: EventDeclaration): string {
        const known = this.#beginnings.get(event);
        if (known !== undefined) {
            return known;
        }
        const { level, number, text } = event;
        const beginning = JSON.stringify({ level, event: number, text, ...this.#options.context }).slice(1, -1);
        this.#beginnings.set(event, beginning);
        return beginning;
    }
}

function describeLine(options: EventLogOptions, event: EventDeclaration, fields: EventFields): Record<string, unknown> {
    const line = { time: options.clock.now().toISOString(), level: event.level, event: event.number, text: event.text };
    return { ...line, ...options.context, ...fields };
}
