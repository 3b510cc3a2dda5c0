import { invariant } from "@filbertrelay/kernel";
import type { MembershipMessage } from "@filbertrelay/policy";
import { decodeFrame, encodeFrame } from "@filbertrelay/wire";
import {
    encodePing,
    encodePingReply,
    encodePingRequest,
    encodePush,
    encodeSync,
    encodeSyncReply,
    pingRequestTopic,
    pingTopic,
    pushTopic,
    syncTopic,
} from "../membership/topic.js";

const frameBytes = 8_388_608;

/** Encodes a message as the frame that the peer network would send. */
export function encodeMessage(message: MembershipMessage): Buffer {
    const [topic, body] = toTopicAndBody(message);
    const kind = topic === "" ? "reply" : "request";
    const encoded = encodeFrame({ kind, topic, id: message.kind === "ack" ? message.sequence : 70_000, body }, frameBytes);
    invariant(encoded.ok, "A membership message exceeds the frame limit.");
    return encoded.value;
}

/** Decodes and validates a frame as the receiver does. Replies carry the sequence as their call id, so it is taken from the original. */
export function decodeMessage(original: MembershipMessage, frame: Buffer): MembershipMessage {
    const decoded = decodeFrame(frame.subarray(4));
    invariant(decoded.ok, "A membership frame could not be decoded.");
    const { body } = decoded.value;
    switch (original.kind) {
        case "ping":
            return { kind: "ping", ...pingTopic.request.parse(body) };
        case "pingRequest":
            return { kind: "pingRequest", ...pingRequestTopic.request.parse(body) };
        case "sync":
            return { kind: "sync", ...syncTopic.request.parse(body) };
        case "push":
            return { kind: "push", ...pushTopic.request.parse(body) };
        case "syncReply":
            return { kind: "syncReply", ...syncTopic.reply.parse(body) };
        default: {
            const { isReached, gossip } = pingTopic.reply.parse(body);
            return { kind: isReached ? "ack" : "nack", sequence: original.sequence, gossip };
        }
    }
}

function toTopicAndBody(message: MembershipMessage): readonly [string, unknown] {
    switch (message.kind) {
        case "ping":
            return [pingTopic.name, encodePing(message)];
        case "pingRequest":
            return [pingRequestTopic.name, encodePingRequest(message)];
        case "sync":
            return [syncTopic.name, encodeSync(message)];
        case "push":
            return [pushTopic.name, encodePush(message)];
        case "syncReply":
            return ["", encodeSyncReply(message)];
        default:
            return ["", encodePingReply(message)];
    }
}
