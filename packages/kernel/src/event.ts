/** How severe a log event is. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** A declared log event; `number` is unique in the system and listed in docs/EVENTS.md. */
export interface EventDeclaration {
    readonly number: number;
    readonly level: EventLevel;
    /** What happened, as a fixed sentence without variable parts. */
    readonly text: string;
    /** What an operator should do, or that nothing needs to be done. */
    readonly action: string;
}

const declared = new Map<number, EventDeclaration>();

/** Declares a group of log events by name; a number that is used twice stops the process. */
export function declareEvents<const T extends Record<string, EventDeclaration>>(events: T): T {
    for (const event of Object.values(events)) {
        if (declared.has(event.number)) {
            throw new Error(`The event number ${event.number} is declared twice.`);
        }
        declared.set(event.number, event);
    }
    return events;
}

/** Lists all events declared so far, by number. */
export function listEvents(): readonly EventDeclaration[] {
    return [...declared.values()].sort((left, right) => left.number - right.number);
}

/** Plain values that go with an event; never a secret. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined | readonly string[]>>;

/** Writes numbered events. */
export interface EventLog {
    write(event: EventDeclaration, fields?: EventFields): void;
}

/** An event log that drops everything. */
export const silentEventLog: EventLog = { write: () => undefined };
