import type { Clock } from "@filbertrelay/kernel";
import type { DaemonStatus, OperatorClient } from "./operator.js";

/** How far a version has come in one failure domain. */
export interface DomainProgress {
    readonly failureDomain: string;
    readonly liveHosts: number;
    readonly hostsWithVersion: number;
}

/** How far a version has come in the fleet, as one daemon knows it. */
export interface Rollout {
    readonly isComplete: boolean;
    readonly domains: readonly DomainProgress[];
}

/** Options of `waitForRollout`. */
export interface RolloutOptions {
    readonly client: OperatorClient;
    readonly clock: Clock;
    /** Callers' addresses of daemons that are asked; those of other members are learned from the answers. */
    readonly entries: readonly string[];
    readonly version: number;
    readonly failureDomains: readonly string[];
    readonly limitMs: number;
    readonly onProgress: (rollout: Rollout) => void;
}

const pollIntervalMs = 250;

/** Counts the live hosts of each failure domain that have a version; a domain without live hosts holds nothing up. */
export function measureRollout(status: DaemonStatus, version: number, failureDomains: readonly string[]): Rollout {
    const versions = new Map(status.versions.map(entry => [entry.hostId, entry.version]));
    const domains = failureDomains.map(failureDomain => {
        const live = status.members.filter(member => member.failureDomain === failureDomain && member.state === "alive");
        const withVersion = live.filter(member => (versions.get(member.hostId) ?? 0) >= version);
        return { failureDomain, liveHosts: live.length, hostsWithVersion: withVersion.length };
    });
    const isComplete = domains.every(domain => domain.hostsWithVersion === domain.liveHosts) &&
        domains.some(domain => domain.liveHosts > 0);
    return { isComplete, domains };
}

/** Polls the daemons until every failure domain reports the version; gives the last state seen, if any. */
export async function waitForRollout(options: RolloutOptions): Promise<Rollout | undefined> {
    const endMs = options.clock.monotonicMs() + options.limitMs;
    const addresses = new Set(options.entries);
    let last: Rollout | undefined;
    for (;;) {
        const status = await firstStatus(options.client, [...addresses]);
        if (status !== undefined) {
            status.members.filter(member => member.state === "alive").forEach(member => addresses.add(member.callerAddress));
            const rollout = measureRollout(status, options.version, options.failureDomains);
            if (JSON.stringify(rollout) !== JSON.stringify(last)) {
                options.onProgress(rollout);
            }
            last = rollout;
        }
        if (last?.isComplete === true || options.clock.monotonicMs() >= endMs) {
            return last;
        }
        await options.clock.sleep(pollIntervalMs);
    }
}

async function firstStatus(client: OperatorClient, addresses: readonly string[]): Promise<DaemonStatus | undefined> {
    for (const address of addresses) {
        const status = await client.status(address);
        if (status.ok) {
            return status.value;
        }
    }
    return undefined;
}

/** Writes the progress as one line. */
export function formatRollout(rollout: Rollout): string {
    return rollout.domains.map(domain =>
        domain.liveHosts === 0 ?
            `${domain.failureDomain}: no live host` :
            `${domain.failureDomain}: ${domain.hostsWithVersion}/${domain.liveHosts}`
    ).join(", ");
}
