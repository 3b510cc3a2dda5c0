import type { Clock } from "./clock.js";
import { declareEvents } from "./event.js";
import type { EventDeclaration, EventLog } from "./event.js";

const events = declareEvents({
    linesSuppressed: {
        number: 1004,
        level: "warn",
        text: "Lines of an event were suppressed by its rate limit.",
        action: "None; `count` is the number of suppressed lines of event `leftOutEvent`.",
    },
});

/** Options of `createRateLimitedEventLog`. */
export interface RateLimitedEventLogOptions {
    readonly clock: Clock;
    /** The maximum number of lines of an event per second; further ones are only counted. */
    readonly linesPerSecond: (event: EventDeclaration) => number;
}

interface RateWindow {
    second: number;
    written: number;
    suppressed: number;
}

/** Wraps an event log with a rate limit per event, so that a flood of one event neither hides others nor consumes CPU time. */
export function createRateLimitedEventLog(log: EventLog, options: RateLimitedEventLogOptions): EventLog {
    const windows = new Map<number, RateWindow>();
    return {
        write: (event, fields) => {
            const second = Math.floor(options.clock.monotonicMs() / 1_000);
            const window = windows.get(event.number) ?? { second, written: 0, suppressed: 0 };
            windows.set(event.number, window);
            if (window.second !== second) {
                if (window.suppressed > 0) {
                    log.write(events.linesSuppressed, { leftOutEvent: event.number, count: window.suppressed });
                }
                Object.assign(window, { second, written: 0, suppressed: 0 });
            }
            if (window.written >= options.linesPerSecond(event)) {
                window.suppressed += 1;
                return;
            }
            window.written += 1;
            log.write(event, fields);
        },
    };
}
