/** A message from a measured process to its launcher; all processes share one machine's wall clock, in milliseconds. */
export type NodeReport =
    | { readonly kind: "started"; readonly address: string; }
    | { readonly kind: "change"; readonly hostId: string; readonly state: string; readonly timeMs: number; }
    | { readonly kind: "version"; readonly version: number; readonly timeMs: number; }
    | {
        readonly kind: "usage";
        readonly timeMs: number;
        readonly processorMs: number;
        readonly residentBytes: number;
        /** Frames and their bytes, sent and received together. */
        readonly frames: number;
        readonly bytes: number;
    };

/** A command from the launcher to a measured process. */
export type NodeCommand = { readonly kind: "leave" | "usage"; } | { readonly kind: "version"; readonly version: number; };

/** Formats delays in seconds as 50% / 99% / max (count). */
export function formatDelays(values: readonly number[] = []): string {
    const sorted = [...values].sort((left, right) => left - right);
    const quantile = (share: number) => ((sorted[Math.ceil(share * sorted.length) - 1] ?? Number.NaN) / 1_000).toFixed(2);
    return `${quantile(0.5)} / ${quantile(0.99)} / ${quantile(1)} (${sorted.length})`;
}

/** Prints a Markdown table; the first row is the header. */
export function printTable(rows: readonly (readonly string[])[]): void {
    const [header = [], ...body] = rows;
    const lines = [header, header.map(() => "---"), ...body];
    lines.forEach(cells => console.log(`| ${cells.join(" | ")} |`));
    console.log("");
}
