/** What a measured process tells its launcher; times are wall-clock milliseconds of the one machine. */
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

/** What the launcher asks of a measured process. */
export type NodeCommand = { readonly kind: "leave" | "usage"; } | { readonly kind: "version"; readonly version: number; };

/** Describes delays in seconds as 50% / 99% / max (count). */
export function describeDelays(values: readonly number[] = []): string {
    const sorted = [...values].sort((left, right) => left - right);
    const at = (share: number) => ((sorted[Math.ceil(share * sorted.length) - 1] ?? Number.NaN) / 1_000).toFixed(2);
    return `${at(0.5)} / ${at(0.99)} / ${at(1)} (${sorted.length})`;
}

/** Prints a Markdown table; the first row is the head. */
export function printTable(rows: readonly (readonly string[])[]): void {
    const [head = [], ...body] = rows;
    const lines = [head, head.map(() => "---"), ...body];
    lines.forEach(cells => console.log(`| ${cells.join(" | ")} |`));
    console.log("");
}
