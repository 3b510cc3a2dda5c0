import { createHash } from "node:crypto";

/** Writes a value as JSON with the keys of every object in code-unit order, so that equal values give equal text. */
export function canonicalJson(value: unknown): string {
    return JSON.stringify(value, (...[, item]: [string, unknown]) => isPlainObject(item) ? sortKeys(item) : item);
}

/** The SHA-256 of a value's canonical JSON in hexadecimal. */
export function digestOf(value: unknown): string {
    return createHash("sha256").update(canonicalJson(value)).digest("hex");
}

/** The SHA-256 of a customer's or operator's key in hexadecimal, as the configuration keeps it. */
export function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function sortKeys(value: Record<string, unknown>): Record<string, unknown> {
    return Object.fromEntries(Object.entries(value).sort(([left], [right]) => left < right ? -1 : left > right ? 1 : 0));
}
