import { failure, success } from "./outcome.js";
import type { Outcome } from "./outcome.js";

/** Bounds of JSON text that other programs write; parsing takes time and memory for each level and character. */
export interface JsonBounds {
    readonly maximumLength: number;
    /** Levels of arrays and objects within each other. */
    readonly maximumDepth: number;
}

/** Parses JSON text; returns `undefined` if it is malformed. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** Parses JSON text after checking its bounds; an issue has code `json.tooLong`, `json.tooDeep` or `json.malformed`. */
export function parseBoundedJson(text: string, { maximumLength, maximumDepth }: JsonBounds): Outcome<unknown> {
    if (text.length > maximumLength) {
        return failure({ code: "json.tooLong", message: `The text is longer than ${maximumLength} characters.` });
    }
    if (isDeeperThan(text, maximumDepth)) {
        return failure({ code: "json.tooDeep", message: `The text has more than ${maximumDepth} levels.` });
    }
    try {
        return success(JSON.parse(text) as unknown);
    }
    catch (error) {
        return failure({ code: "json.malformed", message: error instanceof Error ? error.message : String(error) });
    }
}

const quote = 0x22;
const backslash = 0x5c;
const openers: ReadonlySet<number> = new Set([0x5b, 0x7b]);
const closers: ReadonlySet<number> = new Set([0x5d, 0x7d]);

function isDeeperThan(text: string, maximumDepth: number): boolean {
    let depth = 0;
    let isInString = false;
    for (let index = 0; index < text.length; index += 1) {
        const code = text.charCodeAt(index);
        if (code === quote) {
            isInString = !isInString;
        }
        else if (isInString) {
            // The character after a backslash is part of the string.
            index += code === backslash ? 1 : 0;
        }
        else if (openers.has(code)) {
            depth += 1;
            if (depth > maximumDepth) {
                return true;
            }
        }
        else if (closers.has(code)) {
            depth -= 1;
        }
    }
    return false;
}
