import type { Issue } from "@filbertrelay/kernel";

/** The documented exit codes of `filbertrelay`. */
export const ExitCode = {
    /** The command did what it was asked to. */
    Success: 0,
    /** A guarantee or a check failed. */
    CheckFailed: 1,
    /** The input or the usage is wrong; nothing was done. */
    BadInput: 2,
    /** The platform or the daemons could not be reached in time. */
    Unreachable: 3,
    /** Another submission was written at the same time. */
    LostSubmission: 4,
} as const;

/** One of the documented exit codes. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** What a command ends with: its exit code, the value for `--json` and the lines for a reader. */
export interface CommandResult {
    readonly exitCode: ExitCode;
    /** Written as one JSON document with `--json`. */
    readonly value: unknown;
    /** Written to standard output without `--json`. */
    readonly lines: readonly string[];
}

/** Builds the result of a command that failed with coded issues. */
export function failed(exitCode: ExitCode, message: string, issues: readonly Issue[] = []): CommandResult {
    const lines = [message, ...issues.map(issue => `  ${formatIssueLine(issue)}`)];
    return { exitCode, value: { exitCode, error: { message, issues } }, lines };
}

function formatIssueLine(issue: Issue): string {
    const path = (issue.path ?? []).join(".");
    return path === "" ? issue.message : `${path}: ${issue.message}`;
}
