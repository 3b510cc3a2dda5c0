import { brandAs } from "@filbertrelay/kernel";
import type { HostId } from "@filbertrelay/kernel";
import type { ExchangePlan } from "@filbertrelay/policy/ingress";

/** Name under which a host outside of the exchange records the use of the whole fleet. */
export const fleetUseName = "fleet";

/** Returns the name under which the usage counts of one run of a host are recorded. */
export function nameCounts(hostId: string, incarnation: string): string {
    return `${hostId}/${incarnation}`;
}

/** Returns the name under which the use of a group is recorded. */
export function nameGroupUse(groups: number, group: number): string {
    return `${groupPrefix(groups)}${group}`;
}

/** Whether a name stands for a group of the present number of groups. */
export function isGroupUse(name: string, groups: number): boolean {
    return name.startsWith(groupPrefix(groups));
}

/** What decides which report includes the use of a host or a group. */
export interface UseSources {
    readonly isParticipant: boolean;
    readonly plan: ExchangePlan;
    readonly isRegistered: (hostId: HostId) => boolean;
    readonly isAttached: (hostId: HostId) => boolean;
}

/** Whether the use recorded under a name is included in another report now. */
export function isInOtherReport(name: string, { isParticipant, plan, isRegistered, isAttached }: UseSources): boolean {
    if (name === fleetUseName) {
        return isParticipant;
    }
    if (name.startsWith("group/")) {
        return !isParticipant || !isGroupUse(name, plan.groups);
    }
    // The use of a host that has ended counts until it leaves the window.
    const hostId = brandAs<HostId>(name);
    return isRegistered(hostId) && !plan.groupPeers.includes(hostId) && !isAttached(hostId);
}

function groupPrefix(groups: number): string {
    return `group/${groups}/`;
}
