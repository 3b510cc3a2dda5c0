import type { Clock, FailureDomainId, HostId } from "@filbertrelay/kernel";
import { chooseHostsForCaller, preferConnectedHosts } from "@filbertrelay/policy/ingress";
import type { ServingHosts } from "./servinghosts.js";

/** Maximum number of addresses in a response. */
const addressLimit = 64;
/** Responses are stable for this long: callers drop their connections to hosts that a new response no longer lists. */
const responseTtlMs = 20_000;

/** Selects the hosts that callers should connect to. */
export class HostDirectory {
    readonly #clock: Clock;
    readonly #serving: ServingHosts;
    readonly #hostId: HostId;
    readonly #strandedHosts: () => ReadonlySet<HostId>;
    readonly #ownAddress: () => string | undefined;

    constructor(options: {
        readonly clock: Clock;
        readonly serving: ServingHosts;
        readonly hostId: HostId;
        /** Hosts that have lost their links to all endpoints, including this one. */
        readonly strandedHosts: () => ReadonlySet<HostId>;
        /** Address at which this host accepts callers; `undefined` while it stops. */
        readonly ownAddress: () => string | undefined;
    }) {
        this.#clock = options.clock;
        this.#ownAddress = options.ownAddress;
        this.#serving = options.serving;
        this.#strandedHosts = options.strandedHosts;
        this.#hostId = options.hostId;
    }

    /** Addresses for callers, those in the caller's failure domain first; only this host's own address while no host is known. */
    addresses(failureDomain: FailureDomainId | undefined): readonly string[] {
        this.#serving.refresh();
        const key = `${this.#hostId}/${Math.floor(this.#clock.monotonicMs() / responseTtlMs)}`;
        const listed = preferConnectedHosts(this.#serving.serving, this.#strandedHosts());
        const chosen = chooseHostsForCaller(listed, { failureDomain, limit: addressLimit, key });
        const own = this.#ownAddress();
        return chosen.length > 0 || own === undefined ? chosen.map(host => host.callerAddress) : [own];
    }
}
