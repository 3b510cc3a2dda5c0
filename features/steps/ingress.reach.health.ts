import { After, Given, Then, When } from "@cucumber/cucumber";
import { LinkRouter, RequestTask } from "@filbertrelay/ingress";
import type { AdmittedRequest, AttemptOptions, CallerResponder, RequestContext } from "@filbertrelay/ingress";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import { createPlatformDialect } from "@filbertrelay/platform";
import * as policy from "@filbertrelay/policy/ingress";
import assert from "node:assert/strict";
import { describeEndpoint } from "../support/relayhost.js";

interface HealthWorld {
    health: policy.EndpointHealth;
    /** Where the request was sent. */
    sent: AttemptOptions["endpoint"][];
    cut: EndpointId | undefined;
    task: RequestTask;
    /** Ends the request, as its caller does. */
    leave: () => void;
}

const clock = createSystemClock();
const homeDomain = brandAs<FailureDomainId>("zone-a");
const timeLimitMs = 5_000;
const endpoints = [0, 1].map(index => ({
    ...describeEndpoint({ address: "127.0.0.1:1" }),
    endpointId: brandAs<EndpointId>(`records-${index}`),
}));

function createContext(world: HealthWorld): RequestContext {
    const nothing = (): void => undefined;
    const wayTo = ({ endpointId }: { readonly endpointId: EndpointId; }) => endpointId === world.cut ? "relay" : "direct";
    const open = (endpoint: AttemptOptions["endpoint"]) => ({
        isReused: false,
        isRelayed: false,
        send: () => void world.sent.push(endpoint),
        close: nothing,
    });
    return {
        clock,
        fleetClock: policy.createFleetClock({ clock }),
        log: { write: nothing },
        metrics: { recordRequest: nothing, recordInternalError: nothing },
        dialect: createPlatformDialect(),
        homeDomain,
        endpointReach: { wayTo },
        router: new LinkRouter({
            clock,
            homeDomain,
            reach: { wayTo, strandedHosts: () => new Set<HostId>() },
            connections: { hasIdle: () => false },
            links: { inProgress: () => 0, pauseMs: () => 0 },
            listPeers: () => [],
        }),
        links: { open },
        linkMonitor: { isSuspected: () => true, whenConfirmed: nothing },
        answerMemory: new policy.AnswerMemory({ totalBytes: 1_000_000, endpointBytes: 1_000_000 }),
        endpoints: { usable: () => endpoints },
        notices: policy.createEndpointNotices(),
        limits: { isOpen: () => true, recordSend: nothing },
        quarantine: policy.createQuarantine({ isTrialHost: () => true }),
        rollouts: { select: (_: string, listed: unknown) => listed, recordSent: nothing, recordResult: nothing },
        rooms: { select: (_: string, listed: unknown) => listed, recordSend: nothing },
        health: world.health,
        loads: policy.createLoadTracker(),
        paces: { allowance: () => Infinity, recordSend: nothing, recordSetback: nothing },
        promptCaches: policy.createPromptCacheModel(0),
        timings: policy.createServiceTimings(),
        demand: policy.createDemandMeter(),
        retryBudget: { recordRequest: nothing, tryRetry: () => true },
        reach: () => ({ knownHosts: 1, reachableHosts: 1 }),
        stopLeftMs: () => Infinity,
        streamPauseMs: 0,
    } as unknown as RequestContext;
}

Given("a request in progress at one of 2 endpoints", function(this: HealthWorld) {
    this.health = policy.createEndpointHealth();
    this.sent = [];
    const nowMs = clock.monotonicMs();
    const request = {
        caller: {
            method: "GET",
            target: "/records/item",
            hostname: "shop.example",
            headers: [],
            body: Buffer.alloc(0),
            arrivedMs: nowMs,
        },
        description: {},
        requestId: "request",
        route: { name: "records", kind: "idempotent", priority: 3, objectiveMs: timeLimitMs, timeLimitMs, maximumAttempts: 2 },
        service: "records",
        customer: undefined,
        chargedUnits: 1,
        configurationVersion: 1,
        deadlineMs: nowMs + timeLimitMs,
    } as unknown as AdmittedRequest;
    const responder = {
        onDisconnect: (callback: () => void) => this.leave = callback,
        onDrain: () => undefined,
    } as unknown as CallerResponder;
    this.task = new RequestTask(createContext(this), request, responder, () => undefined);
    this.task.start();
    assert.equal(this.sent.length, 1);
});

After(function(this: Partial<HealthWorld>) {
    this.leave?.();
});

When("the host loses its link to that endpoint", function(this: HealthWorld) {
    this.cut = this.sent[0]!.endpointId;
    this.task.leaveCutLink();
});

Then("the request goes on at the other endpoint", function(this: HealthWorld) {
    assert.deepEqual(new Set(this.sent), new Set(endpoints));
    assert.equal(this.sent.length, 2);
});

Then("no failure counts against the first one", function(this: HealthWorld) {
    const { endpointId } = this.sent[0]!;
    assert.equal(this.health.failureRatio(endpointId, clock.monotonicMs()), 0);
    assert.equal(this.health.isQuarantined(endpointId, clock.monotonicMs()), false);
});
