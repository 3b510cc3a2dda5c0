import type { StoreChange, StoreIssue } from "@filbertrelay/connectors";
import type { Store, StoreItem } from "@filbertrelay/connectors";
import type { Clock, EventLog, Service } from "@filbertrelay/kernel";
import { StoreCopy } from "@filbertrelay/policy/ingress";
import type { CopyChanges, CopyPosition, CopyUpdate, UpdateResult } from "@filbertrelay/policy/ingress";
import { stateEvents as events } from "./event.js";

/** How changes reached this host: its own watch or listing of the store, a push from a peer, or a fetch from one. */
export type ChangeWay = "watch" | "listing" | "push" | "fetch";

/** Describes how a change reached this host. */
export interface ChangeOrigin {
    readonly way: ChangeWay;
    /** Age of the copy before the change, in milliseconds: an upper bound of the change's delay. Absent before the first read. */
    readonly copyAgeMs?: number;
}

/** Receives each change of the mirrored items; a removed item has no value. Returns whether the change is a mere heartbeat. */
export type MirrorListener = (change: StoreChange, origin: ChangeOrigin) => "material" | "heartbeat";

/**
 * Whether a host watches the store for itself, for the whole fleet, or only when the state it gets from peers is too old. A `reserve`
 * host does so sooner than a `standby` host.
 */
export type WatchRole = "own" | "fleet" | "reserve" | "standby";

/** How far a peer's copy of the store reaches. */
export interface PeerPosition extends CopyPosition {
    /** When the peer's revision was the store's latest, in this host's monotonic milliseconds, if known. */
    readonly confirmedMs?: number | undefined;
}

/** Options of `StoreMirror`. */
export interface StoreMirrorOptions {
    readonly store: Store;
    readonly clock: Clock;
    readonly log: EventLog;
    /** Uniform in [0, 1); adds jitter to the hosts' retries. */
    readonly draw: () => number;
    /** Time within which a host must apply a change. */
    readonly applyMs: number;
    /** Called for each material change. */
    readonly onUpdate?: (origin: ChangeOrigin) => void;
}

/** Long-poll time of a watch; a response within it shows that the connection is alive. */
const watchWaitMs = 1_500;
/** Long-poll time after a failure; short, so that a watch without a response does not delay the next one. */
const probeWaitMs = 200;
/** Delay of the next watch after a material change: changes often come in bursts, and one call then gets them all. */
const materialBatchMs = 60;
/**
 * The same delay after heartbeats alone, as a share of `applyMs`. Tens of endpoints write a heartbeat about every second, and each
 * watch is a billed store call.
 */
const heartbeatBatchShare = 0.1;
/** Bounds of the exponential backoff after a failed store call. */
const minRetryMs = 100;
const maxRetryMs = 400;
/**
 * The store counts as unreachable after this long without a response. Longer than a watch whose response is delayed by a second,
 * and shorter than the leases of others' entries.
 */
const unreachableAfterMs = 2_600;
/** Entries that expired during an outage of the store are rewritten within two seconds of its end; includes a margin. */
const rewriteMs = 2_300;
/**
 * Upper bound of the grace period: an endpoint that left must get no requests two seconds after the removal of its entry, even if
 * this host learned of the removal late.
 */
const maxGraceMs = 1_400;
/** Long-poll time of a watch for the fleet, as a share of `applyMs`; keeps passed-on state younger than `trustedAgeShares` require. */
const fleetWatchShare = 0.2;
/**
 * A host that leaves the watch to others watches the store itself when the mirror is older than this share of `applyMs`; the rest
 * covers its own call. The reserve is sooner, so that a few hosts take over and not the whole fleet.
 */
const trustedAgeShares = { reserve: 0.6, standby: 0.75 };
/** Minimum interval between a standby host's checks whether it has to watch. */
const minStandbyCheckMs = 100;
/** Maximum interval between these checks, since the host may be chosen to watch meanwhile. */
const maxStandbyCheckMs = 500;
/** Retry delay of a standby host; the hosts that watch for the fleet retry sooner and pass on the changes. */
const standbyRetryMs = 1_000;
/** Number of material changes kept for peers. */
const historyLimit = 400;

