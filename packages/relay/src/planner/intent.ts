import type { KeyValueClient } from "@filbertrelay/connectors";
import { parseJson } from "@filbertrelay/kernel";
import * as z from "zod";

/** The key-value key that stores the planner's intent. */
export const plannerIntentKey = "planner/intent";

const intentSchema = z.object({
    fencingToken: z.int(),
    round: z.int(),
    starts: z.array(z.object({
        requestId: z.string(),
        failureDomain: z.string(),
        hostClass: z.string(),
        reclaimable: z.boolean(),
    })),
    orders: z.array(z.object({ endpointId: z.string(), model: z.string(), modelVersion: z.string() })),
});

/** The host starts and engine orders of one planning round. Stored before any is sent; for a former lease holder this write fails. */
export type PlannerIntent = z.infer<typeof intentSchema>;

/** The stored intent with its version; version 0 without an intent when none is stored. */
export interface StoredIntent {
    readonly version: number;
    readonly intent: PlannerIntent | undefined;
}

/** Reads the stored intent; `undefined` when the key-value service can't be reached. */
export async function readIntent(keyValue: KeyValueClient): Promise<StoredIntent | undefined> {
    const stored = await keyValue.get(plannerIntentKey, "planner");
    if (!stored.ok) {
        return undefined;
    }
    if (stored.value === undefined) {
        return { version: 0, intent: undefined };
    }
    const parsed = intentSchema.safeParse(parseJson(stored.value.value));
    return { version: stored.value.version, intent: parsed.success ? parsed.data : undefined };
}

/** Writes the intent; false when another planner has written since the read or the service can't be reached. */
export async function writeIntent(keyValue: KeyValueClient, intent: PlannerIntent, expectedVersion: number): Promise<boolean> {
    const written = await keyValue.compareAndSwap(plannerIntentKey, JSON.stringify(intent), {
        expectedVersion,
        purpose: "planner",
    });
    return written.ok;
}
