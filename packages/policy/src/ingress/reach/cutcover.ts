import type { FailureDomainId } from "@filbertrelay/kernel";
import type { EndpointGroup } from "./endpointgroup.js";

/** Groups that failed this recently, and were not heard since, are cut off with all others. */
const recentMs = 3_000;

/** What the groups that are cut off say of those that this host has not tried. */
export interface CutCover {
    readonly domains: ReadonlySet<FailureDomainId>;
    readonly services: ReadonlySet<string>;
    /** Whether there is no way to any endpoint. */
    readonly isAll: boolean;
}

/** Nothing is cut off. */
export const emptyCover: CutCover = { domains: new Set(), services: new Set(), isAll: false };

/** Concludes from the groups that are cut off to whole failure domains, whole services, and all endpoints. */
export function coverGroups(groups: readonly EndpointGroup[], nowMs: number): CutCover {
    const cut = groups.filter(group => group.isCut && !group.isReturning);
    if (cut.length === 0) {
        return emptyCover;
    }
    const domains = new Set(groups.map(group => group.failureDomain));
    const services = new Set(groups.map(group => group.service));
    const isCovered = (members: readonly EndpointGroup[]): boolean => {
        // Where open connections live on, only new ones tell whether there is a way.
        const isOpen = members.some(group => group.isOpen(nowMs));
        const isReached = members.some(group => isOpen ? group.isReturning || group.isAccepting(nowMs) : group.isSound(nowMs));
        return !isReached && members.filter(group => cut.includes(group)).length >= Math.min(2, members.length);
    };
    const cutDomains = new Set(cut.map(group => group.failureDomain));
    const cutServices = new Set(cut.map(group => group.service));
    return {
        domains: new Set([...cutDomains].filter(domain => isCovered(groups.filter(group => group.failureDomain === domain)))),
        services: new Set([...cutServices].filter(service => isCovered(groups.filter(group => group.service === service)))),
        isAll: isCovered(groups) &&
            cutDomains.size >= Math.min(2, domains.size) &&
            cutServices.size >= Math.min(2, services.size) &&
            [...domains].every(domain => isTried(groups.filter(group => group.failureDomain === domain), nowMs)),
    };
}

function isTried(members: readonly EndpointGroup[], nowMs: number): boolean {
    return members.some(group => group.isCut || group.hasFailedSince(nowMs - recentMs));
}
