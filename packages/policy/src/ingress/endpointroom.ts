import type { EndpointId, HostId } from "@filbertrelay/kernel";
import { rankByRendezvous } from "../rendezvous.js";
import type { EndpointLoad } from "./loadtracker.js";
import { createRoomState, trialShare } from "./roomstate.js";
import type { BrittleRoom, RoomReport, RoomState } from "./roomstate.js";

/** An endpoint whose room is looked up. */
export interface RoomEndpoint {
    readonly endpointId: EndpointId;
    readonly service: string;
    /** Number of requests that it runs concurrently. */
    readonly capacity: number;
}

/** What an answer says of the room of its endpoint. */
export interface RoomAnswer {
    /** Requests that the endpoint may reject within a second without falling over; `undefined` if it says nothing of it. */
    readonly brittleRejections: number | undefined;
    /** Whether the endpoint turned the request away for want of room. */
    readonly isFull: boolean;
}

/** What changed at an endpoint: its answers say that it is brittle, or no longer do; or it turned a request away. */
export type RoomChange = "brittle" | "steady" | "full";

/** Options of `createEndpointRooms`. */
export interface EndpointRoomsOptions {
    readonly hostId: HostId;
    /** The hosts that may send requests, as far as this one can reach them. */
    readonly listHosts: () => readonly HostId[];
    /** Looks up the requests in progress at an endpoint at a moment, those of the other hosts some time late. */
    readonly observe: (nowMs: number) => (endpointId: EndpointId) => EndpointLoad;
    /** `window` is the number of requests that all hosts together may have at the endpoint. */
    readonly onChange: (endpoint: RoomEndpoint, change: RoomChange, window: number) => void;
    /** Called when other hosts should hear at once that this one has requests for a brittle service. */
    readonly onJoin: () => void;
    /** Called several times a second with the number of brittle endpoints. */
    readonly onCount: (brittle: number) => void;
}

/**
 * Keeps brittle endpoints, which fall over when they reject too many requests within a second, from rejecting any: the requests that an
 * endpoint runs concurrently are divided among the hosts that have requests for its service. What the others leave idle is tried at a
 * rate that can't make the endpoint fall.
 */
export interface EndpointRooms {
    recordAnswer(endpoint: RoomEndpoint, answer: RoomAnswer, nowMs: number): void;
    /** Records that this host sends a request; called before the request counts as running. */
    recordSend(endpoint: RoomEndpoint, nowMs: number): void;
    /** The endpoints of a service at which this host may begin a request now; all that are not brittle. */
    select<T extends RoomEndpoint>(service: string, endpoints: readonly T[], nowMs: number): readonly T[];
    /** Time after which a caller that found no room should come back; others are told other times. `undefined` without shortage. */
    retryAfterMs(service: string, slotHoldMs: number, nowMs: number): number | undefined;
    /** `undefined` while no endpoint has said recently that it is brittle. */
    report(nowMs: number): RoomReport | undefined;
    /** Takes over what another host knows; `elapsedMs` is how long ago the report was written at most. */
    merge(report: RoomReport, nowMs: number, elapsedMs: number): void;
}

/** A host uses its share only when all others have had this long to hear of it. */
const settleMs = 1_000;
/** The others keep the share of a host without requests for so many of the intervals at which it had some, within these times. */
const keptIntervals = 6;
const leastKeptMs = 4_000;
const mostKeptMs = 13_000;
/** Part of that time after which the host itself no longer counts on its share, since the others hear of its requests late. */
const ownKeptShare = 0.75;
/** Part of the bound on rejections from which on an endpoint gets nothing until the second is over. */
const holdShare = 0.75;
/** A host that was rejected sends nothing to the endpoint for this long, whatever its share. */
const rejectedPauseMs = 1_000;
/** Hosts that may try one request beyond their share, per rejection: each may cause a rejection of its own and two of others. */
const triersPerRejection = 1 / 3;
/** Smallest bound on rejections at which hosts try: of fewer, none can be spared. */
const leastTriedRejections = 2;
/** Part of a window that must be idle, by the requests known, before more than the share is tried. */
const trialReserve = 0.15;
/** Range of the factor by which the times differ that refused callers are told. */
const retrySpread = { least: 0.5, span: 1 };
/** Places successive callers evenly within the range. */
const goldenRatio = 0.618_034;
/** Longest time that refused callers are told, in milliseconds. */
const longestRetryMs = 3_000;
/** Averaging time of the requests that are refused for want of room. */
const shortageMs = 2_000;

/** A host's own requests for a service, brittle or not. */
interface OwnUse {
    sinceMs: number;
    lastMs: number;
    /** How long the others keep this host's share. */
    keepMs: number;
    /** Requests that came, that were sent and that were refused, exponentially discounted. */
    wanted: number;
    sent: number;
    refused: number;
    countedMs: number;
}

/** Creates a record without brittle endpoints. */
export function createEndpointRooms(options: EndpointRoomsOptions): EndpointRooms {
    return new SharedEndpointRooms(options);
}

class SharedEndpointRooms implements EndpointRooms {
    readonly #options: EndpointRoomsOptions;
    readonly #state: RoomState = createRoomState();
    readonly #own = new Map<string, OwnUse>();
    /** When each endpoint last rejected a request of this host. */
    readonly #rejectedMs = new Map<EndpointId, number>();
    #refusals = 0;

    constructor(options: EndpointRoomsOptions) {
        this.#options = options;
    }

