import type { RequestId } from "@filbertrelay/kernel";

/** The service and the software version of the endpoint that began a stream. */
export interface StreamOrigin {
    readonly service: string;
    readonly version: string;
}

/** The origin of a stream with the time for which it has to be remembered. */
export interface RememberedOrigin extends StreamOrigin {
    readonly requestId: RequestId;
    readonly leftMs: number;
}

/** Remembers which version began each stream, until its caller can no longer come back; times are monotonic milliseconds. */
export class StreamOrigins {
    readonly #origins = new Map<RequestId, StreamOrigin & { readonly untilMs: number; }>();
    #nextSweepMs = 0;

    remember({ requestId, service, version, leftMs }: RememberedOrigin, nowMs: number): void {
        this.#origins.set(requestId, { service, version, untilMs: nowMs + leftMs });
        this.#sweep(nowMs);
    }

    find(requestId: RequestId, nowMs: number): StreamOrigin | undefined {
        const origin = this.#origins.get(requestId);
        return origin !== undefined && origin.untilMs > nowMs ? origin : undefined;
    }

    /** The remembered streams of a service. */
    ofService(service: string, nowMs: number): readonly RememberedOrigin[] {
        return [...this.#origins].flatMap(([requestId, origin]) =>
            origin.service === service && origin.untilMs > nowMs ?
                [{ requestId, service, version: origin.version, leftMs: origin.untilMs - nowMs }] :
                []
        );
    }

    #sweep(nowMs: number): void {
        if (nowMs < this.#nextSweepMs) {
            return;
        }
        this.#nextSweepMs = nowMs + sweepMs;
        [...this.#origins].filter(([, { untilMs }]) => untilMs <= nowMs).forEach(([requestId]) =>
            this.#origins.delete(requestId)
        );
    }
}

/** Interval between removals of what need not be remembered any longer. */
const sweepMs = 1_000;

/** What a host answers that was asked for the origin of a stream. */
export interface OriginReply {
    readonly version?: string | undefined;
    /** The only version that the service's endpoints have had recently, as that host knows. */
    readonly onlyVersion?: string | undefined;
}

/** Other hosts that have to agree that a service has had one version only; a host may be out of step with the fleet unknowingly. */
const agreeingHosts = 2;

/**
 * Decides at which version a stream may go on: the one that began it, as any host remembers, or else the only one that it can have
 * begun at, if other hosts agree. `undefined` if that is not known.
 */
export function decideStreamVersion(
    { own, replies, onlyVersion, otherHosts }: {
        readonly own: string | undefined;
        readonly replies: readonly OriginReply[];
        readonly onlyVersion: string | undefined;
        /** Number of other hosts in the fleet, reachable or not. */
        readonly otherHosts: number;
    },
): string | undefined {
    const remembered = own ?? replies.find(reply => reply.version !== undefined)?.version;
    const isAgreed = replies.length >= Math.min(agreeingHosts, otherHosts) &&
        replies.every(reply => reply.onlyVersion === onlyVersion);
    return remembered ?? (isAgreed ? onlyVersion : undefined);
}
