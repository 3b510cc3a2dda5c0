import type { IngressConfiguration } from "@filbertrelay/configuration";
import type { EndpointId, FailureDomainId, HostId, Issue, Outcome, RequestId } from "@filbertrelay/kernel";
import type { CustomerCounts, PromptPart } from "@filbertrelay/policy/ingress";

/** An endpoint as it registered itself. */
export interface EndpointRecord {
    readonly endpointId: EndpointId;
    readonly service: string;
    /** IPv4 address and port. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    /** Requests that it runs at once. */
    readonly capacity: number;
    /** It takes no new requests and will stop. */
    readonly isLeaving: boolean;
    /** It can be reclaimed together with the others of its failure domain. */
    readonly isReclaimable: boolean;
    /** It serves models, so that prompts are cached there. */
    readonly hasPromptCache: boolean;
    /** Unix milliseconds of its start; another value under the same id is another process. */
    readonly startedAtMs: number;
}

/** Names and values of a message's headers in their order, as they were sent. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** Size and parts of the prompt that a model request carries. */
export interface PromptDescription {
    /** In order; the last part belongs to the request or its session alone. Empty when the caller does not say. */
    readonly parts: readonly PromptPart[];
    readonly inputTokens: number;
    readonly outputTokens: number;
}

/** What a caller's headers say about its request. */
export interface RequestDescription {
    /** Absent when the caller sent none or more than one. */
    readonly requestId?: RequestId;
    /** How long the caller waits, from the arrival of the request. */
    readonly waitMs?: number;
    readonly apiKey?: string;
    readonly prompt?: PromptDescription;
    /** The last event of a broken stream that the caller has; the answer goes on behind it. */
    readonly lastEventId?: string;
}

/** What the ingress adds to a request that it passes on. */
export interface ForwardedRequest {
    readonly endpointId: EndpointId;
    readonly customer?: string;
    /** Time that is left, in whole milliseconds. */
    readonly remainingMs: number;
    /** 0 to 9, 0 first; absent for requests without a prompt. */
    readonly priority?: number;
    /** Continues a stream behind this event. */
    readonly lastEventId?: string;
}

/** What an endpoint's headers say about its answer. */
export interface ResponseDescription {
    /** The request that is answered; absent when the endpoint does not say. */
    readonly requestId?: string;
    /** The endpoint vouches for the answer. */
    readonly isSigned: boolean;
    /** The endpoint states that it did not run the request. */
    readonly isNotExecuted: boolean;
}

/** The header names of one interface; the product's own and that of the users' machines are two dialects. */
export interface Dialect {
    describeRequest(headers: HeaderList): RequestDescription;
    /** Headers for the endpoint: those of the caller without the ones that concern a single connection, and what the ingress sets. */
    forwardHeaders(headers: HeaderList, request: ForwardedRequest): HeaderList;
    describeResponse(status: number, headers: HeaderList): ResponseDescription;
}

/** A duty call's failure; after `unavailable` the call may still take effect later. */
export interface DutyIssue extends Issue {
    readonly code: "duty.staleToken" | "duty.refused" | "duty.unavailable";
}

/** The host that carries out a duty and the number that grows with each change of it. */
export interface DutyHolder {
    readonly hostId: HostId;
    readonly fencingToken: number;
    /** Time for which the host surely holds the duties, in milliseconds; a call that it begins must not arrive later. */
    readonly validMs: number;
}

/** How many endpoints of a kind should run in a failure domain. */
export interface EndpointOrder {
    readonly service: string;
    readonly failureDomain: FailureDomainId;
    readonly count: number;
    readonly isReclaimable: boolean;
}

/** Calls that one host at a time makes for the whole fleet; registered in the kernel as `duties`. */
export interface DutyCalls {
    reportUsage(
        holder: DutyHolder,
        windowNumber: number,
        counts: CustomerCounts,
    ): Promise<Outcome<undefined, DutyIssue>>;
    orderEndpoints(holder: DutyHolder, order: EndpointOrder): Promise<Outcome<undefined, DutyIssue>>;
}

/** Decodes what others write into the store; foreign or unreadable entries are an issue each. */
export interface StoreDecoder {
    /** Prefix under which the configuration is written. */
    readonly configurationPrefix: string;
    /** Prefix under which the endpoints register themselves. */
    readonly endpointPrefix: string;
    readConfiguration(value: string): Outcome<IngressConfiguration>;
    readEndpoint(key: string, value: string): Outcome<EndpointRecord>;
}