/** In-memory copy of the store's items, updated by a watch or by peers. Registered in the kernel as `mirror`. */
export class StoreMirror implements Service {
    readonly #options: StoreMirrorOptions;
    readonly #copy: StoreCopy;
    readonly #listeners: { readonly prefix: string; readonly listener: MirrorListener; }[] = [];
    readonly #abort = new AbortController();
    #needsList = true;
    #lastResponseMs = -Infinity;
    #reconnectedMs = -Infinity;
    #origin: ChangeOrigin = { way: "listing" };
    #isUnreachable = true;
    #failures = 0;
    #loop: Promise<void> | undefined;
    #watchRole: () => WatchRole = () => "own";
    #onMaterialChanges: (changes: CopyChanges) => void = () => undefined;

    constructor(options: StoreMirrorOptions) {
        this.#options = options;
        this.#copy = new StoreCopy({ onChange: change => this.#notify(change), historyLimit });
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

    /** Milliseconds since this copy held everything that the store held, according to the store or to a peer. */
    ageMs(): number {
        return this.#options.clock.monotonicMs() - this.#copy.confirmedMs;
    }

    /**
     * Grace period for an entry that is removed now: its lease may have expired during an outage, so the entry may be rewritten.
     * 0 if the store has been reachable for longer.
     */
    removalGraceMs(): number {
        const sinceRegainedMs = this.#options.clock.monotonicMs() - this.#reconnectedMs;
        return Math.max(0, Math.min(rewriteMs - sinceRegainedMs, maxGraceMs));
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

    get(key: string): StoreItem | undefined {
        return this.#copy.get(key);
    }

    /** Registers a listener for changes of the keys under a prefix. */
    listen(prefix: string, listener: MirrorListener): void {
        this.#listeners.push({ prefix, listener });
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
        const result = this.#copy.applyUpdate(update);
        if (result !== "known") {
            this.#options.log.write(events.mirroredFromPeer, {
                peer,
                way,
                result,
                isComplete: update.type === "items",
                afterRevision: update.type === "items" ? undefined : update.afterRevision,
                fromRevision,
                toRevision: update.revision,
                changes: update.type === "items" ? update.items.length : update.changes.length,
                copyAgeMs,
            });
        }
        if (confirmedMs !== undefined) {
            this.#confirm(update.revision, confirmedMs);
        }
        return result;
    }

    /** Advances over heartbeats to the position of a peer. Returns whether the peer has changes that this host lacks. */
    followPeer({ confirmedMs, ...position }: PeerPosition): boolean {
        this.#copy.advance(position);
        if (confirmedMs !== undefined) {
            this.#confirm(position.revision, confirmedMs);
        }
        return position.materialRevision > this.revision;
    }

    async #run(): Promise<void> {
        while (!this.#abort.signal.aborted) {
            const trustedMs = this.#trustedAgeMs() - this.ageMs();
            if (!this.#needsList && trustedMs > 0) {
                await this.#pause(Math.min(maxStandbyCheckMs, Math.max(minStandbyCheckMs, trustedMs)));
                continue;
            }
            const wasListing = this.#needsList;
            const issue = wasListing ? await this.#readAll() : await this.#watch();
            if (issue === undefined || issue.code === "store.historyGone") {
                // A store that has dropped its history is reachable, so no leases have expired because of an outage.
                this.#needsList ||= issue !== undefined;
                this.#recordResponse(this.#options.clock.monotonicMs());
                if (issue !== undefined && wasListing) {
                    await this.#pause(minRetryMs * (0.5 + this.#options.draw()));
                }
                continue;
            }
            this.#recordIssue(issue);
            const delayMs = !this.#reliesOnPeers() || this.#needsList ?
                Math.min(maxRetryMs, minRetryMs * 2 ** (this.#failures - 1)) :
                standbyRetryMs;
            await this.#pause(delayMs * (0.5 + this.#options.draw()));
        }
    }

    /** Age up to which the state that peers pass on replaces a watch; 0 for a host that always watches. */
    #trustedAgeMs(): number {
        const role = this.#watchRole();
        return role === "reserve" || role === "standby" ? this.#options.applyMs * trustedAgeShares[role] : 0;
    }

