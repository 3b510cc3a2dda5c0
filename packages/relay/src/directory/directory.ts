import type { CloudClient, HostListClient, ListedHost } from "@filbertrelay/connectors";
import type { Cancel, Clock, FailureDomainId, HostId, Kernel } from "@filbertrelay/kernel";
import type { DirectoryEntry, DirectoryService } from "../contract.js";

const refreshPeriodMs = 1_000;
const noticePollTimeoutMs = 10_000;
const noticeRetryMs = 500;

/** Called for each reclaim notice with the host and the wall-clock time of its termination. */
export type ReclaimListener = (hostId: HostId, terminatesAt: Date) => void;

/**
 * Endpoints by the model or service that they serve, from the host list and the cloud API's reclaim notices.
 * Both are combined because a notice arrives before the host list shows the host as leaving.
 */
export class Directory implements DirectoryService {
    readonly #clock: Clock;
    readonly #hostList: HostListClient;
    readonly #cloud: CloudClient;
    readonly #entries = new Map<string, DirectoryEntry[]>();
    readonly #reclaimed = new Set<HostId>();
    readonly #listeners = new Set<() => void>();
    readonly #reclaimListeners = new Set<ReclaimListener>();
    readonly #stopping = new AbortController();
    #listed: readonly ListedHost[] = [];

    constructor(kernel: Kernel) {
        this.#clock = kernel.clock;
        this.#hostList = kernel.get<HostListClient>("hostList");
        this.#cloud = kernel.get<CloudClient>("cloud");
    }

    async start(): Promise<void> {
        await this.#refresh();
        void this.#refreshLoop();
        void this.#noticeLoop();
    }

    stop(): Promise<void> {
        this.#stopping.abort(new Error("The directory stopped."));
        return Promise.resolve();
    }

    endpoints(serves: string): readonly DirectoryEntry[] {
        return (this.#entries.get(serves) ?? []).filter(entry => !entry.leaving);
    }

    onChange(callback: () => void): Cancel {
        this.#listeners.add(callback);
        return () => this.#listeners.delete(callback);
    }

    /** Calls back for each reclaim notice. */
    onReclaim(callback: ReclaimListener): Cancel {
        this.#reclaimListeners.add(callback);
        return () => this.#reclaimListeners.delete(callback);
    }

    async #refreshLoop(): Promise<void> {
        while (!this.#stopping.signal.aborted) {
            await this.#clock.sleep(refreshPeriodMs, this.#stopping.signal).catch(() => undefined);
            await this.#refresh();
        }
    }

    async #refresh(): Promise<void> {
        const listed = await this.#hostList.list();
        if (listed.ok) {
            this.#listed = listed.value;
            this.#rebuild();
        }
    }

    async #noticeLoop(): Promise<void> {
        let sequence = 0;
        while (!this.#stopping.signal.aborted) {
            const notices = await this.#cloud.waitForNotices(sequence, {
                timeoutMs: noticePollTimeoutMs,
                signal: this.#stopping.signal,
            });
            if (!notices.ok) {
                await this.#clock.sleep(noticeRetryMs, this.#stopping.signal).catch(() => undefined);
                continue;
            }
            for (const notice of notices.value) {
                sequence = Math.max(sequence, notice.sequence);
                this.#reclaimed.add(notice.hostId);
                this.#reclaimListeners.forEach(listener => listener(notice.hostId, notice.terminatesAt));
            }
            if (notices.value.length > 0) {
                this.#rebuild();
            }
        }
    }

    #rebuild(): void {
        this.#entries.clear();
        for (const host of this.#listed) {
            if (host.endpointId === undefined || host.serves === undefined) {
                continue;
            }
            const entry: DirectoryEntry = {
                endpointId: host.endpointId,
                hostId: host.hostId,
                address: host.address,
                failureDomain: host.failureDomain as FailureDomainId,
                leaving: host.state === "leaving" || this.#reclaimed.has(host.hostId),
            };
            this.#entries.set(host.serves, [...(this.#entries.get(host.serves) ?? []), entry]);
        }
        this.#listeners.forEach(listener => listener());
    }
}
