import type { Clock, HostId, Incarnation } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { rankByRendezvous, ReceivedReports } from "@filbertrelay/policy/ingress";
import type { FleetClock } from "@filbertrelay/policy/ingress";
import { declareTopic } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import type { HeardHosts } from "./heardhosts.js";
import {
    attachReplySchema,
    attachReportSchema,
    describeOwnUse,
    describeWindowCounts,
    isUsed,
    recordGroupUse,
    recordPeerUse,
    subtractUse,
} from "./report.js";
import type { AttachReply, AttachReport, SharedCounts, SharedUse } from "./report.js";
import type { ServingHosts } from "./servinghosts.js";
import type { StoreNews } from "./storenews.js";

const attachTopic = declareTopic("ingress.attach", { request: attachReportSchema, reply: attachReplySchema });

/** Name under which the fleet's use is kept on a host outside of the serving set. */
export const fleetUseName = "fleet";

/** A call that takes longer than this is given up; peers are a few milliseconds apart. */
const callTimeoutMs = 600;
/** A host that did not answer is passed over for this long. */
const avoidMs = 2_000;
/** Use of a host that has not reported for this long is over or unknown. */
const attachedLifeMs = 2_500;
/** The fleet's use is added up once for the hosts that ask within this time. */
const fleetUseCacheMs = 100;
/** The fleet's use is known for this long after it was told. */
const fleetUseLifeMs = 1_500;

/** Options of `Attachment`. */
export interface AttachmentOptions {
    readonly clock: Clock;
    readonly hostId: HostId;
    readonly incarnation: Incarnation;
    readonly peers: TcpPeerNetwork;
    readonly serving: ServingHosts;
    readonly counts: SharedCounts;
    readonly fleetClock: FleetClock;
    readonly heard: HeardHosts;
    readonly news: () => StoreNews | undefined;
    /** Use of all hosts that this one knows of. */
    readonly fleetUse: () => SharedUse;
}

/**
 * Connects a host outside of the serving set to one that serves: it learns the set and the store's changes there and reports its
 * use, if it has any. The serving host adds that use to its own.
 */
export class Attachment {
    readonly #options: AttachmentOptions;
    readonly #attached = new ReceivedReports<SharedUse | undefined>(attachedLifeMs);
    readonly #avoidedUntilMs = new Map<HostId, number>();
    #fleetUseMs = -Infinity;
    #fleetUse: { readonly use: SharedUse; readonly atMs: number; } | undefined;
    #isCalling = false;

    constructor(options: AttachmentOptions) {
        this.#options = options;
    }

    start(): void {
        this.#options.peers.handle(attachTopic, (report, { from }) => Promise.resolve(this.#answer(from, report)));
    }

    /** Whether this host knows the use of the whole fleet through a serving one. */
    get isFleetUseKnown(): boolean {
        return this.#nowMs() - this.#fleetUseMs < fleetUseLifeMs;
    }

    /** Reports to a serving host; one that does not answer is passed over at once, since it may have ended. */
    async report(): Promise<void> {
        if (this.#isCalling) {
            return;
        }
        this.#isCalling = true;
        let contact = this.#chooseContact();
        while (contact !== undefined && !await this.#reportTo(contact)) {
            this.#avoidedUntilMs.set(contact, this.#nowMs() + avoidMs);
            contact = this.#chooseContact();
        }
        this.#isCalling = false;
    }

