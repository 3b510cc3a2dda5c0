import { Then, When } from "@cucumber/cucumber";
import { AttemptPlanner, LinkRouter } from "@filbertrelay/ingress";
import type { AdmittedRequest, RequestContext, StreamContinuation } from "@filbertrelay/ingress";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy/ingress";
import assert from "node:assert/strict";
import { describeEndpoint } from "../support/relayhost.js";

interface WaysWorld {
    ways: number;
    /** At the loads of other hosts. */
    looks: number;
    hosts: number;
    /** Times at which the work of the request was counted. */
    works: number;
}

const clock = createSystemClock();
const homeDomain = brandAs<FailureDomainId>("zone-a");
/** More than any request should need. */
const mostWays = 1_000;

function createContext(world: WaysWorld, endpointCount: number, hostCount: number): RequestContext {
    world.looks = 0;
    world.works = 0;
    const endpoints = Array.from({ length: endpointCount }, (_, index) => ({
        ...describeEndpoint({ address: "127.0.0.1:1" }),
        endpointId: brandAs<EndpointId>(`records-${index}`),
    }));
    const hosts = Array.from({ length: hostCount }, (_, index) => ({
        hostId: brandAs<HostId>(`host-${index}`),
        failureDomain: homeDomain,
    }));
    const router = new LinkRouter({
        clock,
        homeDomain,
        reach: { wayTo: () => "relay", strandedHosts: () => new Set<HostId>() },
        connections: { hasIdle: () => false },
        links: {
            inProgress: () => {
                world.looks += 1;
                return 0;
            },
            pauseMs: () => 0,
        },
        listPeers: () => hosts,
    });
    return {
        clock,
        homeDomain,
        router,
        endpoints: { usable: () => endpoints },
        notices: policy.createEndpointNotices(),
        limits: { isOpen: () => true },
        quarantine: policy.createQuarantine({ isTrialHost: () => true }),
        rollouts: { select: (_: string, open: unknown) => open },
        rooms: { select: (_: string, open: unknown) => open },
        health: policy.createEndpointHealth(),
        loads: policy.createLoadTracker(),
        paces: { allowance: () => Infinity },
        promptCaches: policy.createPromptCacheModel(0),
        timings: policy.createServiceTimings(),
        demand: { recordWork: () => void (world.works += 1) },
        stopLeftMs: () => Infinity,
    } as unknown as RequestContext;
}

function createPlanner(world: WaysWorld, endpoints: number, hosts: number): AttemptPlanner {
    const request = {
        requestId: "request",
        service: "records",
        description: { prompt: { parts: [], inputTokens: 100, outputTokens: 10 } },
        route: { name: "records", kind: "unsafe", priority: 3, objectiveMs: 1_000, maximumAttempts: 1 },
        deadlineMs: clock.monotonicMs() + 5_000,
    } as unknown as AdmittedRequest;
    const continuation = { isBound: false, accepts: () => true } as unknown as StreamContinuation;
    const traits = { parts: [], content: () => policy.contentTrait("order") };
    return new AttemptPlanner(createContext(world, endpoints, hosts), request, continuation, traits);
}

When(
    /^a request(?: with a prompt)? finds no way to (\d+) endpoints through (\d+) hosts that refuse it$/,
    function(this: WaysWorld, endpoints: string, hosts: string) {
        const planner = createPlanner(this, Number(endpoints), Number(hosts));
        this.ways = 0;
        for (let plan = planner.plan(); plan.type === "ready" && this.ways < mostWays; plan = planner.plan()) {
            this.ways += 1;
            planner.recordSent(plan.selected.endpoint);
            planner.recordUnreached(plan.selected.endpoint, plan.selected.way);
        }
    },
);

When(
    "the way of a request to one of {int} endpoints through one of {int} hosts is chosen",
    function(this: WaysWorld, endpoints: number, hosts: number) {
        assert.equal(createPlanner(this, endpoints, hosts).plan().type, "ready");
        this.hosts = hosts;
    },
);

Then("each host's load was looked at once", function(this: WaysWorld) {
    assert.equal(this.looks, this.hosts);
});

Then("its prompt counted as demand once", function(this: WaysWorld) {
    assert.ok(this.ways > 1);
    assert.equal(this.works, 1);
});

Then("it was sent to at most {int} hosts", function(this: WaysWorld, most: number) {
    assert.ok(this.ways > 0 && this.ways <= most, `${this.ways} hosts`);
});
