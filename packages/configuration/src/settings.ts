import type { Issue, Outcome } from "@filbertrelay/kernel";
import { failure, isSocketAddress, success } from "@filbertrelay/kernel";
import { parse } from "smol-toml";
import * as z from "zod";

/** An IPv4 address and a port in a settings file. */
export const hostAndPortSchema = z.string().refine(
    isSocketAddress,
    "Expected an IPv4 address and a port, such as '10.0.0.5:7700'.",
);

/** Why settings are rejected; `issues` holds every error with its path. */
export interface SettingsIssue extends Issue {
    readonly code: "settings.syntax" | "settings.invalid";
    readonly issues: readonly Issue[];
}

/** Parses a settings file from TOML and validates it against the schema of its program. */
export function checkSettings<Settings>(text: string, schema: z.ZodType<Settings>): Outcome<Settings, SettingsIssue> {
    let document: unknown;
    try {
        document = parse(text);
    }
    catch (error) {
        const issue = { code: "settings.syntax", message: error instanceof Error ? error.message : String(error) };
        return failure({ code: "settings.syntax", message: "The settings are not valid TOML.", issues: [issue] });
    }
    const checked = schema.safeParse(document);
    if (checked.success) {
        return success(checked.data);
    }
    const issues = checked.error.issues.map(issue => ({
        code: `settings.${issue.code}`,
        message: issue.message,
        path: issue.path.map(part => typeof part === "symbol" ? String(part) : part),
    }));
    return failure({ code: "settings.invalid", message: `The settings have ${issues.length} errors.`, issues });
}
