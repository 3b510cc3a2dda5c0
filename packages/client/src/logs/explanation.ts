import { parseJson } from "@filbertrelay/kernel";
import { readFileSync } from "node:fs";
import * as z from "zod";
import { ExitCode, failed } from "../exit.js";
import type { CommandResult } from "../exit.js";

const lineSchema = z.looseObject({
    time: z.iso.datetime(),
    event: z.int(),
    text: z.string(),
    host: z.string().optional(),
    requestId: z.string().optional(),
    endpoint: z.string().optional(),
});

type LogLine = z.infer<typeof lineSchema>;

/** Changes of a host's beliefs about an endpoint this long before and after the request's lines are shown with them. */
const contextMs = 5_000;

/** Shows the lines of one request, and what its hosts learned of its endpoints meanwhile, from the logs of several hosts. */
export function explainFromLogs(requestId: string, files: readonly string[]): CommandResult {
    const unreadable: string[] = [];
    const lines = files.flatMap(file => {
        try {
            return readFileSync(file, "utf8").split("\n").flatMap(parseLine);
        }
        catch (error) {
            unreadable.push(`${file}: ${error instanceof Error ? error.message : String(error)}`);
            return [];
        }
    });
    const own = lines.filter(line => line.requestId === requestId);
    if (own.length === 0) {
        const issues = unreadable.map(message => ({ code: "logs.unreadable", message }));
        return failed(ExitCode.BadInput, `No line of the logs names the request '${requestId}'.`, issues);
    }
    const shown = [...own, ...findContext(own, lines)].sort((left, right) => left.time.localeCompare(right.time));
    return {
        exitCode: ExitCode.Success,
        value: { requestId, lines: shown, unreadable },
        lines: [...shown.map(renderLine), ...unreadable.map(message => `Not read: ${message}`)],
    };
}

/** Finds a log line in a line of text; other programs may have put something before it. */
function parseLine(text: string): LogLine[] {
    const start = text.indexOf("{");
    if (start === -1) {
        return [];
    }
    // A line may have been cut off, or be no log line.
    const parsed = lineSchema.safeParse(parseJson(text.slice(start)));
    return parsed.success ? [parsed.data] : [];
}

function findContext(own: readonly LogLine[], lines: readonly LogLine[]): readonly LogLine[] {
    const hosts = new Set(own.map(line => line.host));
    const endpoints = new Set(own.flatMap(line => line.endpoint === undefined ? [] : [line.endpoint]));
    const times = own.map(line => Date.parse(line.time));
    const [from, to] = [Math.min(...times) - contextMs, Math.max(...times) + contextMs];
    return lines.filter(line =>
        line.requestId === undefined && line.endpoint !== undefined && hosts.has(line.host) && endpoints.has(line.endpoint) &&
        Date.parse(line.time) >= from && Date.parse(line.time) <= to
    );
}

function renderLine({ time, event, text, host, ...details }: LogLine): string {
    const shown = Object.entries(details).filter(([name]) => name !== "level" && name !== "requestId");
    return `${time}  ${host ?? "?"}  [${event}] ${text}  ${shown.map(([name, value]) => `${name}=${String(value)}`).join(" ")}`;
}
