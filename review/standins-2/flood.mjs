// A process of its own that sends without end, so that it takes no time from the stand-ins and the callers of a case.
// bodies HOST PORT COUNT TARGET: COUNT clients send chunked bodies in chunks of one byte.
// answers HOST: an engine that answers each request with the heads and bodies of answers that belong to no request, until the caller closes.
import { connect, createServer } from "node:net";

const [kind, host, port, count, target] = process.argv.slice(2);

function sendWithoutEnd(socket, block) {
    const sendMore = () => {
        while (!socket.destroyed && socket.write(block)) {
            // Writes until the buffer of the socket is full.
        }
    };
    socket.on("error", () => undefined);
    socket.on("drain", sendMore);
    sendMore();
}

if (kind === "bodies") {
    const block = Buffer.from("1\r\nx\r\n".repeat(10_000));
    for (let number = 0; number < Number(count); number += 1) {
        const socket = connect({ host, port: Number(port) });
        socket.resume();
        socket.write(`POST ${target} HTTP/1.1\r\nHost: ficu95.example\r\nX-Filbertrelay-Attempt-Id: flood-${number}\r\nTransfer-Encoding: chunked\r\n\r\n`);
        sendWithoutEnd(socket, block);
    }
}
else {
    const block = Buffer.from("HTTP/1.1 200 OK\r\nX-Filbertrelay-Attempt-Id: none\r\nContent-Length: 2\r\n\r\nno".repeat(200));
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            process.send?.("request");
            sendWithoutEnd(socket, block);
        });
        socket.resume();
    });
    server.listen(0, host, () => process.send?.(`${host}:${server.address().port}`));
}
process.on("disconnect", () => process.exit(0));
