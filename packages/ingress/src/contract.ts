import type { IngressConfiguration } from "@filbertrelay/configuration";
import type { EndpointId, FailureDomainId, HostId, Issue, Outcome, RequestId } from "@filbertrelay/kernel";
import type { CustomerCounts, PromptPart, RolloutOrder, RolloutRecord } from "@filbertrelay/policy/ingress";

/** An endpoint's registration in the store. */
export interface EndpointRecord {
    readonly endpointId: EndpointId;
    readonly service: string;
    /** IPv4 address and port. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    /** Number of requests that it executes concurrently. */
    readonly capacity: number;
    /** Whether it is draining: it accepts no new requests and will stop. */
    readonly isLeaving: boolean;
    /** Whether it can be reclaimed, together with the others of its failure domain. */
    readonly isReclaimable: boolean;
    /** Whether it serves models and therefore caches prompts. */
    readonly hasPromptCache: boolean;
    /** Version of its software; what endpoints of different versions write does not fit together. */
    readonly softwareVersion: string;
    /** Start time in Unix milliseconds; a different value under the same id means a new process. */
    readonly startedAtMs: number;
}

/** Header names and values in the order and spelling in which they were sent. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** Size and parts of the prompt of a model request. */
export interface PromptDescription {
    /** In order; the last part is specific to the request or its session. Empty when the caller does not state any. */
    readonly parts: readonly PromptPart[];
    readonly inputTokens: number;
    readonly outputTokens: number;
}

/** The request metadata in a caller's headers. */
export interface RequestDescription {
    /** Absent when the caller sent none or more than one. */
    readonly requestId?: RequestId;
    /** How long the caller waits for the response, from the arrival of the request. */
    readonly waitMs?: number;
    readonly apiKey?: string;
    readonly prompt?: PromptDescription;
    /** The last event that the caller received of an interrupted stream; the response continues after it. */
    readonly lastEventId?: string;
    /** The attempt of the caller that brought the first event of that stream. */
    readonly resumedRequestId?: RequestId;
}

/** The metadata that the ingress adds to a forwarded request. */
export interface ForwardedRequest {
    readonly endpointId: EndpointId;
    readonly customer?: string;
    /** Time left until the deadline, in whole milliseconds. */
    readonly remainingMs: number;
    /** 0 (highest) to 9; absent for requests without a prompt. */
    readonly priority?: number;
    /** Resumes a stream after this event. */
    readonly lastEventId?: string;
}

/** The response metadata in an endpoint's headers. */
export interface ResponseDescription {
    /** The id of the request; absent when the endpoint does not state it. */
    readonly requestId?: string;
    /** Whether the response has the endpoint's signature. */
    readonly isSigned: boolean;
    /** Whether the endpoint states that it did not execute the request. */
    readonly isNotExecuted: boolean;
    /** Requests a second that the endpoint takes from all hosts together, for as long as its answers say so. */
    readonly limitPerSecond?: number;
    /** Requests that the endpoint may turn away within a second without falling over, for as long as its answers say so. */
    readonly brittleRejections?: number;
    /** Whether the endpoint turned the request away for want of room. */
    readonly isFull: boolean;
    /** Whether the endpoint states that it takes no further requests and will stop. */
    readonly isLeaving: boolean;
    /** How long the endpoint wants no requests from this host. */
    readonly pauseMs?: number;
    /** Headers of the endpoint that can't be used, as `name: value`. */
    readonly invalid?: readonly string[];
}

/** Maps between HTTP headers and request metadata, since each platform has its own header names. */
export interface Dialect {
    describeRequest(headers: HeaderList): RequestDescription;
    /** Headers for the endpoint: the caller's without the hop-by-hop ones, and those that the ingress sets. */
    forwardHeaders(headers: HeaderList, request: ForwardedRequest): HeaderList;
    describeResponse(status: number, headers: HeaderList): ResponseDescription;
    /** Path of a request that an endpoint answers at once, however busy it is; `undefined` if it has none but that of its service. */
    statusPath(endpoint: EndpointRecord): string | undefined;
}

/** The failure of a duty call; after `duty.unavailable` the call may still take effect later. */
export interface DutyIssue extends Issue {
    readonly code: "duty.staleToken" | "duty.refused" | "duty.unavailable";
}

/** The host that holds the duties, with its fencing token, which increases with each change of holder. */
export interface DutyHolder {
    readonly hostId: HostId;
    readonly fencingToken: number;
    /** Time for which the host is guaranteed to hold the duties, in milliseconds; its calls must not arrive later. */
    readonly validMs: number;
}

/** The desired number of endpoints of a service in a failure domain. */
export interface EndpointOrder {
    readonly service: string;
    readonly failureDomain: FailureDomainId;
    readonly count: number;
    readonly isReclaimable: boolean;
}

/** Calls that one host at a time makes on behalf of the whole fleet. */
export interface DutyCalls {
    reportUsage(
        holder: DutyHolder,
        windowNumber: number,
        counts: CustomerCounts,
    ): Promise<Outcome<undefined, DutyIssue>>;
    orderEndpoints(holder: DutyHolder, order: EndpointOrder): Promise<Outcome<undefined, DutyIssue>>;
}

/** Reads the operator's orders of roll-outs and writes their status. */
export interface RolloutDecoder {
    /** Key prefix of the orders, followed by the service. */
    readonly orderPrefix: string;
    /** Key prefix of the status, followed by the service. */
    readonly statusPrefix: string;
    /** Reads an order; what is missing or unreadable is empty or 0, and refused later. */
    readOrder(service: string, value: string): RolloutOrder;
    /** The target of a status that says that a roll-out is in progress. */
    readTargetInProgress(value: string): string | undefined;
    renderStatus(record: RolloutRecord): string;
}

/** Decodes the store entries that operators and endpoints write; an invalid entry yields an issue. */
export interface StoreDecoder {
    /** Key prefix of the configuration. */
    readonly configurationPrefix: string;
    /** Key prefix of the endpoints' registrations. */
    readonly endpointPrefix: string;
    readonly rollouts: RolloutDecoder;
    readConfiguration(value: string): Outcome<IngressConfiguration>;
    /** Reads no more of a configuration than its version; `undefined` if the value has none. */
    readConfigurationVersion(value: string): number | undefined;
    /** Values that say the same may give the same record. */
    readEndpoint(key: string, value: string): Outcome<EndpointRecord>;
    /** Reads the number that an endpoint counts up with each value it writes; `undefined` if the value has none. */
    readEndpointSequence(key: string, value: string): number | undefined;
}
