// A process of its own that answers in the ways of services in trouble: the path names the way, or a message for the paths of engines.
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

const part = "HTTP/1.1 200 OK\r\n\r\npart";
let enginePath = "";
process.on("message", path => enginePath = String(path));

const ways: Readonly<Record<string, (socket: Socket, word: string) => void>> = {
    /** Resets the connection so many milliseconds after it has sent a part, with most of the request unread. */
    reset: (socket, delayMs) => {
        socket.write(part);
        setTimeout(() => socket.resetAndDestroy(), Number(delayMs));
    },
    /** Ends as a process does that crashes: the system resets connections with unread bytes. */
    close: (socket, delayMs) => {
        socket.write(part);
        setTimeout(() => socket.destroy(), Number(delayMs));
    },
    /** Ends its side in order, then reads the rest of the request. */
    end: (socket, delayMs) => {
        socket.end(part);
        setTimeout(() => socket.resume(), Number(delayMs));
    },
    status: (socket, status) => socket.end(`HTTP/1.1 ${status} Status\r\nContent-Length: 4\r\n\r\npart`),
};

const server = createServer(socket => {
    let head = "";
    socket.on("error", () => undefined);
    socket.on("data", bytes => {
        head += bytes.toString("latin1");
        if (head.includes("\r\n\r\n")) {
            socket.removeAllListeners("data").pause();
            const path = head.split(" ")[1] ?? "";
            const [, way = "", word = ""] = (path.startsWith("/v1/") ? enginePath : path).split("/");
            ways[way]?.(socket, word);
        }
    });
});
server.listen(0, "127.0.0.1", () => process.send?.((server.address() as AddressInfo).port));
