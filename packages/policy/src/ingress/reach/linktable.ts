import type { EndpointId, FailureDomainId } from "@filbertrelay/kernel";
import { EndpointGroup } from "./endpointgroup.js";
import { EndpointLink } from "./endpointlink.js";
import type { ReachedEndpoint } from "./endpointlink.js";

/** The links of a host to endpoints, and the groups that these form. */
export class LinkTable {
    readonly #links = new Map<EndpointId, EndpointLink>();
    readonly #byProcess = new Map<string, EndpointLink>();
    readonly #byKey = new Map<string, EndpointLink>();
    /** By failure domain and service. */
    readonly #groups = new Map<FailureDomainId, Map<string, EndpointGroup>>();
    #list: readonly EndpointGroup[] = [];
    /** Links on which connections fail. */
    readonly failing = new Set<EndpointLink>();
    /** Links on which a connection with a request was lost; may hold some that are sound again. */
    readonly lost = new Set<EndpointLink>();
    /** Links on which requests are waited for. */
    readonly waiting = new Set<EndpointLink>();

    get groups(): readonly EndpointGroup[] {
        return this.#list;
    }

    find({ endpointId, startedAtMs }: ReachedEndpoint): EndpointLink | undefined {
        const link = this.#links.get(endpointId);
        return link?.endpoint.startedAtMs === startedAtMs ? link : undefined;
    }

    findProcess(process: string): EndpointLink | undefined {
        return this.#byProcess.get(process);
    }

    /** The link to a process; `undefined` for one that a later process has replaced. */
    open(endpoint: ReachedEndpoint): EndpointLink | undefined {
        const known = this.#links.get(endpoint.endpointId);
        if (known !== undefined && known.endpoint.startedAtMs >= endpoint.startedAtMs) {
            return known.endpoint.startedAtMs === endpoint.startedAtMs ? known : undefined;
        }
        this.forget(endpoint.endpointId);
        const link = new EndpointLink(endpoint, this.groupOf(endpoint));
        this.#links.set(endpoint.endpointId, link);
        this.#byProcess.set(link.process, link);
        return link;
    }

    groupOf({ failureDomain, service }: ReachedEndpoint): EndpointGroup {
        const known = this.#groups.get(failureDomain)?.get(service);
        if (known !== undefined) {
            return known;
        }
        const group = new EndpointGroup(failureDomain, service);
        const groups = this.#groups.get(failureDomain) ?? new Map<string, EndpointGroup>();
        this.#groups.set(failureDomain, groups.set(service, group));
        this.#list = [...this.#list, group];
        return group;
    }

    startWait(key: string, link: EndpointLink, sentMs: number, awakeMs: number): void {
        link.awaited.set(key, { sentMs, awakeMs });
        this.#byKey.set(key, link);
        this.waiting.add(link);
    }

    endWait(key: string): void {
        const link = this.#byKey.get(key);
        this.#byKey.delete(key);
        if (link?.awaited.delete(key) === true && link.awaited.size === 0) {
            this.waiting.delete(link);
        }
    }

    /** Sorts the endpoints that exist by group, and drops the links and groups that are gone. */
    listGroups(endpoints: readonly ReachedEndpoint[]): ReadonlyMap<EndpointGroup, readonly ReachedEndpoint[]> {
        // The rest of an answer may come after its endpoint was forgotten, and bring its link back.
        const existing = new Set(endpoints.map(({ endpointId }) => endpointId));
        [...this.#links.keys()].filter(id => !existing.has(id)).forEach(id => this.forget(id));
        const members = new Map<EndpointGroup, ReachedEndpoint[]>();
        for (const endpoint of endpoints) {
            const group = this.groupOf(endpoint);
            const known = members.get(group);
            if (known === undefined) {
                members.set(group, [endpoint]);
            }
            else {
                known.push(endpoint);
            }
        }
        const used = new Set([...this.#links.values()].map(link => link.group));
        for (const group of this.groups) {
            group.size = members.get(group)?.length ?? 0;
            if (group.size === 0 && !used.has(group)) {
                this.#groups.get(group.failureDomain)?.delete(group.service);
                this.#list = this.#list.filter(other => other !== group);
            }
        }
        return members;
    }

    /** Forgets connections that were lost before a time, or on links that are sound again. */
    dropOldLosses(beforeMs: number): void {
        for (const link of this.lost) {
            if (link.lostMs < beforeMs || link.troubleMs === -Infinity) {
                this.lost.delete(link);
            }
        }
    }

    forget(endpointId: EndpointId): void {
        const link = this.#links.get(endpointId);
        if (link !== undefined) {
            this.#links.delete(endpointId);
            this.#byProcess.delete(link.process);
            [...link.awaited.keys()].forEach(key => this.#byKey.delete(key));
            this.failing.delete(link);
            this.lost.delete(link);
            this.waiting.delete(link);
        }
    }

    /** Endpoints from which this host gets nothing though it waits, where it hears no other of their failure domain or service. */
    listSilent(silentMs: number, awakeMs: number, nowMs: number): readonly EndpointLink[] {
        const silent = [...this.waiting].filter(link => link.silentForMs(awakeMs) >= silentMs);
        if (silent.length < 2) {
            return [];
        }
        const isQuiet = (isMember: (group: EndpointGroup) => boolean): boolean =>
            this.groups.every(group => !isMember(group) || nowMs - group.heardMs >= silentMs) &&
            silent.filter(link => isMember(link.group)).length >= 2;
        const domains = new Set<FailureDomainId>(silent.map(link => link.group.failureDomain));
        const services = new Set(silent.map(link => link.group.service));
        const quietDomains = [...domains].filter(domain => isQuiet(group => group.failureDomain === domain));
        const quietServices = [...services].filter(service => isQuiet(group => group.service === service));
        return silent.filter(({ group }) => quietDomains.includes(group.failureDomain) || quietServices.includes(group.service));
    }
}
