import type { Configuration } from "./configuration.js";
import { canonicalJson } from "./digest.js";

/** One changed value; `before` is absent for an addition, `after` for a removal. */
export interface Difference {
    readonly path: readonly string[];
    readonly before?: unknown;
    readonly after?: unknown;
}

/** Lists every changed path. Items of lists are identified by name, not by position. */
export function diffConfigurations(before: Configuration, after: Configuration): readonly Difference[] {
    return diffValues([], before, after);
}

function diffValues(path: readonly string[], before: unknown, after: unknown): Difference[] {
    if (canonicalJson(before) === canonicalJson(after)) {
        return [];
    }
    const left = childrenOf(before);
    const right = childrenOf(after);
    if (left === undefined || right === undefined) {
        return [{ path, ...(before === undefined ? {} : { before }), ...(after === undefined ? {} : { after }) }];
    }
    const names = [...new Set([...left.keys(), ...right.keys()])].sort();
    return names.flatMap(name => diffValues([...path, name], left.get(name), right.get(name)));
}

function childrenOf(value: unknown): Map<string, unknown> | undefined {
    if (Array.isArray(value)) {
        const names = value.map(listKeyOf);
        return names.every(name => name !== undefined) && new Set(names).size === names.length ?
            new Map(value.map((item: unknown, index) => [names[index] ?? "", item])) :
            undefined;
    }
    return typeof value === "object" && value !== null ? new Map(Object.entries(value)) : undefined;
}

function listKeyOf(item: unknown): string | undefined {
    if (typeof item !== "object" || item === null || !("name" in item) || typeof item.name !== "string") {
        return undefined;
    }
    return "failureDomain" in item ? `${item.name}@${String(item.failureDomain)}` : item.name;
}

/** Formats a difference as one line. */
export function formatDifference(difference: Difference): string {
    const path = difference.path.join(".");
    if (!("before" in difference)) {
        return `+ ${path}: ${canonicalJson(difference.after)}`;
    }
    if (!("after" in difference)) {
        return `- ${path}: ${canonicalJson(difference.before)}`;
    }
    return `~ ${path}: ${canonicalJson(difference.before)} -> ${canonicalJson(difference.after)}`;
}
