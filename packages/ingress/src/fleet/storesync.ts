import type { Clock, HostId, Service } from "@filbertrelay/kernel";
import { longFetchTimeoutMs, planStoreFetch, rankWatchers } from "@filbertrelay/policy/ingress";
import type { CopiedChange, CopyChanges, CopyUpdate } from "@filbertrelay/policy/ingress";
import { declareTopic } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import * as z from "zod";
import type { StoreMirror } from "../state/mirror.js";
import type { WatchRole } from "../state/watchrole.js";
import type { MirrorStatus } from "./report.js";
import type { ServingHosts } from "./servinghosts.js";

const updateSchema = z.object({
    /** Whether `changes` holds all items of the store. */
    isComplete: z.boolean(),
    /** Absent in older versions, which know of no restores. */
    era: z.number().optional(),
    revision: z.number(),
    /** Milliseconds since `revision` was confirmed to be the store's latest, when the message was written. */
    ageMs: z.number(),
    /** Spans of revisions whose changes are the differences between the ends of the span. */
    bridged: z.array(z.object({ after: z.number(), until: z.number() })).optional(),
    changes: z.array(z.object({ key: z.string(), revision: z.number(), value: z.string().optional() })),
    /** The changes are longer than the caller takes, and none are sent. */
    isTooLong: z.boolean().optional(),
});
const fetchTopic = declareTopic("ingress.changes", {
    /** Older versions don't send `materialRevision` and `maximumCharacters`. */
    request: z.object({
        era: z.number().optional(),
        afterRevision: z.number(),
        materialRevision: z.number().optional(),
        maximumCharacters: z.number().optional(),
    }),
    reply: updateSchema,
});
const disputesTopic = declareTopic("ingress.disputes", {
    request: z.object({}),
    reply: z.object({
        items: z.array(
            z.object({
                key: z.string(),
                /** Absent for a removal. */
                value: z.string().optional(),
                version: z.array(z.number()),
                /** Milliseconds until the store's item counts; absent if it has to catch up. */
                leftMs: z.number().optional(),
            }),
        ),
    }),
});
const pushTopic = declareTopic("ingress.news", {
    request: z.object({ afterRevision: z.number(), news: updateSchema }),
    reply: z.object({}),
});

/** Number of hosts that watch the store in a large fleet; tolerates two simultaneous failures. */
const watcherCount = 3;
/** Number of hosts that take over soonest when none of these can reach the store. */
const reserveCount = 3;
/** Timeout of a call to a peer; peers are a few milliseconds apart. */
const callTimeoutMs = 600;
/** Where every host watches the store, changes are fetched from peers only after this long without a response of the store. */
const staleWatchMs = 600;
/**
 * All items of the store are fetched from a peer that can't send the changes alone only when the mirror is older than this share of
 * `applyMs`. A peer that has just started can't, and the watching hosts soon pass on the same changes.
 */
const completeCopyAgeShare = 0.5;
/** Minimum interval between requests for the items that take precedence over a restored store. */
const disputeIntervalMs = 300;
/** The choice of the watching hosts is cached for this long. */
const roleTtlMs = 500;
/** Larger sets of changes are not pushed; each host fetches them once when the next report announces their revision. */
const maxPushCharacters = 16_384;

/** Synchronizes store mirrors between hosts, so that few hosts watch the store and hosts that can't reach it stay up to date. */
export class StoreSync implements Service {
    readonly #clock: Clock;
    readonly #hostId: HostId;
    readonly #peers: TcpPeerNetwork;
    readonly #mirror: StoreMirror;
    readonly #listReachable: () => readonly HostId[];
    readonly #serving: ServingHosts;
    readonly #completeCopyAgeMs: number;
    #isFetching = false;
    /** Calls for changes in a row that timed out. */
    #fetchTimeouts = 0;
    #disputesAskedMs = -Infinity;
    #isAskingForDisputes = false;
    /** Calls for disputed items in a row that timed out. */
    #disputeTimeouts = 0;
    #role: { readonly atMs: number; readonly value: WatchRole; } | undefined;

    constructor(
        options: {
            readonly clock: Clock;
            readonly hostId: HostId;
            readonly peers: TcpPeerNetwork;
            readonly mirror: StoreMirror;
            /** The reachable participants of the exchange, including this host if it takes part. */
            readonly listReachable: () => readonly HostId[];
            readonly serving: ServingHosts;
            /** Time within which a host must apply a change. */
            readonly applyMs: number;
        },
    ) {
        this.#clock = options.clock;
        this.#hostId = options.hostId;
        this.#peers = options.peers;
        this.#mirror = options.mirror;
        this.#listReachable = options.listReachable;
        this.#serving = options.serving;
        this.#completeCopyAgeMs = options.applyMs * completeCopyAgeShare;
    }

