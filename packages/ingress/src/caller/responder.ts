import type { ServerResponse } from "node:http";
import type { CallerResponder } from "../request/responder.js";
import type { CallerExchange } from "./exchange.js";

/** Creates the writer of a response; `beforeHead` is called before its head is written. */
export function createResponder(
    response: ServerResponse,
    exchange: CallerExchange,
    beforeHead: () => void = () => undefined,
): CallerResponder {
    const recordUnread = (): void => {
        if (response.writableLength > 0) {
            exchange.recordUnread();
        }
    };
    return {
        onDisconnect: callback =>
            void response.once("close", () => {
                if (!response.writableFinished) {
                    callback();
                }
            }),
        answer: (status, headers, body) => {
            if (!response.headersSent && !response.destroyed) {
                beforeHead();
                response.writeHead(status, [...headers.flat(), "Content-Length", String(body.length)]);
                response.end(body);
                recordUnread();
            }
        },
        sendHead: (status, headers) => {
            beforeHead();
            return response.destroyed || isWritten(() => response.writeHead(status, headers.flat()));
        },
        write: bytes => {
            if (response.destroyed || response.write(bytes)) {
                return true;
            }
            exchange.recordUnread();
            return false;
        },
        onDrain: callback =>
            void response.on("drain", () => {
                exchange.recordRead();
                callback();
            }),
        end: () => {
            response.end();
            recordUnread();
        },
        abort: () => void response.destroy(),
    };
}

/** Node.js checks a head as a whole before it sends any of it. */
function isWritten(writeHead: () => void): boolean {
    try {
        writeHead();
        return true;
    }
    catch {
        return false;
    }
}
