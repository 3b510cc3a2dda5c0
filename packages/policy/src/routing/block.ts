import { chainHash } from "./chainhash.js";

/** Tokens in one prefix block. */
export const prefixBlockTokens = 64;

/** Characters counted as one token where no tokenizer is at hand. */
export const charactersPerToken = 4;

/** Size of one prefix block in characters. */
export const prefixBlockCharacters = prefixBlockTokens * charactersPerToken;

/** The part of a chat message that determines the prompt. */
export interface PromptMessage {
    readonly role: string;
    readonly content: string;
}

/** A prompt as the routing sees it. */
export interface PromptBlocks {
    /** Chained hashes of the full blocks of `prefixBlockCharacters` characters; equal hashes mean equal prefixes. */
    readonly blocks: readonly string[];
    /** Length of the prompt in tokens, estimated at `charactersPerToken`. */
    readonly promptTokens: number;
    /** Hash of the whole prompt, including the last partial block. */
    readonly promptHash: string;
}

/** Hashes a prompt's full blocks, each chained to the one before; a last partial block is left out. */
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

/** Joins messages to the text that is hashed; separators keep a message's end apart from the next one's start. */
export function renderPrompt(messages: readonly PromptMessage[]): string {
    return messages.map(message => `${message.role}\u0000${message.content}\u0001`).join("");
}
