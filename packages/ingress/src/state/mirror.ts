import type { StoreIssue, StoreItem } from "@filbertrelay/connectors";
import type { Service } from "@filbertrelay/kernel";
import { estimateListingBytes, isAfter, StoreCopy, StoreReadPlan } from "@filbertrelay/policy/ingress";
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
import { trustedAgeMs } from "./watchrole.js";
import type { WatchRole } from "./watchrole.js";

/** Long-poll time of a watch; a response within it shows that the connection is alive. */
const watchWaitMs = 1_500;
/** Long-poll time after a failure; short, so that a watch without a response does not delay the next one. */
const probeWaitMs = 200;
/** Delay of the next watch after a material change: changes often come in bursts, and one call then gets them all. */
const materialBatchMs = 60;
/**
 * The same delay after heartbeats alone, as a share of `applyMs`. Tens of endpoints write a heartbeat about every second, and each
 * watch is a billed store call. Also the delay between listings that follow each other, which leaves some of the link to requests.
 */
const batchShare = 0.1;
/** Bounds of the exponential backoff after a failed store call. */
const minRetryMs = 100;
const maxRetryMs = 400;
/** Long-poll time of a watch for the fleet, as a share of `applyMs`; keeps passed-on state younger than `trustedAgeShares` require. */
const fleetWatchShare = 0.2;
/** Minimum interval between a standby host's checks whether it has to watch. */
const minStandbyCheckMs = 100;
/** Maximum interval between these checks, since the host may be chosen to watch meanwhile. */
const maxStandbyCheckMs = 500;
/** Retry delay of a standby host; the hosts that watch for the fleet retry sooner and pass on the changes. */
const standbyRetryMs = 1_000;
/** Number of keys whose newest material change is kept for peers. */
const historyLimit = 400;

/** In-memory copy of the store's items, updated by a watch or by peers. Registered in the kernel as `mirror`. */
export class StoreMirror implements Service {
    readonly #options: StoreMirrorOptions;
    readonly #copy: StoreCopy;
    readonly #view: ItemView;
    readonly #contact: StoreContact;
    readonly #plan: StoreReadPlan;
    readonly #abort = new AbortController();
    #watchAbort = new AbortController();
    #needsList = true;
    /** A host that relies on peers reads the store all the same, since it lacks what they don't pass on. */
    #isReadDue = false;
    #readFailedMs = -Infinity;
    #wake: () => void = () => undefined;
    /** Listings, also failed ones, since the last successful watch. */
    #listings = 0;
    /** Length of the values that have changed since the last read of the store, whichever way they came. */
    #changedCharacters = 0;
    #origin: ChangeOrigin = { way: "listing" };
    #loop: Promise<void> | undefined;
    #watchRole: () => WatchRole = () => "own";
    #onMaterialChanges: (changes: CopyChanges) => void = () => undefined;
    readonly #eraListeners: ((era: number) => void)[] = [];

    constructor(options: StoreMirrorOptions) {
        this.#options = options;
        this.#plan = new StoreReadPlan(options.applyMs);
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
        return this.#options.clock.monotonicMs() - this.#readFailedMs;
    }

    /** Reads the store once as soon as possible, also on a host that relies on peers. */
    readSoon(): void {
        this.#isReadDue = true;
        this.#wake();
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
        this.#loop = this.#run();
        return Promise.resolve();
    }

    async stop(): Promise<void> {
        this.#abort.abort(new Error("The store mirror is stopping."));
        this.#watchAbort.abort(new Error("The store mirror is stopping."));
        this.#view.stop();
        await this.#loop;
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

    async #run(): Promise<void> {
        while (!this.#abort.signal.aborted) {
            const trustedMs = this.#trustedAgeMs() - this.ageMs();
            if (!this.#needsList && !this.#isReadDue && trustedMs > 0) {
                await this.#pauseUntilWoken(Math.min(maxStandbyCheckMs, Math.max(minStandbyCheckMs, trustedMs)));
                continue;
            }
            const issue = this.#needsList || this.#plan.isListingDue ? await this.#readAll() : await this.#watch();
            if (issue === undefined) {
                this.#isReadDue = false;
                this.#readFailedMs = -Infinity;
                continue;
            }
            if (issue.code === "store.abandoned") {
                this.#plan.recordAbandonedWatch();
                this.#contact.recordResponse(this.#options.clock.monotonicMs());
                continue;
            }
            if (issue.code === "store.historyGone" || issue.code === "store.restored") {
                // A store that has dropped its history is reachable, so no leases have expired because of an outage.
                this.#needsList = true;
                this.#contact.recordResponse(this.#options.clock.monotonicMs());
                await this.#pause(this.#retryMs(this.#listings));
                continue;
            }
            this.#contact.recordIssue(issue);
            this.#isReadDue = false;
            this.#readFailedMs = this.#options.clock.monotonicMs();
            const isUrgent = !this.#reliesOnPeers() || this.#needsList;
            await this.#pause(isUrgent ? this.#retryMs(this.#contact.failures) : this.#addJitter(standbyRetryMs));
        }
    }

