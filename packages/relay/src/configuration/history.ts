import type { Outcome } from "@filbertrelay/kernel";
import { failure, success } from "@filbertrelay/kernel";
import { createHash } from "node:crypto";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { applyDelta, createDelta } from "./delta.js";
import type { FetchReply } from "./topic.js";

// At 24,000 changes a day a peer is rarely more than a few versions behind; a peer further behind gets the whole text.
const retainedVersions = 4;
const textLimitBytes = 8_388_608;

/** The texts of the newest configuration heads and cached replies built from them. */
export class HeadHistory {
    readonly #texts = new Map<number, string>();
    readonly #replies = new Map<number, FetchReply>();
    #newest = 0;

    /** The newest version; 0 before the first. */
    get newest(): number {
        return this.#newest;
    }

    /** Adds the text of a version, which must be newer than all others. */
    add(version: number, text: string): void {
        this.#newest = version;
        this.#texts.set(version, text);
        this.#replies.clear();
        for (const old of [...this.#texts.keys()].slice(0, -retainedVersions)) {
            this.#texts.delete(old);
        }
    }

    /** Returns the reply to a peer that has the given version. */
    reply(knownVersion: number): FetchReply {
        if (knownVersion >= this.#newest) {
            return { version: this.#newest };
        }
        // All peers that need the whole text get the same reply.
        const base = this.#texts.has(knownVersion) ? knownVersion : 0;
        const cached = this.#replies.get(base);
        if (cached !== undefined) {
            return cached;
        }
        const reply = this.#buildReply(base);
        this.#replies.set(base, reply);
        return reply;
    }

    /** Rebuilds the text from a reply; `base` is the known version that the request named. */
    rebuild(reply: FetchReply, base: number): Outcome<string> {
        const text = this.#decodeReply(reply, base);
        if (text === undefined || createHash("sha256").update(text).digest("hex") !== reply.digest) {
            return failure({
                code: "configuration.damaged",
                message: "The fetched head does not match the digest sent by the peer.",
            });
        }
        return success(text);
    }

    #buildReply(base: number): FetchReply {
        const text = this.#texts.get(this.#newest) ?? "";
        const digest = createHash("sha256").update(text).digest("hex");
        const oldText = this.#texts.get(base);
        const deflated = deflateRawSync(text);
        if (oldText !== undefined) {
            const delta = createDelta(oldText, text).map((part): string | [number, number] =>
                typeof part === "string" ? part : [...part]
            );
            if (JSON.stringify(delta).length < deflated.length) {
                return { version: this.#newest, digest, delta };
            }
        }
        return { version: this.#newest, digest, deflated };
    }

    #decodeReply(reply: FetchReply, base: number): string | undefined {
        try {
            if (reply.delta !== undefined) {
                const oldText = this.#texts.get(base);
                return oldText === undefined ? undefined : applyDelta(oldText, reply.delta);
            }
            return reply.deflated === undefined ?
                undefined :
                inflateRawSync(reply.deflated, { maxOutputLength: textLimitBytes }).toString("utf8");
        }
        catch {
            return undefined;
        }
    }
}
