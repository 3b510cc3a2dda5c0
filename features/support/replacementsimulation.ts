import { decideReplacement, planAttempt } from "@filbertrelay/policy";
import fc from "fast-check";

/** What may keep a request from an endpoint at one moment. */
interface Obstacles {
    readonly isQuarantined: boolean;
    readonly endpoints: number;
    readonly isStopping: boolean;
    readonly retries: number;
}

/** Sound endpoints that pause now and then, and the obstacles at each pause. */
type ReplacementSchedule = readonly Obstacles[];

/** What became of a simulated request. */
interface SimulatedRequest {
    /** Whether it ended before an endpoint had answered it whole. */
    readonly isCut: boolean;
    readonly silences: readonly { readonly mayReplace: boolean; readonly isReplaced: boolean; }[];
}

/** Random schedules of pauses that are longer than the host waits for an endpoint. */
export const replacementSchedules: fc.Arbitrary<ReplacementSchedule> = fc.array(
    fc.record({ isQuarantined: fc.boolean(), endpoints: fc.nat(2), isStopping: fc.boolean(), retries: fc.nat(2) }),
    { maxLength: 6 },
);

/** Plays a request that begins at a sound endpoint; each endpoint goes on after its pauses and answers whole in the end. */
export function simulateRequest(schedule: ReplacementSchedule): SimulatedRequest {
    const silences: { mayReplace: boolean; isReplaced: boolean; }[] = [];
    let runsAt: number | undefined = 0;
    for (const [index, { isQuarantined, endpoints, isStopping, retries }] of schedule.entries()) {
        const plan = planAttempt({
            decideQuarantine: () => isQuarantined ? { type: "reject", cause: "a part", retryAfterMs: 1_000 } : { type: "run" },
            select: () => endpoints === 0 ? undefined : index + 1,
            endsBeforeStop: () => !isStopping,
        });
        let reserved = 0;
        const decision = decideReplacement(plan, () => {
            reserved += 1;
            return retries > 0;
        });
        const isReplaced = decision.type === "replace";
        // The budget pays for a retry that takes place, and for no other.
        runsAt = reserved > 0 && retries > 0 && !isReplaced ? undefined : isReplaced ? decision.selected : runsAt;
        silences.push({ mayReplace: !isQuarantined && endpoints > 0 && !isStopping && retries > 0, isReplaced });
    }
    return { isCut: runsAt === undefined, silences };
}
