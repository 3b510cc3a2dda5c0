import type { EndpointRecord } from "@filbertrelay/ingress";
import { brandAs } from "@filbertrelay/kernel";
import type { HostId } from "@filbertrelay/kernel";
import type { StandinEngine } from "@filbertrelay/platform/standins";
import { declareTopic } from "@filbertrelay/wire";
import assert from "node:assert/strict";
import type { Server } from "node:net";
import * as z from "zod";
import { createRequest } from "./relayhost.js";
import type { RelayHost } from "./relayhost.js";

/** A request with what came of it. */
export type Sent = ReturnType<RelayHost["send"]>;

/** What the steps about requests through another host share. */
export interface RelayWorld {
    relayHosts: Map<string, RelayHost>;
    engine: StandinEngine;
    endpoint: EndpointRecord;
    sent: Sent[];
    /** When the engine sent each event. */
    eventsSentMs: number[];
    engineClosedMs: number;
    endedMs: number;
    silentServer?: Server;
}

/** A call beside relayed requests, as the hosts' reports are. */
export const reportTopic = declareTopic("test.report", { request: z.string(), reply: z.string() });

/** Starts a host in place of the one with the same name, if any; all hosts know each other. */
export async function replaceHost(world: RelayWorld, name: string, host: RelayHost): Promise<void> {
    await world.relayHosts.get(name)?.stop();
    world.relayHosts.delete(name);
    host.endpoints = [world.endpoint];
    await host.start();
    host.peers.handle(reportTopic, report => Promise.resolve(report));
    for (const other of world.relayHosts.values()) {
        other.connectTo(host);
        host.connectTo(other);
    }
    world.relayHosts.set(name, host);
}

/** The host with a name. */
export function hostOf(world: RelayWorld, name: string): RelayHost {
    const host = world.relayHosts.get(name);
    assert.ok(host !== undefined, `Unknown host '${name}'.`);
    return host;
}

/** Sends a request to the engine through another host. */
export function sendThrough(world: RelayWorld, name: string, relay: string, remainingMs?: number): Sent {
    const id = `request-${world.sent.length}`;
    const sent = hostOf(world, name).send(world.endpoint, createRequest(id), {
        relay: brandAs<HostId>(relay),
        ...(remainingMs === undefined ? {} : { remainingMs }),
    });
    world.sent.push(sent);
    void sent.ended.then(() => world.endedMs = performance.now());
    return sent;
}

/** Creates text in which each place differs from the others. */
export function createText(length: number): string {
    return Array.from({ length: Math.ceil(length / 10) }, (_, index) => String(index).padStart(10, ".")).join("").slice(
        0,
        length,
    );
}
