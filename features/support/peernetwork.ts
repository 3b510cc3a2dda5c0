import { silentEventLog } from "@filbertrelay/kernel";
import type { Clock, HostId } from "@filbertrelay/kernel";
import { createPeerNetwork } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";

/** Creates the network of one host of a test; all hosts have the same key. */
export function createTestPeers(
    clock: Clock,
    hostId: HostId,
    listenAddress: string,
    frameBytes = 1_048_576,
): TcpPeerNetwork {
    return createPeerNetwork({
        clock,
        log: silentEventLog,
        hostId,
        listenAddress,
        keys: ["a-key-of-sixteen-characters"],
        frameBytes,
    });
}