    recordAnswer(endpoint: RoomEndpoint, { brittleRejections, isFull }: RoomAnswer, nowMs: number): void {
        const change = this.#state.recordStatement(endpoint, brittleRejections, nowMs);
        const room = this.#state.find(endpoint, nowMs);
        if (change !== undefined) {
            this.#options.onChange(endpoint, change, room?.window ?? endpoint.capacity);
        }
        if (isFull && room !== undefined) {
            this.#rejectedMs.set(endpoint.endpointId, nowMs);
            this.#state.recordRejection(endpoint, this.#options.hostId, nowMs);
            this.#options.onChange(endpoint, "full", this.#state.find(endpoint, nowMs)?.window ?? 0);
        }
    }

    recordSend(endpoint: RoomEndpoint, nowMs: number): void {
        if (this.#state.isBrittle(endpoint.service, nowMs)) {
            this.#countOwn(endpoint.service, nowMs).sent += 1;
        }
    }

    select<T extends RoomEndpoint>(service: string, endpoints: readonly T[], nowMs: number): readonly T[] {
        const own = this.#recordWant(service, nowMs);
        const rooms = endpoints.map(endpoint => this.#state.find(endpoint, nowMs));
        if (rooms.every(room => room === undefined)) {
            return endpoints;
        }
        this.#join(service, own.keepMs, nowMs);
        const observe = this.#options.observe(nowMs);
        const open = endpoints.filter((endpoint, index) => {
            const room = rooms[index];
            return room === undefined || this.#isOpen(endpoint, room, observe(endpoint.endpointId), nowMs);
        });
        own.refused += open.length === 0 ? 1 : 0;
        return open;
    }

    retryAfterMs(service: string, slotHoldMs: number, nowMs: number): number | undefined {
        const own = this.#own.get(service);
        if (own === undefined || !this.#state.isBrittle(service, nowMs)) {
            return undefined;
        }
        this.#refusals += 1;
        const { least, span } = retrySpread;
        const spread = least + span * (this.#refusals * goldenRatio % 1);
        const callersPerSlot = (own.sent + own.refused + 1) / (own.sent + 1);
        return Math.min(longestRetryMs, slotHoldMs * callersPerSlot) * spread;
    }

    report(nowMs: number): RoomReport | undefined {
        const report = this.#state.report(nowMs);
        this.#options.onCount(this.#state.size);
        return report;
    }

    merge(report: RoomReport, nowMs: number, elapsedMs: number): void {
        this.#state.merge(report, nowMs, elapsedMs);
    }

    #isOpen(endpoint: RoomEndpoint, room: BrittleRoom, load: EndpointLoad, nowMs: number): boolean {
        const rejectedMs = this.#rejectedMs.get(endpoint.endpointId) ?? -Infinity;
        const isFull = load.running >= room.window || room.rejected >= room.rejections * holdShare;
        if (isFull || nowMs - rejectedMs < rejectedPauseMs) {
            return false;
        }
        const share = this.#share(endpoint, room, nowMs);
        if (load.ownRunning < share) {
            return true;
        }
        const idle = room.window - load.running - 1;
        return load.ownRunning === share && idle >= room.window * trialReserve && this.#mayTry(endpoint, room, nowMs);
    }

    /** Requests that this host may have at an endpoint at once; over all hosts no more than the window. */
    #share({ endpointId, service }: RoomEndpoint, { window }: BrittleRoom, nowMs: number): number {
        const own = this.#own.get(service);
        if (own === undefined || nowMs - own.sinceMs < settleMs) {
            return 0;
        }
        const hosts = this.#rankHosts(endpointId, service, nowMs);
        const rank = hosts.indexOf(this.#options.hostId);
        return Math.floor((window - rank - 1 + hosts.length) / hosts.length);
    }

    /** The hosts that share an endpoint, equal on all of them. */
    #rankHosts(endpointId: EndpointId, service: string, nowMs: number): readonly HostId[] {
        const { hostId, listHosts } = this.#options;
        // Until all hosts have said whether they have requests for the service, each that may have some keeps a share.
        const possible = this.#state.brittleForMs(service, nowMs) < settleMs ? listHosts() : [];
        const senders = new Set([...this.#state.senders(service, nowMs), ...possible, hostId]);
        return rankByRendezvous(endpointId, [...senders], id => id);
    }

    /** Whether this host may have one request beyond its share: the hosts with the smallest shares may. */
    #mayTry({ endpointId, service }: RoomEndpoint, { rejections, rejected }: BrittleRoom, nowMs: number): boolean {
        if (rejections < leastTriedRejections || rejected >= rejections * trialShare) {
            return false;
        }
        const hosts = this.#rankHosts(endpointId, service, nowMs).slice(
            -Math.max(1, Math.floor(rejections * triersPerRejection)),
        );
        return hosts.includes(this.#options.hostId);
    }

    #recordWant(service: string, nowMs: number): OwnUse {
        const own = this.#countOwn(service, nowMs);
        if (nowMs - own.lastMs > own.keepMs * ownKeptShare) {
            own.sinceMs = nowMs;
        }
        own.lastMs = nowMs;
        own.wanted += 1;
        own.keepMs = Math.min(mostKeptMs, Math.max(leastKeptMs, keptIntervals * shortageMs / own.wanted));
        return own;
    }

    #join(service: string, keepMs: number, nowMs: number): void {
        if (this.#state.recordSender(service, this.#options.hostId, keepMs, nowMs)) {
            this.#options.onJoin();
        }
    }

    #countOwn(service: string, nowMs: number): OwnUse {
        const own = this.#own.get(service) ?? {
            sinceMs: nowMs,
            lastMs: nowMs,
            keepMs: mostKeptMs,
            wanted: 0,
            sent: 0,
            refused: 0,
            countedMs: nowMs,
        };
        const kept = Math.exp((own.countedMs - nowMs) / shortageMs);
        own.wanted *= kept;
        own.sent *= kept;
        own.refused *= kept;
        own.countedMs = nowMs;
        this.#own.set(service, own);
        return own;
    }
}