    async #reportTo(contact: HostId): Promise<boolean> {
        const { peers, fleetClock, counts, heard, serving, news } = this.#options;
        const reply = await peers.call(contact, attachTopic, this.#describe(), { timeoutMs: callTimeoutMs, isRepeatable: true });
        if (!reply.ok) {
            return false;
        }
        const { sentAtMs, knowledge, use, setAgeMs, servingWork } = reply.value;
        const told = Object.entries(reply.value.serving).map(([hostId, ageMs]) => ({ hostId: brandAs<HostId>(hostId), ageMs }));
        heard.note(contact);
        told.forEach(({ hostId, ageMs }) => heard.note(hostId, ageMs));
        fleetClock.recordPeerTime(contact, new Date(sentAtMs));
        serving.noteWork(servingWork);
        serving.adopt(told.map(({ hostId }) => hostId), setAgeMs);
        news()?.learn(contact, knowledge);
        if (use !== undefined && !serving.isParticipant) {
            recordGroupUse(counts, fleetUseName, use, this.#nowMs());
            this.#fleetUseMs = this.#nowMs();
        }
        return true;
    }

    /** Whether a host reports to this one. */
    isAttached(hostId: HostId): boolean {
        return this.#attached.entries(this.#nowMs()).some(([sender]) => sender === hostId);
    }

    /** Hosts that report to this one, with the time since each was heard, in milliseconds. */
    ages(): Record<string, number> {
        const nowMs = this.#nowMs();
        return Object.fromEntries(
            this.#attached.entries(nowMs).map(([hostId, { receivedMs }]) => [hostId, Math.round(nowMs - receivedMs)]),
        );
    }

    /** Use of the hosts that report to this one; those that serve report theirs to all others by themselves. */
    uses(): readonly SharedUse[] {
        const { serving } = this.#options;
        return this.#attached.entries(this.#nowMs()).flatMap(([hostId, { report }]) =>
            report === undefined || serving.isServing(brandAs<HostId>(hostId)) ? [] : [report]
        );
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }

    /** A serving host that was not passed over lately. */
    #chooseContact(): HostId | undefined {
        const { hostId: self, serving } = this.#options;
        const nowMs = this.#nowMs();
        const candidates = serving.serving.map(({ hostId }) => hostId).filter(hostId => hostId !== self);
        const ranked = rankByRendezvous(self, candidates, hostId => hostId);
        return ranked.find(hostId => (this.#avoidedUntilMs.get(hostId) ?? -Infinity) <= nowMs);
    }

    #describe(): AttachReport {
        const { clock, incarnation, counts, news, serving } = this.#options;
        const use = describeOwnUse(counts, this.#nowMs());
        return {
            incarnation,
            sentAtMs: clock.now().getTime(),
            knowledge: news()?.knowledge() ?? { revision: 0, materialRevision: 0 },
            isParticipant: serving.isParticipant,
            ...(isUsed(use) && !serving.isParticipant ? { use } : {}),
            windowCounts: describeWindowCounts(counts),
        };
    }

    #answer(from: HostId, report: AttachReport): AttachReply {
        const { clock, counts, fleetClock, heard, serving, news } = this.#options;
        const nowMs = this.#nowMs();
        heard.note(from);
        fleetClock.recordPeerTime(from, new Date(report.sentAtMs));
        counts.usage.recordPeerCounts(`${from}/${report.incarnation}`, report.windowCounts);
        const use = report.use === undefined ? undefined : withoutMissingTime(report.use);
        this.#attached.record(from, use, nowMs);
        if (use !== undefined) {
            recordPeerUse(counts, from, use, nowMs);
        }
        news()?.learn(from, report.knowledge);
        return {
            sentAtMs: clock.now().getTime(),
            knowledge: news()?.knowledge() ?? { revision: 0, materialRevision: 0 },
            serving: Object.fromEntries(serving.serving.map(({ hostId }) => [hostId, heard.ageMs(hostId)])),
            setAgeMs: serving.setAgeMs,
            servingWork: serving.work,
            ...(report.isParticipant ? {} : { use: this.#describeForAsker(use) }),
        };
    }

    /** The fleet's use without the asker's own; one without requests needs only what limits its first ones. */
    #describeForAsker(own: SharedUse | undefined): SharedUse {
        const nowMs = this.#nowMs();
        if (this.#fleetUse === undefined || nowMs - this.#fleetUse.atMs > fleetUseCacheMs) {
            this.#fleetUse = { use: this.#options.fleetUse(), atMs: nowMs };
        }
        const { use } = this.#fleetUse;
        return own === undefined ? { ...use, endpointUse: {}, demand: {}, callerWork: {} } : subtractUse(use, own);
    }
}

/** Time in which such a host has not been counting is not assumed to hold use: it was not given to callers. */
function withoutMissingTime(use: SharedUse): SharedUse {
    return { ...use, quotaUse: { ...use.quotaUse, missingMs: use.quotaUse.missingMs.map(() => 0) } };
}
