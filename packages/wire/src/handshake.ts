import { brandAs } from "@filbertrelay/kernel";
import type { HostId } from "@filbertrelay/kernel";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import * as z from "zod";
import type { FrameSocket } from "./framesocket.js";

/** The maximum size of a handshake frame in bytes; limits what an unauthenticated peer can make this process buffer. */
export const handshakeFrameBytes = 1_024;

const protocolVersion = 1;
const nonceBytes = 32;

const bytes32 = z.instanceof(Uint8Array).refine(value => value.length === nonceBytes, "Expected 32 bytes.");
const hostIdSchema = z.string().min(1).max(100).transform(value => brandAs<HostId>(value));
const greetingSchema = z.strictObject({ version: z.literal(protocolVersion), hostId: hostIdSchema, nonce: bytes32 });
const proofSchema = z.strictObject({ proof: bytes32 });

/** This process's host id and the cluster keys it accepts; the first one is used for outgoing connections. */
export interface Identity {
    readonly hostId: HostId;
    readonly keys: readonly string[];
}

interface Transcript {
    readonly client: z.output<typeof greetingSchema>;
    readonly server: z.output<typeof greetingSchema>;
}

/** Counts the bytes of handshake frames. */
export type CountHandshake = (direction: "sent" | "received", bytes: number) => void;

/** Authenticates with a server and verifies the server's proof; returns the server's host id, throws on failure. */
export async function authenticateClient(
    frames: FrameSocket,
    identity: Identity,
    options: { readonly expected: HostId | undefined; readonly count: CountHandshake; },
): Promise<HostId> {
    const client = createGreeting(identity.hostId);
    send(frames, "connection.hello", client, options.count);
    const server = await receive(frames, "connection.challenge", greetingSchema, options.count);
    if (options.expected !== undefined && server.hostId !== options.expected) {
        throw new Error(`Expected host '${options.expected}' at this address but found '${server.hostId}'.`);
    }
    const key = identity.keys[0] ?? "";
    const transcript = { client, server };
    send(frames, "connection.proof", { proof: computeProof(key, "client", transcript) }, options.count);
    const acceptance = await receive(frames, "connection.accept", proofSchema, options.count);
    if (!timingSafeEqual(acceptance.proof, computeProof(key, "server", transcript))) {
        throw new Error(`Host '${server.hostId}' sent an invalid proof of the cluster key.`);
    }
    return server.hostId;
}

/** Verifies the client's proof against all accepted keys and sends the server's proof; returns the client's host id, throws on failure. */
export async function authenticateServer(frames: FrameSocket, identity: Identity, count: CountHandshake): Promise<HostId> {
    const client = await receive(frames, "connection.hello", greetingSchema, count);
    if (client.hostId === identity.hostId) {
        throw new Error("The client uses this host's own id.");
    }
    const server = createGreeting(identity.hostId);
    const transcript = { client, server };
    send(frames, "connection.challenge", server, count);
    const { proof } = await receive(frames, "connection.proof", proofSchema, count);
    const key = identity.keys.find(candidate => timingSafeEqual(proof, computeProof(candidate, "client", transcript)));
    if (key === undefined) {
        throw new Error(`Host '${client.hostId}' sent a proof that matches no accepted cluster key.`);
    }
    send(frames, "connection.accept", { proof: computeProof(key, "server", transcript) }, count);
    return client.hostId;
}

function createGreeting(hostId: HostId): z.output<typeof greetingSchema> {
    return { version: protocolVersion, hostId, nonce: randomBytes(nonceBytes) };
}

// The role is part of the proof, which prevents reflection attacks; JSON delimits the host ids unambiguously.
function computeProof(key: string, role: "client" | "server", transcript: Transcript): Buffer {
    const { client, server } = transcript;
    const parts = [protocolVersion, role, client.hostId, server.hostId, toHex(client.nonce), toHex(server.nonce)];
    return createHmac("sha256", key).update(JSON.stringify(parts)).digest();
}

function toHex(bytes: Uint8Array): string {
    return Buffer.from(bytes).toString("hex");
}

function send(frames: FrameSocket, topic: string, body: unknown, count: CountHandshake): void {
    const sent = frames.send({ kind: "event", topic, id: 0, body });
    if (!sent.ok) {
        throw new Error(sent.issue.message);
    }
    count("sent", sent.value);
}

async function receive<S extends z.ZodType>(
    frames: FrameSocket,
    topic: string,
    schema: S,
    count: CountHandshake,
): Promise<z.output<S>> {
    const { frame, bytes } = await frames.nextFrame();
    count("received", bytes);
    if (frame.kind !== "event" || frame.topic !== topic) {
        throw new Error(`Expected the frame '${topic}' but received '${frame.topic.slice(0, 40)}'.`);
    }
    return schema.parse(frame.body);
}
