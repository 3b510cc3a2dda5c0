import type { HostId } from "@filbertrelay/kernel";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import type { HostTable } from "./hosts.js";

/** Tells the peer network the addresses of the registered hosts. */
export class PeerAddresses {
    readonly #peers: TcpPeerNetwork;
    readonly #hosts: HostTable;
    readonly #self: HostId;
    readonly #known = new Map<HostId, string>();

    constructor(peers: TcpPeerNetwork, hosts: HostTable, self: HostId) {
        this.#peers = peers;
        this.#hosts = hosts;
        this.#self = self;
    }

    /** Takes over the addresses that have changed; `onGone` gets the hosts that are no longer registered. */
    update(onGone: (hostId: HostId) => void): void {
        for (const { hostId, peerAddress } of this.#hosts.list()) {
            if (hostId !== this.#self && this.#known.get(hostId) !== peerAddress) {
                this.#known.set(hostId, peerAddress);
                this.#peers.setAddress(hostId, peerAddress);
            }
        }
        for (const hostId of this.#known.keys()) {
            if (this.#hosts.get(hostId) === undefined) {
                this.#known.delete(hostId);
                onGone(hostId);
                this.#peers.forget(hostId);
            }
        }
    }
}
