import type { Clock } from "./clock.js";
import { declareEvents } from "./event.js";
import type { EventDeclaration, EventLog } from "./event.js";

const events = declareEvents({
    linesLeftOut: {
        number: 1004,
        level: "warn",
        text: "Lines of an event were left out because there were too many.",
        action: "None; `count` says how many of which event.",
    },
});

/** Options of `createLimitedEventLog`. */
export interface LimitedEventLogOptions {
    readonly clock: Clock;
    /** Lines of one event within a second; those above are counted instead. */
    readonly linesPerSecond: (event: EventDeclaration) => number;
}

interface EventBudget {
    second: number;
    written: number;
    leftOut: number;
}

/** Bounds the lines of each event, so that a flood of one neither hides the others nor takes the process's time. */
export function createLimitedEventLog(log: EventLog, options: LimitedEventLogOptions): EventLog {
    const budgets = new Map<number, EventBudget>();
    return {
        write: (event, fields) => {
            const second = Math.floor(options.clock.monotonicMs() / 1_000);
            const budget = budgets.get(event.number) ?? { second, written: 0, leftOut: 0 };
            budgets.set(event.number, budget);
            if (budget.second !== second) {
                if (budget.leftOut > 0) {
                    log.write(events.linesLeftOut, { leftOutEvent: event.number, count: budget.leftOut });
                }
                Object.assign(budget, { second, written: 0, leftOut: 0 });
            }
            if (budget.written >= options.linesPerSecond(event)) {
                budget.leftOut += 1;
                return;
            }
            budget.written += 1;
            log.write(event, fields);
        },
    };
}
