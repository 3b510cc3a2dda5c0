import * as z from "zod";

const errorBodySchema = z.object({
    error: z.object({
        code: z.string(),
        message: z.string(),
        executed: z.enum(["no", "yes", "unknown"]),
        retryAfterMs: z.number().min(0).optional(),
        entryPoints: z.array(z.object({ hostId: z.string(), address: z.string(), failureDomain: z.string() })).optional(),
    }),
});

/** The relay's error as callers receive it. */
export type RelayError = z.infer<typeof errorBodySchema>["error"];

/** Reads an error body; `undefined` when it is not the relay's. */
export function readRelayError(text: string): RelayError | undefined {
    try {
        return errorBodySchema.safeParse(JSON.parse(text)).data?.error;
    }
    catch {
        return undefined;
    }
}

/** Statuses after which the same request can succeed later or elsewhere. */
export function isTransient(status: number): boolean {
    return status === 429 || status >= 500;
}
