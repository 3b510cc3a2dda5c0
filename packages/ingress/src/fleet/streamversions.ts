import { brandAs } from "@filbertrelay/kernel";
import type { Clock, EventLog, HostId, RequestId, Service } from "@filbertrelay/kernel";
import { decideStreamVersion, rankAcrossDomains, StreamOrigins } from "@filbertrelay/policy/ingress";
import type { FleetClock, OriginReply, PlacedHost, RememberedOrigin, VersionHistory } from "@filbertrelay/policy/ingress";
import { declareTopic } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import * as z from "zod";
import { requestEvents as events } from "../request/event.js";

const originSchema = z.object({
    requestId: z.string().transform(text => brandAs<RequestId>(text)),
    service: z.string(),
    version: z.string(),
    leftMs: z.number(),
});
const keepTopic = declareTopic("ingress.streams.keep", {
    request: z.object({ streams: z.array(originSchema) }),
    reply: z.object({}),
});
const archiveTopic = declareTopic("ingress.streams.archive", {
    request: z.object({ streams: z.array(originSchema) }),
    reply: z.object({}),
});
const findTopic = declareTopic("ingress.streams.find", {
    request: z.object({ requestId: z.string(), service: z.string(), timeLimitMs: z.number() }),
    reply: z.object({ version: z.string().optional(), onlyVersion: z.string().optional() }),
});

/** Number of other hosts that keep the origin of a stream. */
const copies = 2;
/** Asked for when a caller does not name the request that began its stream; no request has this id. */
const unnamedStream = brandAs<RequestId>("");
/** Number of hosts that are asked; more than keep it, since hosts may have come or gone since the stream began. */
const askedHosts = copies + 3;
/** Origins are sent to the hosts that keep them after this time, several with one message. */
const batchMs = 20;
/** The same time for the host that stores them, which gets those of all hosts. */
const archiveBatchMs = 100;
/** Hosts are a few milliseconds apart; a caller does not wait longer for one that does not reply. */
const askTimeoutMs = 250;
/** A stream may begin at a version for this long after this host has seen the last endpoint of it. */
const lateStartMs = 8_000;
/** A caller may come back for this long after its stream must have ended. */
const returnMs = 3_000;
/** What a host knows of versions counts only if its copy of the store is not older than this; two watches without changes may take 3 s. */
const maxCopyAgeMs = 4_000;

/** Options of `StreamVersions`. */
export interface StreamVersionsOptions {
    readonly clock: Clock;
    readonly fleetClock: FleetClock;
    readonly log: EventLog;
    readonly hostId: HostId;
    readonly peers: TcpPeerNetwork;
    readonly history: VersionHistory;
    readonly listHosts: () => readonly PlacedHost[];
    readonly isReachable: (hostId: HostId) => boolean;
    /** Stores origins, so that they are known when all hosts have been killed. */
    readonly archive: (origins: readonly RememberedOrigin[]) => void;
    /** Age of this host's copy of the store, in milliseconds. */
    readonly copyAgeMs: () => number;
}

/** A stream whose caller comes back. */
export interface ResumedStream {
    /** The request that brought the first event; absent if the caller does not name it. */
    readonly requestId?: RequestId | undefined;
    readonly service: string;
    /** Longest time that a stream of its route takes. */
    readonly timeLimitMs: number;
}

/** Knows at which software version a stream began, on whichever host; a stream goes on only at this version. */
export class StreamVersions implements Service {
    readonly #options: StreamVersionsOptions;
    readonly #origins = new StreamOrigins();
    /** Ends the open response of a stream, by the request that brought its first event. */
    readonly #open = new Map<RequestId, () => void>();
    readonly #unsent = new Map<HostId, RememberedOrigin[]>();
    #cancelBatch: (() => void) | undefined;
    #unarchived: RememberedOrigin[] = [];
    #cancelArchiving: (() => void) | undefined;
    #mixedServices: ReadonlySet<string> = new Set();

    constructor(options: StreamVersionsOptions) {
        this.#options = options;
    }

    start(): Promise<void> {
        const { peers } = this.#options;
        peers.handle(keepTopic, ({ streams }) => {
            streams.forEach(origin => this.remember(origin));
            return Promise.resolve({});
        });
        peers.handle(archiveTopic, ({ streams }) => {
            this.#options.archive(streams);
            return Promise.resolve({});
        });
        peers.handle(findTopic, ({ requestId, service, timeLimitMs }) => {
            const origin = this.#origins.find(brandAs<RequestId>(requestId), this.#nowMs());
            if (origin !== undefined && origin.service !== service) {
                // Disagrees with every host that takes the service's only version for that of the stream.
                return Promise.resolve({});
            }
            const version = origin?.version;
            const onlyVersion = this.#onlyVersion(service, timeLimitMs);
            return Promise.resolve({
                ...(version === undefined ? {} : { version }),
                ...(onlyVersion === undefined ? {} : { onlyVersion }),
            });
        });
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#cancelBatch?.();
        this.#cancelArchiving?.();
        return Promise.resolve();
    }

    /** Remembers the origin of a stream that another host began. */
    remember(origin: RememberedOrigin): void {
        this.#origins.remember(origin, this.#nowMs());
    }

