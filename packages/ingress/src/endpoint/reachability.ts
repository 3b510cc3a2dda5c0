import { splitAddress } from "@filbertrelay/kernel";
import type { Clock } from "@filbertrelay/kernel";
import { connect } from "node:net";
import type { OpenSocket } from "./socket.js";

/** Whether an address accepts connections: `refused` means that no process listens there, `unknown` that nothing answered. */
export type Reachability = "accepted" | "refused" | "unknown";

/** Connecting takes a few milliseconds within a region. */
const connectTimeoutMs = 400;

/** Opens a connection to find out whether a process listens, and closes it. */
export function probeAddress(clock: Clock, address: string, openSocket: OpenSocket = connect): Promise<Reachability> {
    return new Promise(resolve => {
        const socket = openSocket(splitAddress(address));
        const finish = (reachability: Reachability): void => {
            cancelTimer();
            socket.destroy();
            resolve(reachability);
        };
        const cancelTimer = clock.afterInput(connectTimeoutMs, () => finish("unknown"));
        socket.once("connect", () => finish("accepted"));
        socket.once("error", error => finish("code" in error && error.code === "ECONNREFUSED" ? "refused" : "unknown"));
    });
}
