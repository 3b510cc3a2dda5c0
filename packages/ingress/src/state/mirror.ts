import type { StoreChange, StoreIssue } from "@filbertrelay/connectors";
import type { Store, StoreItem } from "@filbertrelay/connectors";
import type { Clock, EventLog, Service } from "@filbertrelay/kernel";
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

/** Whether a host watches the store for itself, for the whole fleet, or only when the state it gets from peers is too old. */
export type WatchRole = "own" | "fleet" | "standby";

/** Changes received from a peer. */
export interface PeerChanges {
    /** Whether the changes contain all items of the store. */
    readonly isComplete: boolean;
    readonly revision: number;
    /** Milliseconds since `revision` was confirmed to be the store's latest. */
    readonly ageMs: number;
    readonly changes: readonly StoreChange[];
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
    /** Called for each update with material changes. */
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
/** Long-poll time of a watch for the fleet, as a share of `applyMs`; keeps pushed state younger than `trustedAgeShare` requires. */
const fleetWatchShare = 0.2;
/** A standby host watches the store itself when the mirror is older than this share of `applyMs`; the rest covers its own call. */
const trustedAgeShare = 0.75;
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
    readonly #items = new Map<string, StoreItem>();
    readonly #listeners: { readonly prefix: string; readonly listener: MirrorListener; }[] = [];
    readonly #history: StoreChange[] = [];
    readonly #abort = new AbortController();
    #revision = 0;
    #materialRevision = 0;
    #historyFrom = 0;
    #needsList = true;
    #lastResponseMs = -Infinity;
    #reconnectedMs = -Infinity;
    #origin: ChangeOrigin = { way: "listing" };
    #isUnreachable = true;
    #failures = 0;
    #loop: Promise<void> | undefined;
    #watchRole: () => WatchRole = () => "own";
    #onMaterialChanges: (afterRevision: number, changes: PeerChanges) => void = () => undefined;

    constructor(options: StoreMirrorOptions) {
        this.#options = options;
    }

    /** Revision up to which all changes have been applied; 0 before the first read. */
    get revision(): number {
        return this.#revision;
    }

    /** Revision of the last change that was not a mere heartbeat. */
    get materialRevision(): number {
        return this.#materialRevision;
    }

    /** Milliseconds since the store responded to this host or to a peer that passed the state on. */
    ageMs(): number {
        return this.#options.clock.monotonicMs() - this.#lastResponseMs;
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
        return this.#items.get(key);
    }

    /** Registers a listener for changes of the keys under a prefix. */
    listen(prefix: string, listener: MirrorListener): void {
        this.#listeners.push({ prefix, listener });
    }

