import type { EndpointId, HostId } from "@filbertrelay/kernel";

/** What hosts know of brittle endpoints, as sent to other hosts; times are ages in milliseconds. */
export interface RoomReport {
    /** By endpoint; `rejections` is `null` when its answers no longer say that it is brittle. */
    readonly endpoints: Readonly<
        Record<string, { readonly service: string; readonly rejections: number | null; readonly ageMs: number; }>
    >;
    /** By endpoint: the window that the last rejection left, as a fraction of the capacity. */
    readonly cuts: Readonly<Record<string, { readonly share: number; readonly ageMs: number; }>>;
    /** By endpoint and host: what the host had rejected in a second, and when last. */
    readonly rejections: Readonly<
        Record<string, Readonly<Record<string, { readonly count: number; readonly ageMs: number; }>>>
    >;
    /** By service and host: when the host last had a request for it, and for how long after that it keeps its share. */
    readonly senders: Readonly<
        Record<string, Readonly<Record<string, { readonly ageMs: number; readonly keepMs: number; }>>>
    >;
}

/** The room of a brittle endpoint. */
export interface BrittleRoom {
    /** Requests that it may reject within a second without falling over. */
    readonly rejections: number;
    /** Requests that it rejected within the last second, as far as this host knows. */
    readonly rejected: number;
    /** Requests that all hosts together may have there at once. */
    readonly window: number;
}

/** What is known of the brittle endpoints, equal on all hosts in whatever order reports arrive. */
export interface RoomState {
    /** Endpoints that said last that they are brittle. */
    readonly size: number;
    /** Records what an answer says; returns what changed. */
    recordStatement(endpoint: StatingEndpoint, rejections: number | undefined, nowMs: number): "brittle" | "steady" | undefined;
    /** Records a rejection for want of room; returns whether it cut the window. */
    recordRejection(endpoint: StatingEndpoint, hostId: HostId, nowMs: number): boolean;
    /** Records that a host has a request for a brittle service; returns whether the others should hear of it at once. */
    recordSender(service: string, hostId: HostId, keepMs: number, nowMs: number): boolean;
    /** The room of an endpoint; `undefined` unless it is brittle. */
    find(endpoint: StatingEndpoint, nowMs: number): BrittleRoom | undefined;
    isBrittle(service: string, nowMs: number): boolean;
    /** Time since this host learnt that a service is brittle. */
    brittleForMs(service: string, nowMs: number): number;
    /** The hosts that lately had requests for a service. */
    senders(service: string, nowMs: number): readonly HostId[];
    report(nowMs: number): RoomReport | undefined;
    merge(report: RoomReport, nowMs: number, elapsedMs: number): void;
}

/** An endpoint that says something of itself. */
interface StatingEndpoint {
    readonly endpointId: EndpointId;
    readonly service: string;
    readonly capacity: number;
}

interface Statement {
    readonly service: string;
    readonly rejections: number | undefined;
    readonly namedMs: number;
}

/** Requests that one host had rejected within a second. */
interface RejectedRequests {
    readonly count: number;
    readonly lastMs: number;
}

interface Sender {
    readonly lastMs: number;
    readonly keepMs: number;
}

interface Cut {
    readonly share: number;
    readonly atMs: number;
}

/** A statement that no answer has confirmed for this long no longer holds; longer than an endpoint that fell needs to come back. */
const statementTtlMs = 15_000;
/** A host that had no request for this long tells the others at once when it has one. */
const senderNewsMs = 2_000;
/** The span in which an endpoint counts what it rejects. */
const rejectionSpanMs = 1_000;
/** Part of the bound on rejections that hosts use to find out what is idle; beyond it, the window is cut. */
export const trialShare = 0.5;
/** Fraction of the window that a cut leaves. */
const cutFactor = 0.75;
/** Rejections of the same moment, on whatever hosts, cut the window once. */
const cutPauseMs = 500;
/** Smallest window, as a fraction of the capacity. */
const smallestShare = 0.25;
/** Growth of the window after a cut, as a fraction of the capacity. */
const growthPerSecond = 0.02;

/** Creates a state without brittle endpoints. */
export function createRoomState(): RoomState {
    return new MergedRoomState();
}

class MergedRoomState implements RoomState {
    readonly #statements = new Map<string, Statement>();
    readonly #cuts = new Map<string, Cut>();
    readonly #rejected = new Map<string, Map<string, RejectedRequests>>();
    readonly #senders = new Map<string, Map<string, Sender>>();
    /** By service, when this host learnt that it is brittle. */
    readonly #learntMs = new Map<string, number>();

