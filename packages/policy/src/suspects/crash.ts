import type { Branded, EndpointId } from "@filbertrelay/kernel";

/** What requests can have in common that crashes endpoints: one part of the prompt, or the whole content of a request. */
export type RequestTrait = Branded<string, "RequestTrait">;

/** Traits, sorted, that crash endpoints when a request has all of them. */
export type CrashCause = readonly RequestTrait[];

/** The traits of a request. */
export interface RequestTraits {
    readonly parts: readonly RequestTrait[];
    /** Equal for all requests with the same content, whatever their ids. */
    readonly content: () => RequestTrait;
}

/** A request that broke off at a crash before the endpoint had answered any of it. */
export interface InterruptedRequest {
    /** Equal for all requests with the same content, whatever their ids. */
    readonly content: RequestTrait;
    readonly parts: readonly RequestTrait[];
    readonly sentMs: number;
}

/** An endpoint that stopped running while it had requests in progress. */
export interface EndpointCrash {
    /** The same on every host. */
    readonly crashId: string;
    readonly crashedMs: number;
    readonly interrupted: readonly InterruptedRequest[];
}

/** The trait of all requests that have a part in their prompt. */
export function partTrait(partId: string): RequestTrait {
    return `part/${encodeURIComponent(partId)}` as RequestTrait;
}

/** The trait of all requests with the same content; `digest` identifies the content. */
export function contentTrait(digest: string): RequestTrait {
    return `content/${digest}` as RequestTrait;
}

export function isContentTrait(trait: RequestTrait): boolean {
    return trait.startsWith("content/");
}

/** Identifies the crash of one process of an endpoint. */
export function createCrashId(endpointId: EndpointId, startedAtMs: number): string {
    return `${endpointId}/${startedAtMs}`;
}

/** Whether a request has all traits of a cause. */
export function matchesCause({ content, parts }: InterruptedRequest, cause: CrashCause): boolean {
    return cause.every(trait => trait === content || parts.includes(trait));
}

/** The traits of an interrupted request. */
export function listTraits({ content, parts }: InterruptedRequest): readonly RequestTrait[] {
    return [content, ...parts];
}
