import type { Kernel, Service } from "@filbertrelay/kernel";
import { declareEvents, invariant } from "@filbertrelay/kernel";
import { serve } from "@hono/node-server";
import type { HttpBindings, ServerType } from "@hono/node-server";
import { Hono } from "hono";
import type { Server } from "node:http";
import type { PlainCalls } from "../calls/calls.js";
import type { ConfigurationService, MembershipService, ShardService } from "../contract.js";
import type { RelayedKeyValueClient } from "../keyvalue/relayed.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { EngineRouter } from "../routing/router.js";
import type { Settings } from "../settings.js";
import type { StreamService } from "../streams/service.js";
import type { Explanations } from "../telemetry/explanation.js";
import type { Metrics } from "../telemetry/metrics.js";
import type { Tracing } from "../telemetry/tracing.js";
import { handleChat } from "./chat.js";
import { loadGossipName, RequestGuard } from "./context.js";
import { issueResponse, notExecutedIssue } from "./error.js";
import { buildStatus } from "./operator.js";
import { handleRead } from "./read.js";
import { handleService } from "./service.js";

const events = declareEvents({
    listening: { number: 7001, level: "info", text: "The callers' server is listening.", action: "None." },
    handlerFailed: {
        number: 7002,
        level: "error",
        text: "The handler of a caller's request failed with an unexpected error.",
        action: "Report the error with the request id.",
    },
});

const loadPublishPeriodMs = 1_000;
/** Each host's load reaches every host, so hosts of a large fleet publish less often. */
const loadPublishPeriodPerMemberMs = 50;
/** Changes up to this share of the last published load aren't published. */
const loadChangeRatio = 0.25;
const keepAliveTimeoutMs = 60_000;
const requestIdleTimeoutMs = 30_000;

/** The HTTP server for callers and operators; registered as `callers`. */
export class CallerServer implements Service {
    readonly #kernel: Kernel;
    readonly #settings: Settings;
    readonly #guard: RequestGuard;
    readonly #membership: MembershipService;
    readonly #configuration: ConfigurationService;
    readonly #streams: StreamService;
    readonly #shards: ShardService;
    #server: ServerType | undefined;
    #openRequests = 0;
    #publishedLoad = 0;
    #isStopping = false;