    get size(): number {
        return [...this.#statements.values()].filter(({ rejections }) => rejections !== undefined).length;
    }

    recordStatement(
        { endpointId, service }: StatingEndpoint,
        rejections: number | undefined,
        nowMs: number,
    ): "brittle" | "steady" | undefined {
        const known = this.#statements.get(endpointId);
        if (rejections === undefined && known === undefined && !this.isBrittle(service, nowMs)) {
            return undefined;
        }
        this.#setStatement(endpointId, { service, rejections, namedMs: nowMs }, nowMs);
        if (rejections === known?.rejections) {
            return undefined;
        }
        return rejections === undefined ? "steady" : "brittle";
    }

    recordRejection(endpoint: StatingEndpoint, hostId: HostId, nowMs: number): boolean {
        const { endpointId } = endpoint;
        const known = this.#rejected.get(endpointId)?.get(hostId);
        const before = known !== undefined && nowMs - known.lastMs <= rejectionSpanMs ? known.count : 0;
        this.#setRejected(endpointId, hostId, { count: before + 1, lastMs: nowMs });
        const room = this.find(endpoint, nowMs);
        const isExcess = room !== undefined && room.rejected > room.rejections * trialShare;
        if (!isExcess || nowMs - (this.#cuts.get(endpointId)?.atMs ?? -Infinity) < cutPauseMs) {
            return false;
        }
        const share = this.#windowShare(endpointId, nowMs);
        this.#cuts.set(endpointId, { share: Math.max(smallestShare, share * cutFactor), atMs: nowMs });
        return true;
    }

    recordSender(service: string, hostId: HostId, keepMs: number, nowMs: number): boolean {
        const lastMs = this.#senders.get(service)?.get(hostId)?.lastMs ?? -Infinity;
        this.#setSender(service, hostId, { lastMs: nowMs, keepMs });
        return nowMs - lastMs > senderNewsMs;
    }

    find({ endpointId, service, capacity }: StatingEndpoint, nowMs: number): BrittleRoom | undefined {
        // Most of the time no endpoint is brittle, and every request asks for each endpoint.
        if (this.#statements.size === 0) {
            return undefined;
        }
        const own = this.#statements.get(endpointId);
        const statement = own !== undefined && isRecent(own, nowMs) ? own : this.#latest(service, nowMs);
        return statement?.rejections === undefined ? undefined : {
            rejections: statement.rejections,
            rejected: this.#countRejected(endpointId, nowMs),
            window: Math.max(1, Math.floor(capacity * this.#windowShare(endpointId, nowMs))),
        };
    }

    isBrittle(service: string, nowMs: number): boolean {
        return this.#statements.size > 0 && this.#latest(service, nowMs) !== undefined;
    }

    brittleForMs(service: string, nowMs: number): number {
        return nowMs - (this.#learntMs.get(service) ?? nowMs);
    }

    senders(service: string, nowMs: number): readonly HostId[] {
        return [...this.#senders.get(service) ?? []].filter(([, sender]) => isKept(sender, nowMs)).map(([id]) => id as HostId);
    }

    report(nowMs: number): RoomReport | undefined {
        this.#removeOutdated(nowMs);
        const ageOf = (atMs: number): number => Math.max(0, Math.round(nowMs - atMs));
        return this.#statements.size === 0 ? undefined : {
            endpoints: Object.fromEntries(
                [...this.#statements].map(([id, { service, rejections, namedMs }]) => [
                    id,
                    { service, rejections: rejections ?? null, ageMs: ageOf(namedMs) },
                ]),
            ),
            cuts: Object.fromEntries([...this.#cuts].map(([id, { share, atMs }]) => [id, { share, ageMs: ageOf(atMs) }])),
            rejections: Object.fromEntries(
                [...this.#rejected].map(([id, hosts]) => [
                    id,
                    Object.fromEntries([...hosts].map(([host, { count, lastMs }]) => [host, { count, ageMs: ageOf(lastMs) }])),
                ]),
            ),
            senders: Object.fromEntries(
                [...this.#senders].map(([service, hosts]) => [
                    service,
                    Object.fromEntries([...hosts].map(([id, { lastMs, keepMs }]) => [id, { ageMs: ageOf(lastMs), keepMs }])),
                ]),
            ),
        };
    }

    merge({ endpoints, cuts, rejections, senders }: RoomReport, nowMs: number, elapsedMs: number): void {
        // The earliest possible times, so that nothing counts as later each time it is passed on.
        const timeOf = (ageMs: number): number => nowMs - elapsedMs - ageMs;
        for (const [id, { service, rejections, ageMs }] of Object.entries(endpoints)) {
            this.#setStatement(id, { service, rejections: rejections ?? undefined, namedMs: timeOf(ageMs) }, nowMs);
        }
        for (const [id, { share, ageMs }] of Object.entries(cuts)) {
            const known = this.#cuts.get(id);
            if (known === undefined || timeOf(ageMs) > known.atMs) {
                this.#cuts.set(id, { share, atMs: timeOf(ageMs) });
            }
        }
        for (const [id, hosts] of Object.entries(rejections)) {
            for (const [host, { count, ageMs }] of Object.entries(hosts)) {
                this.#setRejected(id, host, { count, lastMs: timeOf(ageMs) });
            }
        }
        for (const [service, hosts] of Object.entries(senders)) {
            for (const [id, { ageMs, keepMs }] of Object.entries(hosts)) {
                this.#setSender(service, id, { lastMs: timeOf(ageMs), keepMs });
            }
        }
    }

    #setStatement(id: string, statement: Statement, nowMs: number): void {
        const { service, rejections, namedMs } = statement;
        const known = this.#statements.get(id);
        if (!isRecent(statement, nowMs) || (known !== undefined && known.namedMs >= namedMs)) {
            return;
        }
        if (rejections !== undefined && !this.isBrittle(service, nowMs)) {
            this.#learntMs.set(service, nowMs);
        }
        this.#statements.set(id, statement);
    }

    #setRejected(id: string, hostId: string, rejected: RejectedRequests): void {
        const hosts = this.#rejected.get(id) ?? new Map<string, RejectedRequests>();
        if (rejected.lastMs > (hosts.get(hostId)?.lastMs ?? -Infinity)) {
            hosts.set(hostId, rejected);
        }
        this.#rejected.set(id, hosts);
    }

    #countRejected(id: string, nowMs: number): number {
        return [...this.#rejected.get(id)?.values() ?? []]
            .filter(({ lastMs }) => nowMs - lastMs <= rejectionSpanMs)
            .reduce((sum, { count }) => sum + count, 0);
    }

    #setSender(service: string, hostId: string, sender: Sender): void {
        const hosts = this.#senders.get(service) ?? new Map<string, Sender>();
        if (sender.lastMs > (hosts.get(hostId)?.lastMs ?? -Infinity)) {
            hosts.set(hostId, sender);
        }
        this.#senders.set(service, hosts);
    }

    /** What any endpoint of a service said last of being brittle; one that comes back is as brittle as the others. */
    #latest(service: string, nowMs: number): Statement | undefined {
        let latest: Statement | undefined;
        for (const statement of this.#statements.values()) {
            const isCandidate = statement.service === service && statement.rejections !== undefined && isRecent(statement, nowMs);
            if (isCandidate && (latest === undefined || statement.namedMs > latest.namedMs)) {
                latest = statement;
            }
        }
        return latest;
    }

