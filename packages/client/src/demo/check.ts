import type { RunResult } from "./record.js";

/** What is known of one non-idempotent key at the end of a run. */
export interface KeyOutcome {
    readonly key: string;
    /** The outcome of each request that carried the key. */
    readonly outcomes: readonly ("done" | "notRun" | "unknown" | "open")[];
    readonly executions: number;
}

/** What is known of one answer at the end of a run. */
export interface AnswerOutcome {
    readonly name: string;
    readonly accepted: boolean;
    readonly complete: boolean;
    /** The answer is the one that belongs to the request. */
    readonly own: boolean;
    readonly outOfOrder: number;
}

type Check = RunResult["checks"][number];

/** Checks the guarantees; `unused` keys are those that the services ran although nobody sent them. */
export function checkGuarantees(
    keys: readonly KeyOutcome[],
    answers: readonly AnswerOutcome[],
    unused: readonly string[],
): Check[] {
    const repeated = keys.filter(key => key.executions > 1).map(key => key.key);
    const ranAfterNo = keys.filter(key => key.outcomes.every(outcome => outcome === "notRun") && key.executions > 0).map(key =>
        key.key
    );
    const lostDone = keys.filter(key => key.outcomes.includes("done") && key.executions === 0).map(key => key.key);
    const open = keys.filter(key => key.outcomes.includes("open")).map(key => key.key);
    const accepted = answers.filter(answer => answer.accepted);
    const partial = accepted.filter(answer => !answer.complete).map(answer => answer.name);
    const foreign = accepted.filter(answer => answer.complete && !answer.own).map(answer => answer.name);
    const disordered = accepted.filter(answer => answer.outOfOrder > 0).map(answer => answer.name);
    return [
        check("No key ran twice", `${keys.length} keys`, repeated),
        check("No 'executed: no' that ran", `${keys.length} keys`, ranAfterNo),
        check("No answer without an execution", `${keys.length} keys`, lostDone),
        check("Every key has a definite outcome", `${keys.length} keys`, open),
        check("No execution of a key that was not sent", `${keys.length} keys`, unused),
        check("Every accepted request got its whole answer", `${accepted.length} accepted requests`, partial),
        check("Every answer is the request's own", `${accepted.length} accepted requests`, foreign),
        check("Every token arrived once and in order", `${accepted.length} accepted requests`, disordered),
    ];
}

const shownFaults = 10;

function check(name: string, population: string, faults: readonly string[]): Check {
    const shown = faults.slice(0, shownFaults).join(", ");
    const details = faults.length === 0 ? population : `${faults.length} of ${population}: ${shown}`;
    return { name, passed: faults.length === 0, details };
}
