import { chainHash } from "./chainhash.js";

/** Tokens in one prefix block. */
export const prefixBlockTokens = 64;

/** Estimated characters per token, used where no tokenizer is available. */
export const charactersPerToken = 4;

/** Size of one prefix block in characters. */
export const prefixBlockCharacters = prefixBlockTokens * charactersPerToken;

/** The part of a chat message that determines the prompt. */
export interface PromptMessage {
    readonly role: string;
    readonly content: string;
}

/** A prompt as the router uses it. */
export interface PromptBlocks {
    /** Chained hashes of the full blocks of `prefixBlockCharacters` characters; equal hashes mean equal prefixes. */
    readonly blocks: readonly string[];
    /** Length of the prompt in tokens, estimated at `charactersPerToken`. */
    readonly promptTokens: number;
    /** Hash of the whole prompt, including a partial last block. */
    readonly promptHash: string;
}

/** Hashes a prompt's full blocks, each chained to the previous one; a partial last block is left out of `blocks`. */
export function hashPrefixBlocks(messages: readonly PromptMessage[]): PromptBlocks {
    const text = renderPrompt(messages);
    const blocks: string[] = [];
    let previous = "";
    for (let start = 0; start + prefixBlockCharacters <= text.length; start += prefixBlockCharacters) {
        previous = chainHash(text.slice(start, start + prefixBlockCharacters), previous);
        blocks.push(previous);
    }
    const promptHash = chainHash(text.slice(blocks.length * prefixBlockCharacters), previous);
    return { blocks, promptTokens: Math.ceil(text.length / charactersPerToken), promptHash };
}

/** Joins messages into the text that is hashed, with separators so that message boundaries affect the hash. */
export function renderPrompt(messages: readonly PromptMessage[]): string {
    return messages.map(message => `${message.role}\u0000${message.content}\u0001`).join("");
}
