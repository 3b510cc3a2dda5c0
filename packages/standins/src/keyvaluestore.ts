/** A stored value with the store-wide revision of its last write. */
export interface StoredEntry {
    readonly key: string;
    readonly value: string;
    readonly version: number;
    readonly leaseId: string | undefined;
}

interface Lease {
    readonly id: string;
    timeToLiveMs: number;
    timer: NodeJS.Timeout;
}

/** The result of a conditional write. */
export type WriteResult =
    | { readonly kind: "written"; readonly version: number; }
    | { readonly kind: "conflict"; readonly currentVersion: number; }
    | { readonly kind: "leaseLapsed"; };

/** Values, versions, leases and waiting watches, all in memory. */
export class KeyValueStore {
    readonly #entries = new Map<string, StoredEntry>();
    readonly #leases = new Map<string, Lease>();
    readonly #waiters = new Set<() => void>();
    #revision = 0;
    #leaseCount = 0;

    get(key: string): StoredEntry | undefined {
        return this.#entries.get(key);
    }

    list(prefix: string): readonly StoredEntry[] {
        return [...this.#entries.values()].filter(entry => entry.key.startsWith(prefix)).sort(byKey);
    }

    compareAndSwap(key: string, value: string, expectedVersion: number, leaseId: string | undefined): WriteResult {
        const currentVersion = this.#entries.get(key)?.version ?? 0;
        if (currentVersion !== expectedVersion) {
            return { kind: "conflict", currentVersion };
        }
        if (leaseId !== undefined && !this.#leases.has(leaseId)) {
            return { kind: "leaseLapsed" };
        }
        this.#revision += 1;
        this.#entries.set(key, { key, value, version: this.#revision, leaseId });
        this.#wake();
        return { kind: "written", version: this.#revision };
    }

    delete(key: string, expectedVersion: number): WriteResult {
        const currentVersion = this.#entries.get(key)?.version ?? 0;
        if (currentVersion === 0 || currentVersion !== expectedVersion) {
            return { kind: "conflict", currentVersion };
        }
        this.#revision += 1;
        this.#entries.delete(key);
        return { kind: "written", version: this.#revision };
    }

    grantLease(timeToLiveMs: number): string {
        this.#leaseCount += 1;
        const id = `lease-${this.#leaseCount}`;
        this.#leases.set(id, { id, timeToLiveMs, timer: this.#startLease(id, timeToLiveMs) });
        return id;
    }

    /** Starts the lease's time to live again; false when it has lapsed. */
    renewLease(id: string): boolean {
        const lease = this.#leases.get(id);
        if (lease === undefined) {
            return false;
        }
        clearTimeout(lease.timer);
        lease.timer = this.#startLease(id, lease.timeToLiveMs);
        return true;
    }

    /** Waits for a value under the prefix with a version above the given one; empty after the timeout. */
    watch(prefix: string, afterVersion: number, timeoutMs: number, signal: AbortSignal): Promise<readonly StoredEntry[]> {
        const read = (): readonly StoredEntry[] => this.list(prefix).filter(entry => entry.version > afterVersion);
        const present = read();
        if (present.length > 0 || signal.aborted) {
            return Promise.resolve(present);
        }
        return new Promise(resolve => {
            const finish = (): void => {
                clearTimeout(timer);
                this.#waiters.delete(wake);
                resolve(read());
            };
            const wake = (): void => {
                if (read().length > 0) {
                    finish();
                }
            };
            const timer = setTimeout(finish, timeoutMs);
            this.#waiters.add(wake);
            signal.addEventListener("abort", finish, { once: true });
        });
    }

    /** Stops all lease timers. */
    close(): void {
        this.#leases.forEach(lease => clearTimeout(lease.timer));
    }

    #startLease(id: string, timeToLiveMs: number): NodeJS.Timeout {
        return setTimeout(() => this.#lapse(id), timeToLiveMs);
    }

    #lapse(id: string): void {
        this.#leases.delete(id);
        for (const entry of [...this.#entries.values()].filter(candidate => candidate.leaseId === id)) {
            this.#revision += 1;
            this.#entries.delete(entry.key);
        }
    }

    #wake(): void {
        [...this.#waiters].forEach(wake => wake());
    }
}

function byKey(left: StoredEntry, right: StoredEntry): number {
    return left.key < right.key ? -1 : 1;
}
