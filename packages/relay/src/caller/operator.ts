import type { HostId } from "@filbertrelay/kernel";
import { configurationValueName } from "../configuration/service.js";
import type { ConfigurationService, MembershipService, ShardService } from "../contract.js";
import type { RelayedKeyValueClient } from "../keyvalue/relayed.js";
import type { Metrics } from "../telemetry/metrics.js";

/** The services that `GET /v1/status` reads. */
export interface StatusSources {
    readonly membership: MembershipService;
    readonly configuration: ConfigurationService;
    readonly shards: ShardService;
    readonly keyValue: RelayedKeyValueClient;
    readonly metrics: Metrics;
    readonly openStreams: () => number;
}

/** Builds the status of this host, including its view of the fleet. */
export function buildStatus(sources: StatusSources): Record<string, unknown> {
    const self = sources.membership.self();
    const head = sources.configuration.head();
    return {
        host: { id: self.hostId, incarnation: self.incarnation, failureDomain: self.failureDomain, state: self.state },
        members: sources.membership.members().map(({ hostId, failureDomain, state, callerAddress }) => ({
            hostId,
            failureDomain,
            state,
            callerAddress,
        })),
        configuration: head === undefined ? undefined : { version: head.version, digest: head.digest },
        versions: publishedVersions(sources),
        shards: sources.shards.owned(),
        entries: sources.shards.entries(),
        openStreams: sources.openStreams(),
        keyValue: sources.keyValue.usage(),
        counters: sources.metrics.counters(),
    };
}

function publishedVersions(sources: StatusSources): readonly { hostId: HostId; version: unknown; }[] {
    return sources.membership.published(configurationValueName).map(item => ({ hostId: item.host, version: item.value }));
}