    #reliesOnPeers(): boolean {
        return this.#trustedAgeMs() > 0;
    }

    async #readAll(): Promise<StoreIssue | undefined> {
        const startMs = this.#options.clock.monotonicMs();
        const listed = await this.#options.store.list("");
        if (!listed.ok) {
            return listed.issue;
        }
        const formerRevision = this.revision;
        this.#recordOrigin("listing");
        this.#recordResponse(this.#options.clock.monotonicMs());
        // The copy stays as it is if a peer has sent newer changes during the call.
        const update = this.#copy.applyListed(listed.value);
        this.#confirm(listed.value.revision, startMs);
        this.#needsList = false;
        this.#options.log.write(events.storeListed, {
            formerRevision,
            revision: this.revision,
            items: this.#copy.size,
            changes: update?.changes.length,
            copyAgeMs: this.#origin.copyAgeMs,
        });
        this.#passOn(update);
        return undefined;
    }

    async #watch(): Promise<StoreIssue | undefined> {
        const startMs = this.#options.clock.monotonicMs();
        const waitMs = this.#chooseWaitMs();
        const watched = await this.#options.store.watch("", {
            afterRevision: this.revision,
            waitMs,
            signal: this.#abort.signal,
        });
        if (!watched.ok) {
            return watched.issue;
        }
        const { revision, changes } = watched.value;
        const respondedMs = this.#options.clock.monotonicMs();
        this.#recordOrigin("watch");
        this.#recordResponse(respondedMs);
        const update = this.#copy.applyWatched(revision, changes);
        // The store answers once there is a change, which may be right after the call, and otherwise not before the end of the wait.
        this.#confirm(revision, changes.length > 0 ? startMs : Math.min(respondedMs, startMs + waitMs));
        this.#passOn(update);
        if (changes.length > 0) {
            await this.#pause(update.changes.length > 0 ? materialBatchMs : this.#options.applyMs * heartbeatBatchShare);
        }
        return undefined;
    }

    #chooseWaitMs(): number {
        if (this.#failures > 0) {
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

    #notify(change: StoreChange): "material" | "heartbeat" {
        const kinds = this.#listeners.filter(({ prefix }) => change.key.startsWith(prefix)).map(({ listener }) =>
            listener(change, this.#origin)
        );
        const kind = kinds.length > 0 && kinds.every(each => each === "heartbeat") ? "heartbeat" : "material";
        if (kind === "material") {
            this.#options.onUpdate?.(this.#origin);
        }
        return kind;
    }

    /** Records how the changes that are applied next reached this host. */
    #recordOrigin(way: ChangeWay): void {
        const copyAgeMs = roundAge(this.ageMs());
        this.#origin = { way, ...(copyAgeMs === undefined ? {} : { copyAgeMs }) };
    }

    /** Records that a revision was the store's latest at a time. */
    #confirm(revision: number, atMs: number): void {
        this.#copy.confirm(revision, atMs);
        if (this.#copy.confirmedMs === atMs && !this.#needsList) {
            this.#recordResponse(atMs);
        }
    }

    /** Records that the store responded at a time, to this host or to a peer. */
    #recordResponse(respondedMs: number): void {
        const { clock, log } = this.#options;
        this.#failures = 0;
        // A standby host may notice an outage only when it ends.
        const wasUnreachable = this.#reliesOnPeers() && respondedMs - this.#lastResponseMs > unreachableAfterMs;
        if ((this.#isUnreachable || wasUnreachable) && clock.monotonicMs() - respondedMs < unreachableAfterMs) {
            this.#isUnreachable = false;
            this.#reconnectedMs = respondedMs;
            log.write(events.storeReachable, { revision: this.revision, ageMs: roundAge(this.ageMs()) });
        }
        this.#lastResponseMs = Math.max(this.#lastResponseMs, respondedMs);
    }

    #recordIssue(issue: StoreIssue): void {
        this.#failures += 1;
        // One failed or delayed watch does not mean that the store is down. For a standby host, outdated peers confirm the outage.
        if (
            !this.#isUnreachable && (this.#failures > 1 || this.#reliesOnPeers()) &&
            this.#options.clock.monotonicMs() - this.#lastResponseMs > unreachableAfterMs
        ) {
            this.#isUnreachable = true;
            this.#options.log.write(events.storeUnreachable, {
                code: issue.code,
                message: issue.message,
                revision: this.revision,
                ageMs: roundAge(this.ageMs()),
            });
        }
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
