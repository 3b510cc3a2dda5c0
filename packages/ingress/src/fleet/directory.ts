import type { FailureDomainId, HostId } from "@filbertrelay/kernel";
import type { PeerExchange } from "./exchange.js";
import type { HostTable } from "./hosts.js";

/** Callers are given at most this many addresses. */
const addressLimit = 64;

/** Says which hosts callers should use. */
export class HostDirectory {
    readonly #hosts: HostTable;
    readonly #exchange: PeerExchange;
    readonly #hostId: HostId;

    constructor(options: { readonly hosts: HostTable; readonly exchange: PeerExchange; readonly hostId: HostId; }) {
        this.#hosts = options.hosts;
        this.#exchange = options.exchange;
        this.#hostId = options.hostId;
    }

    /**
     * Addresses for callers, those of the caller's failure domain first. Hosts that this one does not hear are left out while
     * others are left: their entries lapse later than they fail.
     */
    addresses(failureDomain: FailureDomainId | undefined): readonly string[] {
        const known = this.#hosts.list();
        const heard = known.filter(host => host.hostId === this.#hostId || this.#exchange.isHeard(host.hostId));
        const listed = heard.length * 2 > known.length ? heard : known;
        const ordered = [...listed].sort((left, right) =>
            Number(right.failureDomain === failureDomain) - Number(left.failureDomain === failureDomain)
        );
        return ordered.slice(0, addressLimit).map(host => host.callerAddress);
    }
}
