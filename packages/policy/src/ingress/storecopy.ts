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

/** How far a copy of the store reaches. */
export interface CopyPosition {
    /** The copy holds what the store held at this revision, except for the values of heartbeats. */
    readonly revision: number;
    /** No change after this revision, up to `revision`, was material. */
    readonly materialRevision: number;
}

/** A span of revisions that was bridged by comparing two states of the store, so that the changes within it are not known. */
export interface BridgedSpan {
    readonly after: number;
    readonly until: number;
}

/** All material changes between two revisions; those of a bridged span are the differences between its ends. */
export interface CopyChanges {
    readonly type: "changes";
    readonly afterRevision: number;
    readonly revision: number;
    readonly bridged: readonly BridgedSpan[];
    readonly changes: readonly CopiedChange[];
}

/** All items of the store at a revision. */
export interface CopyItems {
    readonly type: "items";
    readonly revision: number;
    readonly items: readonly CopiedItem[];
}

/** What brings a copy from its position to a later revision. */
export type CopyUpdate = CopyChanges | CopyItems;

/** `known`: the copy is as new already. `gap`: the copy lacks earlier changes, or stands within a bridged span. */
export type UpdateResult = "applied" | "known" | "gap";

/** Options of `StoreCopy`. */
export interface StoreCopyOptions {
    /** Receives each change of an item. Returns whether it was a mere heartbeat, which peers need not know of. */
    readonly onChange: (change: CopiedChange) => "material" | "heartbeat";
    /** Number of material changes kept for peers. */
    readonly historyLimit: number;
}

/** A copy of the store's items, and what its owner may tell peers about it. */
export class StoreCopy {
    readonly #options: StoreCopyOptions;
    readonly #items = new Map<string, CopiedItem>();
    #history: CopiedChange[] = [];
    #bridged: BridgedSpan[] = [];
    #historyStart = 0;
    #revision = 0;
    #materialRevision = 0;
    #confirmedMs = -Infinity;

    constructor(options: StoreCopyOptions) {
        this.#options = options;
    }

    /** The position of this copy; revision 0 before the first read. */
    get position(): CopyPosition {
        return { revision: this.#revision, materialRevision: this.#materialRevision };
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

    get(key: string): CopiedItem | undefined {
        return this.#items.get(key);
    }

    /** Applies all changes of the store between the revision of this copy, or an earlier one, and a later revision. */
    applyWatched(revision: number, changes: readonly CopiedChange[]): CopyChanges {
        const afterRevision = this.#materialRevision;
        const material = this.#selectNew(changes).filter(change => this.#apply(change) === "material");
        this.#record(material);
        this.#revision = Math.max(this.#revision, revision);
        return { type: "changes", afterRevision, revision: this.#revision, bridged: [], changes: material };
    }

    /** Applies a listing of the store. Returns the differences, unless the copy is newer or held nothing before. */
    applyListed({ revision, items }: Omit<CopyItems, "type">): CopyChanges | undefined {
        return revision <= this.#revision ? undefined : this.#replaceAll(revision, items);
    }

    /** Applies what a peer has sent. */
    applyUpdate(update: CopyUpdate): UpdateResult {
        if (update.revision <= this.#revision) {
            return "known";
        }
        if (update.type === "items") {
            this.#replaceAll(update.revision, update.items);
            return "applied";
        }
        const { revision, afterRevision, bridged, changes } = update;
        if (afterRevision > this.#revision || bridged.some(span => this.#isWithin(this.position, span))) {
            return "gap";
        }
        const formerRevision = this.#revision;
        const added = this.#selectNew(changes);
        added.forEach(change => this.#apply(change));
        this.#record(added);
        bridged.filter(({ until }) => until > formerRevision).forEach(({ after, until }) =>
            this.#bridge({ after: Math.max(after, formerRevision), until })
        );
        this.#revision = revision;
        return "applied";
    }

    /** Advances to the revision of another copy if only heartbeats lie between. */
    advance({ revision, materialRevision }: CopyPosition): void {
        if (this.#revision > 0 && materialRevision <= this.#revision) {
            this.#revision = Math.max(this.#revision, revision);
        }
    }

    /** Records that a revision was the store's latest at a time, in monotonic milliseconds. */
    confirm(revision: number, atMs: number): void {
        if (this.#revision > 0 && revision <= this.#revision) {
            this.#confirmedMs = Math.max(this.#confirmedMs, atMs);
        }
    }

    /** Returns what brings another copy to the position of this one. */
    updateSince(position: CopyPosition): CopyUpdate {
        const revision = this.#revision;
        if (position.revision < this.#historyStart || this.#bridged.some(span => this.#isWithin(position, span))) {
            return { type: "items", revision, items: [...this.#items.values()] };
        }
        return {
            type: "changes",
            afterRevision: position.revision,
            revision,
            bridged: this.#bridged.filter(({ until }) => until > position.revision),
            changes: this.#history.filter(change => change.revision > position.revision),
        };
    }

    /** Whether a copy may hold changes from within a span, which the differences between the ends of the span don't undo. */
    #isWithin({ revision, materialRevision }: CopyPosition, { after, until }: BridgedSpan): boolean {
        return materialRevision > after && revision < until;
    }

    #selectNew(changes: readonly CopiedChange[]): readonly CopiedChange[] {
        return changes.filter(({ revision }) => revision > this.#revision);
    }

    #replaceAll(revision: number, items: readonly CopiedItem[]): CopyChanges | undefined {
        const former = this.position;
        const listed = new Set(items.map(({ key }) => key));
        const removed = [...this.#items.keys()].filter(key => !listed.has(key)).map(key => ({ key, revision }));
        const changed = items.filter(item => this.#isChanged(item)).map(item => ({
            ...item,
            // A peer that has not seen a change that was undone holds the item under a revision before it.
            revision: item.revision > former.revision ? item.revision : revision,
        }));
        const changes = [...removed, ...changed].filter(change => this.#apply(change) === "material");
        this.#revision = revision;
        if (former.revision === 0) {
            this.#materialRevision = revision;
            this.#historyStart = revision;
            return undefined;
        }
        this.#record(changes);
        const span = { after: former.revision, until: revision };
        this.#bridge(span);
        return { type: "changes", afterRevision: former.materialRevision, revision, bridged: [span], changes };
    }

    #isChanged({ key, value, revision }: CopiedItem): boolean {
        const known = this.#items.get(key);
        return known === undefined || known.value !== value || known.revision < revision;
    }

    #apply(change: CopiedChange): "material" | "heartbeat" {
        const isRestored = !this.#items.has(change.key);
        if (change.value === undefined) {
            this.#items.delete(change.key);
        }
        else {
            this.#items.set(change.key, { ...change, value: change.value });
        }
        // A restored item is a material change even if its value is unchanged, since peers have seen its removal.
        const kind = this.#options.onChange(change);
        return isRestored ? "material" : kind;
    }

    /** Adds material changes to the history. */
    #record(changes: readonly CopiedChange[]): void {
        this.#history.push(...changes);
        this.#materialRevision = Math.max(this.#materialRevision, ...changes.map(({ revision }) => revision));
        const dropped = this.#history.splice(0, Math.max(0, this.#history.length - this.#options.historyLimit));
        this.#historyStart = Math.max(this.#historyStart, ...dropped.map(({ revision }) => revision));
    }

    /** Any change within a bridged span may have been material, even if the ends of the span are equal. */
    #bridge(span: BridgedSpan): void {
        this.#bridged = [...this.#bridged, span].filter(({ until }) => until > this.#historyStart);
        this.#materialRevision = Math.max(this.#materialRevision, span.until);
    }
}
