import { createHash } from "node:crypto";

/** Serializes a value as JSON with object keys sorted by code unit, so that equal values give equal text. */
export function canonicalJson(value: unknown): string {
    return JSON.stringify(value, (...[, item]: [string, unknown]) => isPlainObject(item) ? sortKeys(item) : item);
}

/** Returns the SHA-256 of a value's canonical JSON in hexadecimal. */
export function digestOf(value: unknown): string {
    return createHash("sha256").update(canonicalJson(value)).digest("hex");
}

/** Returns the SHA-256 of a customer's or operator's key in hexadecimal, as stored in the configuration. */
export function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function sortKeys(value: Record<string, unknown>): Record<string, unknown> {
    return Object.fromEntries(Object.entries(value).sort(([left], [right]) => left < right ? -1 : left > right ? 1 : 0));
}
