/** Renders rows as a Markdown table; the first row is the heading. */
export function formatTable(rows: readonly (readonly (string | number)[])[]): string {
    const cells = rows.map(row => row.map(cell => typeof cell === "number" ? formatNumber(cell) : cell));
    const widths = Array.from((cells[0] ?? []).keys(), column => Math.max(...cells.map(row => (row[column] ?? "").length)));
    const lines = cells.map(row => `| ${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(" | ")} |`);
    const separator = `| ${widths.map(width => "-".repeat(width)).join(" | ")} |`;
    return [lines[0], separator, ...lines.slice(1)].join("\n");
}

/** Whole numbers from 100 on, two decimals below. */
function formatNumber(value: number): string {
    if (Number.isInteger(value) || Math.abs(value) >= 100) {
        return String(Math.round(value));
    }
    return value.toFixed(2);
}

/** The value below which the given part of the values lies; 0 for no values. */
export function percentile(values: readonly number[], part: number): number {
    const ordered = [...values].sort((left, right) => left - right);
    return ordered[Math.min(ordered.length - 1, Math.ceil(part * ordered.length) - 1)] ?? 0;
}
