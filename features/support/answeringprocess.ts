// A process of its own that answers everything after a while: HTTP requests, and calls between hosts.
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { HostId } from "@filbertrelay/kernel";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { echoTopic } from "./echotopic.js";
import { createTestPeers } from "./peernetwork.js";

const answerMs = 100;
const clock = createSystemClock();
const server = createServer((_, response) => void setTimeout(() => response.end("{}"), answerMs));
const peers = createTestPeers(clock, brandAs<HostId>("answering"), "127.0.0.1:0");
peers.handle(echoTopic, async body => {
    await clock.sleep(answerMs);
    return body;
});
await peers.start();
server.listen(0, "127.0.0.1", () => {
    const { port } = server.address() as AddressInfo;
    process.send?.({ httpAddress: `127.0.0.1:${port}`, peerAddress: peers.address });
});
