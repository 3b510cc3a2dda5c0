/** The severity of a log event. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** A log event declaration; `number` is unique across all packages and listed in docs/EVENTS.md. */
export interface EventDeclaration {
    readonly number: number;
    readonly level: EventLevel;
    /** What happened; a constant sentence without interpolated values. */
    readonly text: string;
    /** What an operator should do; `None.` if nothing. */
    readonly action: string;
}

const declared = new Map<number, EventDeclaration>();

/** Declares a group of log events by name; throws if an event number is already declared. */
export function declareEvents<const T extends Record<string, EventDeclaration>>(events: T): T {
    for (const event of Object.values(events)) {
        if (declared.has(event.number)) {
            throw new Error(`Event number ${event.number} is already declared.`);
        }
        declared.set(event.number, event);
    }
    return events;
}

/** Lists all events declared so far, ordered by number. */
export function listEvents(): readonly EventDeclaration[] {
    return [...declared.values()].sort((left, right) => left.number - right.number);
}

/** Values logged with an event; must not contain secrets. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined | readonly string[]>>;

/** A log of declared events. */
export interface EventLog {
    write(event: EventDeclaration, fields?: EventFields): void;
}

/** An event log that discards all events. */
export const silentEventLog: EventLog = { write: () => undefined };
