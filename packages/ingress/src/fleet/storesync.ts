import type { Clock, HostId, Service } from "@filbertrelay/kernel";
import { chooseWatchers } from "@filbertrelay/policy/ingress";
import { declareTopic } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import { z } from "zod";
import type { PeerChanges, StoreMirror, WatchRole } from "../state/mirror.js";
import type { MirrorStatus } from "./report.js";
import type { ServingHosts } from "./servinghosts.js";

const changesSchema = z.object({
    isComplete: z.boolean(),
    revision: z.number(),
    ageMs: z.number(),
    changes: z.array(z.object({ key: z.string(), revision: z.number(), value: z.string().optional() })),
});
const fetchTopic = declareTopic("ingress.changes", {
    request: z.object({ afterRevision: z.number() }),
    reply: changesSchema,
});
const pushTopic = declareTopic("ingress.news", {
    request: z.object({ afterRevision: z.number(), news: changesSchema }),
    reply: z.object({}),
});

/** Number of hosts that watch the store in a large fleet; tolerates two simultaneous failures. */
const watcherCount = 3;
/** Timeout of a call to a peer; peers are a few milliseconds apart. */
const callTimeoutMs = 600;
/** Where every host watches the store, changes are fetched from peers only after this long without a response of the store. */
const staleWatchMs = 600;
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
    #isFetching = false;
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
        },
    ) {
        this.#clock = options.clock;
        this.#hostId = options.hostId;
        this.#peers = options.peers;
        this.#mirror = options.mirror;
        this.#listReachable = options.listReachable;
        this.#serving = options.serving;
    }

    start(): Promise<void> {
        this.#peers.handle(fetchTopic, ({ afterRevision }) => {
            const { changes, ...rest } = this.#mirror.changesSince(afterRevision);
            return Promise.resolve({ ...rest, changes: [...changes] });
        });
        this.#peers.handle(pushTopic, ({ afterRevision, news }, { from }) => {
            if (afterRevision <= this.#mirror.revision) {
                this.#mirror.mergeFromPeer(from, readChanges(news), "push");
            }
            else {
                void this.#fetch(from);
            }
            return Promise.resolve({});
        });
        this.#mirror.shareWatch({
            watchRole: () => this.#watchRole(),
            onMaterialChanges: (afterRevision, changes) => this.#push(afterRevision, changes),
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
        const { revision, materialRevision } = this.#mirror;
        return { revision, materialRevision, ...(Number.isFinite(ageMs) ? { storeAgeMs: Math.round(ageMs) } : {}) };
    }

    /** Compares the mirror with that of a peer and fetches changes that only the peer has. */
    reconcile(peer: HostId, { revision, materialRevision, storeAgeMs }: MirrorStatus): void {
        if (storeAgeMs === undefined) {
            return;
        }
        if (materialRevision <= this.#mirror.revision) {
            this.#mirror.advanceRevision(revision);
        }
        this.#mirror.confirmRevision(revision, storeAgeMs);
        if (
            materialRevision > this.#mirror.revision && (this.#watchRole() === "standby" || this.#mirror.ageMs() > staleWatchMs)
        ) {
            void this.#fetch(peer);
        }
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
        const serving = this.#serving.serving.map(({ hostId }) => hostId);
        return chooseWatchers(serving, watcherCount).includes(this.#hostId) ? "fleet" : "standby";
    }

    async #fetch(peer: HostId): Promise<void> {
        if (this.#isFetching) {
            return;
        }
        this.#isFetching = true;
        const body = { afterRevision: this.#mirror.revision };
        const reply = await this.#peers.call(peer, fetchTopic, body, { timeoutMs: callTimeoutMs, isRepeatable: true });
        this.#isFetching = false;
        if (reply.ok) {
            this.#mirror.mergeFromPeer(peer, readChanges(reply.value), "fetch");
        }
    }

    #push(afterRevision: number, changes: PeerChanges): void {
        const isSmall = changes.changes.reduce((sum, { value }) => sum + (value?.length ?? 0), 0) < maxPushCharacters;
        if (this.#watchRole() === "own" || !isSmall) {
            return;
        }
        const body = { afterRevision, news: { ...changes, changes: [...changes.changes] } };
        for (const peer of this.#listReachable()) {
            if (peer !== this.#hostId) {
                // A peer that misses this call sees the revision in the next report and fetches the changes.
                void this.#peers.call(peer, pushTopic, body, { timeoutMs: callTimeoutMs, isRepeatable: true });
            }
        }
    }
}

function readChanges(received: z.infer<typeof changesSchema>): PeerChanges {
    return {
        ...received,
        changes: received.changes.map(({ key, revision, value }) =>
            value === undefined ? { key, revision } : { key, revision, value }
        ),
    };
}
