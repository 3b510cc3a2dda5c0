import * as z from "zod";

/** How often a request of a route may run: any number of times, at most once, or as one stream of events. */
export const routeKindSchema = z.enum(["idempotent", "nonIdempotent", "stream"]);

/** See `routeKindSchema`. */
export type RouteKind = z.infer<typeof routeKindSchema>;

/** A rule that sends the requests of a host name and path prefix to services. */
export const ingressRouteSchema = z.object({
    name: z.string().min(1),
    hostname: z.string().min(1),
    /** Begins and ends with a slash. */
    pathPrefix: z.string().startsWith("/").endsWith("/"),
    kind: routeKindSchema,
    /** Target services with their shares of the requests; most routes have one. */
    targets: z.array(z.object({ service: z.string().min(1), weight: z.number().min(0) })).min(1),
    /** Time limit of a request of this route. */
    timeLimitMs: z.number().positive(),
    /** Latency objective: a response within this time has full value. For streams, the time to the first event. */
    objectiveMs: z.number().positive(),
    /** Longest pause between two events of a stream within its latency objective. */
    pauseLimitMs: z.number().positive().optional(),
    /** Smaller is more urgent. */
    priority: z.number().min(0),
    /** How many endpoints one request may be sent to. */
    maximumAttempts: z.int().min(1),
    isPublic: z.boolean(),
    /** Whether a broken stream may resume on another endpoint after the last forwarded event. */
    isResumable: z.boolean(),
});

/** See `ingressRouteSchema`. */
export type IngressRoute = z.infer<typeof ingressRouteSchema>;

/** How many endpoints of a service may be ordered in each failure domain, and what they cost. */
export const scalingSchema = z.object({
    minimum: z.int().min(0),
    maximum: z.int().min(0),
    /** Time from ordering an endpoint until it serves requests. */
    startSeconds: z.number().min(0),
    /** Price of a reclaimable endpoint relative to an on-demand one; absent where no reclaimable ones are offered. */
    reclaimablePriceRatio: z.number().min(0).optional(),
    /** Relative price by failure domain. */
    domainPrices: z.record(z.string(), z.number().min(0)),
});

/** See `scalingSchema`. */
export type Scaling = z.infer<typeof scalingSchema>;

/** A service behind the ingress. */
export const ingressServiceSchema = z.object({
    name: z.string().min(1),
    /** Connections that one endpoint accepts from all callers together. */
    maximumConnections: z.number().positive(),
    /** Path at which its endpoints answer status requests; absent if they don't. */
    statusPath: z.string().optional(),
    scaling: scalingSchema.optional(),
});

/** See `ingressServiceSchema`. */
export type IngressService = z.infer<typeof ingressServiceSchema>;

/** A rate limit of a customer over all hosts; `unit` is what is counted. */
export const usageLimitSchema = z.object({
    unit: z.enum(["requests", "tokens"]),
    perSecond: z.number().positive(),
    burst: z.number().min(0),
    /** Tokens charged for a request that does not state its own number. */
    unstatedTokens: z.number().min(0),
});

/** See `usageLimitSchema`. */
export type UsageLimit = z.infer<typeof usageLimitSchema>;

/** A customer of the ingress with its keys in plain text, as callers send them. */
export const ingressCustomerSchema = z.object({
    /** Told to endpoints in a header. */
    name: z.string().regex(/^\P{Cc}+$/u, "Expected a name without control characters."),
    keys: z.array(z.string().min(1)),
    /** Overrides the route's priority. */
    priority: z.number().min(0).optional(),
    limit: usageLimitSchema.optional(),
});

/** See `ingressCustomerSchema`. */
export type IngressCustomer = z.infer<typeof ingressCustomerSchema>;

/** Routes, services, customers and connection limits of the ingress; `version` never decreases. */
export const ingressConfigurationSchema = z.object({
    version: z.number(),
    routes: z.array(ingressRouteSchema),
    services: z.array(ingressServiceSchema),
    /** Absent when callers need no key. */
    customers: z.array(ingressCustomerSchema).optional(),
    limits: z.object({
        headerBytes: z.number().positive(),
        bodyBytes: z.number().positive(),
        headerTimeoutMs: z.number().positive(),
        idleTimeoutMs: z.number().positive(),
    }),
});

/** See `ingressConfigurationSchema`. */
export type IngressConfiguration = z.infer<typeof ingressConfigurationSchema>;
