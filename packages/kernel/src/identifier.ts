declare const brand: unique symbol;

/** A nominal subtype of `T`, distinguished by name at compile time only. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name; };

/** Identifies an entry host or an endpoint host. */
export type HostId = Branded<string, "HostId">;
/** Identifies one run of a host's process by start time in milliseconds and a random part, so that restarts are detected. */
export type Incarnation = Branded<string, "Incarnation">;
/** Identifies a failure domain: a group of hosts that can fail together. */
export type FailureDomainId = Branded<string, "FailureDomainId">;
/** Identifies a customer. */
export type CustomerId = Branded<string, "CustomerId">;
/** Identifies an endpoint: a model engine or an instance of a plain service. */
export type EndpointId = Branded<string, "EndpointId">;
/** The name of a plain service. */
export type ServiceName = Branded<string, "ServiceName">;
/** The name of a model. */
export type ModelName = Branded<string, "ModelName">;
/** Identifies an accepted request. */
export type RequestId = Branded<string, "RequestId">;
/** A caller-supplied key shared by all submissions of the same request. */
export type IdempotencyKey = Branded<string, "IdempotencyKey">;
/** The number of a shard within its generation. */
export type ShardNumber = Branded<number, "ShardNumber">;

/** Casts a plain value to a branded type; for use after validation, where the value enters the system. */
export function brandAs<B extends Branded<string, string> | Branded<number, string>>(
    value: B extends Branded<number, string> ? number : string,
): B {
    return value as unknown as B;
}