    /** Delay of the next call after a number of calls in vain. */
    #retryMs(count: number): number {
        return count === 0 ? 0 : this.#addJitter(Math.min(maxRetryMs, minRetryMs * 2 ** (count - 1)));
    }

    #addJitter(ms: number): number {
        return ms * (0.5 + this.#options.draw());
    }

    /** Reads the store anew, since its history is another one. A host that relies on peers gets the items from them. */
    #expectRestore(era: number): void {
        if (this.revision > 0 && era > this.position.era && !this.#reliesOnPeers()) {
            this.#needsList = true;
            this.#watchAbort.abort(new Error("The store was restored."));
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

    #trustedAgeMs(): number {
        return trustedAgeMs(this.#watchRole(), this.#options.applyMs);
    }

    #reliesOnPeers(): boolean {
        return this.#trustedAgeMs() > 0;
    }

    async #readAll(): Promise<StoreIssue | undefined> {
        const startMs = this.#options.clock.monotonicMs();
        this.#listings += 1;
        const listed = await this.#options.store.list("");
        if (!listed.ok) {
            return listed.issue;
        }
        const formerRevision = this.revision;
        const respondedMs = this.#options.clock.monotonicMs();
        this.#recordOrigin("listing");
        this.#contact.recordResponse(respondedMs);
        this.#recordRestore(listed.value, "listing");
        // The copy stays as it is if a peer has sent newer changes during the call.
        const update = this.#copy.applyListed(listed.value);
        this.#confirm(listed.value, startMs);
        this.#needsList = this.#options.store.era > listed.value.era;
        this.#options.log.write(events.storeListed, {
            formerRevision,
            era: this.position.era,
            revision: this.revision,
            items: this.#copy.size,
            changes: update?.changes.length,
            copyAgeMs: this.#origin.copyAgeMs,
        });
        this.#passOn(update);
        this.#plan.recordListing({
            elapsedMs: respondedMs - startMs,
            changedCharacters: formerRevision === 0 ? 0 : this.#changedCharacters,
            listingBytes: estimateListingBytes(this.#copy),
        });
        this.#changedCharacters = 0;
        if (this.#plan.isListingDue) {
            await this.#pause(this.#options.applyMs * batchShare);
        }
        return undefined;
    }

    async #watch(): Promise<StoreIssue | undefined> {
        const startMs = this.#options.clock.monotonicMs();
        const waitMs = this.#chooseWaitMs();
        this.#watchAbort = new AbortController();
        const listingBytes = estimateListingBytes(this.#copy);
        const watched = await this.#options.store.watch("", {
            after: this.position,
            waitMs,
            signal: this.#watchAbort.signal,
            isWorthwhile: progress => this.#plan.isWatchWorthwhile(progress, listingBytes),
        });
        if (!watched.ok) {
            return this.#needsList ? undefined : watched.issue;
        }
        const { changes } = watched.value;
        const respondedMs = this.#options.clock.monotonicMs();
        this.#listings = 0;
        this.#plan.recordWatch();
        this.#changedCharacters = 0;
        this.#recordOrigin("watch");
        this.#contact.recordResponse(respondedMs);
        const update = this.#copy.applyWatched(watched.value, changes);
        // The store answers once there is a change, which may be right after the call, and otherwise not before the end of the wait.
        this.#confirm(watched.value, changes.length > 0 ? startMs : Math.min(respondedMs, startMs + waitMs));
        this.#passOn(update);
        if (changes.length > 0) {
            const isMaterial = update !== undefined && update.changes.length > 0;
            await this.#pause(isMaterial ? materialBatchMs : this.#options.applyMs * batchShare);
        }
        return undefined;
    }

    #chooseWaitMs(): number {
        if (this.#contact.failures > 0) {
            return probeWaitMs;
        }
        return this.#watchRole() === "fleet" ? this.#options.applyMs * fleetWatchShare : watchWaitMs;
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
        if (this.#copy.confirmedMs === atMs && !this.#needsList) {
            this.#contact.recordResponse(atMs);
        }
    }

    /** Pauses a host that relies on peers; ends early when a read is due. */
    async #pauseUntilWoken(ms: number): Promise<void> {
        await Promise.race([this.#pause(ms), new Promise<void>(resolve => this.#wake = resolve)]);
    }

    async #pause(ms: number): Promise<void> {
        try {
            await this.#options.clock.sleep(ms, this.#abort.signal);
        }
        catch {
            // Aborted by `stop`; the loop ends by itself.
        }
    }
}

function roundAge(ageMs: number): number | undefined {
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
