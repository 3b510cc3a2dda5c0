import type { FailureDomainId } from "@filbertrelay/kernel";
import type { EndpointGroup } from "./endpointgroup.js";

/** What a connection that was accepted or failed says of its group holds for this long. */
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

/** Whether a probe can tell if the cut of other groups extends to this one. */
export function isUndecided(group: EndpointGroup, cut: readonly EndpointGroup[], nowMs: number): boolean {
    const related = cut.filter(other => other.failureDomain === group.failureDomain || other.service === group.service);
    const sinceMs = Math.max(nowMs - recentMs, Math.min(...related.map(other => other.cutSinceMs)));
    return !group.isCut && related.length > 0 && !group.hasAcceptedSince(sinceMs);
}

/** Concludes from the groups that are cut off to whole failure domains, whole services, and all endpoints. */
export function coverGroups(groups: readonly EndpointGroup[], nowMs: number): CutCover {
    const cut = groups.filter(group => group.isCut && !group.isReturning);
    if (cut.length === 0) {
        return emptyCover;
    }
    const domains = new Set(groups.map(group => group.failureDomain));
    const services = new Set(groups.map(group => group.service));
    const isCovered = (members: readonly EndpointGroup[]): boolean => {
        const cutMembers = members.filter(group => cut.includes(group));
        // Bytes on connections that were open before don't tell that there is a way for new ones.
        const sinceMs = Math.max(nowMs - recentMs, Math.min(...cutMembers.map(group => group.cutSinceMs)));
        return cutMembers.length >= Math.min(2, members.length) &&
            !members.some(group => group.isReturning || group.hasAcceptedSince(sinceMs));
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
