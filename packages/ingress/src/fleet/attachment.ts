import type { Clock, HostId, Incarnation } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { rankByRendezvous, ReceivedReports } from "@filbertrelay/policy/ingress";
import type { FleetClock } from "@filbertrelay/policy/ingress";
import { declareTopic } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import type { SharedFindings } from "./findings.js";
import type { PeerLiveness } from "./liveness.js";
import {
    attachReplySchema,
    attachReportSchema,
    describeOwnUse,
    describeWindowCounts,
    hasRecentUse,
    recordGroupUse,
    recordPeerUse,
    subtractUse,
} from "./report.js";
import type { AttachReply, AttachReport, SharedCounts, SharedUse } from "./report.js";
import type { ServingHosts } from "./servinghosts.js";
import type { StoreSync } from "./storesync.js";

const attachTopic = declareTopic("ingress.attach", { request: attachReportSchema, reply: attachReplySchema });

/** Group name under which a host outside of the serving set records the use of the whole fleet. */
export const fleetUseName = "fleet";

/** Timeout of a call to a peer; peers are a few milliseconds apart. */
const requestTimeoutMs = 600;
/** An unresponsive host is skipped for this long. */
const unresponsiveSkipMs = 2_000;
/** The use of an attached host counts for this long after its last report. */
const attachedUseTtlMs = 2_500;
/** The sum of the fleet's use is cached for this long. */
const fleetUseCacheMs = 100;
/** The fleet's use counts as known for this long after it was received. */
const fleetUseTtlMs = 1_500;

/** Options of `Attachment`. */
export interface AttachmentOptions {
    readonly clock: Clock;
    readonly hostId: HostId;
    readonly incarnation: Incarnation;
    readonly peers: TcpPeerNetwork;
    readonly serving: ServingHosts;
    readonly counts: SharedCounts;
    readonly fleetClock: FleetClock;
    readonly liveness: PeerLiveness;
    readonly news: () => StoreSync | undefined;
    readonly findings: SharedFindings;
    /** Returns the use of all known hosts, including this one. */
    readonly fleetUse: () => SharedUse;
}

/**
 * Attaches a host outside of the serving set to a serving host. The attached host receives the serving set and changes of the store
 * and reports its use, if any; the serving host adds that use to its own reports.
 */
export class Attachment {
    readonly #options: AttachmentOptions;
    readonly #attached = new ReceivedReports<SharedUse | undefined>(attachedUseTtlMs);
    readonly #skippedUntilMs = new Map<HostId, number>();
    #fleetUseReceivedMs = -Infinity;
    #cachedFleetUse: { readonly use: SharedUse; readonly atMs: number; } | undefined;
    #isReporting = false;

    constructor(options: AttachmentOptions) {
        this.#options = options;
    }

    start(): void {
        this.#options.peers.handle(attachTopic, (report, { from }) => Promise.resolve(this.#receive(from, report)));
    }

    /** Whether a serving host has recently sent the use of the whole fleet. */
    get isFleetUseKnown(): boolean {
        return this.#nowMs() - this.#fleetUseReceivedMs < fleetUseTtlMs;
    }

    /** Reports to a serving host. Falls back to the next one at once if there is no reply, since the host may have crashed. */
    async report(): Promise<void> {
        if (this.#isReporting) {
            return;
        }
        this.#isReporting = true;
        let contact = this.#chooseContact();
        while (contact !== undefined && !await this.#reportTo(contact)) {
            this.#skippedUntilMs.set(contact, this.#nowMs() + unresponsiveSkipMs);
            contact = this.#chooseContact();
        }
        this.#isReporting = false;
    }

