import * as z from "zod";

/** What a host knows of crashes and of the requests that cause them; times are ages in milliseconds. */
export const suspectReportSchema = z.object({
    crashes: z.array(z.object({
        crashId: z.string(),
        ageMs: z.number(),
        /** Requests that broke off at the crash. */
        interrupted: z.array(z.object({ content: z.string(), parts: z.array(z.string()).readonly(), sentAgeMs: z.number() }))
            .readonly(),
    })).readonly(),
    /** Time since the last progress of requests with a trait. */
    progress: z.record(z.string(), z.number()),
    /** Traits that are rejected, with the time since the last crash. */
    quarantined: z.record(z.string(), z.object({ ageMs: z.number(), trialInMs: z.number(), trialDelayMs: z.number() })),
});
