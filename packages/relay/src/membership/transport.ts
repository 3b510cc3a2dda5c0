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

// The machine decides by its own timers; a reply that comes later still carries changes.
const timeoutPeriods = 6;

/** A message that is sent as a request. */
export type RequestMessage = Exclude<MembershipMessage, { readonly kind: "ack" | "nack" | "syncReply"; }>;

/** Sends a message and gives the peer's answer; `undefined` when there is none. */
export async function sendMessage(
    network: PeerNetwork,
    to: HostId,
    message: RequestMessage,
    periodMs: number,
): Promise<MembershipMessage | undefined> {
    // Probes are repeated and helpers use connections of their own. At 360 hosts nearly every connection is quiet between two probes.
    const options = { timeoutMs: timeoutPeriods * periodMs, isRepeatable: true };
    switch (message.kind) {
        case "ping": {
            const reply = await network.call(to, pingTopic, encodePing(message), options);
            return reply.ok ? describeAnswer(message.sequence, reply.value) : undefined;
        }
        case "pingRequest": {
            const reply = await network.call(to, pingRequestTopic, encodePingRequest(message), options);
            return reply.ok ? describeAnswer(message.sequence, reply.value) : undefined;
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

function describeAnswer(sequence: number, answer: { readonly isReached: boolean; readonly gossip: Gossip; }): MembershipMessage {
    return { kind: answer.isReached ? "ack" : "nack", sequence, gossip: answer.gossip };
}
