import type { CopiedChange } from "./storecopy.js";

/** What a value says of itself, independent of the store that holds it. */
export interface OwnedValue {
    /** Grows with each value that the owner writes under the key; compared element by element. The first element names its run. */
    readonly version: readonly number[];
    /** Equal for values that mean the same to this host. */
    readonly content: string;
}

/** The keys of one kind of owner. */
export interface OwnedPrefix {
    readonly prefix: string;
    /** Returns `undefined` for a value without a version; such values follow the order of the store. */
    readonly read: (key: string, value: string) => OwnedValue | undefined;
    /** How long after a restore of the store a value stays in effect that the store lacks. */
    readonly rewriteMs: number;
    /** How long after a restore a removed or newer value takes precedence over an older one in the store. */
    readonly settleMs: number;
}

/** A value, or a removal, that takes precedence over what the restored store holds. */
export interface DisputedItem {
    readonly key: string;
    /** Absent when the item was removed. */
    readonly value?: string;
    readonly version: readonly number[];
    /** Absent when the store has to catch up. */
    readonly leftMs?: number;
}

interface KnownItem {
    /** In effect; absent when the item was removed. */
    readonly value?: string;
    readonly revision: number;
    readonly owned: OwnedValue | undefined;
    readonly knownMs: number;
    /** What the restored store holds instead. */
    readonly dispute?: { readonly stored: CopiedChange; readonly untilMs: number; };
}

/** A removal is remembered for this long, longer than the changes that a restore undoes. */
const removalRetentionMs = 120_000;

/**
 * Decides which value of an item is in effect after the store was restored from an older copy. Owners write again what they wrote;
 * until then a value that is known to be newer, or a removal, takes precedence over what the store holds.
 */
export class OwnedValues {
    readonly #prefixes: readonly OwnedPrefix[];
    readonly #items = new Map<string, KnownItem>();

    constructor(prefixes: readonly OwnedPrefix[]) {
        this.#prefixes = prefixes;
    }

    /** Whether this class decides on a key. */
    isOwned(key: string): boolean {
        return this.#findPrefix(key) !== undefined;
    }

    /** The value in effect; `undefined` if there is none. */
    get(key: string): { readonly value: string; readonly revision: number; } | undefined {
        const known = this.#items.get(key);
        return known?.value === undefined ? undefined : { value: known.value, revision: known.revision };
    }

