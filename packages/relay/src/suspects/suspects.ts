import type { EndpointId, HostId, Kernel, Service } from "@filbertrelay/kernel";
import { declareEvents } from "@filbertrelay/kernel";
import { createSuspectTracker } from "@filbertrelay/policy";
import type { SuspectDecision, SuspectEntry, SuspectTracker } from "@filbertrelay/policy";
import { declareTopic } from "@filbertrelay/wire";
import type { PeerNetwork } from "@filbertrelay/wire";
import * as z from "zod";
import type { MembershipService } from "../contract.js";
import type { EngineRouter } from "../routing/router.js";
import type { Metrics } from "../telemetry/metrics.js";

const events = declareEvents({
    endpointCrashed: {
        number: 4010,
        level: "warn",
        text: "An engine crashed; the requests in progress on it run in isolation until the cause is found.",
        action: "None; if it happens often, check the log of the engine.",
    },
    requestRejected: {
        number: 4011,
        level: "warn",
        text: "A request was in progress during two engine crashes and is refused for ten minutes.",
        action: "Tell the customer that the content of the request crashes the engine.",
    },
});

const exchangePeriodMs = 500;
/** Below the limit of 1 KB for a published value. */
const maximumValueBytes = 950;
const maximumValues = 8;
const crashExclusionMs = 5_000;

const entrySchema = z.object({
    fingerprint: z.string().length(64),
    state: z.enum(["suspect", "rejected"]),
    crashes: z.array(z.string()),
    untilMs: z.number(),
    isolatedBy: z.object({ hostId: z.string(), endpointId: z.string(), untilMs: z.number() }).optional(),
    clearedMs: z.number().optional(),
});

/** Longest wait for other hosts before a suspect runs; hosts that reply later learn of it from the membership messages. */
const shareTimeoutMs = 500;
/** Limits the size of a message; entries of runs in isolation come first, since none of them may be left out. */
const maximumSharedEntries = 500;

const shareTopic = declareTopic("suspects.share", {
    request: z.object({ entries: z.array(entrySchema) }),
    reply: z.object({ entries: z.array(entrySchema) }),
});

/** Tracks requests that were in progress during engine crashes and shares them with all hosts; registered as `suspects`. */
export class Suspects implements Service {
    readonly #kernel: Kernel;
    readonly #membership: MembershipService;
    readonly #tracker: SuspectTracker;
    readonly #inProgress = new Map<EndpointId, Map<string, number>>();
    readonly #lastCrashMs = new Map<EndpointId, number>();
    readonly #published: string[] = [];
    readonly #stopping = new AbortController();
    readonly #peers: PeerNetwork;
    #crashes = 0;
    #pendingShare: Promise<void> = Promise.resolve();

    constructor(kernel: Kernel) {
        this.#kernel = kernel;
        this.#peers = kernel.get<PeerNetwork & object>("peers");
        this.#membership = kernel.get<MembershipService>("membership");
        this.#tracker = createSuspectTracker({ hostId: this.#membership.self().hostId });
    }

    start(): Promise<void> {
        void this.#exchangeLoop();
        this.#peers.handle(shareTopic, ({ entries }, { from }) => {
            this.#merge(entries, from);
            return Promise.resolve({ entries: this.#entriesToShare() });
        });
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#stopping.abort(new Error("The exchange of suspects was stopped."));
        return Promise.resolve();
    }

    decide(fingerprint: string): SuspectDecision {
        return this.#tracker.decide(fingerprint, this.#nowMs());
    }

    /** Endpoints that run a suspect in isolation and accept no other request. */
    isolatedEndpoints(): ReadonlySet<EndpointId> {
        return this.#tracker.isolatedEndpoints(this.#nowMs());
    }

    /**
     * Reserves an endpoint for a suspect; false when it runs another one. Two hosts that reserve the same endpoint at the same
     * time learn of each other from the replies to their messages, and one of them backs off.
     */
    async reserve(fingerprint: string, endpointId: EndpointId): Promise<boolean> {
        if (!this.#tracker.startIsolated(fingerprint, endpointId, this.#nowMs())) {
            return false;
        }
        await this.#share();
        const isReserved = !this.#tracker.mustYield(fingerprint, endpointId, this.#nowMs());
        if (!isReserved) {
            this.#tracker.stopIsolated(fingerprint, this.#nowMs());
        }
        this.#publish();
        return isReserved;
    }

    /** Releases a reservation whose run neither completed nor crashed, so that the suspect can run elsewhere immediately. */
    release(fingerprint: string): void {
        this.#tracker.stopIsolated(fingerprint, this.#nowMs());
        this.#publish();
        void this.#share();
    }

