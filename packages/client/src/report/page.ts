import type { Percentiles, RunResult } from "../demo/record.js";
import { drawBars, drawPoints, escapeText } from "./chart.js";

const style = `body{font:15px system-ui,sans-serif;max-width:820px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:4px 12px;border-bottom:1px solid #ddd;text-align:left}
td.number{text-align:right}figure{margin:2em 0}figcaption{font-weight:600;margin-bottom:.5em}svg{width:100%;height:auto;font-size:12px}
.small{font-size:10px;fill:#555}.legend span{margin-right:1.2em}.legend i{display:inline-block;width:.8em;height:.8em;margin-right:.4em}
.passed{color:#00703c}.failed{color:#b10e1e;font-weight:600}`;

/** Renders a result as one HTML page without references to other files. */
export function renderReport(result: RunResult): string {
    const title = `filbertrelay ${result.command}: ${result.deployment}`;
    return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>${
        escapeText(title)
    }</title><style>${style}</style></head><body>` +
        `<h1>${escapeText(title)}</h1>` +
        `<p>${escapeText(result.startedAt)}, ${(result.durationMs / 1_000).toFixed(1)} s, ${result.requests.length} requests${
            result.seed === undefined ? "" : `, seed ${result.seed}`
        }</p>` +
        renderChecks(result) +
        renderLatency(result) +
        renderOutcomes(result) +
        renderRecomputed(result) +
        renderCost(result) +
        "</body></html>\n";
}

function renderChecks(result: RunResult): string {
    const rows = result.checks.map(check =>
        `<tr><td class="${check.passed ? "passed" : "failed"}">${check.passed ? "passed" : "failed"}</td>` +
        `<td>${escapeText(check.name)}</td><td>${escapeText(check.details)}</td></tr>`
    );
    return `<h2>Checks</h2><table>${rows.join("")}</table>`;
}

function renderLatency(result: RunResult): string {
    const rows = [
        renderPercentiles("Time to first token", result.firstTokenMs),
        renderPercentiles("Between tokens", result.betweenTokensMs),
        renderPercentiles("Service calls", result.serviceMs),
    ];
    const head = "<tr><th>Latency in ms</th><th>p50</th><th>p95</th><th>p99</th><th>maximum</th><th>count</th></tr>";
    const marks = result.events.map(event => ({ x: event.atMs / 1_000, text: event.text.slice(0, 60) }));
    const firstTokens = result.requests.flatMap(request =>
        request.firstTokenMs === undefined ? [] : [{ x: request.atMs / 1_000, y: request.firstTokenMs, series: request.kind }]
    );
    const durations = result.requests.flatMap(request =>
        request.firstTokenMs === undefined ? [{ x: request.atMs / 1_000, y: request.durationMs, series: request.kind }] : []
    );
    return `<h2>Latency</h2><table>${head}${rows.join("")}</table>` +
        drawPoints("Time to first token by time of the request", "ms", firstTokens, marks) +
        drawPoints("Duration of service calls and refused requests by time of the request", "ms", durations, marks);
}

function renderPercentiles(name: string, { p50, p95, p99, maximum, count }: Percentiles): string {
    const cells = [p50, p95, p99, maximum].map(value => `<td class="number">${value.toFixed(1)}</td>`).join("");
    return `<tr><td>${escapeText(name)}</td>${cells}<td class="number">${count}</td></tr>`;
}

function renderOutcomes(result: RunResult): string {
    const kinds = [...new Set(result.outcomes.map(row => row.kind))];
    const bars = kinds.map(kind => ({
        label: kind,
        parts: result.outcomes.filter(row => row.kind === kind).map(row => ({ series: row.outcome, value: row.count })),
    }));
    const executions = result.executions.map(row => ({
        label: `ran ${row.executions} times`,
        parts: [{ series: "idempotency keys", value: row.keys }],
    }));
    return `<h2>Outcomes</h2>${drawBars("Requests by kind and outcome", "requests", bars)}` +
        (executions.length === 0 ? "" : drawBars("Executions per idempotency key", "keys", executions));
}

function renderRecomputed(result: RunResult): string {
    const bars = Object.entries(result.recomputedTokens).map(([cause, value]) => ({
        label: cause,
        parts: [{ series: "tokens", value }],
    }));
    const chart = bars.length === 0 ?
        "<p>No daemon reported recomputed tokens.</p>" :
        drawBars("Tokens recomputed by cause", "tokens", bars);
    return `<h2>Recomputed tokens</h2>${chart}`;
}

function renderCost(result: RunResult): string {
    const domains = [...new Set(result.cost.map(row => row.failureDomain))];
    const bars = domains.map(domain => ({
        label: domain,
        parts: result.cost.filter(row => row.failureDomain === domain).map(row => ({
            series: `${row.role}, ${row.reclaimable ? "reclaimable" : "on demand"}`,
            value: row.cost,
        })),
    }));
    const chart = bars.length === 0 ?
        "<p>The run knows no prices.</p>" :
        drawBars("Cost by failure domain", "thousandths of a cent", bars);
    return `<h2>Cost</h2>${chart}`;
}