    /** Takes a change of the store. Returns whether it takes effect. `isRestored` marks what a restore has changed. */
    apply(change: CopiedChange, isRestored: boolean, nowMs: number): boolean {
        const prefix = this.#findPrefix(change.key);
        if (prefix === undefined) {
            return true;
        }
        const owned = change.value === undefined ? undefined : prefix.read(change.key, change.value);
        const known = this.#items.get(change.key);
        if (known === undefined || !isOutranked(known, change, owned, isRestored)) {
            this.#set(change, owned, nowMs);
            return true;
        }
        const settleMs = change.value === undefined ? prefix.rewriteMs : prefix.settleMs;
        const untilMs = isRestored || known.dispute === undefined ? nowMs + settleMs : known.dispute.untilMs;
        this.#items.set(change.key, {
            ...known,
            // A removed process may have written what this host has not seen before it was removed.
            owned: known.value === undefined ? later(known.owned, owned) : known.owned,
            dispute: { stored: change, untilMs },
        });
        return false;
    }

    /** Returns what takes effect because its owner has had the time to write again. */
    settle(nowMs: number): readonly CopiedChange[] {
        const settled = [...this.#items.values()].flatMap(({ dispute }) =>
            dispute !== undefined && dispute.untilMs <= nowMs ? [dispute.stored] : []
        );
        settled.forEach(change => this.#set(change, this.#read(change), nowMs));
        return settled;
    }

    /** When `settle` has to be called next; `undefined` if there is nothing to settle. */
    nextSettleMs(): number | undefined {
        const dueMs = [...this.#items.values()].flatMap(({ dispute }) => dispute === undefined ? [] : [dispute.untilMs]);
        const nextMs = Math.min(...dueMs);
        return Number.isFinite(nextMs) ? nextMs : undefined;
    }

    /** The items that differ from the store, for hosts that did not know them before the restore. */
    disputes(nowMs: number): readonly DisputedItem[] {
        return [...this.#items].flatMap(([key, { value, owned, dispute }]) => {
            if (dispute === undefined || owned === undefined) {
                return [];
            }
            const leftMs = dispute.untilMs - nowMs;
            return [{
                key,
                ...(value === undefined ? {} : { value }),
                version: owned.version,
                ...(Number.isFinite(leftMs) ? { leftMs } : {}),
            }];
        });
    }

    /** Equal for hosts with the same disputes; empty without any. */
    digest(): string {
        const disputed: string[] = [];
        for (const [key, { value, owned, dispute }] of this.#items) {
            if (dispute !== undefined && owned !== undefined) {
                disputed.push(`${key}=${owned.version.join(".")}${value === undefined ? "-" : ""}`);
            }
        }
        return disputed.sort().join();
    }

    /** Takes over what a peer knows to be newer than the store. Returns what takes effect. */
    merge(items: readonly DisputedItem[], nowMs: number): readonly CopiedChange[] {
        return items.flatMap(item => {
            const { key, value, version, leftMs = Infinity } = item;
            if (!this.isOwned(key) || leftMs <= 0) {
                return [];
            }
            const known = this.#items.get(key);
            const order = compareVersions(version, known?.owned?.version);
            const isNewer = value === undefined ? known?.value === undefined || order >= 0 : order > 0;
            if (!isNewer) {
                return [];
            }
            const isChange = known?.value !== value;
            const change = { key, revision: known?.revision ?? 0, ...(value === undefined ? {} : { value }) };
            const owned = value === undefined ? { version, content: "" } : this.#read(change);
            const stored = known?.dispute?.stored ?? { ...change, value: known?.value };
            this.#items.set(key, {
                ...change,
                owned: later(known?.owned, owned),
                knownMs: nowMs,
                dispute: { stored: dropAbsentValue(stored), untilMs: nowMs + leftMs },
            });
            return isChange ? [change] : [];
        });
    }

    #set(change: CopiedChange, owned: OwnedValue | undefined, nowMs: number): void {
        const known = this.#items.get(change.key);
        this.#items.set(change.key, {
            revision: change.revision,
            ...(change.value === undefined ? {} : { value: change.value }),
            owned: change.value === undefined ? known?.owned : owned,
            knownMs: nowMs,
        });
        if (change.value === undefined) {
            this.#forgetRemovals(nowMs);
        }
    }

    #forgetRemovals(nowMs: number): void {
        for (const [key, { value, dispute, knownMs }] of this.#items) {
            if (value === undefined && dispute === undefined && nowMs - knownMs > removalRetentionMs) {
                this.#items.delete(key);
            }
        }
    }

    #read({ key, value }: CopiedChange): OwnedValue | undefined {
        return value === undefined ? undefined : this.#findPrefix(key)?.read(key, value);
    }

    #findPrefix(key: string): OwnedPrefix | undefined {
        return this.#prefixes.find(({ prefix }) => key.startsWith(prefix));
    }
}

/** Whether what is known takes precedence over a change of the store. */
function isOutranked(known: KnownItem, change: CopiedChange, owned: OwnedValue | undefined, isRestored: boolean): boolean {
    if (change.value === undefined) {
        return isRestored && known.value !== undefined;
    }
    if (!isRestored && known.dispute === undefined) {
        return false;
    }
    if (owned === undefined || known.owned === undefined) {
        return isRestored && known.value !== undefined && known.value !== change.value;
    }
    const order = compareVersions(owned.version, known.owned.version);
    if (known.value === undefined) {
        // Which values of a removed process its owner wrote before the removal is not known to every host.
        return isRestored ? (owned.version[0] ?? 0) <= (known.owned.version[0] ?? 0) : order <= 0;
    }
    return isRestored ? order <= 0 && owned.content !== known.owned.content : order < 0;
}

/** Negative if the first version is earlier. Every version is later than none. */
function compareVersions(version: readonly number[], other: readonly number[] | undefined): number {
    if (other === undefined) {
        return 1;
    }
    const index = version.findIndex((element, position) => element !== other[position]);
    return index === -1 ? version.length - other.length : (version[index] ?? 0) - (other[index] ?? -Infinity);
}

function later(first: OwnedValue | undefined, second: OwnedValue | undefined): OwnedValue | undefined {
    if (first === undefined || second === undefined) {
        return first ?? second;
    }
    return compareVersions(second.version, first.version) > 0 ? second : first;
}

function dropAbsentValue({ key, value, revision }: { key: string; value?: string | undefined; revision: number; }): CopiedChange {
    return value === undefined ? { key, revision } : { key, value, revision };
}
