import { StreamVersions } from "@filbertrelay/ingress";
import { createSystemClock, silentEventLog } from "@filbertrelay/kernel";
import type { HostId } from "@filbertrelay/kernel";
import { createFleetClock, VersionHistory } from "@filbertrelay/policy";
import type { PlacedHost } from "@filbertrelay/policy";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import { createTestPeers } from "./peernetwork.js";

const clock = createSystemClock();

/** The part of a host that knows the versions of streams. */
export class RememberingHost {
    readonly history = new VersionHistory(Date.now() - 600_000);
    readonly network: TcpPeerNetwork;
    readonly streams: StreamVersions;

    constructor(
        readonly hostId: HostId,
        readonly address: string,
        listHosts: () => readonly PlacedHost[],
    ) {
        this.network = createTestPeers(clock, hostId, address);
        this.streams = new StreamVersions({
            clock,
            fleetClock: createFleetClock({ clock }),
            log: silentEventLog,
            hostId,
            peers: this.network,
            history: this.history,
            listHosts,
            isReachable: () => true,
            archive: () => undefined,
            copyAgeMs: () => 0,
        });
    }

    observe(versions: readonly string[]): void {
        const present = new Map([["assistant", new Set(versions)]]);
        this.history.observe(present, Date.now());
        this.streams.recordVersions(present);
    }
}
