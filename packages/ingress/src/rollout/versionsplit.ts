import type { Store, StoreChange } from "@filbertrelay/connectors";
import { RepeatedTask } from "@filbertrelay/kernel";
import type { Clock, EventLog, HostId, Incarnation, Service } from "@filbertrelay/kernel";
import { HostRollout, isRolloutOf } from "@filbertrelay/policy/ingress";
import type { FleetClock, RolloutRecord, StoredOrder } from "@filbertrelay/policy/ingress";
import type { EndpointRecord, StoreDecoder } from "../contract.js";
import type { EndpointTable } from "../state/endpoints.js";
import type { ChangeOrigin } from "../state/itemview.js";
import type { StoreMirror } from "../state/mirror.js";
import { rolloutEvents as events } from "./event.js";
import { readRecord, recordPrefix, renderTally, tallyPrefix } from "./rolloutentry.js";

/** Interval at which a host writes its results, if there are new ones. */
const reportMs = 500;

/** Bounds of the exposure of a version that is not proven. */
export interface ExposurePromises {
    readonly exposureRatio: number;
    readonly rollbackMs: number;
}

/** Options of `VersionSplit`. */
export interface VersionSplitOptions {
    /** Absent where the deployment has no roll-outs; then all endpoints take requests. */
    readonly promises: ExposurePromises | undefined;
    readonly clock: Clock;
    readonly fleetClock: FleetClock;
    readonly log: EventLog;
    readonly store: Store;
    readonly mirror: StoreMirror;
    readonly decoder: StoreDecoder;
    readonly endpoints: EndpointTable;
    readonly hostId: HostId;
    readonly incarnation: Incarnation;
    readonly draw: () => number;
}

/** An order with the endpoints that this host knew before it. */
export interface SeenOrder {
    readonly order: StoredOrder;
    readonly knownBefore: ReadonlySet<string>;
}

/** Applies roll-outs to this host's requests: limits the versions that they go to, and reports what came back. */
export class VersionSplit implements Service {
    readonly #options: VersionSplitOptions;
    readonly #rollouts = new Map<string, HostRollout>();
    readonly #orders = new Map<string, SeenOrder>();
    readonly #statusTargets = new Map<string, string>();
    readonly #task: RepeatedTask;

