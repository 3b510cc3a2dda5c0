import type { Percentiles, RunResult } from "./record.js";

/** Writes a result as lines for a reader. */
export function formatSummary(result: RunResult): string[] {
    return [
        `Deployment '${result.deployment}', ${result.requests.length} requests in ${seconds(result.durationMs)}`,
        "",
        "Events",
        ...result.events.map(event => `  ${seconds(event.atMs).padStart(8)}  ${event.text}`),
        "",
        "Requests by kind and outcome",
        ...result.outcomes.map(row => `  ${row.kind.padEnd(24)} ${row.outcome.padEnd(12)} ${String(row.count).padStart(6)}`),
        "",
        "Latency in ms                  p50       p95       p99   maximum     count",
        formatPercentiles("Time to first token", result.firstTokenMs),
        formatPercentiles("Between tokens", result.betweenTokensMs),
        formatPercentiles("Service calls", result.serviceMs),
        "",
        "Executions per idempotency key",
        ...result.executions.map(row => `  ran ${row.executions} times: ${row.keys} keys`),
        "",
        "Tokens recomputed by cause",
        ...formatRecomputed(result.recomputedTokens),
        "",
        "Cost by failure domain, in thousandths of a cent",
        ...result.cost.map(formatCost),
        `  ${"total".padEnd(18)} ${result.cost.reduce((sum, row) => sum + row.cost, 0).toFixed(1)}`,
        "",
        "Checks",
        ...result.checks.map(check => `  ${check.passed ? "passed" : "FAILED"}  ${check.name} (${check.details})`),
    ];
}

/** True if every check passed. */
export function isPassed(result: RunResult): boolean {
    return result.checks.length > 0 && result.checks.every(check => check.passed);
}

function formatPercentiles(name: string, { p50, p95, p99, maximum, count }: Percentiles): string {
    const cells = [p50, p95, p99, maximum].map(value => value.toFixed(1).padStart(10));
    return `  ${name.padEnd(22)}${cells.join("")}${String(count).padStart(10)}`;
}

function formatRecomputed(recomputed: RunResult["recomputedTokens"]): string[] {
    const rows = Object.entries(recomputed);
    return rows.length === 0 ? ["  none reported"] : rows.map(([cause, tokens]) => `  ${cause.padEnd(40)} ${tokens}`);
}

function formatCost(row: RunResult["cost"][number]): string {
    const market = row.reclaimable ? "reclaimable" : "on demand";
    return `  ${row.failureDomain.padEnd(18)} ${row.role.padEnd(8)} ${market.padEnd(12)} ${String(row.hosts).padStart(3)} hosts ${
        row.cost.toFixed(1)
    }`;
}

function seconds(ms: number): string {
    return `${(ms / 1_000).toFixed(1)} s`;
}
