import type { StoreChange, StoreItem, StorePosition } from "@filbertrelay/connectors";
import type { Service } from "@filbertrelay/kernel";
import { estimateListingBytes, isAfter, StoreCopy } from "@filbertrelay/policy/ingress";
import type {
    CopyChanges,
    CopyPosition,
    CopyUpdate,
    DisputedItem,
    EraRevision,
    UpdateResult,
} from "@filbertrelay/policy/ingress";
import { stateEvents as events } from "./event.js";
import { ItemView } from "./itemview.js";
import type { ChangeOrigin, ChangeWay, ItemListener } from "./itemview.js";
import type { PeerPosition, StoreMirrorOptions } from "./mirroroptions.js";
import { StoreContact } from "./storecontact.js";
import { StoreReader } from "./storereader.js";
import { trustedAgeMs } from "./watchrole.js";
import type { WatchRole } from "./watchrole.js";

/** Number of keys whose newest material change is kept for peers. */
const historyLimit = 400;

/** In-memory copy of the store's items, updated by a watch or by peers. Registered in the kernel as `mirror`. */
export class StoreMirror implements Service {
    readonly #options: StoreMirrorOptions;
    readonly #copy: StoreCopy;
    readonly #view: ItemView;
    readonly #contact: StoreContact;
    readonly #reader: StoreReader;
    /** Length of the values that have changed since the last read of the store, whichever way they came. */
    #changedCharacters = 0;
    #origin: ChangeOrigin = { way: "listing" };
    #watchRole: () => WatchRole = () => "own";
    #onMaterialChanges: (changes: CopyChanges) => void = () => undefined;
    readonly #eraListeners: ((era: number) => void)[] = [];

