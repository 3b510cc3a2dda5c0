import type { Store, StoreChange, StoreIssue, StoreItem, StorePosition } from "@filbertrelay/connectors";
import type { Clock } from "@filbertrelay/kernel";
import { StoreReadPlan } from "@filbertrelay/policy/ingress";
import type { StoreContact } from "./storecontact.js";
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

/** What a reader needs to know of the copy that it keeps up to date. */
export interface ReadCopy {
    /** The copy lacks the changes after this position; revision 0 before the first listing. */
    readonly position: StorePosition;
    /** Milliseconds since the copy was the store's latest state. */
    readonly ageMs: number;
    /** Estimated length of a listing of all items, in bytes. */
    readonly listingBytes: number;
}

/** Options of `StoreReader`. */
export interface StoreReaderOptions {
    readonly store: Store;
    readonly clock: Clock;
    /** Uniform in [0, 1); adds jitter to the hosts' retries. */
    readonly draw: () => number;
    /** Time within which a host must apply a change. */
    readonly applyMs: number;
    readonly contact: StoreContact;
    readonly describeCopy: () => ReadCopy;
    readonly watchRole: () => WatchRole;
    /** Returns the length of the values that have changed since its last call, in characters. */
    readonly takeChangedCharacters: () => number;
    /** Applies a listing that was the store's latest state at a time, in monotonic milliseconds. */
    readonly onListed: (listed: StorePosition & { readonly items: readonly StoreItem[]; }, atMs: number) => void;
    /** Applies changes after which nothing had changed at a time. Returns whether they were more than heartbeats. */
    readonly onWatched: (watched: StorePosition & { readonly changes: readonly StoreChange[]; }, atMs: number) => boolean;
}

/** Reads the store, by watches and listings, when the copy of this host needs it. */
export class StoreReader {
    readonly #options: StoreReaderOptions;
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
    #loop: Promise<void> | undefined;

    constructor(options: StoreReaderOptions) {
        this.#options = options;
        this.#plan = new StoreReadPlan(options.applyMs);
    }

    /** Whether the copy can only be brought up to date by a listing. */
    get needsList(): boolean {
        return this.#needsList;
    }

    /** Milliseconds since a read of the store failed; infinite if none has, or a later one succeeded. */
    sinceReadFailedMs(): number {
        return this.#nowMs() - this.#readFailedMs;
    }

    /** Reads the store once as soon as possible, also on a host that relies on peers. */
    readSoon(): void {
        this.#isReadDue = true;
        this.#wake();
    }

    /** Ends a watch in progress and lists the store. */
    listInsteadOfWatching(reason: string): void {
        this.#needsList = true;
        this.#watchAbort.abort(new Error(reason));
    }

    start(): void {
        this.#loop = this.#run();
    }

    async stop(): Promise<void> {
        this.#abort.abort(new Error("The store mirror is stopping."));
        this.#watchAbort.abort(new Error("The store mirror is stopping."));
        await this.#loop;
    }

    async #run(): Promise<void> {
        while (!this.#abort.signal.aborted) {
            const trustedMs = this.#trustedAgeMs() - this.#options.describeCopy().ageMs;
            if (!this.#needsList && !this.#isReadDue && trustedMs > 0) {
                await this.#pauseUntilWoken(Math.min(maxStandbyCheckMs, Math.max(minStandbyCheckMs, trustedMs)));
                continue;
            }
            const issue = this.#needsList || this.#plan.isListingDue ? await this.#list() : await this.#watch();
            if (issue === undefined) {
                this.#isReadDue = false;
                this.#readFailedMs = -Infinity;
            }
            else {
                await this.#recover(issue);
            }
        }
    }

    async #recover(issue: StoreIssue): Promise<void> {
        const { contact } = this.#options;
        if (issue.code === "store.abandoned") {
            this.#plan.recordAbandonedWatch();
            contact.recordResponse(this.#nowMs());
        }
        else if (issue.code === "store.historyGone" || issue.code === "store.restored") {
            // A store that has dropped its history is reachable, so no leases have expired because of an outage.
            this.#needsList = true;
            contact.recordResponse(this.#nowMs());
            await this.#pause(this.#retryMs(this.#listings));
        }
        else {
            contact.recordIssue(issue);
            this.#isReadDue = false;
            this.#readFailedMs = this.#nowMs();
            const isUrgent = this.#trustedAgeMs() === 0 || this.#needsList;
            await this.#pause(isUrgent ? this.#retryMs(contact.failures) : this.#addJitter(standbyRetryMs));
        }
    }

    /** Delay of the next call after a number of calls in vain. */
    #retryMs(count: number): number {
        return count === 0 ? 0 : this.#addJitter(Math.min(maxRetryMs, minRetryMs * 2 ** (count - 1)));
    }

    #addJitter(ms: number): number {
        return ms * (0.5 + this.#options.draw());
    }

    #trustedAgeMs(): number {
        return trustedAgeMs(this.#options.watchRole(), this.#options.applyMs);
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }

    async #list(): Promise<StoreIssue | undefined> {
        const { store, contact, describeCopy, onListed, takeChangedCharacters, applyMs } = this.#options;
        const startMs = this.#nowMs();
        this.#listings += 1;
        const listed = await store.list("");
        if (!listed.ok) {
            return listed.issue;
        }
        const isFirst = describeCopy().position.revision === 0;
        const respondedMs = this.#nowMs();
        contact.recordResponse(respondedMs);
        onListed(listed.value, startMs);
        this.#needsList = store.era > listed.value.era;
        const changedCharacters = takeChangedCharacters();
        this.#plan.recordListing({
            elapsedMs: respondedMs - startMs,
            changedCharacters: isFirst ? 0 : changedCharacters,
            listingBytes: describeCopy().listingBytes,
        });
        if (this.#plan.isListingDue) {
            await this.#pause(applyMs * batchShare);
        }
        return undefined;
    }

    async #watch(): Promise<StoreIssue | undefined> {
        const { store, contact, describeCopy, onWatched, takeChangedCharacters, applyMs } = this.#options;
        const startMs = this.#nowMs();
        const waitMs = this.#chooseWaitMs();
        this.#watchAbort = new AbortController();
        const { position, listingBytes } = describeCopy();
        const watched = await store.watch("", {
            after: position,
            waitMs,
            signal: this.#watchAbort.signal,
            isWorthwhile: progress => this.#plan.isWatchWorthwhile(progress, listingBytes),
        });
        if (!watched.ok) {
            return this.#needsList ? undefined : watched.issue;
        }
        const hasChanges = watched.value.changes.length > 0;
        const respondedMs = this.#nowMs();
        this.#listings = 0;
        contact.recordResponse(respondedMs);
        // The store answers once there is a change, which may be right after the call, and otherwise not before the end of the wait.
        const isMaterial = onWatched(watched.value, hasChanges ? startMs : Math.min(respondedMs, startMs + waitMs));
        this.#plan.recordWatch();
        takeChangedCharacters();
        if (hasChanges) {
            await this.#pause(isMaterial ? materialBatchMs : applyMs * batchShare);
        }
        return undefined;
    }

    #chooseWaitMs(): number {
        if (this.#options.contact.failures > 0) {
            return probeWaitMs;
        }
        return this.#options.watchRole() === "fleet" ? this.#options.applyMs * fleetWatchShare : watchWaitMs;
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
