/** A stream on an engine whose host is being reclaimed. */
export interface ReclaimedStream {
    readonly requestId: string;
    readonly promptTokens: number;
    readonly generatedTokens: number;
    /** Expected time until the stream completes; bounded above by its token limit. */
    readonly remainingMs: number;
    /** Leading context tokens that the best other engine has cached already. */
    readonly cachedElsewhereTokens: number;
}

/** The action for one stream. */
export interface ReclaimStep {
    readonly requestId: string;
    readonly action: "finish" | "move" | "reprefill";
    /** Start of a move in milliseconds after the notice; 0 for other actions. */
    readonly startMs: number;
    /** Tokens recomputed for this stream. */
    readonly recomputedTokens: number;
}

/** Steps of a reclaim with token counts by action. */
export interface ReclaimPlan {
    /** Moves in order of execution, then the streams that finish, then those that are recomputed. */
    readonly steps: readonly ReclaimStep[];
    readonly tokens: { readonly finished: number; readonly moved: number; readonly recomputed: number; };
}

/** Options of `planEngineReclaim`. */
export interface ReclaimOptions {
    /** Time until the host is terminated. */
    readonly noticeMs: number;
    /** Part of the notice reserved for delayed commands and clock differences; 500 ms by default. */
    readonly reserveMs?: number;
    /** Fixed time per move in addition to the transfer. */
    readonly moveOverheadMs: number;
    readonly moveTokensPerSecond: number;
    readonly prefillTokensPerSecond: number;
    /** Number of concurrent moves, each at the full rate; 1 by default. */
    readonly parallelMoves?: number;
}

/**
 * Plans the action for each stream of a reclaimed engine. Streams that finish within the notice stay. For the others, the KV
 * cache is moved in order of recomputation time saved per transfer time, as far as the notice allows; the rest are recomputed
 * on other engines.
 */
export function planEngineReclaim(streams: readonly ReclaimedStream[], options: ReclaimOptions): ReclaimPlan {
    const availableMs = Math.max(0, options.noticeMs - (options.reserveMs ?? 500));
    const finishing = streams.filter(stream => stream.remainingMs <= availableMs);
    const others = streams.filter(stream => stream.remainingMs > availableMs);
    const ordered = [...others].sort((left, right) => savingRate(right, options) - savingRate(left, options));
    const lanes = new Array<number>(Math.max(1, options.parallelMoves ?? 1)).fill(0);
    const moves: ReclaimStep[] = [];
    const rest: ReclaimStep[] = [];
    for (const stream of ordered) {
        const lane = lanes.indexOf(Math.min(...lanes));
        const startMs = lanes[lane] ?? 0;
        const endMs = startMs + moveMs(stream, options);
        if (endMs <= availableMs && savedTokens(stream) > 0) {
            lanes[lane] = endMs;
            moves.push({ requestId: stream.requestId, action: "move", startMs, recomputedTokens: 0 });
        }
        else {
            rest.push({ requestId: stream.requestId, action: "reprefill", startMs: 0, recomputedTokens: savedTokens(stream) });
        }
    }
    const kept = finishing.map((stream): ReclaimStep => ({
        requestId: stream.requestId,
        action: "finish",
        startMs: 0,
        recomputedTokens: 0,
    }));
    const moved = new Set(moves.map(step => step.requestId));
    return {
        steps: [...moves, ...kept, ...rest],
        tokens: {
            finished: sumTokens(finishing),
            moved: sumTokens(others.filter(stream => moved.has(stream.requestId))),
            recomputed: rest.reduce((sum, step) => sum + step.recomputedTokens, 0),
        },
    };
}

function contextTokens(stream: ReclaimedStream): number {
    return stream.promptTokens + stream.generatedTokens;
}

function savedTokens(stream: ReclaimedStream): number {
    return Math.max(0, contextTokens(stream) - stream.cachedElsewhereTokens);
}

function moveMs(stream: ReclaimedStream, options: ReclaimOptions): number {
    return options.moveOverheadMs + 1000 * contextTokens(stream) / options.moveTokensPerSecond;
}

/** Milliseconds of recomputation saved per millisecond of transfer. */
function savingRate(stream: ReclaimedStream, options: ReclaimOptions): number {
    return 1000 * savedTokens(stream) / options.prefillTokensPerSecond / moveMs(stream, options);
}

function sumTokens(streams: readonly ReclaimedStream[]): number {
    return streams.reduce((sum, stream) => sum + contextTokens(stream), 0);
}
