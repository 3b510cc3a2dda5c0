import { ConnectionPool, createRelayLimits, EndpointLinks, RelayHandler } from "@filbertrelay/ingress";
import type {
    ConnectionFailure,
    EndpointLink,
    EndpointRecord,
    EndpointRequest,
    EndpointResponseHandler,
    RelayLimits,
    ResponseHead,
} from "@filbertrelay/ingress";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import { createPlatformDialect } from "@filbertrelay/platform";
import type { StandinEngine } from "@filbertrelay/platform/standins";
import { AnswerMemory, createEndpointNotices } from "@filbertrelay/policy/ingress";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import { createTestPeers } from "./peernetwork.js";

const clock = createSystemClock();
const answerMemoryBytes = 16_777_216;
const idHeader = "X-Filbertrelay-Attempt-Id";

/** Describes an engine as the store does. */
export function describeEndpoint(engine: Pick<StandinEngine, "address">, name = "records-0"): EndpointRecord {
    return {
        endpointId: brandAs<EndpointId>(name),
        service: "records",
        address: engine.address,
        failureDomain: brandAs<FailureDomainId>("zone-a"),
        capacity: 8,
        isLeaving: false,
        isReclaimable: false,
        hasPromptCache: false,
        softwareVersion: "v1",
        startedAtMs: 1_700_000_000_000,
    };
}

/** Creates a request with an id of its own. */
export function createRequest(id: string, body = "order"): EndpointRequest {
    return {
        method: "POST",
        target: "/records/item",
        headers: [["Host", "shop.example"], [idHeader, id]],
        body: Buffer.from(body),
    };
}

/** Records what a link passes on; a head with another request's id is skipped. */
export class AnswerRecord implements EndpointResponseHandler {
    readonly #requestId: string;
    readonly heads: ResponseHead[] = [];
    readonly pieces: { readonly bytes: Buffer; readonly atMs: number; }[] = [];
    readonly failures: ConnectionFailure[] = [];
    completions = 0;
    /** Called at the end. */
    onEnd: () => void = () => undefined;

    constructor(requestId: string) {
        this.#requestId = requestId;
    }

    get body(): Buffer {
        return Buffer.concat(this.pieces.map(({ bytes }) => bytes));
    }

    get ends(): number {
        return this.completions + this.failures.length;
    }

    /** Number of calls. */
    get calls(): number {
        return this.heads.length + this.pieces.length + this.ends;
    }

    onHead(head: ResponseHead): boolean {
        const id = head.headers.find(([name]) => name === idHeader)?.[1];
        const isOwn = id === undefined || id === this.#requestId;
        if (isOwn) {
            this.heads.push(head);
        }
        return isOwn;
    }

    onBody(bytes: Buffer): void {
        this.pieces.push({ bytes, atMs: performance.now() });
    }

    onComplete(): void {
        this.completions += 1;
        this.onEnd();
    }

    onFailure(failure: ConnectionFailure): void {
        this.failures.push(failure);
        this.onEnd();
    }
}

/** The part of a host that sends requests to endpoints, for itself and for other hosts. */
export class RelayHost {
    readonly peers: TcpPeerNetwork;
    readonly links: EndpointLinks;
    readonly handler: RelayHandler;
    readonly notices = createEndpointNotices();
    readonly hostId: HostId;
    readonly logged: number[] = [];
    readonly heads: ResponseHead[] = [];
    readonly failures: ConnectionFailure[] = [];
    /** Counted by side and result. */
    readonly results: string[] = [];
    endpoints: EndpointRecord[] = [];
    isRefusing = false;
    isCutOff = false;
    /** Bytes of answers' bodies that this host's own connections have read for other hosts. */
    readBytes = 0;

    constructor(
        name: string,
        limits: RelayLimits = createRelayLimits({ answerBytes: answerMemoryBytes }),
        frameBytes?: number,
    ) {
        this.hostId = brandAs<HostId>(name);
        this.peers = createTestPeers(clock, this.hostId, "127.0.0.1:0", frameBytes);
        const pool = new ConnectionPool(clock);
        const metrics = { recordRelayed: (side: string, result: string) => void this.results.push(`${side} ${result}`) };
        const log = { write: ({ number }: { readonly number: number; }) => void this.logged.push(number) };
        this.links = new EndpointLinks({ clock, log, metrics, peers: this.peers, connections: pool });
        this.handler = new RelayHandler({
            clock,
            metrics,
            peers: this.peers,
            endpoints: {
                ofService: service => this.endpoints.filter(endpoint => endpoint.service === service),
                usable: service => this.endpoints.filter(endpoint => endpoint.service === service && !endpoint.isLeaving),
            },
            notices: this.notices,
            connections: { acquire: (endpoint, maximumIdleMs) => this.#countReads(pool.acquire(endpoint, maximumIdleMs)) },
            dialect: createPlatformDialect(),
            limits,
            answerMemory: new AnswerMemory({ totalBytes: answerMemoryBytes, endpointBytes: answerMemoryBytes }),
            canReach: () => !this.isCutOff,
            isRefusing: () => this.isRefusing,
            onHead: (_, head) => void this.heads.push(head),
            onFailure: (_, failure) => void this.failures.push(failure),
        });
    }

    async start(): Promise<void> {
        await this.peers.start();
        await this.handler.start();
    }

    async stop(): Promise<void> {
        await this.handler.stop();
        await this.peers.stop(0);
    }

    /** Makes another host known. */
    connectTo(other: RelayHost): void {
        this.peers.setAddress(other.hostId, other.peers.address);
    }

    /** Sends a request to an endpoint, through a relay if one is named. */
    send(
        endpoint: EndpointRecord,
        request: EndpointRequest,
        options: { readonly relay?: HostId; readonly remainingMs?: number; readonly record?: AnswerRecord; } = {},
    ): { readonly link: EndpointLink; readonly record: AnswerRecord; readonly ended: Promise<void>; } {
        const {
            relay,
            remainingMs = 20_000,
            record = new AnswerRecord(request.headers.find(([name]) => name === idHeader)?.[1] ?? ""),
        } = options;
        const link = this.links.open(endpoint, { maximumIdleMs: Infinity, remainingMs, relay });
        const ended = new Promise<void>(resolve => record.onEnd = resolve);
        link.send(request, record);
        return { link, record, ended };
    }

    /** Bytes of relayed answers in frames that this host has sent or received. */
    relayedBytes(direction: "bytesSent" | "bytesReceived"): number {
        return this.peers.traffic().find(({ topic }) => topic === "ingress.relay")?.[direction] ?? 0;
    }

    #countReads(link: EndpointLink): EndpointLink {
        return {
            isRelayed: link.isRelayed,
            get isReused() {
                return link.isReused;
            },
            send: (request, handler) =>
                link.send(request, {
                    onHead: head => handler.onHead(head),
                    onBody: chunk => {
                        this.readBytes += chunk.length;
                        handler.onBody(chunk);
                    },
                    onComplete: () => handler.onComplete(),
                    onFailure: failure => handler.onFailure(failure),
                }),
            pause: () => link.pause(),
            resume: () => link.resume(),
            close: reason => link.close(reason),
        };
    }
}
