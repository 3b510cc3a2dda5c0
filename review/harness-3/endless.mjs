// An engine in a process of its own that sends bytes without end for each request, until the caller closes: the chunks of one body, or
// whole answers that name another request. Arguments: bytes of a chunk (0: whole answers), bytes a second of all channels together.
// Prints nothing; tells its parent its port and what it runs.
import { createServer } from "node:net";

const [chunkBytes, bytesPerSecond] = process.argv.slice(2).map(Number);
const tickMs = 10;
const foreign = "HTTP/1.1 200 OK\r\nX-Filbertrelay-Attempt-Id: former\r\nX-Filbertrelay-Response-Signature: signed\r\nContent-Length: 0\r\n\r\n";
const chunk = chunkBytes === 0 ? foreign : `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
const block = Buffer.from(chunk.repeat(Math.ceil(4_096 / chunk.length)), "latin1");
/** Sockets to which an answer is being sent, with whether they take more now. */
const answering = new Map();
let startMs = performance.now();
let sentBytes = 0;
let isSound = true;

const server = createServer(socket => {
    let received = "";
    socket.on("error", () => undefined);
    socket.on("close", () => answering.delete(socket));
    socket.on("drain", () => answering.has(socket) && answering.set(socket, true));
    socket.on("data", bytes => {
        received += bytes.toString("latin1");
        const end = received.indexOf("\r\n\r\n");
        const bodyBytes = Number(/^content-length: (\d+)/im.exec(received)?.[1] ?? 0);
        if (end !== -1 && received.length >= end + 4 + bodyBytes) {
            answer(socket, received);
            received = received.slice(end + 4 + bodyBytes);
        }
    });
});

function answer(socket, head) {
    const id = /^x-filbertrelay-attempt-id: (.*)\r$/im.exec(head)?.[1];
    const common = `HTTP/1.1 200 OK\r\n${id === undefined ? "" : `X-Filbertrelay-Attempt-Id: ${id}\r\n`}X-Filbertrelay-Response-Signature: signed\r\n`;
    if (id !== undefined) {
        process.send({ run: id });
    }
    if (id === undefined || isSound) {
        setTimeout(() => socket.write(`${common}Content-Length: 4\r\n\r\ndone`), id === undefined ? 0 : 50);
        return;
    }
    if (chunkBytes > 0) {
        socket.write(`${common}Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n`);
    }
    answering.set(socket, true);
}

setInterval(() => {
    const dueBytes = (performance.now() - startMs) / 1_000 * bytesPerSecond;
    for (let isSent = true; isSent && sentBytes < dueBytes;) {
        isSent = false;
        for (const [socket, isReady] of answering) {
            if (isReady) {
                sentBytes += block.length;
                answering.set(socket, socket.write(block));
                isSent = true;
            }
        }
    }
    if (answering.size === 0) {
        // What was not sent while nobody waited is not made up for.
        startMs = performance.now();
        sentBytes = 0;
    }
}, tickMs);
process.on("message", message => isSound = message.isSound);
process.on("disconnect", () => process.exit(0));
server.listen(0, "127.0.0.1", () => process.send({ port: server.address().port }));
