import { SharedFindings } from "@filbertrelay/ingress";
import type { HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy";

/** Creates the findings of a host that has none. */
export function createTestFindings(hostId: HostId): SharedFindings {
    return new SharedFindings({
        quarantine: policy.createQuarantine({ isTrialHost: () => true }),
        limits: policy.createEndpointLimits({ hostId, listHosts: () => [] }),
        runs: new policy.EndpointRuns(4_800),
        paces: policy.createEndpointPaces({ hostId, listHosts: () => [], onChange: () => undefined }),
        reach: policy.createEndpointReach({ hostId, onChange: () => undefined, listHosts: () => [] }),
        rooms: policy.createEndpointRooms({
            hostId,
            listHosts: () => [],
            observe: () => () => ({ running: 0, ownRunning: 0, tokensAhead: 0, waitingTokens: 0 }),
            onChange: () => undefined,
            onJoin: () => undefined,
            onCount: () => undefined,
        }),
        finals: new policy.FinalCounts(),
    });
}
