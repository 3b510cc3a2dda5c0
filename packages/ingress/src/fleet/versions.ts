import type { Store } from "@filbertrelay/connectors";
import type { Clock, EventLog, HostId, Incarnation } from "@filbertrelay/kernel";
import { VersionHistory } from "@filbertrelay/policy/ingress";
import type { FleetClock } from "@filbertrelay/policy/ingress";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import type { EndpointTable } from "../state/endpoints.js";
import type { StoreMirror } from "../state/mirror.js";
import { VersionRecorder } from "../state/versionrecorder.js";
import type { PeerExchange } from "./exchange.js";
import type { HostRecord, HostTable } from "./hosts.js";
import { OriginArchive } from "./originarchive.js";
import { StreamVersions } from "./streamversions.js";

/** Options of `createVersionServices`. */
export interface VersionServicesOptions {
    readonly store: Store;
    readonly clock: Clock;
    readonly fleetClock: FleetClock;
    readonly log: EventLog;
    readonly hostId: HostId;
    readonly incarnation: Incarnation;
    readonly peers: TcpPeerNetwork;
    readonly mirror: StoreMirror;
    readonly endpoints: EndpointTable;
    readonly hosts: HostTable;
    readonly exchange: PeerExchange;
}

/** What a host knows of software versions: which endpoints had when, and at which one each stream began. */
export interface VersionServices {
    readonly streamVersions: StreamVersions;
    readonly originArchive: OriginArchive;
    readonly versionRecorder: VersionRecorder;
}

/** Creates the services, which refer to each other. */
export function createVersionServices(options: VersionServicesOptions): VersionServices {
    const { clock, fleetClock, mirror, endpoints, hosts, exchange } = options;
    const { serving } = exchange;
    const history = new VersionHistory(fleetClock.now().getTime());
    const listHosts = (): readonly HostRecord[] => serving.isFullFleet ? hosts.list() : serving.serving;
    const streamVersions = new StreamVersions({
        ...options,
        history,
        listHosts,
        isReachable: other => exchange.isReachable(other),
        archive: origins => originArchive.add(origins),
        copyAgeMs: () => mirror.ageMs(),
    });
    const originArchive = new OriginArchive({ ...options, onStored: origin => streamVersions.remember(origin) });
    const versionRecorder = new VersionRecorder({ ...options, clock, history, listHosts });
    endpoints.onChanged(() => streamVersions.recordVersions(endpoints.versions()));
    return { streamVersions, originArchive, versionRecorder };
}
