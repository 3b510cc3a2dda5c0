/** One item of the store; `revision` is the store-wide number of its last change. */
export interface CopiedItem {
    readonly key: string;
    readonly value: string;
    readonly revision: number;
}

/** A change of one key; `value` is absent when the key was removed. */
export interface CopiedChange {
    readonly key: string;
    readonly revision: number;
    readonly value?: string;
}

/** A point in the history of the store; revisions are given out again in each era. */
export interface EraRevision {
    readonly era: number;
    readonly revision: number;
}

/** How far a copy of the store reaches. */
export interface CopyPosition extends EraRevision {
    /** The copy holds what the store held at this revision of its era, except for the values of heartbeats. */
    readonly revision: number;
    /** No change after this revision, up to `revision`, was material. */
    readonly materialRevision: number;
}

/** A span of revisions that was bridged by comparing two states of the store, so that the changes within it are not known. */
export interface BridgedSpan {
    readonly after: number;
    readonly until: number;
}

/** All material changes between two revisions of an era; those of a bridged span are the differences between its ends. */
export interface CopyChanges extends EraRevision {
    readonly type: "changes";
    readonly afterRevision: number;
    readonly bridged: readonly BridgedSpan[];
    readonly changes: readonly CopiedChange[];
}

/** All items of the store at a revision. */
export interface CopyItems extends EraRevision {
    readonly type: "items";
    readonly items: readonly CopiedItem[];
}

/** What brings a copy from its position to a later one. */
export type CopyUpdate = CopyChanges | CopyItems;

/** `known`: the copy is as new already. `gap`: the copy lacks earlier changes, is of an earlier era, or stands within a bridged span. */
export type UpdateResult = "applied" | "known" | "gap";

/** Options of `StoreCopy`. */
export interface StoreCopyOptions {
    /**
     * Receives each change of an item. Returns whether it was a mere heartbeat, which peers need not know of. `isRestored` marks the
     * differences between the copy of an earlier era and the restored store.
     */
    readonly onChange: (change: CopiedChange, isRestored: boolean) => "material" | "heartbeat";
    /** Whether a value of a key that is replaced within the same update is passed over; none by default. */
    readonly isNewestOnly?: (key: string) => boolean;
    /** Number of keys whose newest material change is kept for peers. */
    readonly historyLimit: number;
}

/** A copy of the store's items, and what its owner may tell peers about it. */
export class StoreCopy {
    readonly #options: StoreCopyOptions;
    readonly #items = new Map<string, CopiedItem>();
    /**
     * The newest material change of each key, in the order in which they were recorded. A copy that lacks several changes of a key
     * needs only the newest, whose value the items hold anyway.
     */
    readonly #history = new Map<string, CopiedChange>();
    #bridged: BridgedSpan[] = [];
    #historyStart = 0;
    #era = 0;
    #revision = 0;
    #materialRevision = 0;
    #confirmedMs = -Infinity;
    #characters = 0;

    constructor(options: StoreCopyOptions) {
        this.#options = options;
    }

