import type { HostId, Incarnation } from "@filbertrelay/kernel";

/** One process on a host; after a restart the host is a different holder. */
export interface Holder {
    readonly host: HostId;
    readonly incarnation: Incarnation;
}

/** Owner and standbys of a shard; a takeover increments the epoch, a change by the owner increments the change number. */
export interface HolderSet {
    readonly epoch: number;
    readonly change: number;
    readonly owner: Holder;
    readonly standbys: readonly Holder[];
}

/** The response of a plain service as stored; the body is Base64. */
export interface StoredResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

/** The state of one idempotency key. */
export type EntryState = "accepted" | "intent" | "done" | "notRun" | "unknown";

/** One key of a shard; `epoch` and `revision` order the changes of an entry over all copies. */
export interface ShardEntry {
    readonly key: string;
    readonly fingerprint: string;
    readonly customer: string;
    readonly service: string;
    readonly operation: string;
    readonly state: EntryState;
    readonly epoch: number;
    readonly revision: number;
    /** Id of the written intent; only the process that wrote it may send. */
    readonly intent?: string;
    /** Endpoints to which the request may have been sent under the intent. */
    readonly endpoints: readonly string[];
    readonly sinceMs: number;
    readonly result?: StoredResponse;
    /** The intent retries an unknown one at an endpoint that deduplicates, so it can't end as `notRun`. */
    readonly isRepeat?: boolean;
}

/** The value of a shard in the key-value service. */
export interface ShardValue extends HolderSet {
    /** Unique per write, so that a write whose reply was lost is recognised. */
    readonly writer: string;
    /** The highest revision that the value contains. */
    readonly sequence: number;
    readonly entries: readonly ShardEntry[];
    /** Until this time (wall-clock milliseconds) keys without an entry are `unknown`, because copies were lost. */
    readonly unknownUntilMs: number;
}

/** A stored value with the version that the next compare-and-swap expects. */
export interface VersionedValue {
    readonly version: number;
    readonly value: ShardValue;
}

/** Returns a string that identifies a holder. */
export function holderKey(holder: Holder): string {
    return `${holder.host}/${holder.incarnation}`;
}

/** Returns whether both are the same process. */
export function isSameHolder(left: Holder | undefined, right: Holder | undefined): boolean {
    return left !== undefined && right !== undefined && left.host === right.host && left.incarnation === right.incarnation;
}

/** Returns whether an incarnation started after another; incarnations begin with the start time in milliseconds. */
export function isNewerIncarnation(candidate: Incarnation, reference: Incarnation): boolean {
    return Number.parseInt(candidate, 10) > Number.parseInt(reference, 10);
}

/** Returns whether the left holder set is newer than the right one. */
export function isNewerSet(
    left: { readonly epoch: number; readonly change: number; },
    right: { readonly epoch: number; readonly change: number; },
): boolean {
    return left.epoch > right.epoch || (left.epoch === right.epoch && left.change > right.change);
}

/** Extracts the holder set of a value. */
export function holderSetOf(value: HolderSet): HolderSet {
    return { epoch: value.epoch, change: value.change, owner: value.owner, standbys: value.standbys };
}

/** Chooses between two entries of one key: a result wins, otherwise the later revision. */
export function newerEntry(left: ShardEntry | undefined, right: ShardEntry): ShardEntry {
    if (left === undefined) {
        return right;
    }
    if ((left.state === "done") !== (right.state === "done")) {
        return left.state === "done" ? left : right;
    }
    const isRightNewer = right.epoch > left.epoch || (right.epoch === left.epoch && right.revision > left.revision);
    return isRightNewer ? right : left;
}

/** Merges the copies of standbys into a stored value; copies that the value already contains are ignored. */
export function mergeCopies(value: ShardValue, copies: Iterable<ShardEntry>): Map<string, ShardEntry> {
    const merged = new Map(value.entries.map(entry => [entry.key, entry]));
    for (const copy of copies) {
        const isContained = copy.epoch < value.epoch || (copy.epoch === value.epoch && copy.revision <= value.sequence);
        if (!isContained) {
            merged.set(copy.key, newerEntry(merged.get(copy.key), copy));
        }
    }
    return merged;
}
