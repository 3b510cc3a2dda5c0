import { declareTopic } from "@filbertrelay/wire";
import * as z from "zod";

const versionSchema = z.int().min(0);

/**
 * Asks a peer for its configuration head if it is newer than the known version. The head is the text stored under `configuration/head`,
 * either whole and deflated or as a delta to the text of the known version. `digest` is the SHA-256 of the text in hexadecimal.
 */
export const fetchTopic = declareTopic("configuration.fetch", {
    request: z.strictObject({ knownVersion: versionSchema }),
    reply: z.strictObject({
        version: versionSchema,
        digest: z.string().regex(/^[0-9a-f]{64}$/).optional(),
        deflated: z.instanceof(Uint8Array).optional(),
        delta: z.array(z.union([z.string(), z.tuple([z.int().min(0), z.int().positive()])])).optional(),
    }),
});

/** The reply of a `configuration.fetch`. */
export type FetchReply = z.output<typeof fetchTopic.reply>;
