import type { FailureDomainId } from "@filbertrelay/kernel";
import type { EndpointLink } from "./endpointlink.js";

/** An accepted connection or bytes of an endpoint show for this long that there is a way to its group. */
const soundMs = 1_000;
/** A cut that nothing confirms for this long is taken back. */
const confirmationTtlMs = 5_000;
/** A group is back when a connection was accepted and none failed for this long, or once bytes came. */
const steadyMs = 500;

/** Circumstances under which a group is assessed. */
export interface GroupEvidence {
    /** Endpoints of the group that don't accept this host's connections though they live. */
    readonly proven: readonly EndpointLink[];
    /** The same for all groups. */
    readonly provenAnywhere: number;
    /** Endpoints of the group that refuse connections or are silent here, whether they live or not. */
    readonly troubled: number;
    /** Whether other hosts have heard some of the endpoints that fail here recently. */
    readonly isAnswered: boolean;
}

/** The endpoints of one service in one failure domain: cuts are told apart by such groups. */
export class EndpointGroup {
    readonly failureDomain: FailureDomainId;
    readonly service: string;
    /** Endpoints of the group, of those that this host knew when it last looked. */
    size = 0;
    probedMs = -Infinity;
    #heardMs = -Infinity;
    #failedMs = -Infinity;
    /** The endpoint that last accepted a connection. */
    #connected: EndpointLink | undefined;
    #acceptedMs: number | undefined;
    #cut: { readonly sinceMs: number; readonly failingSinceMs: number; } | undefined;

    constructor(failureDomain: FailureDomainId, service: string) {
        this.failureDomain = failureDomain;
        this.service = service;
    }

    get heardMs(): number {
        return this.#heardMs;
    }

    /** Whether connections to the group don't get through. */
    get isCut(): boolean {
        return this.#cut !== undefined;
    }

    /** Whether a connection was accepted lately, though the group was cut. */
    get isReturning(): boolean {
        return this.#acceptedMs !== undefined;
    }

    /** When the first connection failed that showed the cut; infinite if the group is not cut off. */
    get cutSinceMs(): number {
        return this.#cut?.failingSinceMs ?? Infinity;
    }

    hear(nowMs: number): void {
        this.#heardMs = nowMs;
    }

    connect(link: EndpointLink, nowMs: number): void {
        this.#connected = link;
        if (this.isCut) {
            this.#acceptedMs ??= nowMs;
        }
    }

    fail(link: EndpointLink, nowMs: number): void {
        this.#failedMs = nowMs;
        // Another endpoint may be down; what it does says nothing of the links.
        if (link === this.#connected) {
            this.#acceptedMs = undefined;
        }
    }

    hasFailedSince(sinceMs: number): boolean {
        return this.#failedMs >= sinceMs;
    }

    /** Decides anew whether the group is cut off; returns whether that changed. */
    assess({ proven, provenAnywhere, troubled, isAnswered }: GroupEvidence, nowMs: number): boolean {
        if (this.#cut !== undefined) {
            const isBack = this.#isBack(nowMs);
            if (isBack || !isAnswered || nowMs - this.#failedMs > confirmationTtlMs) {
                this.#cut = undefined;
                this.#acceptedMs = undefined;
                return true;
            }
            return false;
        }
        const isQuiet = nowMs - this.#heardMs > soundMs;
        const isShared = this.size === 1 || (isQuiet && (provenAnywhere >= 2 || troubled >= 2));
        const isEnough = proven.length >= 2 || (proven.length === 1 && isShared);
        if (!isEnough || this.hasAcceptedSince(nowMs - soundMs)) {
            return false;
        }
        this.#cut = { sinceMs: nowMs, failingSinceMs: Math.min(...proven.map(link => link.failingSinceMs ?? nowMs)) };
        return true;
    }

    /** The way to an endpoint of the group that has not failed itself. */
    wayTo(link: EndpointLink | undefined, nowMs: number): "direct" | "open" | "relay" {
        const cut = this.#cut;
        if (cut === undefined || (link !== undefined && link.connectedMs > cut.sinceMs)) {
            return "direct";
        }
        const heardMs = link?.heardMs ?? -Infinity;
        return heardMs > cut.failingSinceMs && nowMs - heardMs <= soundMs ? "open" : "relay";
    }

    /** Whether an endpoint of the group accepted a connection since a time, and has not failed since. */
    hasAcceptedSince(sinceMs: number): boolean {
        const link = this.#connected;
        return link !== undefined && link.failingSinceMs === undefined && link.connectedMs >= sinceMs;
    }

    #isBack(nowMs: number): boolean {
        return this.#acceptedMs !== undefined && (nowMs - this.#acceptedMs >= steadyMs || this.#heardMs > this.#acceptedMs);
    }
}
