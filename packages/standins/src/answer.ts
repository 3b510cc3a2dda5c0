import createXxhash from "xxhash-wasm";

/** A chat message in the usual form. */
export interface PromptMessage {
    readonly role: string;
    readonly content: string;
}

const hasher = await createXxhash();

// A token is counted as four characters of text, which is close to common tokenizers' average for English.
const charactersPerToken = 4;
/** Tokens' worth of text that one prefix block covers. */
export const tokensPerBlock = 64;
const charactersPerBlock = charactersPerToken * tokensPerBlock;

/** The text that an engine prefills; an answer and the next turn of the same chat continue it. */
export function renderPrompt(messages: readonly PromptMessage[]): string {
    return `${messages.map(message => `${message.role}\u0000${message.content}\u0001`).join("")}assistant\u0000`;
}

/** Counts the tokens of a text. */
export function countTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/** Hashes of a text's whole blocks by xxHash64, each seeded with the one before; equal hashes mean equal text from the start. */
export function hashBlocks(text: string): readonly string[] {
    const blocks: string[] = [];
    let previous = "";
    for (let end = charactersPerBlock; end <= text.length; end += charactersPerBlock) {
        const seed = previous === "" ? 0n : BigInt(`0x${previous}`);
        previous = hasher.h64ToString(text.slice(end - charactersPerBlock, end), seed);
        blocks.push(previous);
    }
    return blocks;
}

/** Identifies a prompt's answer. */
export function hashPrompt(prompt: string): number {
    return hasher.h32(prompt);
}

// Words with quotes, line breaks and several bytes per character show faults in escaping and in splitting of UTF-8.
const words = [
    " lime",
    " tank",
    " coat",
    " wash",
    " crew",
    " farm",
    " cure",
    " mix",
    " day",
    " pump",
    " wall",
    " seal",
    " ink",
    " dye",
    " towel",
    " print",
    " squeegee",
    " screen",
    " lot",
    " order",
    " éponge",
    " citerne à",
    " “sec”",
    " \"dry\"",
    "\nnext",
    " a\\b",
    " 水",
    " 🧵",
    " press",
    " floor",
    " batch",
    " note",
];
const escapedWords = words.map(word => JSON.stringify(word).slice(1, -1));

/** The answer's token with the given offset (from 1), as text. */
export function answerToken(promptHash: number, offset: number): string {
    const mixed = mix(promptHash, offset);
    return `${words[mixed & 31] ?? ""}${(mixed >>> 5).toString(36)}`;
}

/** The same token, escaped for a JSON string. */
export function escapedAnswerToken(promptHash: number, offset: number): string {
    const mixed = mix(promptHash, offset);
    return `${escapedWords[mixed & 31] ?? ""}${(mixed >>> 5).toString(36)}`;
}

/** The whole answer to a chat, as any stand-in engine gives it. */
export function answerText(messages: readonly PromptMessage[], tokens: number): string {
    const promptHash = hashPrompt(renderPrompt(messages));
    return [...Array(tokens).keys()].map(index => answerToken(promptHash, index + 1)).join("");
}

/** Mixes hash and offset to 20 bits by the finalizer of MurmurHash3. */
function mix(promptHash: number, offset: number): number {
    let value = promptHash ^ Math.imul(offset, 0x9e37_79b1);
    value = Math.imul(value ^ (value >>> 16), 0x85eb_ca6b);
    value = Math.imul(value ^ (value >>> 13), 0xc2b2_ae35);
    return (value ^ (value >>> 16)) >>> 12;
}
