import type { Store } from "@filbertrelay/connectors";
import type { Clock, EventLog, TransferProgress } from "@filbertrelay/kernel";
import type { Dialect, DutyCalls, StoreDecoder } from "./contract.js";
import type { HostView } from "./control/hostview.js";
import type { ControlRoutes } from "./control/server.js";
import type { OpenSocket } from "./endpoint/socket.js";

/** What is known of the response to a call to an external service. */
export interface CallTransfer {
    /** Path and query of the call. */
    readonly target: string;
    /** Absent if the response was complete but unusable. */
    readonly progress: TransferProgress | undefined;
    /** Why there is no response; absent with one. */
    readonly reason?: string;
}

/** Records a call to an external service and its result. */
export type CallObserver = (kind: string, result: string, transfer?: CallTransfer) => void;

/** The platform-specific parts of a host: store client, wire formats and HTTP interfaces. */
export interface Environment {
    readonly createStore: (onCall: CallObserver) => Store;
    readonly decoder: StoreDecoder;
    readonly dialect: Dialect;
    /** Returns `undefined` where hosts have no duties. */
    readonly createDuties: (onCall: CallObserver) => DutyCalls | undefined;
    /** Handlers for the directory address. */
    readonly createDirectoryRoutes: (view: HostView) => ControlRoutes;
    /** Handlers for the readiness address. */
    readonly createReadyRoutes: (view: HostView) => ControlRoutes;
}

export interface IngressDaemonOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Uniform in [0, 1). */
    readonly draw: () => number;
    readonly environment: Environment;
    /** Opens connections to endpoints; that of `node:net` by default. */
    readonly openSocket?: OpenSocket;
}
