/** What is logged of an error. */
export function describeError(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}
