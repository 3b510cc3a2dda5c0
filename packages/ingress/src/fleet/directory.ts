import type { Clock, FailureDomainId, HostId } from "@filbertrelay/kernel";
import { chooseForCaller } from "@filbertrelay/policy/ingress";
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

    constructor(options: { readonly clock: Clock; readonly serving: ServingHosts; readonly hostId: HostId; }) {
        this.#clock = options.clock;
        this.#serving = options.serving;
        this.#hostId = options.hostId;
    }

    /** Addresses for callers, those of the caller's failure domain first. */
    addresses(failureDomain: FailureDomainId | undefined): readonly string[] {
        this.#serving.refresh();
        const key = `${this.#hostId}/${Math.floor(this.#clock.monotonicMs() / answerLifeMs)}`;
        const chosen = chooseForCaller(this.#serving.serving, { failureDomain, limit: addressLimit, key });
        return chosen.map(host => host.callerAddress);
    }
}
