/** A text in terms of an older one: pieces of the older text by offset and length, and new text. */
export type Delta = readonly (string | readonly [offset: number, length: number])[];

// Shorter pieces cost more to describe than to repeat.
const blockLength = 32;

/** Describes a new text by the pieces that it shares with an old one. */
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

/** Rebuilds the new text; `undefined` when the delta names a piece that the old text does not have. */
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
