import { splitAddress } from "@filbertrelay/kernel";
import type { Clock } from "@filbertrelay/kernel";
import { connect } from "node:net";

const probeTimeoutMs = 500;
// A process that exits may close its listening socket after its connections. A connection accepted in between is reset soon after.
const graceMs = 50;
const attempts = 4;

/** True if the address refuses new connections, as after a crash; false when it accepts them or can't be reached. */
export async function refusesConnections(address: string, clock: Clock): Promise<boolean> {
    for (let attempt = 0; attempt < attempts; attempt++) {
        const result = await probe(address, clock);
        if (result !== "lost") {
            return result === "refused";
        }
        await clock.sleep(graceMs);
    }
    return false;
}

function probe(address: string, clock: Clock): Promise<"refused" | "open" | "lost" | "unreachable"> {
    const socket = connect(splitAddress(address));
    return new Promise(resolve => {
        const finish = (result: "refused" | "open" | "lost" | "unreachable"): void => {
            cancel();
            socket.destroy();
            resolve(result);
        };
        let cancel = clock.afterInput(probeTimeoutMs, () => finish("unreachable"));
        socket.once("connect", () => {
            cancel();
            cancel = clock.afterInput(graceMs, () => finish("open"));
        });
        socket.once("error", (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED" ? "refused" : "lost"));
        socket.once("close", () => finish("lost"));
        socket.resume();
    });
}
