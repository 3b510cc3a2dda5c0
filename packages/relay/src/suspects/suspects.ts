import type { EndpointId, Kernel, Service } from "@filbertrelay/kernel";
import { declareEvents } from "@filbertrelay/kernel";
import { createSuspectTracker } from "@filbertrelay/policy";
import type { SuspectDecision, SuspectEntry, SuspectTracker } from "@filbertrelay/policy";
import { z } from "zod";
import type { MembershipService } from "../contract.js";
import type { EngineRouter } from "../routing/router.js";
import type { Metrics } from "../telemetry/metrics.js";

const events = declareEvents({
    endpointCrashed: {
        number: 4010,
        level: "warn",
        text: "An engine crashed; its requests in progress run in isolation until one of them is found to be the cause.",
        action: "None, unless it happens often: then look at the engine's own log.",
    },
    requestRejected: {
        number: 4011,
        level: "warn",
        text: "A request was part of two crashes of engines and is refused for ten minutes.",
        action: "Tell the customer; the content of the request makes the engine crash.",
    },
});

const exchangePeriodMs = 500;
/** A published value holds at most 1 KB. */
const publishedBytes = 950;
const maximumValues = 8;
const crashAvoidMs = 5_000;

const entrySchema = z.object({
    fingerprint: z.string().length(64),
    state: z.enum(["suspect", "rejected"]),
    crashes: z.array(z.string()),
    untilMs: z.number(),
    isolatedBy: z.object({ hostId: z.string(), endpointId: z.string(), untilMs: z.number() }).optional(),
    clearedMs: z.number().optional(),
});

/** Requests that were in progress at a crash, shared with all hosts; registered as `suspects`. */
export class Suspects implements Service {
    readonly #kernel: Kernel;
    readonly #membership: MembershipService;
    readonly #tracker: SuspectTracker;
    readonly #inProgress = new Map<EndpointId, Map<string, number>>();
    readonly #lastCrashMs = new Map<EndpointId, number>();
    readonly #published: string[] = [];
    readonly #stopping = new AbortController();
    #crashes = 0;

    constructor(kernel: Kernel) {
        this.#kernel = kernel;
        this.#membership = kernel.get<MembershipService>("membership");
        this.#tracker = createSuspectTracker({ hostId: this.#membership.self().hostId });
    }

    start(): Promise<void> {
        void this.#exchangeLoop();
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#stopping.abort(new Error("The exchange of suspects stopped."));
        return Promise.resolve();
    }

    decide(fingerprint: string): SuspectDecision {
        return this.#tracker.decide(fingerprint, this.#nowMs());
    }

    /** Endpoints that run a suspect now and take no other. */
    isolatedEndpoints(): ReadonlySet<EndpointId> {
        return this.#tracker.isolatedEndpoints(this.#nowMs());
    }

    /** Reserves an endpoint for a suspect; false when it runs another one. */
    startIsolated(fingerprint: string, endpointId: EndpointId): boolean {
        const isStarted = this.#tracker.startIsolated(fingerprint, endpointId, this.#nowMs());
        this.#publish();
        return isStarted;
    }

    /** Notes that a request runs on an endpoint. */
    begin(fingerprint: string, endpointId: EndpointId): void {
        const running = this.#inProgress.get(endpointId) ?? new Map<string, number>();
        running.set(fingerprint, (running.get(fingerprint) ?? 0) + 1);
        this.#inProgress.set(endpointId, running);
    }

    /** Notes that a request no longer runs on an endpoint. */
    end(fingerprint: string, endpointId: EndpointId, isCompleted: boolean): void {
        const running = this.#inProgress.get(endpointId);
        const count = (running?.get(fingerprint) ?? 1) - 1;
        if (count > 0) {
            running?.set(fingerprint, count);
        }
        else {
            running?.delete(fingerprint);
        }
        if (isCompleted) {
            this.#tracker.recordCompletion(fingerprint, this.#nowMs());
        }
    }

    /** Notes a crash. Requests that notice the same crash later are already part of it. */
    recordCrash(endpointId: EndpointId, fingerprint: string): void {
        const nowMs = this.#kernel.clock.monotonicMs();
        if (nowMs - (this.#lastCrashMs.get(endpointId) ?? -Infinity) < crashAvoidMs) {
            return;
        }
        this.#lastCrashMs.set(endpointId, nowMs);
        this.#crashes += 1;
        const inProgress = new Set([fingerprint, ...(this.#inProgress.get(endpointId)?.keys() ?? [])]);
        const crashId = `${this.#membership.self().hostId}/${endpointId}/${this.#crashes}`;
        const rejected = this.#tracker.recordCrash(endpointId, crashId, [...inProgress], this.#nowMs());
        this.#kernel.get<EngineRouter>("routing").recordCrash(endpointId, crashAvoidMs);
        this.#kernel.get<Metrics>("metrics").increment("engines.crashes");
        this.#kernel.log.write(events.endpointCrashed, { endpoint: endpointId, inProgress: inProgress.size });
        rejected.forEach(entry => this.#kernel.log.write(events.requestRejected, { fingerprint: entry }));
        this.#publish();
    }

    async #exchangeLoop(): Promise<void> {
        while (!this.#stopping.signal.aborted) {
            await this.#kernel.clock.sleep(exchangePeriodMs, this.#stopping.signal).catch(() => undefined);
            for (let index = 0; index < maximumValues; index++) {
                this.#membership.published(`suspects.${index}`).forEach(item => this.#merge(item.value));
            }
            this.#publish();
        }
    }

    #merge(value: unknown): void {
        const entries = z.array(entrySchema).safeParse(value);
        if (entries.success) {
            this.#tracker.merge(entries.data as readonly SuspectEntry[], this.#nowMs());
        }
    }

    // Only what this host saw itself, so that an entry is not published by every host that heard of it.
    // Rejected requests first, then those that run in isolation: these change what other hosts may do.
    #publish(): void {
        const own = this.#membership.self().hostId;
        const isOwn = (entry: SuspectEntry): boolean =>
            entry.isolatedBy?.hostId === own || entry.crashes.some(crash => crash.startsWith(`${own}/`));
        const rank = (entry: SuspectEntry): number => entry.state === "rejected" ? 0 : entry.isolatedBy === undefined ? 2 : 1;
        const chunks = chunkEntries(
            this.#tracker.entries(this.#nowMs()).filter(isOwn).sort((left, right) => rank(left) - rank(right)),
        );
        for (let index = 0; index < maximumValues; index++) {
            const chunk = chunks[index] ?? [];
            const text = JSON.stringify(chunk);
            if (text !== (this.#published[index] ?? "[]")) {
                this.#published[index] = text;
                this.#membership.publish(`suspects.${index}`, chunk);
            }
        }
    }

    #nowMs(): number {
        return this.#kernel.clock.now().getTime();
    }
}

function chunkEntries(entries: readonly SuspectEntry[]): readonly (readonly SuspectEntry[])[] {
    const chunks: SuspectEntry[][] = [];
    for (const entry of entries) {
        const last = chunks.at(-1);
        if (last !== undefined && JSON.stringify([...last, entry]).length <= publishedBytes) {
            last.push(entry);
        }
        else if (JSON.stringify([entry]).length <= publishedBytes) {
            chunks.push([entry]);
        }
    }
    return chunks;
}
