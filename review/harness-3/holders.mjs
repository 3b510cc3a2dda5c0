// Clients in a process of their own that open channels, send the same bytes on each and stay open.
// Arguments: address, port, clients, the bytes as a JSON string.
import { connect } from "node:net";

const [host, port, clients, text] = process.argv.slice(2);
const bytes = JSON.parse(text);
/** Opened in one turn, so that the listen queue doesn't overflow. */
const clientsOfTurn = 25;
const turnMs = 20;
const counts = { opened: 0, closed: 0 };

function open() {
    const socket = connect({ host, port: Number(port) });
    socket.on("error", () => undefined);
    socket.on("close", () => counts.closed += 1);
    socket.on("connect", () => {
        counts.opened += 1;
        socket.write(bytes, "latin1");
    });
    socket.resume();
}

let left = Number(clients);
const timer = setInterval(() => {
    for (let index = 0; index < clientsOfTurn && left > 0; index += 1, left -= 1) {
        open();
    }
    if (left === 0) {
        clearInterval(timer);
    }
}, turnMs);
setInterval(() => process.send?.(counts), 500);
process.on("disconnect", () => process.exit(0));
