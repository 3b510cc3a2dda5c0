/** Connections of one address, up to a limit; those that have been idle the longest make room for new ones. */
export class ConnectionTable<Connection> {
    readonly #limit: number;
    /** In the order in which they became idle. */
    readonly #idle = new Set<Connection>();
    /** In the order in which their requests began. */
    readonly #busy = new Set<Connection>();

    constructor(limit: number) {
        this.#limit = limit;
    }

    get size(): number {
        return this.#idle.size + this.#busy.size;
    }

    /** Whether a connection has to go. */
    get isOverLimit(): boolean {
        return this.size > this.#limit;
    }

    /** The connection that has been without a request the longest. */
    get longestIdle(): Connection | undefined {
        return this.#idle.values().next().value;
    }

    /** The connection whose request has lasted the longest. */
    get longestBusy(): Connection | undefined {
        return this.#busy.values().next().value;
    }

    add(connection: Connection): void {
        this.#idle.add(connection);
    }

    /** Records that a request has begun on a connection. */
    begin(connection: Connection): void {
        if (this.#idle.delete(connection)) {
            this.#busy.add(connection);
        }
    }

    /** Records that a connection has no request any more. */
    end(connection: Connection): void {
        if (this.#busy.delete(connection)) {
            this.#idle.add(connection);
        }
    }

    remove(connection: Connection): void {
        this.#idle.delete(connection);
        this.#busy.delete(connection);
    }
}