    constructor(options: VersionSplitOptions) {
        this.#options = options;
        this.#task = new RepeatedTask(options.clock, { work: () => this.#report(), pauseMs: () => reportMs });
        if (options.promises !== undefined) {
            const { mirror, decoder: { rollouts } } = options;
            mirror.listen(recordPrefix, change => this.#applyRecord(change));
            // Read by the duty holder from the store itself.
            mirror.listen(tallyPrefix, () => "heartbeat");
            mirror.listen(rollouts.orderPrefix, (change, origin) => this.#applyOrder(change, origin));
            mirror.listen(rollouts.statusPrefix, change => this.#applyStatus(change));
        }
    }

    /** The services with an order or a record. */
    services(): readonly string[] {
        return [...new Set([...this.#orders.keys(), ...this.#rollouts.keys()])];
    }

    orderOf(service: string): SeenOrder | undefined {
        return this.#orders.get(service);
    }

    /** The latest step that this host knows of. */
    recordOf(service: string): RolloutRecord | undefined {
        return this.#rollouts.get(service)?.record;
    }

    isInProgress(service: string): boolean {
        return this.recordOf(service)?.state === "inProgress";
    }

    /** Returns those of the open endpoints of a service that a request may go to. */
    select(
        service: string,
        endpoints: readonly EndpointRecord[],
        request: { readonly isContinued: boolean; readonly isRepeated: boolean; },
    ): readonly EndpointRecord[] {
        const rollout = this.#rollouts.get(service);
        if (rollout === undefined) {
            return endpoints;
        }
        const nowMs = this.#options.clock.monotonicMs();
        return rollout.select(endpoints, { ...request, nowMs, copyConfirmedMs: nowMs - this.#options.mirror.ageMs() });
    }

    /** Records that a request was sent to an endpoint; `isNew` for its first attempt. */
    recordSent({ service, softwareVersion }: EndpointRecord, isNew: boolean): void {
        this.#rollouts.get(service)?.recordSent(softwareVersion, isNew);
    }

    /** Records what came back from an endpoint for a request that was sent at a time. */
    recordResult(
        { service, softwareVersion, endpointId }: EndpointRecord,
        { route, type, sentMs }: {
            readonly route: string;
            readonly type: "answered" | "failed" | "lost";
            readonly sentMs: number;
        },
    ): void {
        const nowMs = this.#options.clock.monotonicMs();
        this.#rollouts.get(service)?.recordResult(
            route,
            softwareVersion,
            { type, endpointId, durationMs: nowMs - sentMs },
            nowMs,
        );
    }

    /** Takes a step, from the store or as this host has written it. */
    takeRecord(record: RolloutRecord, writtenAtMs: number): void {
        const { clock, fleetClock } = this.#options;
        // A step may have been on its way for longer than this host knows.
        const ageMs = Math.max(0, fleetClock.now().getTime() - writtenAtMs);
        this.#rolloutOf(record.service).setRecord(record, clock.monotonicMs() - ageMs);
        this.#announce(record.service);
    }

    start(): Promise<void> {
        if (this.#options.promises !== undefined) {
            this.#task.start();
        }
        return Promise.resolve();
    }

    async stop(): Promise<void> {
        await this.#task.stop();
    }

    #rolloutOf(service: string): HostRollout {
        const { promises = { exposureRatio: 0, rollbackMs: 0 }, draw } = this.#options;
        const rollout = this.#rollouts.get(service) ?? new HostRollout({ ...promises, firstCredit: draw() });
        this.#rollouts.set(service, rollout);
        return rollout;
    }

    #applyRecord({ key, value }: StoreChange): "material" {
        const record = readRecord(value);
        if (record !== undefined) {
            this.takeRecord(record, record.writtenAtMs);
        }
        else if (value !== undefined) {
            this.#options.log.write(events.rolloutRecordInvalid, { key });
        }
        return "material";
    }

    #applyOrder({ key, value, revision }: StoreChange, { way }: ChangeOrigin): "material" {
        const { decoder: { rollouts }, store, endpoints } = this.#options;
        const service = key.slice(rollouts.orderPrefix.length);
        if (value === undefined) {
            this.#orders.delete(service);
        }
        else if (this.#orders.get(service)?.order.revision !== revision) {
            // The items of a listing or a complete copy are in no order of time.
            const isLive = way === "watch" || way === "push";
            const knownBefore = new Set(isLive ? endpoints.ofService(service).map(({ endpointId }) => endpointId) : []);
            const order = { ...rollouts.readOrder(service, value), era: store.era, revision };
            this.#orders.set(service, { order, knownBefore });
        }
        this.#announce(service);
        return "material";
    }

    #applyStatus({ key, value }: StoreChange): "material" {
        const { rollouts } = this.#options.decoder;
        const service = key.slice(rollouts.statusPrefix.length);
        const target = value === undefined ? undefined : rollouts.readTargetInProgress(value);
        if (target === undefined) {
            this.#statusTargets.delete(service);
        }
        else {
            this.#statusTargets.set(service, target);
        }
        this.#announce(service);
        return "material";
    }

    /** Tells the roll-out of a service which version an order or a status names that its record does not. */
    #announce(service: string): void {
        const record = this.recordOf(service);
        const seen = this.#orders.get(service);
        const statusTarget = this.#statusTargets.get(service);
        const nowMs = this.#options.fleetClock.now().getTime();
        if (statusTarget !== undefined && record?.target !== statusTarget) {
            this.#rolloutOf(service).setAnnounced({ version: statusTarget, knownBefore: new Set(), isInProgress: true });
        }
        else if (seen !== undefined && (record === undefined || !isRolloutOf(record, seen.order, nowMs))) {
            const { order: { target }, knownBefore } = seen;
            this.#rolloutOf(service).setAnnounced({ version: target, knownBefore, isInProgress: false });
        }
        else {
            this.#rollouts.get(service)?.setAnnounced(undefined);
        }
    }

    async #report(): Promise<void> {
        await Promise.all([...this.#rollouts].map(([service, rollout]) => this.#reportOne(service, rollout)));
    }

    async #reportOne(service: string, rollout: HostRollout): Promise<void> {
        const { store, clock, hostId, incarnation } = this.#options;
        const { record } = rollout;
        const tally = rollout.takeReport();
        if (record === undefined || tally === undefined) {
            return;
        }
        const takenMs = clock.monotonicMs();
        const key = `${tallyPrefix}${service}/${hostId}/${incarnation}`;
        const written = await store.commit({
            era: store.era,
            expected: [],
            writes: [{ key, value: renderTally(tally, record) }],
        });
        rollout.endReport(takenMs, written.ok);
    }
}
