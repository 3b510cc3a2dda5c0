import type { Clock, HostId, Service } from "@filbertrelay/kernel";
import { chooseWatchers } from "@filbertrelay/policy/ingress";
import { declareTopic } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import { z } from "zod";
import type { PeerChanges, StoreMirror, WatchRole } from "../state/mirror.js";
import type { StoreKnowledge } from "./report.js";
import type { ServingHosts } from "./servinghosts.js";

const changesSchema = z.object({
    isComplete: z.boolean(),
    revision: z.number(),
    ageMs: z.number(),
    changes: z.array(z.object({ key: z.string(), revision: z.number(), value: z.string().optional() })),
});
const changesTopic = declareTopic("ingress.changes", {
    request: z.object({ afterRevision: z.number() }),
    reply: changesSchema,
});
const newsTopic = declareTopic("ingress.news", {
    request: z.object({ afterRevision: z.number(), news: changesSchema }),
    reply: z.object({}),
});

/** Hosts that watch the store in a large fleet; two may fail at the same time. */
const watcherCount = 3;
/** A call that takes longer than this is given up; peers are a few milliseconds apart. */
const callTimeoutMs = 600;
/** Where every host watches, a peer is asked only when the own watch has been silent for this long. */
const ownWatchAgeMs = 600;
/** How long a choice of the watching hosts holds. */
const roleLifeMs = 500;
/** Larger changes are only announced by the next report, and fetched once by each host. */
const largestNewsCharacters = 16_384;

/** Passes changes of the store on between hosts, so that few of them have to watch it and one that can't reach it goes on. */
export class StoreNews implements Service {
    readonly #clock: Clock;
    readonly #hostId: HostId;
    readonly #peers: TcpPeerNetwork;
    readonly #mirror: StoreMirror;
    readonly #listHeard: () => readonly HostId[];
    readonly #serving: ServingHosts;
    #isAsking = false;
    #role: { readonly atMs: number; readonly value: WatchRole; } | undefined;

    constructor(
        options: {
            readonly clock: Clock;
            readonly hostId: HostId;
            readonly peers: TcpPeerNetwork;
            readonly mirror: StoreMirror;
            /** Hosts of the exchange that are heard, this one included where it takes part. */
            readonly listHeard: () => readonly HostId[];
            readonly serving: ServingHosts;
        },
    ) {
        this.#clock = options.clock;
        this.#hostId = options.hostId;
        this.#peers = options.peers;
        this.#mirror = options.mirror;
        this.#listHeard = options.listHeard;
        this.#serving = options.serving;
    }

    start(): Promise<void> {
        this.#peers.handle(changesTopic, ({ afterRevision }) => {
            const { changes, ...rest } = this.#mirror.changesSince(afterRevision);
            return Promise.resolve({ ...rest, changes: [...changes] });
        });
        this.#peers.handle(newsTopic, ({ afterRevision, news }, { from }) => {
            if (afterRevision <= this.#mirror.revision) {
                this.#mirror.mergeFromPeer(from, readChanges(news));
            }
            else {
                void this.#ask(from);
            }
            return Promise.resolve({});
        });
        this.#mirror.share({
            watchRole: () => this.#watchRole(),
            onWatched: (afterRevision, changes) => this.#passOn(afterRevision, changes),
        });
        return Promise.resolve();
    }

    stop(): Promise<void> {
        return Promise.resolve();
    }

    /** Time since the store answered this host or one that it heard, in milliseconds. */
    storeAgeMs(): number {
        return this.#mirror.ageMs();
    }

    /** What this host knows of the store; sent with its reports. */
    knowledge(): StoreKnowledge {
        const ageMs = this.#mirror.ageMs();
        const { revision, materialRevision } = this.#mirror;
        return { revision, materialRevision, ...(Number.isFinite(ageMs) ? { storeAgeMs: Math.round(ageMs) } : {}) };
    }

    /** Takes what a peer knows of the store; fetches what it has beyond this host. */
    learn(peer: HostId, { revision, materialRevision, storeAgeMs }: StoreKnowledge): void {
        if (storeAgeMs === undefined) {
            return;
        }
        if (materialRevision <= this.#mirror.revision) {
            this.#mirror.noteHeartbeats(revision);
        }
        this.#mirror.noteKnown(revision, storeAgeMs);
        if (
            materialRevision > this.#mirror.revision && (this.#watchRole() === "standby" || this.#mirror.ageMs() > ownWatchAgeMs)
        ) {
            void this.#ask(peer);
        }
    }

    #watchRole(): WatchRole {
        const nowMs = this.#clock.monotonicMs();
        // Ranking all hosts at each look would cost more than it saves.
        if (this.#role === undefined || nowMs - this.#role.atMs > roleLifeMs) {
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

    async #ask(peer: HostId): Promise<void> {
        if (this.#isAsking) {
            return;
        }
        this.#isAsking = true;
        const body = { afterRevision: this.#mirror.revision };
        const reply = await this.#peers.call(peer, changesTopic, body, { timeoutMs: callTimeoutMs, isRepeatable: true });
        this.#isAsking = false;
        if (reply.ok) {
            this.#mirror.mergeFromPeer(peer, readChanges(reply.value));
        }
    }

    #passOn(afterRevision: number, changes: PeerChanges): void {
        const isSmall = changes.changes.reduce((sum, { value }) => sum + (value?.length ?? 0), 0) < largestNewsCharacters;
        if (this.#watchRole() === "own" || !isSmall) {
            return;
        }
        const body = { afterRevision, news: { ...changes, changes: [...changes.changes] } };
        for (const peer of this.#listHeard()) {
            if (peer !== this.#hostId) {
                // A peer that misses this learns of the revision from the next report.
                void this.#peers.call(peer, newsTopic, body, { timeoutMs: callTimeoutMs, isRepeatable: true });
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
