import type { HostCost } from "../fleet/host.js";
import { checkGuarantees } from "./check.js";
import type { Played } from "./player.js";
import type { RunResult } from "./record.js";
import { countExecutions, countOutcomes, summarise } from "./statistic.js";

/** What a result is built from. */
export interface ResultParts {
    readonly deployment: string;
    readonly command: string;
    readonly seed?: number;
    readonly startedAt: Date;
    readonly durationMs: number;
    readonly events: RunResult["events"];
    readonly played: Played;
    /** Executions by idempotency key; absent when the plain services can't be asked. */
    readonly executions?: ReadonlyMap<string, number>;
    readonly recomputedTokens: Readonly<Record<string, number>>;
    readonly cost: readonly HostCost[];
}

/** Builds the result of a demo or replay with its checks. */
export function buildResult(parts: ResultParts): RunResult {
    const { played, executions } = parts;
    const keys = executions === undefined ?
        [] :
        [...played.keys].map(([key, outcomes]) => ({ key, outcomes, executions: executions.get(key) ?? 0 }));
    const strays = executions === undefined ? [] : [...executions.keys()].filter(key => !played.keys.has(key));
    return {
        format: "filbertrelay-result",
        formatVersion: 1,
        deployment: parts.deployment,
        command: parts.command,
        ...(parts.seed === undefined ? {} : { seed: parts.seed }),
        startedAt: parts.startedAt.toISOString(),
        durationMs: parts.durationMs,
        events: [...parts.events],
        requests: [...played.requests],
        outcomes: countOutcomes(played.requests),
        firstTokenMs: summarise(played.firstTokenMs),
        betweenTokensMs: summarise(played.betweenTokensMs),
        serviceMs: summarise(played.serviceMs),
        executions: executions === undefined ? [] : countExecutions(executions, played.keys.keys()),
        recomputedTokens: { ...parts.recomputedTokens },
        cost: [...parts.cost],
        checks: checkGuarantees(keys, played.answers, strays),
    };
}
