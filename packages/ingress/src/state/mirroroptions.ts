import type { Store } from "@filbertrelay/connectors";
import type { Clock, EventLog } from "@filbertrelay/kernel";
import type { CopyPosition, OwnedPrefix } from "@filbertrelay/policy/ingress";
import type { ChangeOrigin } from "./itemview.js";

/** How far a peer's copy of the store reaches. */
export interface PeerPosition extends CopyPosition {
    /** When the peer's position was the store's latest, in this host's monotonic milliseconds, if known. */
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
    /** Keys whose values have versions of their own, which survive a restore of the store; none by default. */
    readonly ownedPrefixes?: readonly OwnedPrefix[];
    /** Keys of which listeners need only the newest value, not each one before it; none by default. */
    readonly newestOnlyPrefixes?: readonly string[];
    /** Called for each material change. */
    readonly onUpdate?: (origin: ChangeOrigin) => void;
    /** Called for each change that a listener failed to take. */
    readonly onListenerError?: () => void;
}