    /** Sets how this host shares the watch with its peers and who receives the changes that it gets from the store itself. */
    shareWatch(
        options: {
            readonly watchRole: () => WatchRole;
            readonly onMaterialChanges: (afterRevision: number, changes: PeerChanges) => void;
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

    /** Returns the material changes since a revision, or all items if the history does not go back that far. */
    changesSince(revision: number): PeerChanges {
        const isComplete = revision < this.#historyFrom;
        const changes = isComplete ? [...this.#items.values()] : this.#history.filter(change => change.revision > revision);
        return { isComplete, revision: this.#revision, ageMs: this.ageMs(), changes };
    }

    /** Applies the changes of a peer if its revision is newer. */
    mergeFromPeer(peer: string, received: PeerChanges, way: "push" | "fetch"): void {
        if (received.revision <= this.#revision) {
            this.confirmRevision(received.revision, received.ageMs);
            return;
        }
        this.#options.log.write(events.mirroredFromPeer, {
            peer,
            way,
            isComplete: received.isComplete,
            fromRevision: this.#revision,
            toRevision: received.revision,
            changes: received.changes.length,
            copyAgeMs: roundAge(this.ageMs()),
            peerAgeMs: roundAge(received.ageMs),
        });
        this.#recordOrigin(way);
        if (received.isComplete) {
            this.#replaceAll(
                received.changes.flatMap(change => change.value === undefined ? [] : [{ ...change, value: change.value }]),
            );
        }
        else {
            this.#applyAll(received.changes);
        }
        this.#revision = received.revision;
        this.confirmRevision(received.revision, received.ageMs);
    }

    /** Advances to a revision without applying changes; all changes up to it were heartbeats. */
    advanceRevision(revision: number): void {
        if (!this.#needsList) {
            this.#revision = Math.max(this.#revision, revision);
        }
    }

    /** Records that a revision was the store's latest `ageMs` ago, according to a peer. */
    confirmRevision(revision: number, ageMs: number): void {
        if (revision === this.#revision && !this.#needsList && ageMs < this.ageMs()) {
            this.#recordResponse(ageMs);
        }
    }

    async #run(): Promise<void> {
        while (!this.#abort.signal.aborted) {
            const trustedMs = this.#options.applyMs * trustedAgeShare - this.ageMs();
            if (!this.#needsList && this.#watchRole() === "standby" && trustedMs > 0) {
                await this.#pause(Math.min(maxStandbyCheckMs, Math.max(minStandbyCheckMs, trustedMs)));
                continue;
            }
            const issue = this.#needsList ? await this.#readAll() : await this.#watch();
            if (issue === undefined || issue.code === "store.historyGone") {
                // A store that has dropped its history is reachable, so no leases have expired because of an outage.
                this.#needsList ||= issue !== undefined;
                this.#recordResponse();
                continue;
            }
            this.#recordIssue(issue);
            const delayMs = this.#watchRole() !== "standby" || this.#needsList ?
                Math.min(maxRetryMs, minRetryMs * 2 ** (this.#failures - 1)) :
                standbyRetryMs;
            await this.#pause(delayMs * (0.5 + this.#options.draw()));
        }
    }

    async #readAll(): Promise<StoreIssue | undefined> {
        const listed = await this.#options.store.list("");
        if (!listed.ok) {
            return listed.issue;
        }
        const formerRevision = this.#revision;
        this.#recordOrigin("listing");
        this.#recordResponse();
        // Newer changes may have been received from a peer during the call.
        if (listed.value.revision >= this.#revision) {
            this.#replaceAll(listed.value.items);
            this.#revision = listed.value.revision;
        }
        this.#needsList = false;
        this.#options.log.write(events.storeListed, {
            formerRevision,
            revision: this.#revision,
            items: this.#items.size,
            copyAgeMs: this.#origin.copyAgeMs,
        });
        return undefined;
    }

    async #watch(): Promise<StoreIssue | undefined> {
        const watched = await this.#options.store.watch("", {
            afterRevision: this.#revision,
            waitMs: this.#failures > 0 ?
                probeWaitMs :
                this.#watchRole() === "fleet" ?
                this.#options.applyMs * fleetWatchShare :
                watchWaitMs,
            signal: this.#abort.signal,
        });
        if (!watched.ok) {
            return watched.issue;
        }
        this.#recordOrigin("watch");
        this.#recordResponse();
        const formerRevision = this.#materialRevision;
        const changes = this.#applyAll(watched.value.changes);
        this.#revision = Math.max(this.#revision, watched.value.revision);
        if (changes.length > 0) {
            this.#onMaterialChanges(formerRevision, { isComplete: false, revision: this.#revision, ageMs: 0, changes });
        }
        if (watched.value.changes.length > 0) {
            await this.#pause(changes.length > 0 ? materialBatchMs : this.#options.applyMs * heartbeatBatchShare);
        }
        return undefined;
    }

    /** Applies changes and returns the material ones. */
    #applyAll(changes: readonly StoreChange[]): readonly StoreChange[] {
        const material = changes.filter(change => this.#apply(change) === "material");
        this.#materialRevision = Math.max(this.#materialRevision, ...material.map(change => Math.ceil(change.revision)));
        if (material.length > 0) {
            this.#options.onUpdate?.(this.#origin);
        }
        return material;
    }

    /** Applies a change unless the item is as new already; such a change counts as a heartbeat. */
    #apply(change: StoreChange): "material" | "heartbeat" {
        const known = this.#items.get(change.key);
        if (known !== undefined && known.revision >= change.revision) {
            return "heartbeat";
        }
        if (change.value === undefined) {
            this.#items.delete(change.key);
        }
        else {
            this.#items.set(change.key, { key: change.key, value: change.value, revision: change.revision });
        }
        const kinds = this.#listeners.filter(({ prefix }) => change.key.startsWith(prefix)).map(({ listener }) =>
            listener(change, this.#origin)
        );
        // A restored entry is a material change even if its value is unchanged, since peers have seen its removal.
        if (known !== undefined && kinds.length > 0 && kinds.every(kind => kind === "heartbeat")) {
            return "heartbeat";
        }
        this.#history.push(change);
        if (this.#history.length > historyLimit) {
            this.#historyFrom = this.#history.shift()?.revision ?? this.#historyFrom;
        }
        return "material";
    }

    #replaceAll(items: readonly StoreItem[]): void {
        const listed = new Set(items.map(item => item.key));
        const removed = [...this.#items.values()].filter(item => !listed.has(item.key));
        this.#applyAll([...removed.map(({ key, revision }) => ({ key, revision: revision + 0.5 })), ...items]);
        this.#history.length = 0;
        this.#historyFrom = Math.max(this.#revision, ...items.map(item => item.revision));
    }

    /** Records how the changes that are applied next reached this host. */
    #recordOrigin(way: ChangeWay): void {
        const copyAgeMs = roundAge(this.ageMs());
        this.#origin = { way, ...(copyAgeMs === undefined ? {} : { copyAgeMs }) };
    }

    #recordResponse(ageMs = 0): void {
        const { clock, log } = this.#options;
        this.#failures = 0;
        const respondedMs = clock.monotonicMs() - ageMs;
        // A standby host may notice an outage only when it ends.
        const wasUnreachable = this.#watchRole() === "standby" && respondedMs - this.#lastResponseMs > unreachableAfterMs;
        if ((this.#isUnreachable || wasUnreachable) && ageMs < unreachableAfterMs) {
            this.#isUnreachable = false;
            this.#reconnectedMs = respondedMs;
            log.write(events.storeReachable, { revision: this.#revision, ageMs: roundAge(this.ageMs()) });
        }
        this.#lastResponseMs = Math.max(this.#lastResponseMs, respondedMs);
    }

    #recordIssue(issue: StoreIssue): void {
        this.#failures += 1;
        // One failed or delayed watch does not mean that the store is down. For a standby host, outdated peers confirm the outage.
        if (
            !this.#isUnreachable && (this.#failures > 1 || this.#watchRole() === "standby") && this.ageMs() > unreachableAfterMs
        ) {
            this.#isUnreachable = true;
            this.#options.log.write(events.storeUnreachable, {
                code: issue.code,
                message: issue.message,
                revision: this.#revision,
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
