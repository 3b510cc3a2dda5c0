import { z } from "zod";

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
    /** Services by share of the requests; most routes have one. */
    targets: z.array(z.object({ service: z.string().min(1), weight: z.number().min(0) })).min(1),
    /** How long a caller of this route is kept waiting. */
    timeLimitMs: z.number().positive(),
    /** An answer within this time has its full worth; for streams the time to the first event. */
    objectiveMs: z.number().positive(),
    /** Longest pause between two events of a stream that is still on time. */
    pauseLimitMs: z.number().positive().optional(),
    /** Smaller is more urgent. */
    priority: z.number().min(0),
    /** Endpoints on which one request may run. */
    maximumAttempts: z.int().min(1),
    isPublic: z.boolean(),
    /** A broken stream may be continued on another endpoint after the last event that was passed on. */
    isResumable: z.boolean(),
});

/** See `ingressRouteSchema`. */
export type IngressRoute = z.infer<typeof ingressRouteSchema>;

/** How many endpoints of a service may be ordered in each failure domain, and what they cost. */
export const scalingSchema = z.object({
    minimum: z.int().min(0),
    maximum: z.int().min(0),
    /** Time from an order until the endpoint serves. */
    startSeconds: z.number().min(0),
    /** Price of a reclaimable endpoint relative to one that stays; absent where none are offered. */
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
    scaling: scalingSchema.optional(),
});

/** See `ingressServiceSchema`. */
export type IngressService = z.infer<typeof ingressServiceSchema>;

/** A limit on what a customer may use over all hosts; `unit` says what is counted. */
export const usageLimitSchema = z.object({
    unit: z.enum(["requests", "tokens"]),
    perSecond: z.number().positive(),
    burst: z.number().min(0),
    /** Counted for a request that does not state its tokens. */
    unstatedTokens: z.number().min(0),
});

/** See `usageLimitSchema`. */
export type UsageLimit = z.infer<typeof usageLimitSchema>;

/** A customer of the ingress with its keys as they are sent by callers. */
export const ingressCustomerSchema = z.object({
    name: z.string().min(1),
    keys: z.array(z.string().min(1)),
    /** Takes the place of the route's priority. */
    priority: z.number().min(0).optional(),
    limit: usageLimitSchema.optional(),
});

/** See `ingressCustomerSchema`. */
export type IngressCustomer = z.infer<typeof ingressCustomerSchema>;

/** Routes, services, customers and connection limits of the ingress; `version` only grows. */
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
