/**
 * Whether a host watches the store for itself, for the whole fleet, or only when the state it gets from peers is too old. A `reserve`
 * host does so sooner than a `standby` host.
 */
export type WatchRole = "own" | "fleet" | "reserve" | "standby";

/**
 * A host that leaves the watch to others watches the store itself when the mirror is older than this share of `applyMs`; the rest
 * covers its own call. The reserve is sooner, so that a few hosts take over and not the whole fleet.
 */
const trustedAgeShares = { reserve: 0.6, standby: 0.75 };

/** Age up to which the state that peers pass on replaces a watch of the store, in milliseconds; 0 for a host that always watches. */
export function trustedAgeMs(role: WatchRole, applyMs: number): number {
    return role === "reserve" || role === "standby" ? applyMs * trustedAgeShares[role] : 0;
}