    start(): Promise<void> {
        this.#peers.handle(fetchTopic, ({ era, afterRevision, materialRevision, maximumCharacters = Infinity }) => {
            const update = this.#mirror.updateSince({
                era: era ?? this.#mirror.position.era,
                revision: afterRevision,
                materialRevision: materialRevision ?? afterRevision,
            });
            const ageMs = this.#mirror.ageMs();
            const isTooLong = countCharacters(update) > maximumCharacters;
            return Promise.resolve(isTooLong ? declineUpdate(update, ageMs) : encodeUpdate(update, ageMs));
        });
        this.#peers.handle(pushTopic, ({ afterRevision, news }, { from }) => {
            // How long the push has been on its way is unknown, so its age confirms nothing.
            const update = decodeUpdate(news, afterRevision, this.#mirror.position.era);
            if (this.#mirror.mergeFromPeer(from, update, { way: "push" }) === "gap") {
                void this.#fetch(from);
            }
            return Promise.resolve({});
        });
        this.#peers.handle(
            disputesTopic,
            () => Promise.resolve({ items: this.#mirror.disputes().map(item => ({ ...item, version: [...item.version] })) }),
        );
        this.#mirror.shareWatch({
            watchRole: () => this.#watchRole(),
            onMaterialChanges: changes => this.#push(changes),
        });
        return Promise.resolve();
    }

    stop(): Promise<void> {
        return Promise.resolve();
    }

    /** Milliseconds since the store responded to this host or to a peer that reported it. */
    storeAgeMs(): number {
        return this.#mirror.ageMs();
    }

    /** Status of the mirror, sent with this host's reports. */
    status(): MirrorStatus {
        const ageMs = this.#mirror.ageMs();
        const { position, historyStart } = this.#mirror;
        const disputes = this.#mirror.disputeDigest();
        return {
            ...position,
            historyStart,
            ...(Number.isFinite(ageMs) ? { storeAgeMs: Math.round(ageMs) } : {}),
            ...(disputes === "" ? {} : { disputes }),
        };
    }

    /**
     * Compares the mirror with that of a peer and fetches changes that only the peer has. `writtenMs` is when the peer wrote its status
     * at the earliest, in this host's monotonic milliseconds; without it the status confirms nothing.
     */
    reconcile(peer: HostId, status: MirrorStatus, writtenMs: number | undefined): void {
        const { storeAgeMs, historyStart, disputes, era = this.#mirror.position.era, ...revisions } = status;
        if (storeAgeMs === undefined) {
            return;
        }
        const position = { era, ...revisions };
        const confirmedMs = writtenMs === undefined ? undefined : writtenMs - storeAgeMs;
        const isBehind = this.#mirror.followPeer({ ...position, confirmedMs });
        if (isBehind && this.#mayFetch(era, historyStart ?? 0)) {
            void this.#fetch(peer);
        }
        if (disputes !== undefined && era === this.#mirror.position.era && disputes !== this.#mirror.disputeDigest()) {
            void this.#askForDisputes(peer);
        }
    }

    /** Whether changes that only a peer has are fetched, instead of waiting for this host's own watch or for a watching host. */
    #mayFetch(era: number, historyStart: number): boolean {
        const { position: { era: ownEra, revision } } = this.#mirror;
        const ageMs = this.#mirror.ageMs();
        if (era === ownEra && revision > 0 && revision < historyStart && ageMs <= this.#completeCopyAgeMs) {
            return false;
        }
        const role = this.#watchRole();
        return role === "standby" || role === "reserve" || ageMs > staleWatchMs;
    }

    #watchRole(): WatchRole {
        const nowMs = this.#clock.monotonicMs();
        // Ranking all hosts on each call would cost more than the role saves.
        if (this.#role === undefined || nowMs - this.#role.atMs > roleTtlMs) {
            this.#role = { atMs: nowMs, value: this.#chooseRole() };
        }
        return this.#role.value;
    }

    #chooseRole(): WatchRole {
        if (this.#serving.isFullFleet) {
            return "own";
        }
        const rank = rankWatchers(this.#serving.serving).indexOf(this.#hostId);
        if (rank === -1 || rank >= watcherCount + reserveCount) {
            return "standby";
        }
        return rank < watcherCount ? "fleet" : "reserve";
    }

    async #fetch(peer: HostId): Promise<void> {
        if (this.#isFetching) {
            return;
        }
        this.#isFetching = true;
        const sentMs = this.#clock.monotonicMs();
        const { era, revision: afterRevision, materialRevision } = this.#mirror.position;
        const plan = planStoreFetch({ sinceReadFailedMs: this.#mirror.sinceReadFailedMs(), timeouts: this.#fetchTimeouts });
        const { timeoutMs, ...limit } = plan;
        const body = { era, afterRevision, materialRevision, ...limit };
        const reply = await this.#peers.call(peer, fetchTopic, body, { timeoutMs, isRepeatable: true });
        this.#isFetching = false;
        if (!reply.ok) {
            this.#fetchTimeouts += Number(reply.issue.code === "peer.timeout");
        }
        else if (reply.value.isTooLong === true) {
            this.#mirror.readSoon();
        }
        else {
            this.#fetchTimeouts = 0;
            this.#mirror.mergeFromPeer(peer, decodeUpdate(reply.value, afterRevision, era), {
                way: "fetch",
                confirmedMs: sentMs - reply.value.ageMs,
            });
        }
    }

    /** Asks a peer for what it knows to be newer than the restored store; this host may have started since. */
    async #askForDisputes(peer: HostId): Promise<void> {
        const nowMs = this.#clock.monotonicMs();
        if (this.#isAskingForDisputes || nowMs - this.#disputesAskedMs < disputeIntervalMs) {
            return;
        }
        this.#disputesAskedMs = nowMs;
        this.#isAskingForDisputes = true;
        const { era } = this.#mirror.position;
        const timeoutMs = longFetchTimeoutMs(this.#disputeTimeouts);
        const reply = await this.#peers.call(peer, disputesTopic, {}, { timeoutMs, isRepeatable: true });
        this.#isAskingForDisputes = false;
        this.#disputeTimeouts = !reply.ok && reply.issue.code === "peer.timeout" ? this.#disputeTimeouts + 1 : 0;
        if (reply.ok && era === this.#mirror.position.era) {
            this.#mirror.mergeDisputes(reply.value.items.map(({ value, leftMs, ...item }) => ({
                ...item,
                ...(value === undefined ? {} : { value }),
                ...(leftMs === undefined ? {} : { leftMs }),
            })));
        }
    }

    #push(changes: CopyChanges): void {
        const isSmall = countCharacters(changes) < maxPushCharacters;
        if (this.#watchRole() === "own" || !isSmall) {
            return;
        }
        const body = { afterRevision: changes.afterRevision, news: encodeUpdate(changes, this.#mirror.ageMs()) };
        for (const peer of this.#listReachable()) {
            if (peer !== this.#hostId) {
                // A peer that misses this call sees the revision in the next report and fetches the changes.
                void this.#peers.call(peer, pushTopic, body, { timeoutMs: callTimeoutMs, isRepeatable: true });
            }
        }
    }
}