    async #reportTo(contact: HostId): Promise<boolean> {
        const { peers, fleetClock, counts, liveness, serving, news } = this.#options;
        const sentMs = this.#nowMs();
        const reply = await peers.call(contact, attachTopic, this.#createReport(), {
            timeoutMs: requestTimeoutMs,
            isRepeatable: true,
        });
        if (!reply.ok) {
            return false;
        }
        const { sentAtMs, knowledge, use, setAgeMs, servingWork } = reply.value;
        // The ages in a reply count from when it was written, which was after the call began.
        const elapsedMs = this.#nowMs() - sentMs;
        const servingAges = Object.entries(reply.value.serving).map(([hostId, ageMs]) => ({
            hostId: brandAs<HostId>(hostId),
            ageMs: ageMs + elapsedMs,
        }));
        liveness.recordContact(contact);
        servingAges.forEach(({ hostId, ageMs }) => liveness.recordContact(hostId, ageMs));
        fleetClock.recordPeerTime(contact, new Date(sentAtMs));
        serving.recordPeerWork(servingWork);
        serving.adopt(servingAges.map(({ hostId }) => hostId), setAgeMs + elapsedMs);
        news()?.reconcile(contact, knowledge, sentMs);
        this.#options.findings.merge(reply.value, this.#nowMs(), elapsedMs);
        if (use !== undefined && !serving.isParticipant) {
            recordGroupUse(counts, fleetUseName, use, this.#nowMs());
            this.#fleetUseReceivedMs = this.#nowMs();
        }
        return true;
    }

    /** Whether a host is attached to this one. */
    isAttached(hostId: HostId): boolean {
        return this.#attached.entries(this.#nowMs()).some(([sender]) => sender === hostId);
    }

    /** The hosts attached to this one, with the milliseconds since the last report of each. */
    listAges(): Record<string, number> {
        const nowMs = this.#nowMs();
        return Object.fromEntries(
            this.#attached.entries(nowMs).map(([hostId, { receivedMs }]) => [hostId, Math.round(nowMs - receivedMs)]),
        );
    }

    /** Use of the hosts attached to this one, except serving hosts, which report theirs through the exchange. */
    listUses(): readonly SharedUse[] {
        const { serving } = this.#options;
        return this.#attached.entries(this.#nowMs()).flatMap(([hostId, { report }]) =>
            report === undefined || serving.isServing(brandAs<HostId>(hostId)) ? [] : [report]
        );
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }

    /** Returns the preferred serving host that is not being skipped. */
    #chooseContact(): HostId | undefined {
        const { hostId: self, serving } = this.#options;
        const nowMs = this.#nowMs();
        const candidates = serving.serving.map(({ hostId }) => hostId).filter(hostId => hostId !== self);
        const ranked = rankByRendezvous(self, candidates, hostId => hostId);
        return ranked.find(hostId => (this.#skippedUntilMs.get(hostId) ?? -Infinity) <= nowMs);
    }

    #createReport(): AttachReport {
        const { clock, incarnation, counts, news, serving } = this.#options;
        const use = describeOwnUse(counts, this.#nowMs());
        return {
            incarnation,
            sentAtMs: clock.now().getTime(),
            knowledge: news()?.status() ?? { revision: 0, materialRevision: 0 },
            isParticipant: serving.isParticipant,
            ...(hasRecentUse(use) && !serving.isParticipant ? { use } : {}),
            windowCounts: describeWindowCounts(counts),
            ...this.#options.findings.describe(this.#nowMs()),
        };
    }

    #receive(from: HostId, report: AttachReport): AttachReply {
        const { clock, counts, fleetClock, liveness, serving, news } = this.#options;
        const nowMs = this.#nowMs();
        liveness.recordContact(from);
        fleetClock.recordPeerTime(from, new Date(report.sentAtMs));
        counts.usage.recordPeerCounts(`${from}/${report.incarnation}`, report.windowCounts);
        const use = report.use === undefined ? undefined : clearMissingTime(report.use);
        this.#attached.record(from, use, nowMs);
        if (use !== undefined) {
            recordPeerUse(counts, from, use, nowMs);
        }
        news()?.reconcile(from, report.knowledge, undefined);
        this.#options.findings.merge(report, nowMs, requestTimeoutMs);
        return {
            sentAtMs: clock.now().getTime(),
            knowledge: news()?.status() ?? { revision: 0, materialRevision: 0 },
            serving: Object.fromEntries(serving.serving.map(({ hostId }) => [hostId, liveness.ageMs(hostId)])),
            setAgeMs: serving.setAgeMs,
            servingWork: serving.work,
            ...(report.isParticipant ? {} : { use: this.#describeFleetUseFor(use) }),
            ...this.#options.findings.describe(nowMs),
        };
    }

    /** Returns the fleet's use without that of the attached host; one without any use only gets what limits its first requests. */
    #describeFleetUseFor(own: SharedUse | undefined): SharedUse {
        const nowMs = this.#nowMs();
        if (this.#cachedFleetUse === undefined || nowMs - this.#cachedFleetUse.atMs > fleetUseCacheMs) {
            this.#cachedFleetUse = { use: this.#options.fleetUse(), atMs: nowMs };
        }
        const { use } = this.#cachedFleetUse;
        return own === undefined ? { ...use, endpointUse: {}, demand: {}, callerWork: {} } : subtractUse(use, own);
    }
}

/** Callers are not sent to an attached host, so time that it did not count is assumed to contain no use. */
function clearMissingTime(use: SharedUse): SharedUse {
    return { ...use, quotaUse: { ...use.quotaUse, missingMs: use.quotaUse.missingMs.map(() => 0) } };
}
