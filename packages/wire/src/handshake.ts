import { brandAs } from "@filbertrelay/kernel";
import type { HostId } from "@filbertrelay/kernel";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { z } from "zod";
import type { FrameSocket } from "./framesocket.js";

/** The largest handshake frame in bytes, so that an unauthenticated peer can't make this process buffer much. */
export const handshakeFrameBytes = 1_024;

const protocolVersion = 1;
const nonceBytes = 32;

const bytes32 = z.instanceof(Uint8Array).refine(value => value.length === nonceBytes, "Expected 32 bytes.");
const hostIdSchema = z.string().min(1).max(100).transform(value => brandAs<HostId>(value));
const greetingSchema = z.strictObject({ version: z.literal(protocolVersion), hostId: hostIdSchema, nonce: bytes32 });
const proofSchema = z.strictObject({ proof: bytes32 });

/** Who this process is and which cluster keys it accepts; it connects with the first one. */
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

/** Proves this process to the server and checks the server's proof; gives the server's host id, throws when it fails. */
export async function authenticateClient(
    frames: FrameSocket,
    identity: Identity,
    options: { readonly expected: HostId | undefined; readonly count: CountHandshake; },
): Promise<HostId> {
    const client = greet(identity.hostId);
    send(frames, "connection.hello", client, options.count);
    const server = await receive(frames, "connection.challenge", greetingSchema, options.count);
    if (options.expected !== undefined && server.hostId !== options.expected) {
        throw new Error(`The address belongs to host '${server.hostId}', not to '${options.expected}'.`);
    }
    const key = identity.keys[0] ?? "";
    const transcript = { client, server };
    send(frames, "connection.proof", { proof: computeProof(key, "client", transcript) }, options.count);
    const answer = await receive(frames, "connection.accept", proofSchema, options.count);
    if (!timingSafeEqual(answer.proof, computeProof(key, "server", transcript))) {
        throw new Error(`Host '${server.hostId}' did not prove that it holds the cluster key.`);
    }
    return server.hostId;
}

/** Checks the client's proof against all accepted keys and proves this process; gives the client's host id, throws when it fails. */
export async function authenticateServer(frames: FrameSocket, identity: Identity, count: CountHandshake): Promise<HostId> {
    const client = await receive(frames, "connection.hello", greetingSchema, count);
    if (client.hostId === identity.hostId) {
        throw new Error("The client uses the host id of this host.");
    }
    const server = greet(identity.hostId);
    const transcript = { client, server };
    send(frames, "connection.challenge", server, count);
    const { proof } = await receive(frames, "connection.proof", proofSchema, count);
    const key = identity.keys.find(candidate => timingSafeEqual(proof, computeProof(candidate, "client", transcript)));
    if (key === undefined) {
        throw new Error(`Host '${client.hostId}' did not prove that it holds a cluster key.`);
    }
    send(frames, "connection.accept", { proof: computeProof(key, "server", transcript) }, count);
    return client.hostId;
}

function greet(hostId: HostId): z.output<typeof greetingSchema> {
    return { version: protocolVersion, hostId, nonce: randomBytes(nonceBytes) };
}

// The role is part of the proof, so that a proof can't be reflected to its sender; JSON delimits the host ids unambiguously.
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
