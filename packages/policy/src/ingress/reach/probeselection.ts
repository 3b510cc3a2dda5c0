import type { HostId } from "@filbertrelay/kernel";
import { rendezvousScore } from "../../rendezvous.js";
import { createCrashId } from "../../suspects/crash.js";
import { isUndecided } from "./cutcover.js";
import type { EndpointGroup } from "./endpointgroup.js";
import { EndpointLink } from "./endpointlink.js";
import type { ReachedEndpoint } from "./endpointlink.js";
import type { LinkTable } from "./linktable.js";
import type { SharedSightings } from "./reachreport.js";

/** Options of `selectProbes`. */
export interface ProbeOptions {
    readonly hostId: HostId;
    readonly hosts: readonly HostId[];
    readonly table: LinkTable;
    readonly sightings: SharedSightings;
    /** Endpoints that don't accept this host's connections though they live. */
    readonly proven: ReadonlySet<EndpointLink>;
    /** Time for which this process ran. */
    readonly awakeMs: number;
}

/** Connections that are opened to find something out, at once. */
const maximumProbes = 4;
/** Pause between two probes of a group, or of an endpoint that fails alone. */
const probePauseMs = 1_000;
/** A silence that is looked into by a probe, if it is shared. */
const silenceMs = 500;
/** A lost connection is looked into for this long. */
const lostMs = 1_000;
/** Hosts that look after a suspect of another host, on average. */
const vouchingHosts = 3;
/** Pause between two probes of a suspect of other hosts. */
const vouchPauseMs = 500;

/** Selects endpoints to which this host should open a connection, those that decide most first. */
export function selectProbes(
    options: ProbeOptions,
    endpoints: readonly ReachedEndpoint[],
    nowMs: number,
): readonly ReachedEndpoint[] {
    const { table } = options;
    const members = table.listGroups(endpoints);
    const groups = [...members.keys()];
    const cut = groups.filter(group => group.isCut);
    const undecided = groups.filter(group => isUndecided(group, cut, nowMs));
    // Whether one endpoint or its whole group is out of reach shows at another one.
    const doubtful = groups.filter(group =>
        !group.isCut && !group.hasAcceptedSince(nowMs - probePauseMs) && hasProven(options, group)
    );
    const isListed = new Set(endpoints.map(({ endpointId }) => endpointId));
    const selected = new Map<string, ReachedEndpoint>();
    const add = (endpoint: ReachedEndpoint): void => {
        const link = table.open(endpoint);
        if (link !== undefined && selected.size < maximumProbes && isListed.has(endpoint.endpointId)) {
            selected.set(link.process, endpoint);
            link.probedMs = nowMs;
            link.group.probedMs = nowMs;
        }
    };
    const addGroups = (due: readonly EndpointGroup[]): void =>
        due.filter(group => nowMs - group.probedMs >= probePauseMs)
            .sort((left, right) => left.probedMs - right.probedMs)
            .forEach(group => add(choose(members.get(group) ?? [], options)));
    addGroups(cut);
    addGroups(doubtful);
    addGroups(undecided);
    [...options.proven]
        .filter(link => !link.group.isCut && nowMs - link.probedMs >= probePauseMs)
        .forEach(link => add(link.endpoint));
    for (const link of listDoubts(options, nowMs)) {
        // Asked for each, as the first of a group puts the others off.
        if (!link.group.isCut && nowMs - link.group.probedMs >= probePauseMs) {
            add(link.endpoint);
        }
    }
    listSuspects(options, endpoints, nowMs).forEach(add);
    return [...selected.values()];
}

function hasProven({ proven }: ProbeOptions, group: EndpointGroup): boolean {
    return [...proven].some(link => link.group === group);
}

/** The endpoint that tells most: one that may live, and of those the one that was probed least recently. */
function choose(members: readonly ReachedEndpoint[], { table, proven, hostId }: ProbeOptions): ReachedEndpoint {
    const ranked = members.map(endpoint => {
        const link = table.find(endpoint);
        return {
            endpoint,
            isDown: link?.failingSinceMs !== undefined && !proven.has(link),
            probedMs: link?.probedMs ?? -Infinity,
            // Hosts whose links are back together begin with different ones.
            score: rendezvousScore(hostId, endpoint.endpointId),
        };
    });
    return ranked.reduce((best, other) => {
        if (best.isDown !== other.isDown) {
            return best.isDown ? other : best;
        }
        const isSame = best.probedMs === other.probedMs;
        return (isSame ? other.score > best.score : other.probedMs < best.probedMs) ? other : best;
    }).endpoint;
}

/** Endpoints that are silent, or broke off, at this host while others hear them or nothing is heard at all. */
function listDoubts({ table, sightings, awakeMs }: ProbeOptions, nowMs: number): readonly EndpointLink[] {
    const isDeaf = table.groups.every(group => nowMs - group.heardMs >= silenceMs);
    const silent = table.listSilent(silenceMs, awakeMs, nowMs).filter(link =>
        isDeaf || EndpointLink.isHeardSince(sightings.answeredMs(link.process), link.silentSinceMs)
    );
    const lost = [...table.lost].filter(link => link.troubleMs === link.lostMs && nowMs - link.lostMs <= lostMs);
    return [
        ...silent,
        ...lost.filter(link => lost.length >= 2 || EndpointLink.isHeardSince(sightings.answeredMs(link.process), link.lostMs)),
    ];
}

/** Suspects of other hosts for which this one is to find out whether they live. */
function listSuspects(
    { table, sightings, hostId, hosts }: ProbeOptions,
    endpoints: readonly ReachedEndpoint[],
    nowMs: number,
): readonly ReachedEndpoint[] {
    const suspects = sightings.suspects(nowMs);
    if (suspects.size === 0) {
        return [];
    }
    const slot = Math.floor(nowMs / vouchPauseMs);
    return endpoints.filter(endpoint => {
        const process = createCrashId(endpoint.endpointId, endpoint.startedAtMs);
        const suspectedMs = suspects.get(process);
        const link = table.find(endpoint);
        return suspectedMs !== undefined &&
            (link === undefined || (link.answeredMs < suspectedMs && link.failingSinceMs === undefined)) &&
            nowMs - (link?.probedMs ?? -Infinity) >= vouchPauseMs &&
            !table.groupOf(endpoint).isCut &&
            // Others in each time slot, since those of one may be cut off too.
            rendezvousScore(`${process}/${slot}`, hostId) * Math.max(1, hosts.length) < vouchingHosts;
    });
}
