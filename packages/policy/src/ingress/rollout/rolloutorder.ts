import type { Issue } from "@filbertrelay/kernel";

/** An operator's order to move the requests of a service to endpoints of a software version. */
export interface RolloutOrder {
    readonly service: string;
    /** The software version that shall serve. */
    readonly target: string;
    /** Time from the order within which the roll-out must have ended. */
    readonly durationMs: number;
}

/** Why an order is not carried out. */
export interface RolloutOrderIssue extends Issue {
    readonly code: "rollout.unknownService" | "rollout.noTarget" | "rollout.alreadyRunning" | "rollout.tooShort";
    readonly field: "service" | "target" | "duration";
}

/** What an order is checked against. */
export interface RolloutCircumstances {
    readonly services: readonly string[];
    /** Software versions that served before the order. */
    readonly runningVersions: ReadonlySet<string>;
    /** Time that new endpoints take to start. */
    readonly startMs: number;
}

/** Time after the start of the endpoints in which samples can be taken and the remaining requests be moved. */
const shortestProofMs = 6_000;

/** Returns why an order can't be carried out; `undefined` if it can. */
export function checkRolloutOrder(
    { service, target, durationMs }: RolloutOrder,
    { services, runningVersions, startMs }: RolloutCircumstances,
): RolloutOrderIssue | undefined {
    if (!services.includes(service)) {
        return { code: "rollout.unknownService", field: "service", message: `No service is named ${service}.` };
    }
    if (target === "") {
        return { code: "rollout.noTarget", field: "target", message: "The order names no version." };
    }
    if (runningVersions.has(target)) {
        return { code: "rollout.alreadyRunning", field: "target", message: `Version ${target} serves already.` };
    }
    if (durationMs < startMs + shortestProofMs) {
        const needed = startMs + shortestProofMs;
        return { code: "rollout.tooShort", field: "duration", message: `A proof takes ${needed} ms, not ${durationMs} ms.` };
    }
    return undefined;
}
