declare const brand: unique symbol;

/** A value of type `T` that is distinct from other values of `T` for the type checker. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name; };

/** Names one entry or endpoint host. */
export type HostId = Branded<string, "HostId">;
/** Names one run of a process on a host: start time in milliseconds and a random part, so that a restart is recognised. */
export type Incarnation = Branded<string, "Incarnation">;
/** Names a failure domain: hosts that can be lost together. */
export type FailureDomainId = Branded<string, "FailureDomainId">;
/** Names a customer. */
export type CustomerId = Branded<string, "CustomerId">;
/** Names an endpoint: a model engine or an instance of a plain service. */
export type EndpointId = Branded<string, "EndpointId">;
/** Names a plain service. */
export type ServiceName = Branded<string, "ServiceName">;
/** Names a model. */
export type ModelName = Branded<string, "ModelName">;
/** Names one accepted request. */
export type RequestId = Branded<string, "RequestId">;
/** The key by which a caller marks resubmissions of one request. */
export type IdempotencyKey = Branded<string, "IdempotencyKey">;
/** The number of a shard within its generation. */
export type ShardNumber = Branded<number, "ShardNumber">;

/** Brands a plain value; use it where a value enters the system and has been checked. */
export function brandAs<B extends Branded<string, string> | Branded<number, string>>(
    value: B extends Branded<number, string> ? number : string,
): B {
    return value as unknown as B;
}
