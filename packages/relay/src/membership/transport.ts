import type { HostId } from "@filbertrelay/kernel";
import type { Gossip, MembershipMessage } from "@filbertrelay/policy";
import type { PeerNetwork } from "@filbertrelay/wire";
import {
    encodePing,
    encodePingRequest,
    encodePush,
    encodeSync,
    pingRequestTopic,
    pingTopic,
    pushTopic,
    syncTopic,
} from "./topic.js";

// The state machine has its own probe timeouts; a reply that arrives after them is still used for its gossip.
const timeoutPeriods = 6;

/** A message that is sent as a request. */
export type RequestMessage = Exclude<MembershipMessage, { readonly kind: "ack" | "nack" | "syncReply"; }>;

/** Sends a message and returns the peer's reply; `undefined` when there is none. */
export async function sendMessage(
    network: PeerNetwork,
    to: HostId,
    message: RequestMessage,
    periodMs: number,
): Promise<MembershipMessage | undefined> {
    // Idle connections need no check before use: probes are repeated, and indirect probes use the connections of other hosts. At 360
    // hosts nearly every connection is idle between two probes, so nearly every probe would cause a check.
    const options = { timeoutMs: timeoutPeriods * periodMs, isRepeatable: true };
    switch (message.kind) {
        case "ping": {
            const reply = await network.call(to, pingTopic, encodePing(message), options);
            return reply.ok ? toPingReply(message.sequence, reply.value) : undefined;
        }
        case "pingRequest": {
            const reply = await network.call(to, pingRequestTopic, encodePingRequest(message), options);
            return reply.ok ? toPingReply(message.sequence, reply.value) : undefined;
        }
        case "sync": {
            const reply = await network.call(to, syncTopic, encodeSync(message), options);
            return reply.ok ? { kind: "syncReply", ...reply.value } : undefined;
        }
        case "push":
            await network.call(to, pushTopic, encodePush(message), options);
            return undefined;
    }
}

function toPingReply(sequence: number, reply: { readonly isReached: boolean; readonly gossip: Gossip; }): MembershipMessage {
    return { kind: reply.isReached ? "ack" : "nack", sequence, gossip: reply.gossip };
}