    /**
     * Records the first event of a stream. Other hosts need to know its version unless it is the only one. `end` ends the response;
     * the returned function is called when it has ended.
     */
    recordBegin(requestId: RequestId, { service, version, timeLimitMs, end }: {
        readonly service: string;
        readonly version: string;
        readonly timeLimitMs: number;
        readonly end: () => void;
    }): () => void {
        const origin = { requestId, service, version, leftMs: timeLimitMs + returnMs };
        this.#origins.remember(origin, this.#nowMs());
        if (this.#onlyVersion(service, timeLimitMs) !== version) {
            this.#send([origin]);
        }
        this.#open.set(requestId, end);
        return () => {
            if (this.#open.get(requestId) === end) {
                this.#open.delete(requestId);
            }
        };
    }

    /** Tells other hosts of the streams of a service that has more than one version now, in case this host is lost. */
    recordVersions(present: ReadonlyMap<string, ReadonlySet<string>>): void {
        const mixed = [...present].filter(([, versions]) => versions.size > 1).map(([service]) => service);
        mixed.filter(service => !this.#mixedServices.has(service)).forEach(service =>
            this.#send(this.#origins.ofService(service, this.#nowMs()))
        );
        this.#mixedServices = new Set(mixed);
    }

    /** Ends the open response of a stream, as another one goes on with it. */
    endOpen(requestId: RequestId): void {
        this.#open.get(requestId)?.();
    }

    /** Finds the version that began a stream whose caller comes back. */
    async find({ requestId, service, timeLimitMs }: ResumedStream): Promise<string | undefined> {
        const origin = requestId === undefined ? undefined : this.#origins.find(requestId, this.#nowMs());
        const isAsked = origin === undefined;
        const replies = isAsked ? await this.#ask(requestId ?? unnamedStream, service, timeLimitMs) : [];
        const isElsewhere = origin !== undefined && origin.service !== service;
        const own = isElsewhere ? undefined : origin?.version;
        const onlyVersion = isElsewhere ? undefined : this.#onlyVersion(service, timeLimitMs);
        const version = decideStreamVersion({ own, replies, onlyVersion, otherHosts: this.#countOthers() });
        this.#options.log.write(events.streamVersionDecided, {
            requestId,
            service,
            version,
            own,
            remembered: replies.find(reply => reply.version !== undefined)?.version,
            onlyVersion,
            replies: replies.length,
        });
        return version;
    }

    #countOthers(): number {
        const { hostId, listHosts } = this.#options;
        return listHosts().filter(host => host.hostId !== hostId).length;
    }

    #nowMs(): number {
        return this.#options.clock.monotonicMs();
    }

    #onlyVersion(service: string, timeLimitMs: number): string | undefined {
        const { history, fleetClock, copyAgeMs } = this.#options;
        return copyAgeMs() > maxCopyAgeMs ?
            undefined :
            history.onlyVersion(service, { lifeMs: timeLimitMs + returnMs, lateStartMs }, fleetClock.now().getTime());
    }

    /** Resolves with all replies, or as soon as one names the version. */
    #ask(requestId: RequestId, service: string, timeLimitMs: number): Promise<readonly OriginReply[]> {
        const { peers, isReachable } = this.#options;
        const asked = this.#rankHolders(requestId).filter(isReachable).slice(0, askedHosts);
        const replies: OriginReply[] = [];
        return new Promise(resolve => {
            const calls = asked.map(async host => {
                const body = { requestId, service, timeLimitMs };
                const reply = await peers.call(host, findTopic, body, { timeoutMs: askTimeoutMs, isRepeatable: true });
                if (reply.ok) {
                    replies.push(reply.value);
                    if (reply.value.version !== undefined) {
                        resolve(replies);
                    }
                }
            });
            void Promise.all(calls).then(() => resolve(replies));
        });
    }

    /** The other hosts by rank for a stream. */
    #rankHolders(requestId: RequestId): readonly HostId[] {
        const { hostId, listHosts } = this.#options;
        return rankAcrossDomains(requestId, listHosts()).filter(holder => holder !== hostId);
    }

    #send(origins: readonly RememberedOrigin[]): void {
        for (const origin of origins) {
            for (const holder of this.#rankHolders(origin.requestId).filter(this.#options.isReachable).slice(0, copies)) {
                this.#unsent.set(holder, [...this.#unsent.get(holder) ?? [], origin]);
            }
        }
        if (this.#unsent.size > 0) {
            this.#cancelBatch ??= this.#options.clock.after(batchMs, () => this.#sendBatch());
        }
        this.#unarchived.push(...origins);
        if (this.#unarchived.length > 0) {
            this.#cancelArchiving ??= this.#options.clock.after(archiveBatchMs, () => this.#sendToArchive());
        }
    }

    /** One host stores the origins of all, so that the number of writes does not grow with the fleet. */
    #sendToArchive(): void {
        const { hostId, listHosts, isReachable, peers, archive } = this.#options;
        this.#cancelArchiving = undefined;
        const streams = this.#unarchived;
        this.#unarchived = [];
        const archivist = rankAcrossDomains("streams", listHosts()).find(host => host === hostId || isReachable(host));
        if (archivist === undefined || archivist === hostId) {
            archive(streams);
        }
        else {
            void peers.call(archivist, archiveTopic, { streams }, { timeoutMs: askTimeoutMs * 2, isRepeatable: true });
        }
    }

    #sendBatch(): void {
        this.#cancelBatch = undefined;
        for (const [holder, streams] of this.#unsent) {
            void this.#options.peers.call(holder, keepTopic, { streams }, { timeoutMs: askTimeoutMs * 2, isRepeatable: true });
        }
        this.#unsent.clear();
    }
}
