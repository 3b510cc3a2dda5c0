import { failure } from "@filbertrelay/kernel";
import type { Outcome } from "@filbertrelay/kernel";
import * as z from "zod";
import { JsonClient, parseResponse } from "./http.js";
import type { ClientOptions, JsonResponse } from "./http.js";
import type { WeightStoreClient, WeightStoreIssue } from "./weightstore.js";

/** A weight store client whose connections can be closed. */
export interface ClosableWeightStoreClient extends WeightStoreClient {
    stop(): Promise<void>;
}

/** Creates a client of the weight store as described in docs/protocols/weight-store.md. */
export function createWeightStoreClient(options: ClientOptions): ClosableWeightStoreClient {
    const client = new JsonClient(options);
    return {
        describe: async (model, version) => {
            const path = `/v1/models/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
            const description = await call(client, path, descriptionSchema);
            if (description.ok && (description.value.model !== model || description.value.version !== version)) {
                return failure({ code: "weightStore.invalid", message: "The response is about another model version." });
            }
            return description;
        },
        readRate: () => call(client, "/v1/rate", rateSchema),
        stop: () => client.close(),
    };
}

const descriptionSchema = z.object({ model: z.string(), version: z.string(), bytes: z.int().min(0) });
const rateSchema = z.object({ bytesPerSecond: z.number().positive(), concurrentDownloads: z.int().positive() });
const throttledSchema = z.object({ error: z.object({ retryAfterMs: z.number().min(0).optional() }) });
const notFoundSchema = z.object({ error: z.object({ code: z.literal("notFound") }) });

async function call<T>(client: JsonClient, path: string, schema: z.ZodType<T>): Promise<Outcome<T, WeightStoreIssue>> {
    const response = await client.call({ method: "GET", path });
    if (!response.ok) {
        return failure({ code: "weightStore.unavailable", message: response.issue.message });
    }
    if (response.value.status !== 200) {
        return failure(toIssue(response.value));
    }
    const checked = parseResponse(schema, response.value);
    return checked.ok ? checked : failure({ code: "weightStore.invalid", message: checked.issue.message });
}

function toIssue(response: JsonResponse): WeightStoreIssue {
    if (response.status === 404 && notFoundSchema.safeParse(response.body).success) {
        return { code: "weightStore.notFound", message: "The weight store does not have this model version." };
    }
    const throttled = throttledSchema.safeParse(response.body);
    if (response.status === 429) {
        const retryAfterMs = throttled.success ? throttled.data.error.retryAfterMs : undefined;
        const issue = { code: "weightStore.throttled", message: "The weight store's rate limit is reached." } as const;
        return retryAfterMs === undefined ? issue : { ...issue, retryAfterMs };
    }
    return { code: "weightStore.unavailable", message: `The weight store responded with status ${response.status}.` };
}
