import type { KeyValueClient } from "@filbertrelay/connectors";
import { parseJson } from "@filbertrelay/kernel";
import { z } from "zod";

/** The key of the planner's desired state. */
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

/** What the planner wants done in one round; written before anything is sent, which a former holder of the lease can't do. */
export type PlannerIntent = z.infer<typeof intentSchema>;

/** The stored desired state with its version; an empty one when none is stored. */
export interface StoredIntent {
    readonly version: number;
    readonly intent: PlannerIntent | undefined;
}

/** Reads the stored desired state; `undefined` when the key-value service can't be reached. */
export async function readIntent(keyValue: KeyValueClient): Promise<StoredIntent | undefined> {
    const stored = await keyValue.get(plannerIntentKey, "planner");
    if (!stored.ok) {
        return undefined;
    }
    if (stored.value === undefined) {
        return { version: 0, intent: undefined };
    }
    const checked = intentSchema.safeParse(parseJson(stored.value.value));
    return { version: stored.value.version, intent: checked.success ? checked.data : undefined };
}

/** Writes the desired state; false when another planner wrote since or the service can't be reached. */
export async function writeIntent(keyValue: KeyValueClient, intent: PlannerIntent, expectedVersion: number): Promise<boolean> {
    const written = await keyValue.compareAndSwap(plannerIntentKey, JSON.stringify(intent), {
        expectedVersion,
        purpose: "planner",
    });
    return written.ok;
}
