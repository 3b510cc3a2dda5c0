/** A text relative to an older one: ranges copied from the older text, by offset and length, and literal new text. */
export type Delta = readonly (string | readonly [offset: number, length: number])[];

// A reference to a shorter range takes more space than the text itself.
const blockLength = 32;

/** Encodes a new text by the ranges that it shares with an old one. */
export function createDelta(oldText: string, newText: string): Delta {
    const blocks = indexBlocks(oldText);
    const parts: (string | readonly [number, number])[] = [];
    let literalStart = 0;
    let position = 0;
    while (position + blockLength <= newText.length) {
        const offset = blocks.get(newText.slice(position, position + blockLength));
        if (offset === undefined) {
            position += 1;
            continue;
        }
        const length = matchLength(oldText, offset, newText, position);
        if (literalStart < position) {
            parts.push(newText.slice(literalStart, position));
        }
        parts.push([offset, length]);
        position += length;
        literalStart = position;
    }
    if (literalStart < newText.length) {
        parts.push(newText.slice(literalStart));
    }
    return parts;
}

/** Rebuilds the new text; `undefined` when the delta refers to a range beyond the end of the old text. */
export function applyDelta(oldText: string, delta: Delta): string | undefined {
    const pieces: string[] = [];
    for (const part of delta) {
        if (typeof part === "string") {
            pieces.push(part);
            continue;
        }
        const [offset, length] = part;
        if (offset + length > oldText.length) {
            return undefined;
        }
        pieces.push(oldText.slice(offset, offset + length));
    }
    return pieces.join("");
}

function indexBlocks(text: string): Map<string, number> {
    const blocks = new Map<string, number>();
    for (let offset = 0; offset + blockLength <= text.length; offset += blockLength) {
        blocks.set(text.slice(offset, offset + blockLength), offset);
    }
    return blocks;
}

function matchLength(oldText: string, offset: number, newText: string, position: number): number {
    let length = blockLength;
    while (
        offset + length < oldText.length && position + length < newText.length &&
        oldText.charCodeAt(offset + length) === newText.charCodeAt(position + length)
    ) {
        length += 1;
    }
    return length;
}