    /** The position of this copy; revision 0 before the first read. */
    get position(): CopyPosition {
        return { era: this.#era, revision: this.#revision, materialRevision: this.#materialRevision };
    }

    /** Copies at an earlier revision can only be brought to this position by all items. */
    get historyStart(): number {
        return this.#historyStart;
    }

    /** A time at which this copy held everything that the store held, in monotonic milliseconds. */
    get confirmedMs(): number {
        return this.#confirmedMs;
    }

    get size(): number {
        return this.#items.size;
    }

    /** Length of all keys and values. */
    get characters(): number {
        return this.#characters;
    }

    get(key: string): CopiedItem | undefined {
        return this.#items.get(key);
    }

    /**
     * Applies all changes of the store between the revision of this copy, or an earlier one, and a later revision. Returns nothing if
     * the copy has been brought to another era meanwhile.
     */
    applyWatched({ era, revision }: EraRevision, changes: readonly CopiedChange[]): CopyChanges | undefined {
        if (era !== this.#era) {
            return undefined;
        }
        const afterRevision = this.#materialRevision;
        const added = this.#selectNew(changes);
        const selected = this.#passOverReplaced(added);
        // Peers may have seen what was passed over, even if the newest value differs from the known one like a heartbeat.
        const isPartial = selected.length < added.length;
        const material = selected.filter(change =>
            this.#apply(change, false) === "material" || isPartial && this.#isNewestOnly(change.key)
        );
        this.#record(material);
        this.#revision = Math.max(this.#revision, revision);
        return { type: "changes", era, afterRevision, revision: this.#revision, bridged: [], changes: material };
    }

    /** Applies a listing of the store. Returns the differences, unless the copy is newer or held nothing before. */
    applyListed(listed: Omit<CopyItems, "type">): CopyChanges | undefined {
        return isAfter(listed, this.position) ? this.#replaceAll(listed, listed.items) : undefined;
    }

    /** Applies what a peer has sent. */
    applyUpdate(update: CopyUpdate): UpdateResult {
        if (!isAfter(update, this.position)) {
            return "known";
        }
        if (update.type === "items") {
            this.#replaceAll(update, update.items);
            return "applied";
        }
        const { era, revision, afterRevision, bridged, changes } = update;
        const isApplicable = era === this.#era && afterRevision <= this.#revision;
        if (!isApplicable || bridged.some(span => this.#isWithin(this.position, span))) {
            return "gap";
        }
        const formerRevision = this.#revision;
        const added = this.#passOverReplaced(this.#selectNew(changes));
        added.forEach(change => this.#apply(change, false));
        this.#record(added);
        bridged.filter(({ until }) => until > formerRevision).forEach(({ after, until }) =>
            this.#bridge({ after: Math.max(after, formerRevision), until })
        );
        this.#revision = revision;
        return "applied";
    }

    /** Advances to the position of another copy if only heartbeats lie between. */
    advance({ era, revision, materialRevision }: CopyPosition): void {
        if (this.#revision > 0 && era === this.#era && materialRevision <= this.#revision) {
            this.#revision = Math.max(this.#revision, revision);
        }
    }

    /** Records that a position was the store's latest at a time, in monotonic milliseconds. */
    confirm({ era, revision }: EraRevision, atMs: number): void {
        if (this.#revision > 0 && era === this.#era && revision <= this.#revision) {
            this.#confirmedMs = Math.max(this.#confirmedMs, atMs);
        }
    }

    /** Returns what brings another copy to the position of this one. */
    updateSince(position: CopyPosition): CopyUpdate {
        const [era, revision] = [this.#era, this.#revision];
        const isInHistory = position.era === era && position.revision >= this.#historyStart;
        if (!isInHistory || this.#bridged.some(span => this.#isWithin(position, span))) {
            return { type: "items", era, revision, items: [...this.#items.values()] };
        }
        return {
            type: "changes",
            era,
            afterRevision: position.revision,
            revision,
            bridged: this.#bridged.filter(({ until }) => until > position.revision),
            changes: [...this.#history.values()].filter(change => change.revision > position.revision),
        };
    }

    /** Whether a copy may hold changes from within a span, which the differences between the ends of the span don't undo. */
    #isWithin({ revision, materialRevision }: CopyPosition, { after, until }: BridgedSpan): boolean {
        return materialRevision > after && revision < until;
    }

    #selectNew(changes: readonly CopiedChange[]): readonly CopiedChange[] {
        return changes.filter(({ revision }) => revision > this.#revision);
    }

    #passOverReplaced(changes: readonly CopiedChange[]): readonly CopiedChange[] {
        const newest = new Map(changes.map(change => [change.key, change]));
        return changes.filter(change => newest.get(change.key) === change || !this.#isNewestOnly(change.key));
    }

    #isNewestOnly(key: string): boolean {
        return this.#options.isNewestOnly?.(key) === true;
    }

    #replaceAll({ era, revision }: EraRevision, items: readonly CopiedItem[]): CopyChanges | undefined {
        const former = this.position;
        const isRestored = former.revision > 0 && era > former.era;
        const listed = new Set(items.map(({ key }) => key));
        const removed = [...this.#items.keys()].filter(key => !listed.has(key)).map(key => ({ key, revision }));
        const changed = items.filter(item => isRestored || this.#isChanged(item)).map(item => ({
            ...item,
            // A peer that has not seen a change that was undone holds the item under a revision before it.
            revision: isRestored || item.revision > former.revision ? item.revision : revision,
        }));
        const changes = [...removed, ...changed].filter(change => this.#apply(change, isRestored) === "material");
        this.#era = era;
        this.#revision = revision;
        if (former.revision === 0 || isRestored) {
            // Copies of an earlier era get all items, since their revisions say nothing about this history.
            this.#history.clear();
            this.#bridged = [];
            this.#materialRevision = revision;
            this.#historyStart = revision;
            return isRestored ? { type: "changes", era, afterRevision: revision, revision, bridged: [], changes } : undefined;
        }
        this.#record(changes);
        const span = { after: former.revision, until: revision };
        this.#bridge(span);
        return { type: "changes", era, afterRevision: former.materialRevision, revision, bridged: [span], changes };
    }

    #isChanged({ key, value, revision }: CopiedItem): boolean {
        const known = this.#items.get(key);
        return known === undefined || known.value !== value || known.revision < revision;
    }

    #apply(change: CopiedChange, isRestored: boolean): "material" | "heartbeat" {
        const known = this.#items.get(change.key);
        this.#characters += countCharacters(change) - countCharacters(known);
        if (change.value === undefined) {
            this.#items.delete(change.key);
        }
        else {
            this.#items.set(change.key, { ...change, value: change.value });
        }
        // An item that was removed before is a material change even if its value is unchanged, since peers have seen its removal.
        const kind = this.#options.onChange(change, isRestored);
        return known === undefined ? "material" : kind;
    }

    /** Adds material changes to the history. */
    #record(changes: readonly CopiedChange[]): void {
        for (const change of changes) {
            this.#history.delete(change.key);
            this.#history.set(change.key, change);
            this.#materialRevision = Math.max(this.#materialRevision, change.revision);
        }
        for (const [key, { revision }] of this.#history) {
            if (this.#history.size <= this.#options.historyLimit) {
                return;
            }
            this.#history.delete(key);
            this.#historyStart = Math.max(this.#historyStart, revision);
        }
    }

    /** Any change within a bridged span may have been material, even if the ends of the span are equal. */
    #bridge(span: BridgedSpan): void {
        this.#bridged = [...this.#bridged, span].filter(({ until }) => until > this.#historyStart);
        this.#materialRevision = Math.max(this.#materialRevision, span.until);
    }
}

function countCharacters(item: CopiedChange | undefined): number {
    return item?.value === undefined ? 0 : item.key.length + item.value.length;
}

/** Whether a position is later than another one. */
export function isAfter(position: EraRevision, other: EraRevision): boolean {
    return position.era === other.era ? position.revision > other.revision : position.era > other.era;
}
