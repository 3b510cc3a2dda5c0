import type { Configuration } from "@filbertrelay/configuration";
import type { Clock } from "@filbertrelay/kernel";
import type { HttpBindings } from "@hono/node-server";
import type { Context } from "hono";
import type { ConfigurationService, MembershipService } from "../contract.js";
import type { Settings } from "../settings.js";
import type { Metrics } from "../telemetry/metrics.js";
import type { Tracing } from "../telemetry/tracing.js";
import { Authenticator } from "./authentication.js";
import type { Customer } from "./authentication.js";
import { rankEntryPoints } from "./entrypoint.js";
import { issueResponse, notExecutedIssue } from "./error.js";
import type { CallerIssue, EntryPoint } from "./error.js";

/** The context of a request to the HTTP server for callers. */
export type CallerContext = Context<{ Bindings: HttpBindings; }>;

/** The load that a host publishes under `loadGossipName`. */
export interface PublishedLoad {
    readonly openRequests: number;
}

/** The gossip name under which hosts publish their load. */
export const loadGossipName = "load";

/** An authenticated customer with the priority and deadline of its request. */
export interface AuthenticatedCaller {
    readonly customer: Customer;
    readonly priority: number;
    /** Wall-clock time in milliseconds. */
    readonly deadlineAt: number;
}

const deadlineHeader = "x-request-deadline-ms";
const maximumDeadlineMs = 24 * 3_600_000;

/** Shared by all handlers of callers' requests: authentication, body limit, entry points and refusal while not ready or leaving. */
export class RequestGuard {
    readonly #clock: Clock;
    readonly #configuration: ConfigurationService;
    readonly #membership: MembershipService;
    readonly #settings: Settings;
    readonly #isRoutingReady: () => boolean;
    #authenticator: { readonly configuration: Configuration; readonly value: Authenticator; } | undefined;

    constructor(
        readonly services: {
            readonly clock: Clock;
            readonly configuration: ConfigurationService;
            readonly membership: MembershipService;
            readonly metrics: Metrics;
            readonly tracing: Tracing;
            readonly settings: Settings;
            /** Whether the load of the engines is known. */
            readonly isRoutingReady: () => boolean;
        },
    ) {
        this.#isRoutingReady = services.isRoutingReady;
        this.#clock = services.clock;
        this.#configuration = services.configuration;
        this.#membership = services.membership;
        this.#settings = services.settings;
    }

    /** Entry hosts that a caller may use, in order of preference. */
    entryPoints(failureDomain?: string): readonly EntryPoint[] {
        const loads = new Map(
            this.#membership.published(loadGossipName).map(item => [item.host, (item.value as PublishedLoad).openRequests]),
        );
        return rankEntryPoints(this.#membership.members(), {
            failureDomain,
            openRequests: member => loads.get(member.hostId) ?? 0,
        });
    }

    /** The issue for a new request while this host accepts none; `undefined` when it accepts requests. */
    refusal(): CallerIssue | undefined {
        if (!this.#configuration.isReady()) {
            return notExecutedIssue(503, "relay.notReady", "This host has no configuration yet.", {
                entryPoints: this.entryPoints(),
                retryAfterMs: 500,
            });
        }
        if (!this.#isRoutingReady()) {
            return notExecutedIssue(503, "relay.notReady", "This host does not know the load of the engines yet.", {
                entryPoints: this.entryPoints(),
                retryAfterMs: 500,
            });
        }
        if (this.#membership.self().state === "leaving") {
            return notExecutedIssue(503, "relay.leaving", "This host is leaving the fleet. Use another entry point.", {
                entryPoints: this.entryPoints(),
            });
        }
        return undefined;
    }

    /** Authenticates a customer and determines the priority and deadline of its request. */
    authenticate(
        context: CallerContext,
    ): { readonly ok: true; readonly value: AuthenticatedCaller; } | { readonly ok: false; readonly issue: CallerIssue; } {
        if (!this.#configuration.isReady()) {
            return {
                ok: false,
                issue: notExecutedIssue(503, "relay.notReady", "This host has no configuration yet.", { retryAfterMs: 500 }),
            };
        }
        const configuration = this.#configuration.current();
        const customer = this.#authenticatorFor(configuration).customer(context.req.header("authorization"));
        if (customer === undefined) {
            return {
                ok: false,
                issue: notExecutedIssue(401, "caller.unauthenticated", "The 'authorization' header holds no valid customer key."),
            };
        }
        const kind = configuration.callerKinds.find(candidate => candidate.name === customer.callerKind);
        const requestedDeadline = context.req.header(deadlineHeader);
        if (requestedDeadline !== undefined && !/^\d{1,8}$/.test(requestedDeadline)) {
            const message = `The header '${deadlineHeader}' must be a whole number of milliseconds.`;
            return { ok: false, issue: notExecutedIssue(400, "caller.invalid", message, { path: ["headers", deadlineHeader] }) };
        }
        const waitMs = Math.min(
            requestedDeadline === undefined ? kind?.deadlineMs ?? maximumDeadlineMs : Number(requestedDeadline),
            maximumDeadlineMs,
        );
        return { ok: true, value: { customer, priority: kind?.priority ?? 5, deadlineAt: this.#clock.now().getTime() + waitMs } };
    }

    /** The response to a caller that is not an operator; `undefined` for an operator. */
    operatorRefusal(context: CallerContext): Response | undefined {
        const isOperator = this.#configuration.isReady() &&
            this.#authenticatorFor(this.#configuration.current()).isOperator(context.req.header("authorization"));
        return isOperator ?
            undefined :
            issueResponse(
                notExecutedIssue(401, "caller.unauthenticated", "The 'authorization' header holds no valid operator key."),
            );
    }

    /** Reads a body within the size limit. */
    async readBody(
        context: CallerContext,
    ): Promise<{ readonly ok: true; readonly value: Uint8Array; } | { readonly ok: false; readonly issue: CallerIssue; }> {
        const limit = this.#settings.limits.bodyBytes;
        const chunks: Buffer[] = [];
        let size = 0;
        for await (const chunk of context.env.incoming as AsyncIterable<Buffer>) {
            size += chunk.length;
            if (size > limit) {
                return {
                    ok: false,
                    issue: notExecutedIssue(413, "caller.tooLarge", `The body is larger than ${limit} bytes.`, {
                        path: ["body"],
                    }),
                };
            }
            chunks.push(chunk);
        }
        return { ok: true, value: Buffer.concat(chunks) };
    }

    #authenticatorFor(configuration: Configuration): Authenticator {
        if (this.#authenticator?.configuration !== configuration) {
            this.#authenticator = { configuration, value: new Authenticator(configuration) };
        }
        return this.#authenticator.value;
    }
}