    constructor(options: StoreMirrorOptions) {
        this.#options = options;
        const { clock, log, store, onUpdate, onListenerError = () => undefined, ownedPrefixes = [], newestOnlyPrefixes = [] } =
            options;
        this.#view = new ItemView({
            clock,
            log,
            ownedPrefixes,
            readStored: key => this.#copy.get(key),
            onMaterialChange: origin => onUpdate?.(origin),
            onListenerError,
        });
        this.#copy = new StoreCopy({
            onChange: (change, isRestored) => {
                this.#changedCharacters += change.value?.length ?? 0;
                return this.#view.apply(change, isRestored, this.#origin);
            },
            isNewestOnly: key => newestOnlyPrefixes.some(prefix => key.startsWith(prefix)),
            historyLimit,
        });
        this.#contact = new StoreContact({
            clock,
            log,
            reliesOnPeers: () => this.#reliesOnPeers(),
            describeCopy: () => ({
                era: this.position.era,
                revision: this.revision,
                ageMs: roundAge(this.ageMs()),
            }),
        });
        this.#reader = new StoreReader({
            ...options,
            contact: this.#contact,
            describeCopy: () => ({
                position: this.position,
                ageMs: this.ageMs(),
                listingBytes: estimateListingBytes(this.#copy),
            }),
            watchRole: () => this.#watchRole(),
            takeChangedCharacters: () => this.#takeChangedCharacters(),
            onListed: (listed, atMs) => this.#applyListed(listed, atMs),
            onWatched: (watched, atMs) => this.#applyWatched(watched, atMs),
        });
        store.onEra(era => {
            this.#expectRestore(era);
            this.#eraListeners.forEach(listener => listener(era));
        });
    }

    /** Revision up to which all changes have been applied; 0 before the first read. */
    get revision(): number {
        return this.#copy.position.revision;
    }

    /** How far this copy reaches, as told to peers. */
    get position(): CopyPosition {
        return this.#copy.position;
    }

    /** A peer at an earlier revision can only be brought up to date by all items. */
    get historyStart(): number {
        return this.#copy.historyStart;
    }

    /** Milliseconds since a read of the store by this host failed; infinite if none has, or a later one succeeded. */
    sinceReadFailedMs(): number {
        return this.#reader.sinceReadFailedMs();
    }

    /** Reads the store once as soon as possible, also on a host that relies on peers. */
    readSoon(): void {
        this.#reader.readSoon();
    }

    /** Milliseconds since this copy held everything that the store held, according to the store or to a peer. */
    ageMs(): number {
        return this.#options.clock.monotonicMs() - this.#copy.confirmedMs;
    }

    /** See `StoreContact.removalGraceMs`. */
    removalGraceMs(): number {
        return this.#contact.removalGraceMs();
    }

    /** Calls back when a removed key counts as gone: at once, or after the grace period unless the key was written again. */
    afterRemovalGrace(key: string, callback: () => void): void {
        const graceMs = this.removalGraceMs();
        if (graceMs === 0) {
            callback();
            return;
        }
        this.#options.clock.after(graceMs, () => {
            if (this.get(key) === undefined) {
                callback();
            }
        });
    }

    /** Returns the item in effect. */
    get(key: string): StoreItem | undefined {
        return this.#view.get(key);
    }

    /** Registers a listener for changes of the keys under a prefix. */
    listen(prefix: string, listener: ItemListener): void {
        this.#view.listen(prefix, listener);
    }

    /** Equal on hosts whose items in effect differ from the store in the same way; empty without differences. */
    disputeDigest(): string {
        return this.#view.disputeDigest();
    }

    /** The items that differ from what the restored store holds. */
    disputes(): readonly DisputedItem[] {
        return this.#view.disputes();
    }

    /** Takes over what a peer knows to be newer than the restored store. */
    mergeDisputes(items: readonly DisputedItem[]): void {
        this.#recordOrigin("fetch");
        this.#view.mergeDisputes(items, this.#origin);
    }

    /** Registers a listener for eras of the store that this host learns of, from the store or from a peer. */
    onEra(listener: (era: number) => void): void {
        this.#eraListeners.push(listener);
    }

    /** Sets how this host shares the watch with its peers and who receives the changes that it gets from the store itself. */
    shareWatch(
        options: {
            readonly watchRole: () => WatchRole;
            readonly onMaterialChanges: (changes: CopyChanges) => void;
        },
    ): void {
        this.#watchRole = options.watchRole;
        this.#onMaterialChanges = options.onMaterialChanges;
    }

    start(): Promise<void> {
        this.#reader.start();
        return Promise.resolve();
    }

    async stop(): Promise<void> {
        this.#view.stop();
        await this.#reader.stop();
    }

    /** Returns what brings a peer from its position to that of this host. */
    updateSince(position: CopyPosition): CopyUpdate {
        return this.#copy.updateSince(position);
    }

    /**
     * Applies what a peer has sent, if it is newer and no earlier change is missing. `confirmedMs` is when its revision was the store's
     * latest, in this host's monotonic milliseconds, if known.
     */
    mergeFromPeer(
        peer: string,
        update: CopyUpdate,
        { way, confirmedMs }: { readonly way: "push" | "fetch"; readonly confirmedMs?: number | undefined; },
    ): UpdateResult {
        const fromRevision = this.revision;
        const copyAgeMs = roundAge(this.ageMs());
        this.#recordOrigin(way);
        if (update.type === "items") {
            this.#recordRestore(update, way);
        }
        const result = this.#copy.applyUpdate(update);
        if (result !== "known") {
            this.#options.log.write(events.mirroredFromPeer, {
                peer,
                way,
                result,
                isComplete: update.type === "items",
                afterRevision: update.type === "items" ? undefined : update.afterRevision,
                fromRevision,
                era: update.era,
                toRevision: update.revision,
                changes: update.type === "items" ? update.items.length : update.changes.length,
                copyAgeMs,
            });
        }
        if (confirmedMs !== undefined) {
            this.#confirm(update, confirmedMs);
        }
        return result;
    }

    /** Advances over heartbeats to the position of a peer. Returns whether the peer has changes that this host lacks. */
    followPeer({ confirmedMs, ...position }: PeerPosition): boolean {
        this.#copy.advance(position);
        if (confirmedMs !== undefined) {
            this.#confirm(position, confirmedMs);
        }
        return isAfter({ era: position.era, revision: position.materialRevision }, this.position);
    }

    /** Reads the store anew, since its history is another one. A host that relies on peers gets the items from them. */
    #expectRestore(era: number): void {
        if (this.revision > 0 && era > this.position.era && !this.#reliesOnPeers()) {
            this.#reader.listInsteadOfWatching("The store was restored.");
        }
    }

    /** Records that the items that are applied next come from a store that was restored. */
    #recordRestore(position: EraRevision, way: ChangeWay): void {
        if (this.revision > 0 && position.era > this.position.era) {
            this.#contact.recordRestore();
            this.#options.log.write(events.storeRestored, {
                way,
                formerEra: this.position.era,
                formerRevision: this.revision,
                era: position.era,
                revision: position.revision,
            });
            this.#eraListeners.forEach(listener => listener(position.era));
        }
    }

    #reliesOnPeers(): boolean {
        return trustedAgeMs(this.#watchRole(), this.#options.applyMs) > 0;
    }

    #takeChangedCharacters(): number {
        const characters = this.#changedCharacters;
        this.#changedCharacters = 0;
        return characters;
    }

    /** Applies a listing that was the store's latest state at a time. */
    #applyListed(listed: StorePosition & { readonly items: readonly StoreItem[]; }, atMs: number): void {
        const formerRevision = this.revision;
        this.#recordOrigin("listing");
        this.#recordRestore(listed, "listing");
        // The copy stays as it is if a peer has sent newer changes during the call.
        const update = this.#copy.applyListed(listed);
        this.#confirm(listed, atMs);
        this.#options.log.write(events.storeListed, {
            formerRevision,
            era: this.position.era,
            revision: this.revision,
            items: this.#copy.size,
            changes: update?.changes.length,
            copyAgeMs: this.#origin.copyAgeMs,
        });
        this.#passOn(update);
    }

    /** Applies changes after which nothing had changed at a time. Returns whether they were more than heartbeats. */
    #applyWatched(watched: StorePosition & { readonly changes: readonly StoreChange[]; }, atMs: number): boolean {
        this.#recordOrigin("watch");
        const update = this.#copy.applyWatched(watched, watched.changes);
        this.#confirm(watched, atMs);
        this.#passOn(update);
        return update !== undefined && update.changes.length > 0;
    }

    /** Passes material changes that this host got from the store on to peers. */
    #passOn(update: CopyChanges | undefined): void {
        if (update !== undefined && update.changes.length > 0) {
            this.#onMaterialChanges(update);
        }
    }

    /** Records how the changes that are applied next reached this host. */
    #recordOrigin(way: ChangeWay): void {
        const copyAgeMs = roundAge(this.ageMs());
        this.#origin = { way, ...(copyAgeMs === undefined ? {} : { copyAgeMs }) };
    }

    /** Records that a position was the store's latest at a time. */
    #confirm(position: EraRevision, atMs: number): void {
        this.#copy.confirm(position, atMs);
        if (this.#copy.confirmedMs === atMs && !this.#reader.needsList) {
            this.#contact.recordResponse(atMs);
        }
    }
}

function roundAge(ageMs: number): number | undefined {
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