    /** Resolves when the crashes recorded here have been sent to the other hosts, so that they recognise a resubmission. */
    whenShared(): Promise<void> {
        return this.#pendingShare;
    }

    /** Records that a request runs on an endpoint. */
    recordStart(fingerprint: string, endpointId: EndpointId): void {
        const running = this.#inProgress.get(endpointId) ?? new Map<string, number>();
        running.set(fingerprint, (running.get(fingerprint) ?? 0) + 1);
        this.#inProgress.set(endpointId, running);
    }

    /** Records that a request no longer runs on an endpoint. */
    recordEnd(fingerprint: string, endpointId: EndpointId, isCompleted: boolean): void {
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

    /** Records a crash. Ignores further reports within `crashExclusionMs`, since their requests are already part of the crash. */
    recordCrash(endpointId: EndpointId, fingerprint: string): void {
        const nowMs = this.#kernel.clock.monotonicMs();
        if (nowMs - (this.#lastCrashMs.get(endpointId) ?? -Infinity) < crashExclusionMs) {
            return;
        }
        this.#lastCrashMs.set(endpointId, nowMs);
        this.#crashes += 1;
        const inProgress = new Set([fingerprint, ...(this.#inProgress.get(endpointId)?.keys() ?? [])]);
        const crashId = `${this.#membership.self().hostId}/${endpointId}/${this.#crashes}`;
        const rejected = this.#tracker.recordCrash(endpointId, crashId, [...inProgress], this.#nowMs());
        this.#kernel.get<EngineRouter>("routing").recordCrash(endpointId, crashExclusionMs);
        this.#kernel.get<Metrics>("metrics").increment("engines.crashes");
        this.#kernel.log.write(events.endpointCrashed, { endpoint: endpointId, inProgress: inProgress.size });
        rejected.forEach(entry => this.#kernel.log.write(events.requestRejected, { fingerprint: entry }));
        this.#publish();
        this.#pendingShare = Promise.all([this.#pendingShare, this.#share()]).then(() => undefined);
    }

    // Crashes are rare, so a message to every host costs little. Membership messages take seconds to reach all hosts.
    async #share(): Promise<void> {
        const own = this.#membership.self().hostId;
        const others = this.#membership.members().filter(({ hostId, state }) => hostId !== own && state !== "dead");
        const body = { entries: this.#entriesToShare() };
        await Promise.all(others.map(async ({ hostId }) => {
            const reply = await this.#peers.call(hostId, shareTopic, body, { timeoutMs: shareTimeoutMs });
            if (reply.ok) {
                this.#merge(reply.value.entries, hostId);
            }
        }));
    }

    #entriesToShare(): z.input<typeof entrySchema>[] {
        const own = this.#membership.self().hostId;
        const isRunning = (entry: SuspectEntry): number => Number(entry.isolatedBy?.hostId === own);
        const entries = this.#ownEntries().sort((left, right) =>
            isRunning(right) - isRunning(left) || right.untilMs - left.untilMs
        );
        return entries.slice(0, maximumSharedEntries).map(entry => ({ ...entry, crashes: [...entry.crashes] }));
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

    #merge(value: unknown, from?: HostId): void {
        const entries = z.array(entrySchema).safeParse(value);
        if (entries.success) {
            this.#tracker.merge(entries.data as readonly SuspectEntry[], this.#nowMs(), from);
        }
    }

    // Only entries that this host observed itself, so that not every host that learned of an entry publishes it.
    #ownEntries(): SuspectEntry[] {
        const own = this.#membership.self().hostId;
        const isOwn = (entry: SuspectEntry): boolean =>
            entry.isolatedBy?.hostId === own || entry.crashes.some(crash => crash.startsWith(`${own}/`));
        return this.#tracker.entries(this.#nowMs()).filter(isOwn);
    }

    // Publishes rejected requests first, then those that run in isolation, since both restrict other hosts.
    #publish(): void {
        const rank = (entry: SuspectEntry): number => entry.state === "rejected" ? 0 : entry.isolatedBy === undefined ? 2 : 1;
        const chunks = chunkEntries(
            this.#ownEntries().sort((left, right) => rank(left) - rank(right)),
        );
        for (let index = 0; index < maximumValues; index++) {
            const chunk = chunks[index] ?? [];
            const serialized = JSON.stringify(chunk);
            if (serialized !== (this.#published[index] ?? "[]")) {
                this.#published[index] = serialized;
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
        if (last !== undefined && JSON.stringify([...last, entry]).length <= maximumValueBytes) {
            last.push(entry);
        }
        else if (JSON.stringify([entry]).length <= maximumValueBytes) {
            chunks.push([entry]);
        }
    }
    return chunks;
}
