import type { Clock, EventLog, FailureDomainId, HostId } from "@filbertrelay/kernel";
import { createEndpointReach } from "@filbertrelay/policy/ingress";
import type { AnswerMemory, DemandMeter, EndpointReach, ReachChange } from "@filbertrelay/policy/ingress";
import type { PeerNetwork } from "@filbertrelay/wire";
import { match } from "ts-pattern";
import type { Dialect, EndpointRecord } from "../contract.js";
import { ConnectionPool } from "../endpoint/connectionpool.js";
import { LinkMonitor } from "../endpoint/linkmonitor.js";
import type { OpenSocket } from "../endpoint/socket.js";
import { probeEndpoint } from "../endpoint/statusprobe.js";
import type { PeerExchange } from "../fleet/exchange.js";
import type { HostRecord, HostTable } from "../fleet/hosts.js";
import { callersKey } from "../fleet/report.js";
import { recordStatements } from "../request/statements.js";
import type { StatementContext } from "../request/statements.js";
import type { EndpointTable } from "../state/endpoints.js";
import type { IngressMetrics } from "../telemetry/metrics.js";
import { relayEvents as events } from "./event.js";
import { EndpointLinks } from "./links.js";
import { RelayHandler } from "./relayhandler.js";
import type { RelayLimits } from "./room.js";
import { LinkRouter } from "./router.js";

/** Estimated processor time of a request that is relayed for another host. */
const relayProcessorMs = 3;

/** Options of `createEndpointAccess`; the functions are called after the start of the host. */
export interface EndpointAccessOptions extends Omit<StatementContext, "announce"> {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: IngressMetrics;
    readonly dialect: Dialect;
    readonly hostId: HostId;
    readonly homeDomain: FailureDomainId;
    readonly peers: PeerNetwork;
    readonly hosts: HostTable;
    readonly endpoints: EndpointTable;
    readonly answerMemory: AnswerMemory;
    readonly relayLimits: RelayLimits;
    readonly openSocket: OpenSocket;
    readonly callerWork: DemandMeter;
    readonly exchange: () => PeerExchange;
    /** Path of a status request; `undefined` if the endpoint answers none. */
    readonly findStatusPath: (endpoint: EndpointRecord) => string | undefined;
    /** Whether this host stops and takes no further requests. */
    readonly isRefusing: () => boolean;
    /** Records that nothing listened at the address of an endpoint. */
    readonly recordRefusal: (endpoint: EndpointRecord) => void;
    /** Called at each check of the links, several times a second. */
    readonly onCheck: () => void;
}

/** The ways of a host to the endpoints, and of other hosts through it. */
export interface EndpointAccess {
    readonly reach: EndpointReach;
    readonly monitor: LinkMonitor;
    readonly connections: ConnectionPool;
    readonly links: EndpointLinks;
    readonly router: LinkRouter;
    readonly relay: RelayHandler;
    /** Hosts that have lost their links to all endpoints, including this one. */
    readonly strandedHosts: () => ReadonlySet<HostId>;
}

/** Creates the parts of a host by which requests get to endpoints. */
export function createEndpointAccess(options: EndpointAccessOptions): EndpointAccess {
    const { clock, log, metrics, hostId, homeDomain, peers, hosts, endpoints, openSocket, exchange } = options;
    const announce = (): void => exchange().announce();
    const reach = createEndpointReach({
        hostId,
        listHosts: () => exchange().listReachable(),
        onChange: change => {
            reportChange(change, options);
            announce();
        },
    });
    const monitor = new LinkMonitor({
        clock,
        reach,
        listEndpoints: () => endpoints.list(),
        isLeaving: endpoint => options.notices.isLeaving(endpoint) || !endpoints.isServing(endpoint),
        probe: endpoint => probeEndpoint(endpoint, { clock, openSocket, statusPath: options.findStatusPath(endpoint) }),
        onCheck: options.onCheck,
    });
    const connections = new ConnectionPool(clock, {
        onOpened: service => metrics.recordConnection(service),
        links: monitor,
        openSocket,
    });
    const links = new EndpointLinks({ clock, log, metrics, peers, connections });
    const listPeers = (): readonly HostRecord[] => {
        const reachable = new Set(exchange().listReachable());
        return hosts.list().filter(host => host.hostId !== hostId && reachable.has(host.hostId));
    };
    const router = new LinkRouter({ clock, homeDomain, reach, connections, links, listPeers });
    const relay = new RelayHandler({
        ...options,
        connections,
        limits: options.relayLimits,
        canReach: endpoint => reach.wayTo(endpoint, clock.monotonicMs()) !== "relay",
        onHead: (endpoint, { status, headers }) => {
            options.callerWork.recordWork(callersKey, relayProcessorMs, clock.monotonicMs());
            // A rejection counts at the host whose request it is.
            const description = { ...options.dialect.describeResponse(status, headers), isFull: false };
            recordStatements({ ...options, announce }, endpoint, description);
        },
        onFailure: (endpoint, { isRefused }) => isRefused && options.recordRefusal(endpoint),
    });
    const strandedHosts = (): ReadonlySet<HostId> => {
        const others = reach.strandedHosts(clock.monotonicMs());
        return reach.isStranded(clock.monotonicMs()) ? new Set([...others, hostId]) : others;
    };
    return { reach, monitor, connections, links, router, relay, strandedHosts };
}

function reportChange(change: ReachChange, { log, metrics }: Pick<EndpointAccessOptions, "log" | "metrics">): void {
    match(change)
        .with({ kind: "stranded" }, () => {
            metrics.setStranded(true);
            log.write(events.hostStranded, {});
        })
        .with({ kind: "steady" }, () => {
            metrics.setStranded(false);
            log.write(events.hostSteady, {});
        })
        .with({ kind: "cut" }, ({ failureDomain, service }) => log.write(events.linksCut, { failureDomain, service }))
        .with({ kind: "back" }, ({ failureDomain, service }) => log.write(events.linksBack, { failureDomain, service }))
        .exhaustive();
}
