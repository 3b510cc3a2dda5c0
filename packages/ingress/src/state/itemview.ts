import type { StoreChange, StoreItem } from "@filbertrelay/connectors";
import { InvariantError } from "@filbertrelay/kernel";
import type { Clock, EventLog } from "@filbertrelay/kernel";
import { OwnedValues } from "@filbertrelay/policy/ingress";
import type { DisputedItem, OwnedPrefix } from "@filbertrelay/policy/ingress";
import { describeError } from "../describeerror.js";
import { stateEvents as events } from "./event.js";

/** How changes reached this host: its own watch or listing of the store, a push from a peer, or a fetch from one. */
export type ChangeWay = "watch" | "listing" | "push" | "fetch";

/** Describes how a change reached this host. */
export interface ChangeOrigin {
    readonly way: ChangeWay;
    /** Age of the copy before the change, in milliseconds: an upper bound of the change's delay. Absent before the first read. */
    readonly copyAgeMs?: number;
}

/** Whether peers need to know of a change. */
export type ChangeKind = "material" | "heartbeat";

/** Receives each change of an item that takes effect; a removed item has no value. */
export type ItemListener = (change: StoreChange, origin: ChangeOrigin) => ChangeKind;

/** Options of `ItemView`. */
export interface ItemViewOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Keys whose values have versions of their own. */
    readonly ownedPrefixes: readonly OwnedPrefix[];
    /** Reads an item as the store holds it. */
    readonly readStored: (key: string) => StoreItem | undefined;
    /** Called for each material change. */
    readonly onMaterialChange: (origin: ChangeOrigin) => void;
    /** Called for each change that a listener failed to take. */
    readonly onListenerError: () => void;
}

/** The items that are in effect on this host, and who is told of their changes. */
export class ItemView {
    readonly #options: ItemViewOptions;
    readonly #owned: OwnedValues;
    readonly #listeners: { readonly prefix: string; readonly listener: ItemListener; }[] = [];
    #cancelSettling: () => void = () => undefined;

    constructor(options: ItemViewOptions) {
        this.#options = options;
        this.#owned = new OwnedValues(options.ownedPrefixes);
    }

    get(key: string): StoreItem | undefined {
        if (!this.#owned.isOwned(key)) {
            return this.#options.readStored(key);
        }
        const known = this.#owned.get(key);
        return known === undefined ? undefined : { key, ...known };
    }

    /** Registers a listener for the keys under a prefix. */
    listen(prefix: string, listener: ItemListener): void {
        this.#listeners.push({ prefix, listener });
    }

    /** Takes a change of the store; `isRestored` marks what a restore has changed. */
    apply(change: StoreChange, isRestored: boolean, origin: ChangeOrigin): ChangeKind {
        return this.#contain(change, () => this.#apply(change, isRestored, origin));
    }

    #apply(change: StoreChange, isRestored: boolean, origin: ChangeOrigin): ChangeKind {
        if (!this.#owned.apply(change, isRestored, this.#nowMs())) {
            this.#options.log.write(events.entryDisputed, {
                key: change.key,
                isRemoved: change.value === undefined,
                revision: change.revision,
                isRestored,
            });
            this.#scheduleSettling();
            return "material";
        }
        return this.#notify(change, origin);
    }

    /** Equal on hosts whose items in effect differ from the store in the same way; empty without differences. */
    disputeDigest(): string {
        return this.#owned.digest();
    }

    /** The items that differ from what the restored store holds. */
    disputes(): readonly DisputedItem[] {
        return this.#owned.disputes(this.#nowMs());
    }

    /** Takes over what a peer knows to be newer than the restored store. */
    mergeDisputes(items: readonly DisputedItem[], origin: ChangeOrigin): void {
        this.#owned.merge(items, this.#nowMs()).forEach(change => this.#notify(change, origin));
        this.#scheduleSettling();
    }

    stop(): void {
        this.#cancelSettling();
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }

    #scheduleSettling(): void {
        this.#cancelSettling();
        const nextMs = this.#owned.nextSettleMs();
        if (nextMs !== undefined) {
            this.#cancelSettling = this.#options.clock.after(Math.max(0, nextMs - this.#nowMs()), () => {
                this.#owned.settle(this.#nowMs()).forEach(change => this.#notify(change, { way: "listing" }));
                this.#scheduleSettling();
            });
        }
    }

    #notify(change: StoreChange, origin: ChangeOrigin): ChangeKind {
        const kinds = this.#listeners.filter(({ prefix }) => change.key.startsWith(prefix)).map(({ listener }) =>
            this.#contain(change, () => listener(change, origin))
        );
        const kind = kinds.length > 0 && kinds.every(each => each === "heartbeat") ? "heartbeat" : "material";
        if (kind === "material") {
            this.#options.onMaterialChange(origin);
        }
        return kind;
    }

    /** An error in the reading of one entry leaves the others in effect. */
    #contain(change: StoreChange, read: () => ChangeKind): ChangeKind {
        try {
            return read();
        }
        catch (error) {
            if (error instanceof InvariantError) {
                throw error;
            }
            this.#options.onListenerError();
            this.#options.log.write(events.entryBroken, {
                key: change.key,
                revision: change.revision,
                error: describeError(error),
            });
            return "material";
        }
    }
}