    constructor(kernel: Kernel, settings: Settings) {
        this.#kernel = kernel;
        this.#settings = settings;
        this.#membership = kernel.get<MembershipService>("membership");
        this.#configuration = kernel.get<ConfigurationService>("configuration");
        this.#streams = kernel.get<StreamService>("streams");
        this.#shards = kernel.get<ShardService>("shards");
        this.#guard = new RequestGuard({
            clock: kernel.clock,
            configuration: this.#configuration,
            membership: this.#membership,
            metrics: kernel.get<Metrics>("metrics"),
            tracing: kernel.get<Tracing>("tracing"),
            settings,
            isRoutingReady: () => kernel.get<EngineRouter>("routing").isReady(),
        });
    }

    async start(): Promise<void> {
        const [hostname, port] = this.#settings.host.callerAddress.split(":");
        const application = this.#createApplication();
        await new Promise<void>((resolve, reject) => {
            const server = serve({
                fetch: application.fetch,
                ...(hostname === undefined ? {} : { hostname }),
                port: Number(port),
                serverOptions: { maxHeaderSize: this.#settings.limits.headerBytes },
            }, () => resolve());
            server.once("error", reject);
            configureConnections(server);
            this.#server = server;
        });
        this.#kernel.log.write(events.listening, { address: this.#settings.host.callerAddress });
        this.#publishLoad();
    }

    async stop(deadlineMs: number): Promise<void> {
        this.#isStopping = true;
        const server = this.#server;
        invariant(server !== undefined, "The callers' server was stopped before it started.");
        const closed = new Promise<void>(resolve => server.close(() => resolve()));
        const remainingMs = Math.max(0, deadlineMs - this.#kernel.clock.monotonicMs());
        const closeIdle = setInterval(() => (server as Server).closeIdleConnections(), 50);
        await Promise.race([closed, this.#kernel.clock.sleep(remainingMs)]);
        clearInterval(closeIdle);
        (server as Server).closeAllConnections();
    }

    #createApplication(): Hono<{ Bindings: HttpBindings; }> {
        const guard = this.#guard;
        const application = new Hono<{ Bindings: HttpBindings; }>();
        application.use(async (context, next) => {
            this.#openRequests += 1;
            context.env.outgoing.once("close", () => {
                this.#openRequests -= 1;
            });
            await next();
        });
        application.get("/healthz", context => context.json({ healthy: true }));
        application.get("/readyz", context => {
            const refusal = guard.refusal();
            return refusal === undefined ? context.json({ ready: true }) : issueResponse(refusal);
        });
        application.get("/v1/entry-points", context =>
            context.json({
                entryPoints: guard.entryPoints(context.req.query("failureDomain")),
                keepForMs: this.#configuration.head()?.configuration.entryPointKeepMs ?? 2_000,
            }));
        application.post("/v1/chat/completions", context => handleChat(context, guard, this.#streams));
        application.get(
            "/v1/requests/:id",
            context => handleRead(context, guard, { streams: this.#streams, shards: this.#shards }),
        );
        application.all("/v1/services/:name/*", context =>
            handleService(context, guard, {
                shards: this.#shards,
                calls: this.#kernel.get<PlainCalls>("calls"),
                configuration: this.#configuration,
            }));
        this.#addOperatorRoutes(application);
        application.notFound(() =>
            issueResponse(notExecutedIssue(404, "caller.notFound", "No route matches this path.", { path: ["path"] }))
        );
        application.onError(error => {
            this.#kernel.log.write(events.handlerFailed, { error: error.stack ?? String(error) });
            return issueResponse({
                status: 500,
                code: "relay.defect",
                message: "The relay failed with an internal error.",
                executed: "unknown",
            });
        });
        return application;
    }

    #addOperatorRoutes(application: Hono<{ Bindings: HttpBindings; }>): void {
        application.get("/v1/status", context =>
            this.#guard.operatorRefusal(context) ?? context.json(buildStatus({
                membership: this.#membership,
                configuration: this.#configuration,
                shards: this.#shards,
                keyValue: this.#kernel.get<RelayedKeyValueClient>("keyValue"),
                metrics: this.#kernel.get<Metrics>("metrics"),
                openStreams: () => this.#streams.openCount(),
            })));
        application.get("/v1/explain/:id", context =>
            this.#guard.operatorRefusal(context) ??
                context.json({
                    requestId: context.req.param("id"),
                    decisions: this.#kernel.get<Explanations>("explanations").of(context.req.param("id")),
                }));
        application.post("/v1/drain", context => {
            const refused = this.#guard.operatorRefusal(context);
            if (refused !== undefined) {
                return refused;
            }
            this.#kernel.get<Lifecycle>("lifecycle").drain("operator");
            return context.json({ draining: true }, 202);
        });
    }

    #publishLoad(): void {
        if (!this.#isStopping) {
            const metrics = this.#kernel.get<Metrics>("metrics");
            metrics.gauge("requests.open", this.#openRequests);
            metrics.gauge("streams.open", this.#streams.openCount());
            const change = Math.abs(this.#openRequests - this.#publishedLoad);
            if (change > loadChangeRatio * this.#publishedLoad) {
                this.#publishedLoad = this.#openRequests;
                this.#membership.publish(loadGossipName, { openRequests: this.#openRequests });
            }
            const periodMs = Math.max(loadPublishPeriodMs, this.#membership.members().length * loadPublishPeriodPerMemberMs);
            this.#kernel.clock.after(periodMs, () => this.#publishLoad());
        }
    }
}

function configureConnections(server: ServerType): void {
    const httpServer = server as Server;
    httpServer.keepAliveTimeout = keepAliveTimeoutMs;
    httpServer.headersTimeout = requestIdleTimeoutMs;
    httpServer.on("connection", socket => socket.setNoDelay(true));
}
