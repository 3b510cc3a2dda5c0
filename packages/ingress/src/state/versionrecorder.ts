import type { Store } from "@filbertrelay/connectors";
import { parseJson } from "@filbertrelay/kernel";
import type { Clock, EventLog, HostId, Service } from "@filbertrelay/kernel";
import { rankAcrossDomains } from "@filbertrelay/policy/ingress";
import type { FleetClock, PlacedHost, VersionHistory, VersionRecord } from "@filbertrelay/policy/ingress";
import * as z from "zod";
import { ownPrefix } from "../fleet/hosts.js";
import type { EndpointTable } from "./endpoints.js";
import { stateEvents as events } from "./event.js";
import type { StoreMirror } from "./mirror.js";

const versionsKey = `${ownPrefix}versions`;
const recordSchema = z.object({
    era: z.number(),
    completeSinceMs: z.number(),
    services: z.record(z.string(), z.record(z.string(), z.number().nullable())),
});

/** How much later than the host before it in rank a host writes, so that usually one does. */
const writeStepMs = 150;
/** Highest rank that counts for the delay. */
const maxWriteSteps = 20;
/** Delay before a failed write is repeated. */
const retryMs = 500;

/** Options of `VersionRecorder`. */
export interface VersionRecorderOptions {
    readonly store: Store;
    readonly clock: Clock;
    readonly fleetClock: FleetClock;
    readonly log: EventLog;
    readonly hostId: HostId;
    readonly mirror: StoreMirror;
    readonly endpoints: EndpointTable;
    readonly history: VersionHistory;
    readonly listHosts: () => readonly PlacedHost[];
}

/** Keeps the history of software versions in the store, for the time after all hosts have been killed. */
export class VersionRecorder implements Service {
    readonly #options: VersionRecorderOptions;
    #cancelWrite: (() => void) | undefined;
    #isStopped = false;

    constructor(options: VersionRecorderOptions) {
        this.#options = options;
        options.endpoints.onChanged(() => this.#observe());
        options.mirror.listen(versionsKey, ({ value }) => {
            const record = parseRecord(value);
            if (record !== undefined) {
                // The mirror's own era is that of before the change.
                options.history.merge(record, options.store.era, this.#nowMs());
                this.#observe();
            }
            return "material";
        });
        options.mirror.onEra(() => this.#schedule());
    }

    start(): Promise<void> {
        this.#observe();
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#isStopped = true;
        this.#cancelWrite?.();
        return Promise.resolve();
    }

    #nowMs(): number {
        return this.#options.fleetClock.now().getTime();
    }

    #observe(): void {
        this.#options.history.observe(this.#options.endpoints.versions(), this.#nowMs());
        this.#schedule();
    }

    #schedule(): void {
        if (this.#cancelWrite === undefined && !this.#isStopped && this.#isOutdated()) {
            const { hostId, listHosts } = this.#options;
            const ranked = rankAcrossDomains(versionsKey, listHosts());
            const rank = ranked.includes(hostId) ? ranked.indexOf(hostId) : ranked.length;
            this.#writeAfter(Math.min(rank, maxWriteSteps) * writeStepMs);
        }
    }

    #writeAfter(delayMs: number): void {
        this.#cancelWrite = this.#options.clock.after(delayMs, () => void this.#write());
    }

    #isOutdated(): boolean {
        const { history, mirror } = this.#options;
        return history.isOutdated(parseRecord(mirror.get(versionsKey)?.value), mirror.position.era);
    }

    async #write(): Promise<void> {
        const { store, mirror, history, log } = this.#options;
        let isWritten = true;
        if (mirror.revision > 0 && this.#isOutdated()) {
            const { era } = mirror.position;
            const record = history.describe(era);
            const committed = await store.commit({
                era,
                expected: [{ key: versionsKey, revision: mirror.get(versionsKey)?.revision ?? 0 }],
                writes: [{ key: versionsKey, value: JSON.stringify(record) }],
            });
            isWritten = committed.ok;
            if (committed.ok) {
                log.write(events.versionsRecorded, {
                    era,
                    revision: committed.value,
                    completeSinceMs: record.completeSinceMs,
                    services: JSON.stringify(record.services),
                });
            }
        }
        this.#cancelWrite = undefined;
        // The mirror has not seen the own write yet; a failed one may mean that another host was first.
        if (!this.#isStopped && this.#isOutdated()) {
            this.#writeAfter(isWritten ? retryMs : retryMs * 2);
        }
    }
}

function parseRecord(value: string | undefined): VersionRecord | undefined {
    const record = recordSchema.safeParse(parseJson(value ?? ""));
    return record.success ? record.data : undefined;
}
