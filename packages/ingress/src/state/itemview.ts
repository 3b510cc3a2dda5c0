import type { StoreChange, StoreItem } from "@filbertrelay/connectors";

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
    /** Reads an item as the store holds it. */
    readonly readStored: (key: string) => StoreItem | undefined;
    /** Called for each material change. */
    readonly onMaterialChange: (origin: ChangeOrigin) => void;
}

/** The items that are in effect on this host, and who is told of their changes. */
export class ItemView {
    readonly #options: ItemViewOptions;
    readonly #listeners: { readonly prefix: string; readonly listener: ItemListener; }[] = [];

    constructor(options: ItemViewOptions) {
        this.#options = options;
    }

    get(key: string): StoreItem | undefined {
        return this.#options.readStored(key);
    }

    /** Registers a listener for the keys under a prefix. */
    listen(prefix: string, listener: ItemListener): void {
        this.#listeners.push({ prefix, listener });
    }

    /** Takes a change of the store. */
    apply(change: StoreChange, origin: ChangeOrigin): ChangeKind {
        const kinds = this.#listeners.filter(({ prefix }) => change.key.startsWith(prefix)).map(({ listener }) =>
            listener(change, origin)
        );
        const kind = kinds.length > 0 && kinds.every(each => each === "heartbeat") ? "heartbeat" : "material";
        if (kind === "material") {
            this.#options.onMaterialChange(origin);
        }
        return kind;
    }
}
