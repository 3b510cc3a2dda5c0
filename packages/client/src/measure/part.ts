import { brandAs } from "@filbertrelay/kernel";
import type { CustomerId, EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import {
    chooseEndpoint,
    computeSubset,
    createAdmission,
    createLoadTable,
    createPrefixIndex,
    describeCandidates,
    hashPrefixBlocks,
} from "@filbertrelay/policy";
import { fitSlope, measureHeap, timeCall } from "./slope.js";
import type { Slope } from "./slope.js";

const promptCharacters = 8_000;
const rounds = 2_000;
const domains = 10;

function endpointIds(count: number): readonly { readonly endpointId: EndpointId; readonly failureDomain: FailureDomainId; }[] {
    return Array.from({ length: count }, (...[, index]) => ({
        endpointId: brandAs<EndpointId>(`engine-${index}`),
        failureDomain: brandAs<FailureDomainId>(`domain-${index % domains}`),
    }));
}

/** Microseconds to choose an engine, against the number of engines that one host considers. */
export function measureChoice(): Slope {
    const prompt = hashPrefixBlocks([{ role: "user", content: "x".repeat(promptCharacters) }]);
    return fitSlope([12, 32, 100, 300].map(size => {
        const index = createPrefixIndex();
        const loads = createLoadTable();
        const endpoints = endpointIds(size);
        endpoints.forEach(({ endpointId }) => index.recordDispatch(endpointId, prompt.blocks));
        const now = new Date();
        const cost = timeCall(rounds, () => {
            chooseEndpoint(prompt, describeCandidates(endpoints, prompt, index, loads, now), {
                weights: { latency: 1, cost: 1 },
            });
        });
        return { size, cost };
    }));
}

/** Microseconds to compute a host's subset, against all engines of the fleet; done when the list of engines changes. */
export function measureSubset(): Slope {
    return fitSlope([500, 2_000, 7_700].map(size => {
        const endpoints = endpointIds(size);
        const cost = timeCall(20, round => {
            computeSubset(`host-${round}`, endpoints, endpoint => endpoint.endpointId, { size: 32 });
        });
        return { size, cost };
    }));
}

/** Microseconds to hash a prompt, against its characters. */
export function measureHashing(): Slope {
    return fitSlope([1_000, 8_000, 32_000].map(size => {
        const content = "lime wash ".repeat(size / 10);
        return { size, cost: timeCall(rounds, () => void hashPrefixBlocks([{ role: "user", content }])) };
    }));
}

/** Microseconds to admit and finish a request, against the number of customers that have requests in progress. */
export function measureAdmission(): Slope {
    return fitSlope([5, 50, 200].map(size => {
        const customers = Array.from({ length: size }, (...[, index]) => ({
            customer: brandAs<CustomerId>(`customer-${index}`),
            weight: 1,
            concurrencyLimit: 1_000,
        }));
        const admission = createAdmission({ hostId: brandAs<HostId>("host"), customers, capacity: 100_000 });
        customers.forEach(({ customer }, index) => {
            admission.request({ requestId: `open-${index}`, customer, priority: 1, deadlineMs: 1e9, expectedFirstTokenMs: 1 }, 0);
        });
        const cost = timeCall(rounds, round => {
            const requestId = `request-${round}`;
            admission.request({
                requestId,
                customer: brandAs<CustomerId>("customer-0"),
                priority: 1,
                deadlineMs: 1e9,
                expectedFirstTokenMs: 1,
            }, 0);
            admission.finish(requestId, 1);
        });
        return { size, cost };
    }));
}

/** Bytes of heap per block in the prefix index. */
export function measureIndexBytes(): number {
    const size = 50_000;
    return measureHeap(size, count => {
        const index = createPrefixIndex({ maximumBlocks: count });
        const blocks = Array.from({ length: count }, (...[, position]) => position.toString(16).padStart(16, "0"));
        index.recordDispatch(brandAs<EndpointId>("engine"), blocks);
        return index;
    });
}

/** Bytes of heap per token of an answer that a host keeps. */
export function measureTokenBytes(): number {
    return measureHeap(200_000, count => Array.from({ length: count }, (...[, position]) => ` token${position}`));
}
