import { renderStreamHead, streamEnd } from "@filbertrelay/platform/standins";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";

/** Number of events of a whole stream. */
export const eventCount = 5;

/** Sends the rest of a stream; each event names the engine's version. */
export function completeFrom(version: string): EngineBehaviour {
    return (received, { send }) => {
        const from = Number(received.headers["last-event-id"] ?? 0) + 1;
        const events = Array.from({ length: eventCount - from + 1 }, (_, index) => renderVersionEvent(from + index, version));
        send(renderStreamHead(received) + events.join("") + streamEnd);
    };
}

/** Returns a chunk with an event that names the version which wrote it. */
export function renderVersionEvent(id: number, version: string): string {
    const event = `id: ${id}\ndata: ${version}\n\n`;
    return `${event.length.toString(16)}\r\n${event}\r\n`;
}

/** Sends two events and closes the connection. */
export function breakOff(version: string): EngineBehaviour {
    return (received, { send, close }) => {
        send(renderStreamHead(received) + renderVersionEvent(1, version) + renderVersionEvent(2, version));
        // Longer than events are gathered before they are forwarded.
        setTimeout(close, 100);
    };
}
