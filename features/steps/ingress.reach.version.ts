import { After, Given, Then, When } from "@cucumber/cucumber";
import { Attempt, LinkMonitor, RequestBoundary } from "@filbertrelay/ingress";
import type { EndpointRecord, EndpointResponseHandler, RequestContext } from "@filbertrelay/ingress";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import { createPlatformDialect } from "@filbertrelay/platform";
import * as policy from "@filbertrelay/policy/ingress";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { describeEndpoint } from "../support/relayhost.js";

interface VersionWorld {
    reach: policy.EndpointReach;
    linkMonitor: LinkMonitor;
    results: string[];
}

const clock = createSystemClock();
const objectiveMs = 1_000;
/** Longer than a silence that counts as one. */
const slowMs = 500;

function createEndpoint(index: number, zone: string): EndpointRecord {
    return {
        ...describeEndpoint({ address: "127.0.0.1:1" }, `records-${index}`),
        endpointId: brandAs<EndpointId>(`records-${index}`),
        failureDomain: brandAs<FailureDomainId>(zone),
    };
}

const [broken, neighbour] = [createEndpoint(0, "zone-a"), createEndpoint(1, "zone-a")] as const;
const slow = [createEndpoint(2, "zone-b"), createEndpoint(3, "zone-b")];

Given("a host that waits for slow prompts in another failure domain", async function(this: VersionWorld) {
    this.results = [];
    this.reach = policy.createEndpointReach({
        hostId: brandAs<HostId>("host"),
        listHosts: () => [],
        onChange: () => undefined,
    });
    this.linkMonitor = new LinkMonitor({
        clock,
        reach: this.reach,
        listEndpoints: () => [broken, neighbour, ...slow],
        isLeaving: () => false,
        probe: () => Promise.resolve("silent"),
        onCheck: () => this.reach.recordHeard(neighbour, clock.monotonicMs()),
    });
    await this.linkMonitor.start();
    slow.forEach(endpoint => this.linkMonitor.sent(endpoint.endpointId, endpoint));
    await delay(slowMs);
});

After(async function(this: Partial<VersionWorld>) {
    await this.linkMonitor?.stop();
});

/** Sends a request to the endpoint, which breaks it off. */
function breakOff(world: VersionWorld): void {
    const nowMs = clock.monotonicMs();
    const handlers: EndpointResponseHandler[] = [];
    const send = (_: unknown, handler: EndpointResponseHandler): void => void handlers.push(handler);
    const context = {
        clock,
        fleetClock: policy.createFleetClock({ clock }),
        dialect: createPlatformDialect(),
        answerMemory: new policy.AnswerMemory({ totalBytes: 1_000_000, endpointBytes: 1_000_000 }),
        streamPauseMs: 0,
        loads: policy.createLoadTracker(),
        timings: policy.createServiceTimings(),
        links: { open: () => ({ isReused: false, isRelayed: false, send, close: () => undefined }) },
        limits: { recordSend: () => undefined },
        paces: { recordSend: () => undefined, recordSetback: () => undefined },
        rooms: { recordSend: () => undefined },
        health: policy.createEndpointHealth(),
        linkMonitor: world.linkMonitor,
        rollouts: {
            recordSent: () => undefined,
            recordResult: (_: unknown, { type }: { readonly type: string; }) => void world.results.push(type),
        },
    } as unknown as RequestContext;
    const attempt = new Attempt(context, {
        requestId: "request",
        number: 1,
        route: "records",
        endpoint: broken,
        priority: 0,
        tokens: 0,
        isEndpointIdle: false,
        objectiveMs,
        maximumIdleMs: Infinity,
        remainingMs: objectiveMs,
        way: { type: "direct" },
        isStream: false,
        isTrial: false,
    }, { method: "GET", target: "/", headers: [], body: Buffer.alloc(0) });
    const boundary = new RequestBoundary(error => assert.fail(String(error)));
    attempt.start(boundary, { onStreamBytes: () => undefined, onEnd: () => undefined });
    world.reach.recordHeard(broken, nowMs - 1);
    world.linkMonitor.lost(broken);
    handlers[0]!.onFailure({ reason: "reset", wasSent: true, detail: "ECONNRESET", isRefused: false });
}

When("an endpoint breaks off a request and nothing else happens", function(this: VersionWorld) {
    breakOff(this);
});

When("an endpoint breaks off a request and other hosts go on hearing it and its group", async function(this: VersionWorld) {
    breakOff(this);
    this.linkMonitor.connectFailed(broken);
    this.linkMonitor.connectFailed(neighbour);
    await delay(200);
    const answers = Object.fromEntries(
        [broken, neighbour].map(({ endpointId, startedAtMs }) => [policy.createCrashId(endpointId, startedAtMs), 0]),
    );
    this.reach.merge({ answers }, clock.monotonicMs(), 0);
});

Then("within {int} ms its version has {int} lost requests", async function(this: VersionWorld, ms: number, count: number) {
    await delay(ms);
    assert.deepEqual(this.results, Array.from({ length: count }, () => "lost"));
});
