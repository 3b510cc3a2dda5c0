import type { Clock, FailureDomainId, HostId } from "@filbertrelay/kernel";
import { chooseHostsForCaller } from "@filbertrelay/policy/ingress";
import type { ServingHosts } from "./servinghosts.js";

/** Callers are given at most this many addresses. */
const addressLimit = 64;
/** Answers stay the same for this long, because callers leave the connections to hosts that a new answer does not name. */
const answerLifeMs = 20_000;

/** Says which hosts callers should use. */
export class HostDirectory {
    readonly #clock: Clock;
    readonly #serving: ServingHosts;
    readonly #hostId: HostId;
    readonly #ownAddress: () => string | undefined;

    constructor(options: {
        readonly clock: Clock;
        readonly serving: ServingHosts;
        readonly hostId: HostId;
        /** Where this host takes callers; `undefined` while it stops. */
        readonly ownAddress: () => string | undefined;
    }) {
        this.#clock = options.clock;
        this.#ownAddress = options.ownAddress;
        this.#serving = options.serving;
        this.#hostId = options.hostId;
    }

    /** Addresses for callers, those of the caller's failure domain first; this host's own while no host is known. */
    addresses(failureDomain: FailureDomainId | undefined): readonly string[] {
        this.#serving.refresh();
        const key = `${this.#hostId}/${Math.floor(this.#clock.monotonicMs() / answerLifeMs)}`;
        const chosen = chooseHostsForCaller(this.#serving.serving, { failureDomain, limit: addressLimit, key });
        const own = this.#ownAddress();
        return chosen.length > 0 || own === undefined ? chosen.map(host => host.callerAddress) : [own];
    }
}
