import { hashText } from "@filbertrelay/policy";

const words = [
    "lime",
    "cistern",
    "wash",
    "coat",
    "ink",
    "press",
    "order",
    "sheet",
    "towel",
    "dye",
    "crew",
    "farm",
    "notes",
    "mix",
    "ready",
    "check",
];

/** The token at an offset (from 1) of the answer to a prompt; the same on every engine, so that any engine continues an answer. */
export function answerToken(promptHash: string, offset: number): string {
    const word = words[hashText(`${promptHash}:${offset}`) % words.length] ?? "";
    return offset === 1 ? word : ` ${word}`;
}

/** The length in tokens at which the answer to a prompt ends by itself: 16 to 271. */
export function answerLength(promptHash: string): number {
    return 16 + hashText(`${promptHash}:length`) % 256;
}
