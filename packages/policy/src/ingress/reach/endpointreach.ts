import type { EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import { AwakeTime } from "./awaketime.js";
import { coverGroups, emptyCover } from "./cutcover.js";
import type { EndpointGroup } from "./endpointgroup.js";
import { EndpointLink } from "./endpointlink.js";
import type { ReachedEndpoint } from "./endpointlink.js";
import { LinkTable } from "./linktable.js";
import { selectProbes } from "./probeselection.js";
import { SharedSightings } from "./reachreport.js";
import type { ReachReport } from "./reachreport.js";
import { StrandedNotice } from "./strandednotice.js";

/** How a host gets to an endpoint: directly, only on connections that are open and answer, or through another host. */
export type EndpointWay = "direct" | "open" | "relay";

/** What changed in the ways of a host to endpoints. */
export type ReachChange =
    | { readonly kind: "cut" | "back"; readonly failureDomain: FailureDomainId; readonly service: string; }
    | { readonly kind: "stranded" | "steady"; };

/** What became of a probe. */
export interface EndpointProbe {
    readonly result: "answered" | "unreachable" | "silent";
    readonly startedMs: number;
}

/** Options of `createEndpointReach`. */
export interface EndpointReachOptions {
    readonly hostId: HostId;
    readonly onChange: (change: ReachChange) => void;
    /** The hosts that send requests to endpoints, as far as this one can reach them. */
    readonly listHosts: () => readonly HostId[];
}

/**
 * Tells the loss of this host's own links to endpoints from the loss of endpoints. A connection that fails says nothing by itself: the
 * endpoint may be down. It says that the links are cut if other hosts hear the same process of the endpoint afterwards. Silences and
 * lost connections only lead to probes, since a sound endpoint may be silent, or answer others first.
 *
 * Times are monotonic milliseconds. One of the methods with a time has to be called every 200 ms or more often: a longer pause counts
 * as a freeze of the process, in which requests didn't wait.
 */
export interface EndpointReach {
    /** A request was sent on an open connection and its answer is awaited; `key` is unique for the attempt. */
    recordSent(key: string, endpoint: ReachedEndpoint, nowMs: number): void;
    /** An attempt ended, whatever its outcome. */
    recordEnded(key: string): void;
    /** Bytes of an endpoint arrived on a direct connection of this host. */
    recordHeard(endpoint: ReachedEndpoint, nowMs: number): void;
    /** A new direct connection was accepted. */
    recordConnected(endpoint: ReachedEndpoint, nowMs: number): void;
    /** A new direct connection was refused, reset or not accepted in time. */
    recordConnectFailure(endpoint: ReachedEndpoint, nowMs: number): void;
    /** A direct connection with a request in progress was reset or closed. */
    recordLost(endpoint: ReachedEndpoint, nowMs: number): void;
    wayTo(endpoint: ReachedEndpoint, nowMs: number): EndpointWay;
    /** Whether recent failures at an endpoint may be due to this host's own links: not evidence against the endpoint yet. */
    isOwnLinkSuspected(endpoint: ReachedEndpoint, nowMs: number): boolean;
    /**
     * Endpoints to which this host should open a connection, to find out whether its links are cut or back, or whether a suspect of
     * another host lives; few at a time, and each is due again only after a pause. `endpoints` are all that exist.
     */
    takeDueProbes(endpoints: readonly ReachedEndpoint[], nowMs: number): readonly ReachedEndpoint[];
    /** Records the end of a probe that began at `startedMs`; `silent` is one that was accepted and not answered. */
    recordProbe(endpoint: ReachedEndpoint, probe: EndpointProbe, nowMs: number): void;
    /** Whether this host is cut off from all endpoints; taken back only after its links were steady for a while. */
    isStranded(nowMs: number): boolean;
    /** Other hosts that said recently that they are cut off. */
    strandedHosts(nowMs: number): ReadonlySet<HostId>;
    /** What the other hosts have to know; `undefined` in the normal case. */
    report(nowMs: number): ReachReport | undefined;
    /**
     * Takes over what another host has found; `elapsedMs` is how long ago the report was written at most, `isAttached` whether that
     * host reports to this one only.
     */
    merge(report: ReachReport, nowMs: number, elapsedMs: number, isAttached?: boolean): void;
    forget(endpointId: EndpointId): void;
}

/** What is known is weighed anew after this time, or at once after news. */
const assessPauseMs = 20;
/** Failures just after a freeze are those of timers that ran out in it. */
const wakeGraceMs = 300;
/** An endpoint that has been silent for this long is a reason to ask the other hosts. */
const silenceMs = 300;
/** Failures so close together may have one cause. */
const commonCauseMs = 1_000;
/** Other hosts' answers about a failure come within this time. */
const suspicionMs = 500;
/** The same for a host that hears no endpoint at all. */
const deafSuspicionMs = 1_000;
/** A suspect is named to other hosts for this long after its last failure. */
const suspectTtlMs = 1_500;
/** A cut lasts only while other hosts have heard some of the endpoints that fail here within this time: relays need such hosts. */
const answerTtlMs = 3_000;

/** Creates a record without failures. */
export function createEndpointReach(options: EndpointReachOptions): EndpointReach {
    return new ObservedReach(options);
}

class ObservedReach implements EndpointReach {
    readonly #options: EndpointReachOptions;
    readonly #time = new AwakeTime();
    readonly #table = new LinkTable();
    readonly #sightings = new SharedSightings();
    readonly #notice = new StrandedNotice();
    #proven: ReadonlySet<EndpointLink> = new Set();
    #cutGroups = 0;
    #cover = emptyCover;
    #heardMs = -Infinity;
    /** When a connection failed just after a freeze. */
    #wakeFailureMs = -Infinity;
    #assessedMs = -Infinity;
    #hasNews = false;

    constructor(options: EndpointReachOptions) {
        this.#options = options;
    }

    recordSent(key: string, endpoint: ReachedEndpoint, nowMs: number): void {
        this.#time.advance(nowMs);
        const link = this.#table.open(endpoint);
        if (link !== undefined) {
            this.#table.startWait(key, link, nowMs, this.#time.awakeMs);
        }
    }

    recordEnded(key: string): void {
        this.#table.endWait(key);
    }

    recordHeard(endpoint: ReachedEndpoint, nowMs: number): void {
        this.#time.advance(nowMs);
        this.#heardMs = nowMs;
        const link = this.#table.open(endpoint);
        link?.hear(nowMs, this.#time.awakeMs, this.#time.arrivalMs(nowMs));
        link?.group.hear(nowMs);
    }

    recordConnected(endpoint: ReachedEndpoint, nowMs: number): void {
        this.#time.advance(nowMs);
        const link = this.#table.open(endpoint);
        if (link !== undefined) {
            link.connect(nowMs, this.#time.arrivalMs(nowMs));
            link.group.connect(link, nowMs);
            this.#hasNews ||= this.#table.failing.delete(link) || link.group.isCut;
        }
    }

    recordConnectFailure(endpoint: ReachedEndpoint, nowMs: number): void {
        this.#time.advance(nowMs);
        if (this.#time.hasJustWoken(wakeGraceMs, nowMs)) {
            this.#wakeFailureMs = nowMs;
            return;
        }
        const link = this.#table.open(endpoint);
        if (link !== undefined) {
            link.fail(nowMs);
            link.group.fail(link, nowMs);
            this.#table.failing.add(link);
            this.#hasNews = true;
        }
    }

    recordLost(endpoint: ReachedEndpoint, nowMs: number): void {
        this.#time.advance(nowMs);
        const link = this.#table.open(endpoint);
        if (link !== undefined) {
            link.lostMs = nowMs;
            this.#table.lost.add(link);
        }
    }

    wayTo(endpoint: ReachedEndpoint, nowMs: number): EndpointWay {
        this.#time.advance(nowMs);
        if (this.#isWellConnected()) {
            return "direct";
        }
        this.#assess(nowMs);
        const link = this.#table.find(endpoint);
        if (link !== undefined && this.#proven.has(link)) {
            return link.isHeardLately(nowMs) ? "open" : "relay";
        }
        const group = link?.group ?? this.#table.groupOf(endpoint);
        if (group.isCut) {
            return group.wayTo(link, nowMs);
        }
        const { domains, services, isAll } = this.#cover;
        const isCovered = isAll || domains.has(endpoint.failureDomain) || services.has(endpoint.service);
        if (!isCovered) {
            return "direct";
        }
        return link?.isHeardLately(nowMs) === true ? "open" : "relay";
    }

    isOwnLinkSuspected(endpoint: ReachedEndpoint, nowMs: number): boolean {
        if (this.wayTo(endpoint, nowMs) !== "direct" || nowMs - this.#wakeFailureMs <= suspicionMs) {
            return true;
        }
        const link = this.#table.find(endpoint);
        const sinceMs = link === undefined ? undefined : this.#troubleSince(link, nowMs);
        if (link === undefined || sinceMs === undefined) {
            return false;
        }
        if (EndpointLink.isHeardSince(this.#sightings.answeredMs(link.process), sinceMs)) {
            return true;
        }
        const limitMs = this.#heardMs > sinceMs ? suspicionMs : deafSuspicionMs;
        return nowMs - sinceMs <= limitMs && this.#hasCommonCause(link, nowMs);
    }

    takeDueProbes(endpoints: readonly ReachedEndpoint[], nowMs: number): readonly ReachedEndpoint[] {
        this.#time.advance(nowMs);
        if (this.#isWellConnected() && !this.#hasDoubts(nowMs)) {
            return [];
        }
        this.#assess(nowMs);
        return selectProbes(
            {
                hostId: this.#options.hostId,
                hosts: this.#options.listHosts(),
                table: this.#table,
                sightings: this.#sightings,
                proven: this.#proven,
                awakeMs: this.#time.awakeMs,
            },
            endpoints,
            nowMs,
        );
    }

    recordProbe(endpoint: ReachedEndpoint, { result, startedMs }: EndpointProbe, nowMs: number): void {
        if (result === "answered") {
            this.recordConnected(endpoint, nowMs);
        }
        else if (result === "unreachable" || this.#isAnsweredElsewhere(endpoint, startedMs)) {
            this.recordConnectFailure(endpoint, nowMs);
        }
    }

    /** A sound endpoint may be silent, but not at one host only. */
    #isAnsweredElsewhere(endpoint: ReachedEndpoint, sinceMs: number): boolean {
        const link = this.#table.open(endpoint);
        return link !== undefined && EndpointLink.isHeardSince(this.#sightings.answeredMs(link.process), sinceMs);
    }

    isStranded(nowMs: number): boolean {
        this.#time.advance(nowMs);
        if (this.#notice.isStranded || !this.#isWellConnected()) {
            this.#assess(nowMs);
        }
        return this.#notice.isStranded;
    }

    strandedHosts(nowMs: number): ReadonlySet<HostId> {
        const hosts = this.#sightings.strandedHosts(nowMs);
        return hosts.has(this.#options.hostId) ? new Set([...hosts].filter(id => id !== this.#options.hostId)) : hosts;
    }

    report(nowMs: number): ReachReport | undefined {
        const isStranded = this.isStranded(nowMs);
        this.#table.dropOldLosses(nowMs - suspectTtlMs);
        const { failing, lost } = this.#table;
        const suspects = new Set([...failing, ...lost].filter(link => nowMs - link.troubleMs <= suspectTtlMs));
        return this.#sightings.report(this.#options.hostId, {
            suspects: [...suspects].map(link => link.process),
            silent: this.#table.listSilent(silenceMs, this.#time.awakeMs, nowMs).map(link => link.process),
            isStranded,
            answeredMs: process => this.#table.findProcess(process)?.answeredMs ?? -Infinity,
        }, nowMs);
    }

    merge(report: ReachReport, nowMs: number, elapsedMs: number, isAttached = false): void {
        this.#time.advance(nowMs);
        this.#sightings.merge(report, nowMs, elapsedMs, isAttached);
        const { answers = {} } = report;
        this.#hasNews ||= [...this.#table.failing].some(link => Object.hasOwn(answers, link.process));
    }

    forget(endpointId: EndpointId): void {
        this.#table.forget(endpointId);
        this.#hasNews = true;
    }

    /** Most of the time nothing fails, and every request asks for each endpoint. */
    #isWellConnected(): boolean {
        return this.#table.failing.size === 0 && this.#cutGroups === 0;
    }

    #hasDoubts(nowMs: number): boolean {
        return this.#table.lost.size > 0 || this.#sightings.suspects(nowMs).size > 0 ||
            this.#table.listSilent(silenceMs, this.#time.awakeMs, nowMs).length > 0;
    }

    #assess(nowMs: number): void {
        if (!this.#hasNews && nowMs - this.#assessedMs < assessPauseMs) {
            return;
        }
        this.#hasNews = false;
        this.#assessedMs = nowMs;
        for (const link of this.#table.failing) {
            if (!link.isFailing(nowMs)) {
                link.failingSinceMs = undefined;
                this.#table.failing.delete(link);
            }
        }
        this.#proven = new Set(
            [...this.#table.failing].filter(link => link.isProven(this.#sightings.answeredMs(link.process), nowMs)),
        );
        const isAnswered = nowMs - this.#sightings.newestAnswerMs <= answerTtlMs;
        const { groups } = this.#table;
        for (const group of groups) {
            const proven = [...this.#proven].filter(link => link.group === group);
            const troubled = proven.length === 1 ? this.#countTroubled(group) : proven.length;
            const isBack = group.isReturning;
            if (group.assess({ proven, provenAnywhere: this.#proven.size, troubled, isAnswered }, nowMs)) {
                this.#announce(group, isBack);
            }
        }
        this.#cutGroups = groups.filter(group => group.isCut).length;
        this.#cover = coverGroups(groups, nowMs);
        const wasStranded = this.#notice.isStranded;
        this.#notice.update(this.#cover.isAll, nowMs);
        if (this.#notice.isStranded !== wasStranded) {
            this.#options.onChange({ kind: wasStranded ? "steady" : "stranded" });
        }
    }

    #countTroubled(group: EndpointGroup): number {
        const { failing, waiting } = this.#table;
        const silent = [...waiting].filter(link => link.silentForMs(this.#time.awakeMs) >= silenceMs);
        return new Set([...failing, ...silent].filter(link => link.group === group)).size;
    }

    #announce(group: EndpointGroup, isBack: boolean): void {
        const { failureDomain, service, isCut } = group;
        if (!isCut && isBack) {
            // What failed during the cut need not fail now.
            [...this.#table.failing].filter(link => link.group === group).forEach(link => {
                link.failingSinceMs = undefined;
                this.#table.failing.delete(link);
            });
        }
        this.#options.onChange({ kind: isCut ? "cut" : "back", failureDomain, service });
    }

    /** Since when an endpoint fails or is silent here; `undefined` if it doesn't. */
    #troubleSince(link: EndpointLink, nowMs: number): number | undefined {
        if (link.troubleMs !== -Infinity) {
            return Math.min(link.failingSinceMs ?? Infinity, link.troubleMs);
        }
        const silentMs = link.silentForMs(this.#time.awakeMs);
        return silentMs >= silenceMs ? nowMs - silentMs + silenceMs : undefined;
    }

    /** Whether so many endpoints fail at the same time that the cause may be here. */
    #hasCommonCause(link: EndpointLink, nowMs: number): boolean {
        const troubled = [...new Set([...this.#table.failing, ...this.#table.lost, ...this.#table.waiting])].filter(other => {
            const sinceMs = this.#troubleSince(other, nowMs);
            return sinceMs !== undefined && nowMs - Math.max(sinceMs, other.troubleMs) <= commonCauseMs;
        });
        const domains = new Set(troubled.map(other => other.group.failureDomain));
        const { failureDomain } = link.group;
        const near = troubled.filter(other => other.group.failureDomain === failureDomain);
        const firstMs = Math.min(...near.map(other => this.#troubleSince(other, nowMs) ?? Infinity));
        const isHeard = this.#table.groups.some(group => group.failureDomain === failureDomain && group.heardMs > firstMs);
        return domains.size >= 2 || (near.length >= 2 && !isHeard);
    }
}
