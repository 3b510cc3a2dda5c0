/** Answers of one version on one route. */
export interface RouteTally {
    readonly answers: number;
    /** Answers that were errors. Included in `answers`. */
    readonly failures: number;
    /** Requests whose connection was lost, as by a crash. Not included in `answers`. */
    readonly lost: number;
    /** Endpoints that lost a request, up to `lostEndpointLimit`. */
    readonly lostEndpoints: readonly string[];
    /** Number of answers by duration; see `durationBucket`. */
    readonly durations: Readonly<Record<string, number>>;
}

/** Answers of one version, by route. */
export type VersionTally = Readonly<Record<string, RouteTally>>;

/** One answer, or a request that got none. */
export interface RequestResult {
    readonly type: "answered" | "failed" | "lost";
    readonly endpointId: string;
    /** Time to the first event of a stream, or to the whole of another answer, in milliseconds. */
    readonly durationMs: number;
}

/** Buckets by which a duration doubles. */
const bucketsPerDoubling = 2;
/** More endpoints than this tell nothing more. */
const lostEndpointLimit = 8;

export const emptyRouteTally: RouteTally = { answers: 0, failures: 0, lost: 0, lostEndpoints: [], durations: {} };

/** The bucket of a duration, on a logarithmic scale. */
export function durationBucket(durationMs: number): number {
    return Math.round(Math.log2(Math.max(1, durationMs)) * bucketsPerDoubling);
}

/** Number of buckets by which a duration differs that is `factor` times as long. */
export function bucketsOfFactor(factor: number): number {
    return Math.round(Math.log2(factor) * bucketsPerDoubling);
}

/** Adds a result to a tally. */
export function addResult(tally: RouteTally, { type, endpointId, durationMs }: RequestResult): RouteTally {
    if (type === "lost") {
        return { ...tally, lost: tally.lost + 1, lostEndpoints: mergeEndpoints(tally.lostEndpoints, [endpointId]) };
    }
    const bucket = durationBucket(durationMs);
    return {
        ...tally,
        answers: tally.answers + 1,
        failures: tally.failures + (type === "failed" ? 1 : 0),
        durations: { ...tally.durations, [bucket]: (tally.durations[bucket] ?? 0) + 1 },
    };
}

/** Adds up the tallies of several hosts. */
export function addTallies(tallies: readonly VersionTally[]): VersionTally {
    const sum: Record<string, RouteTally> = {};
    for (const [route, tally] of tallies.flatMap(byRoute => Object.entries(byRoute))) {
        const known = sum[route] ?? emptyRouteTally;
        sum[route] = {
            answers: known.answers + tally.answers,
            failures: known.failures + tally.failures,
            lost: known.lost + tally.lost,
            lostEndpoints: mergeEndpoints(known.lostEndpoints, tally.lostEndpoints),
            durations: combine(known.durations, tally.durations, (left, right) => left + right),
        };
    }
    return sum;
}

/** What was added since an earlier tally; the lost endpoints are those of the whole time. */
export function subtractTally(later: VersionTally, earlier: VersionTally): VersionTally {
    return Object.fromEntries(
        Object.entries(later).map(([route, tally]) => {
            const known = earlier[route] ?? emptyRouteTally;
            return [route, {
                answers: Math.max(0, tally.answers - known.answers),
                failures: Math.max(0, tally.failures - known.failures),
                lost: Math.max(0, tally.lost - known.lost),
                lostEndpoints: tally.lostEndpoints,
                durations: combine(tally.durations, known.durations, (left, right) => Math.max(0, left - right)),
            }];
        }),
    );
}

/** The bucket in which the median of the durations lies; `undefined` without any. */
export function medianBucket({ durations }: RouteTally): number | undefined {
    const sorted = Object.entries(durations).map(([bucket, count]) => [Number(bucket), count] as const)
        .sort(([left], [right]) => left - right);
    let left = sorted.reduce((total, [, count]) => total + count, 0) / 2;
    return sorted.find(([, count]) => (left -= count) < 0)?.[0];
}

/** Number of answers in a bucket or a later one. */
export function countFrom({ durations }: RouteTally, fromBucket: number): number {
    return Object.entries(durations).reduce((total, [bucket, count]) => total + (Number(bucket) >= fromBucket ? count : 0), 0);
}

function mergeEndpoints(left: readonly string[], right: readonly string[]): readonly string[] {
    return [...new Set([...left, ...right])].slice(0, lostEndpointLimit);
}

function combine(
    left: Readonly<Record<string, number>>,
    right: Readonly<Record<string, number>>,
    operation: (left: number, right: number) => number,
): Readonly<Record<string, number>> {
    const buckets = new Set([...Object.keys(left), ...Object.keys(right)]);
    return Object.fromEntries([...buckets].map(bucket => [bucket, operation(left[bucket] ?? 0, right[bucket] ?? 0)]));
}
