import type { FailureDomainId } from "@filbertrelay/kernel";
import { createCrashId } from "../../suspects/crash.js";
import type { EndpointProcess } from "../endpointnotices.js";
import type { EndpointGroup } from "./endpointgroup.js";

/** An endpoint that this host may send requests to. */
export interface ReachedEndpoint extends EndpointProcess {
    readonly failureDomain: FailureDomainId;
    readonly service: string;
}

/** A failure that has neither been repeated nor resolved for this long is forgotten. */
const failureTtlMs = 3_000;
/** What other hosts hear so much later says nothing of a failure: the links may be back. */
const proofMs = 2_000;
/** Bytes that an endpoint sent before it crashed may be read this long after the crash was noticed elsewhere. */
const inFlightMs = 150;
/** For so long after a pause, bytes may come that were sent before or during it. */
const resumptionMs = 300;
/** An endpoint that failed here counts as alive for this long after it was last heard anywhere. */
const aliveTtlMs = 3_000;
/** An open connection from which nothing has come for this long may be dead. */
const heardTtlMs = 1_000;

/** What this host knows of its own way to one process of an endpoint. */
export class EndpointLink {
    readonly endpoint: ReachedEndpoint;
    readonly group: EndpointGroup;
    readonly process: string;
    /** When this host read bytes of the endpoint. */
    heardMs = -Infinity;
    heardAwakeMs = -Infinity;
    /** The earliest time at which the endpoint may have sent the last of what this host got from it. */
    answeredMs = -Infinity;
    connectedMs = -Infinity;
    failedMs = -Infinity;
    /** The first failed connection since the last that was accepted. */
    failingSinceMs: number | undefined;
    lostMs = -Infinity;
    probedMs = -Infinity;
    /** When each request that is waited for was sent. */
    readonly awaited = new Map<string, { readonly sentMs: number; readonly awakeMs: number; }>();
    /** What came just after `#resumedMs` may have been sent at any time after `#heldSinceMs`. */
    #heldSinceMs = -Infinity;
    #resumedMs = -Infinity;

    constructor(endpoint: ReachedEndpoint, group: EndpointGroup) {
        this.endpoint = endpoint;
        this.group = group;
        this.process = createCrashId(endpoint.endpointId, endpoint.startedAtMs);
    }

    /** The last failed or lost connection that nothing has resolved. */
    get troubleMs(): number {
        const failedMs = this.failingSinceMs === undefined ? -Infinity : this.failedMs;
        return Math.max(failedMs, this.lostMs > Math.max(this.heardMs, this.connectedMs) ? this.lostMs : -Infinity);
    }

    /** `arrivedMs` is the earliest time at which the bytes may have arrived. */
    hear(nowMs: number, awakeMs: number, arrivedMs: number): void {
        if (nowMs - this.heardMs > inFlightMs) {
            this.#heldSinceMs = Math.max(this.heardMs, this.#firstAwaited()?.sentMs ?? -Infinity);
            this.#resumedMs = nowMs;
        }
        // Packets that were held up and sent again may come long after their endpoint crashed.
        const sentMs = nowMs - this.#resumedMs <= resumptionMs ? this.#heldSinceMs : nowMs;
        this.answeredMs = Math.max(this.answeredMs, Math.min(arrivedMs, sentMs));
        this.heardMs = nowMs;
        this.heardAwakeMs = awakeMs;
    }

    connect(nowMs: number, arrivedMs: number): void {
        this.connectedMs = nowMs;
        this.answeredMs = Math.max(this.answeredMs, arrivedMs);
        this.failingSinceMs = undefined;
    }

    fail(nowMs: number): void {
        this.failedMs = nowMs;
        this.failingSinceMs ??= nowMs;
    }

    isFailing(nowMs: number): boolean {
        return this.failingSinceMs !== undefined && nowMs - this.failedMs <= failureTtlMs;
    }

    /** Whether the endpoint was alive after this host failed to connect to it; `othersMs` is when another host last heard it. */
    isProven(othersMs: number, nowMs: number): boolean {
        const aliveMs = Math.max(othersMs, this.heardMs);
        return this.failingSinceMs !== undefined && aliveMs >= this.failingSinceMs + inFlightMs &&
            aliveMs <= this.failedMs + proofMs && nowMs - aliveMs <= aliveTtlMs;
    }

    /** Whether this host still hears the endpoint on connections that were open before it failed. */
    isHeardLately(nowMs: number): boolean {
        return this.heardMs > (this.failingSinceMs ?? -Infinity) && nowMs - this.heardMs <= heardTtlMs;
    }

    /** Whether another host has heard the endpoint since a time, beyond bytes that were on their way. */
    static isHeardSince(othersMs: number, sinceMs: number): boolean {
        return othersMs >= sinceMs + inFlightMs;
    }

    /** How long this host ran while it waited for the endpoint and heard nothing; 0 if it doesn't wait. */
    silentForMs(awakeMs: number): number {
        const first = this.#firstAwaited();
        return first === undefined ? 0 : awakeMs - Math.max(first.awakeMs, this.heardAwakeMs);
    }

    /** Since when this host waits and has heard nothing. */
    get silentSinceMs(): number {
        return Math.max(this.#firstAwaited()?.sentMs ?? Infinity, this.heardMs);
    }

    #firstAwaited(): { readonly sentMs: number; readonly awakeMs: number; } | undefined {
        return this.awaited.values().next().value;
    }
}
