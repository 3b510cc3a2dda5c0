// Clients in a process of their own: each sends one chunked body in small chunks, stops just short of its end and stays open.
// Arguments: address, port, path, clients, bytes of a chunk (0: a request without a body instead), bytes of a body, bytes a second of all.
import { connect } from "node:net";

const [host, port, path, ...numbers] = process.argv.slice(2);
const [clients, chunkBytes, bodyBytes, bytesPerSecond] = numbers.map(Number);
const tickMs = 10;
const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
const chunksOfTurn = 500;
const block = Buffer.from(chunk.repeat(chunksOfTurn), "latin1");
const startMs = performance.now();
let sentBytes = 0;

const senders = Array.from({ length: clients }, () => {
    const sender = { socket: connect({ host, port: Number(port), noDelay: true }), leftBytes: bodyBytes - 1, isReady: false };
    sender.socket.on("error", () => undefined);
    sender.socket.resume();
    sender.socket.on("connect", () => {
        if (chunkBytes === 0) {
            sender.socket.write(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\n\r\n`);
            return;
        }
        sender.socket.write(`POST ${path} HTTP/1.1\r\nHost: ${host}\r\nTransfer-Encoding: chunked\r\n\r\n`);
        sender.isReady = true;
    });
    sender.socket.on("drain", () => sender.isReady = true);
    return sender;
});

/** Sends in turns what the rate allows, to clients whose channels take it. */
function sendDue() {
    const dueBytes = (performance.now() - startMs) / 1_000 * bytesPerSecond;
    for (let isSent = true; isSent && sentBytes < dueBytes;) {
        isSent = false;
        for (const sender of senders.filter(({ isReady, leftBytes }) => isReady && leftBytes > 0)) {
            const chunks = Math.min(chunksOfTurn, Math.ceil(sender.leftBytes / chunkBytes));
            const bytes = block.subarray(0, chunks * chunk.length);
            sender.leftBytes -= chunks * chunkBytes;
            sentBytes += bytes.length;
            sender.isReady = sender.socket.write(bytes);
            isSent = true;
        }
    }
}

setInterval(sendDue, tickMs);
setInterval(() => process.send?.({ sentBytes }), 500);
process.on("disconnect", () => process.exit(0));