    #windowShare(id: string, nowMs: number): number {
        const cut = this.#cuts.get(id);
        return cut === undefined ? 1 : Math.min(1, cut.share + Math.max(0, nowMs - cut.atMs) / 1_000 * growthPerSecond);
    }

    #removeOutdated(nowMs: number): void {
        for (const [id, statement] of this.#statements) {
            if (!isRecent(statement, nowMs)) {
                this.#statements.delete(id);
            }
        }
        for (const [id, hosts] of this.#rejected) {
            for (const [host] of [...hosts].filter(([, { lastMs }]) => nowMs - lastMs > rejectionSpanMs)) {
                hosts.delete(host);
            }
            if (hosts.size === 0) {
                this.#rejected.delete(id);
            }
        }
        for (const id of [...this.#cuts.keys()].filter(id => this.#windowShare(id, nowMs) === 1)) {
            this.#cuts.delete(id);
        }
        for (const [service, hosts] of this.#senders) {
            for (const [id] of [...hosts].filter(([, sender]) => !isKept(sender, nowMs))) {
                hosts.delete(id);
            }
            if (hosts.size === 0 || this.#statements.size === 0) {
                this.#senders.delete(service);
            }
        }
    }
}

function isRecent({ namedMs }: Statement, nowMs: number): boolean {
    return nowMs - namedMs <= statementTtlMs;
}

function isKept({ lastMs, keepMs }: Sender, nowMs: number): boolean {
    return nowMs - lastMs <= keepMs;
}
