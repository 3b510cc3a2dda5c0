import { createServiceTimings, decideStart } from "@filbertrelay/policy";

/** A service as one host sees it; times in milliseconds. */
export interface TrialDay {
    readonly draw: () => number;
    readonly meanIntervalMs: number;
    /** Time that the service takes for a request that is sent at a time. */
    readonly workMs: (sentMs: number) => number;
    readonly durationMs: number;
    /** A time without requests; none by default. */
    readonly quiet?: { readonly fromMs: number; readonly untilMs: number; };
}

/** What became of a request. */
export interface TrialRequest {
    readonly sentMs: number;
    readonly isStarted: boolean;
    /** Requests that were in progress when it was started or refused. */
    readonly inProgress: number;
}

const service = "records";
/** Latency objective of the simulated requests. */
export const objectiveMs = 500;
const timeLimitMs = 1_500;
const expectedStartMs = 25;

/** Plays requests of one host to one service and returns them in the order in which they arrived. */
export function playTrials({ draw, meanIntervalMs, workMs, durationMs, quiet }: TrialDay): readonly TrialRequest[] {
    const timings = createServiceTimings();
    const requests: TrialRequest[] = [];
    let open: { readonly endMs: number; readonly end: () => void; }[] = [];
    const endUntil = (nowMs: number): void => {
        const ended = open.filter(({ endMs }) => endMs <= nowMs).toSorted((left, right) => left.endMs - right.endMs);
        open = open.filter(({ endMs }) => endMs > nowMs);
        ended.forEach(({ end }) => end());
    };
    for (let sentMs = 0; sentMs < durationMs; sentMs += -Math.log(1 - draw()) * meanIntervalMs) {
        if (quiet !== undefined && sentMs > quiet.fromMs && sentMs < quiet.untilMs) {
            continue;
        }
        endUntil(sentMs);
        const decision = decideStart({
            expectedStartMs,
            workMs: timings.presentSlotHoldMs(service, sentMs) ?? 0,
            elapsedMs: 0,
            objectiveMs,
            remainingMs: timeLimitMs,
            isTrialDue: timings.isTrialDue(service, sentMs),
        });
        requests.push({ sentMs, isStarted: decision.started, inProgress: open.length });
        if (decision.started) {
            const { isTrial } = decision;
            const endWork = timings.startWork(service, sentMs);
            const holdMs = workMs(sentMs);
            const endMs = sentMs + Math.min(holdMs, timeLimitMs);
            const end = (): void => {
                endWork();
                if (holdMs <= timeLimitMs) {
                    timings.recordSlotHold(service, { durationMs: holdMs, nowMs: endMs, isTrial });
                }
            };
            open.push({ endMs, end });
        }
    }
    return requests;
}
