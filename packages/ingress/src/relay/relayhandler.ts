import { brandAs } from "@filbertrelay/kernel";
import type { Clock, EndpointId, Service } from "@filbertrelay/kernel";
import type { AnswerMemory, EndpointNotices } from "@filbertrelay/policy/ingress";
import type { PeerContext, PeerNetwork } from "@filbertrelay/wire";
import type { Dialect, EndpointRecord } from "../contract.js";
import type { ConnectionFailure } from "../endpoint/connection.js";
import type { LinkSource } from "../endpoint/link.js";
import { isOwnResponse } from "../endpoint/ownresponse.js";
import type { ResponseHead } from "../endpoint/responseparser.js";
import type { EndpointTable } from "../state/endpoints.js";
import type { IngressMetrics } from "../telemetry/metrics.js";
import { relayTopic } from "./message.js";
import type { RelayPortion, RelayRefusal, RelayRequest } from "./message.js";
import { RelayedAnswer } from "./relayedanswer.js";
import { RelayRoom } from "./room.js";
import type { RelayLimits } from "./room.js";

/** Options of `RelayHandler`. */
export interface RelayHandlerOptions {
    readonly clock: Clock;
    readonly metrics: Pick<IngressMetrics, "recordRelayed">;
    readonly peers: PeerNetwork;
    readonly endpoints: Pick<EndpointTable, "ofService" | "usable">;
    readonly notices: EndpointNotices;
    readonly connections: LinkSource;
    readonly dialect: Dialect;
    readonly limits: RelayLimits;
    /** What is held of relayed answers counts among the answers of this host. */
    readonly answerMemory: AnswerMemory;
    /** Whether this host's own connections reach an endpoint. */
    readonly canReach: (endpoint: EndpointRecord) => boolean;
    /** Whether this host stops and takes no further requests. */
    readonly isRefusing: () => boolean;
    /** Receives the head of each answer before it is passed on, for what the endpoint says of itself. */
    readonly onHead: (endpoint: EndpointRecord, head: ResponseHead) => void;
    /** Receives why an endpoint gave no complete answer, unless the request was cancelled. */
    readonly onFailure: (endpoint: EndpointRecord, failure: ConnectionFailure) => void;
}

/** Sends requests of other hosts to endpoints on this host's own connections, so that each takes one hop. */
export class RelayHandler implements Service {
    readonly #options: RelayHandlerOptions;
    readonly #room: RelayRoom;
    readonly #open = new Set<RelayedAnswer>();

    constructor(options: RelayHandlerOptions) {
        this.#options = options;
        this.#room = new RelayRoom(options.limits, options.answerMemory);
    }

    /** Number of other hosts' requests that have not ended. */
    get inProgress(): number {
        return this.#room.inProgress;
    }

    /** Bytes that are reserved for them. */
    get heldBytes(): number {
        return this.#room.heldBytes;
    }

    start(): Promise<void> {
        this.#options.peers.handleStream(relayTopic, (request, context) => this.#handle(request, context));
        return Promise.resolve();
    }

    /** Ends the requests that are still in progress. */
    stop(): Promise<void> {
        this.#open.forEach(answer => answer.cancel("The relaying host stops."));
        return Promise.resolve();
    }

    async *#handle(request: RelayRequest, context: PeerContext): AsyncGenerator<RelayPortion, void, undefined> {
        const endpoint = this.#find(request);
        if (typeof endpoint === "string") {
            yield this.#refuse(endpoint);
            return;
        }
        const leave = this.#room.enter(endpoint.endpointId, request.body.length);
        if (leave === undefined) {
            yield this.#refuse("full");
            return;
        }
        try {
            yield* this.#relay(request, endpoint, context);
        }
        finally {
            leave();
        }
    }

    #refuse(refusal: RelayRefusal): RelayPortion {
        this.#options.metrics.recordRelayed("relaying", refusal);
        return { refusal };
    }

    /** The endpoint of a request, or why it gets none; the endpoint's limit counts at the calling host. */
    #find({ service, endpointId, startedAtMs }: RelayRequest): EndpointRecord | RelayRefusal {
        const { clock, endpoints, notices, canReach, isRefusing } = this.#options;
        if (isRefusing()) {
            return "stopping";
        }
        const endpoint = endpoints.ofService(service).find(record =>
            record.endpointId === brandAs<EndpointId>(endpointId) && record.startedAtMs === startedAtMs
        );
        if (endpoint === undefined) {
            return "unknownEndpoint";
        }
        const isOpen = endpoints.usable(service).includes(endpoint) && !notices.isLeaving(endpoint) &&
            notices.pauseMs(endpoint, clock.monotonicMs()) === 0;
        if (!isOpen) {
            return "leaving";
        }
        return canReach(endpoint) ? endpoint : "unreachable";
    }

    async *#relay(
        request: RelayRequest,
        endpoint: EndpointRecord,
        { signal }: PeerContext,
    ): AsyncGenerator<RelayPortion, void, undefined> {
        const { clock, connections, metrics } = this.#options;
        const link = connections.acquire(endpoint, request.maximumIdleMs ?? Infinity);
        const answer = new RelayedAnswer(link, head => this.#acceptHead(request, endpoint, head));
        const cancel = (): void => answer.cancel("The calling host no longer waits for the answer.");
        const cancelTimer = clock.after(request.remainingMs, () => answer.cancel("The time of the request is over."));
        let hasEnded = false;
        signal.addEventListener("abort", cancel, { once: true });
        this.#open.add(answer);
        const { method, target, headers, body } = request;
        link.send({ method, target, headers, body }, answer);
        try {
            yield { isReused: link.isReused };
            for await (const portion of answer.portions()) {
                if (portion.end !== undefined) {
                    hasEnded = true;
                    this.#recordEnd(endpoint, portion.end.failure);
                }
                yield portion;
            }
        }
        finally {
            cancelTimer();
            signal.removeEventListener("abort", cancel);
            this.#open.delete(answer);
            if (!hasEnded) {
                cancel();
                metrics.recordRelayed("relaying", "cancelled");
            }
        }
    }

    #acceptHead({ headers }: RelayRequest, endpoint: EndpointRecord, head: ResponseHead): boolean {
        const { dialect, onHead } = this.#options;
        const { requestId } = dialect.describeRequest(headers);
        const isOwn = requestId === undefined ||
            isOwnResponse(dialect.describeResponse(head.status, head.headers), head.status, requestId);
        if (isOwn) {
            onHead(endpoint, head);
        }
        return isOwn;
    }

    #recordEnd(endpoint: EndpointRecord, failure: ConnectionFailure | undefined): void {
        const { metrics, onFailure } = this.#options;
        if (failure === undefined) {
            metrics.recordRelayed("relaying", "answered");
        }
        else if (failure.reason === "cancelled") {
            metrics.recordRelayed("relaying", "cancelled");
        }
        else {
            metrics.recordRelayed("relaying", "failed");
            onFailure(endpoint, failure);
        }
    }
}