function countCharacters(update: CopyUpdate): number {
    const changes: readonly CopiedChange[] = update.type === "items" ? update.items : update.changes;
    return changes.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}

/** Answers that an update is longer than its receiver takes. */
function declineUpdate({ era, revision }: CopyUpdate, ageMs: number): z.infer<typeof updateSchema> {
    return { isComplete: false, era, revision, ageMs, changes: [], isTooLong: true };
}

function encodeUpdate(update: CopyUpdate, ageMs: number): z.infer<typeof updateSchema> {
    const { era, revision } = update;
    return update.type === "items" ?
        { isComplete: true, era, revision, ageMs, changes: [...update.items] } :
        { isComplete: false, era, revision, ageMs, bridged: [...update.bridged], changes: [...update.changes] };
}

/** `afterRevision` is the revision after which the sender was to send all changes; `ownEra` counts if it names none. */
function decodeUpdate(received: z.infer<typeof updateSchema>, afterRevision: number, ownEra: number): CopyUpdate {
    const { isComplete, era = ownEra, revision, bridged = [], changes } = received;
    if (isComplete) {
        const items = changes.flatMap(({ value, ...item }) => value === undefined ? [] : [{ ...item, value }]);
        return { type: "items", era, revision, items };
    }
    return {
        type: "changes",
        era,
        afterRevision,
        revision,
        bridged,
        changes: changes.map(({ value, ...change }) => value === undefined ? change : { ...change, value }),
    };
}
