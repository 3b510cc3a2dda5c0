import type { Member } from "../contract.js";
import type { EntryPoint } from "./error.js";

/** Ranks the entry hosts that are alive: those in the caller's failure domain first, then the least loaded. */
export function rankEntryPoints(
    members: readonly Member[],
    options: { readonly failureDomain?: string | undefined; readonly openRequests: (member: Member) => number; },
): readonly EntryPoint[] {
    const alive = members.filter(member => member.state === "alive");
    const ranked = alive.sort((left, right) =>
        Number(right.failureDomain === options.failureDomain) - Number(left.failureDomain === options.failureDomain) ||
        options.openRequests(left) - options.openRequests(right) ||
        left.hostId.localeCompare(right.hostId)
    );
    return ranked.map(({ hostId, callerAddress, failureDomain }) => ({ hostId, address: callerAddress, failureDomain }));
}
