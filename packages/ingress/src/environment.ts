import type { Store } from "@filbertrelay/connectors";
import type { Clock, EventLog } from "@filbertrelay/kernel";
import type { Dialect, DutyCalls, StoreDecoder } from "./contract.js";
import type { HostView } from "./control/hostview.js";
import type { ControlRoutes } from "./control/server.js";
import type { OpenSocket } from "./endpoint/socket.js";

/** Records a call to an external service and its result in the metrics. */
export type CallObserver = (kind: string, result: string) => void;

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
