import type { Store } from "@filbertrelay/connectors";
import { RepeatedTask } from "@filbertrelay/kernel";
import type { Clock, EventLog, Service } from "@filbertrelay/kernel";
import { addTallies, decideRolloutStep, subtractTally } from "@filbertrelay/policy/ingress";
import type { FleetClock, RolloutObservation, RolloutRecord, VersionTally } from "@filbertrelay/policy/ingress";
import type { StoreDecoder } from "../contract.js";
import type { DutyLease } from "../duty/lease.js";
import type { ConfigurationState } from "../state/configuration.js";
import type { EndpointTable } from "../state/endpoints.js";
import type { StoreMirror } from "../state/mirror.js";
import { rolloutEvents as events } from "./event.js";
import { readRecord, readTally, recordPrefix, renderRecord, tallyPrefix } from "./rolloutentry.js";
import type { VersionSplit } from "./versionsplit.js";

/** Interval between steps. */
const tickMs = 500;
/** Steps over which results count as recent. */
const recentSteps = 10;
/** An order counts as removed after this time, since a restored store may lack it for a moment. */
const removalMs = 5_000;
/** Share of the former endpoints that must be replaced, whatever the load. */
const minReplacedShare = 0.5;
/** Utilization at which endpoints of the target are expected to carry the load. */
const targetUtilization = 0.6;
/** Keys in one commit. */
const commitKeys = 32;

/** Options of `RolloutDuty`. */
export interface RolloutDutyOptions {
    readonly exposureRatio: number;
    readonly clock: Clock;
    readonly fleetClock: FleetClock;
    readonly log: EventLog;
    readonly store: Store;
    readonly mirror: StoreMirror;
    readonly decoder: StoreDecoder;
    readonly configuration: ConfigurationState;
    readonly endpoints: EndpointTable;
    readonly lead: DutyLease;
    readonly split: VersionSplit;
    /** Number of requests that an endpoint runs, over all hosts. */
    readonly countRunning: (endpointId: string) => number;
}

interface Results {
    readonly base: VersionTally;
    readonly target: VersionTally;
}

/** Carries out roll-outs while this host holds the duties. All state lies in the store, so that any holder can go on. */
export class RolloutDuty implements Service {
    readonly #options: RolloutDutyOptions;
    readonly #task: RepeatedTask;
    /** Results at the last steps, by service. */
    readonly #history = new Map<string, Results[]>();
    readonly #missingSinceMs = new Map<string, number>();
    /** Revisions of this host's own writes, which the mirror may not have yet. */
    readonly #written = new Map<string, { readonly era: number; readonly revision: number; }>();

    constructor(options: RolloutDutyOptions) {
        this.#options = options;
        this.#task = new RepeatedTask(options.clock, { work: () => this.#run(), pauseMs: () => tickMs });
    }

    start(): Promise<void> {
        this.#task.start();
        return Promise.resolve();
    }

    async stop(): Promise<void> {
        await this.#task.stop();
    }

    async #run(): Promise<void> {
        const { lead, mirror, split } = this.#options;
        if (lead.holder() === undefined || mirror.revision === 0 || mirror.position.era !== this.#options.store.era) {
            this.#history.clear();
            return;
        }
        for (const service of split.services()) {
            await lead.runWhileHeld(() => this.#step(service));
        }
    }

    async #step(service: string): Promise<void> {
        const { split, fleetClock, exposureRatio } = this.#options;
        const record = split.recordOf(service);
        const order = split.orderOf(service)?.order;
        if (record === undefined && order === undefined || this.#isOrderInDoubt(service, order !== undefined)) {
            return;
        }
        const results = record?.state === "inProgress" ? await this.#readResults(record) : { base: {}, target: {} };
        if (results === undefined) {
            return;
        }
        const target = order?.target ?? record?.target ?? "";
        const next = decideRolloutStep({
            record,
            order,
            circumstances: this.#describeCircumstances(service, target),
            seen: {
                nowMs: fleetClock.now().getTime(),
                ...this.#observe(service, target),
                ...results,
                recent: this.#addRecent(service, results),
            },
            exposureRatio,
        });
        if (next !== undefined && (next !== record || this.#isOutdated(next))) {
            await this.#write(next, record);
        }
    }

    #isOrderInDoubt(service: string, isPresent: boolean): boolean {
        const nowMs = this.#options.clock.monotonicMs();
        if (isPresent) {
            this.#missingSinceMs.delete(service);
            return false;
        }
        const sinceMs = this.#missingSinceMs.get(service) ?? nowMs;
        this.#missingSinceMs.set(service, sinceMs);
        return nowMs - sinceMs < removalMs;
    }

    async #readResults(record: RolloutRecord): Promise<Results | undefined> {
        const listed = await this.#options.store.list(`${tallyPrefix}${record.service}/`);
        if (!listed.ok) {
            this.#options.log.write(events.rolloutStepFailed, { service: record.service, code: listed.issue.code });
            return undefined;
        }
        const tallies = listed.value.items.flatMap(({ value }) => readTally(value, record) ?? []);
        return { base: addTallies(tallies.map(({ base }) => base)), target: addTallies(tallies.map(({ target }) => target)) };
    }

    #addRecent(service: string, results: Results): Results {
        const history = [...this.#history.get(service) ?? [], results].slice(-recentSteps);
        this.#history.set(service, history);
        const first = history[0] ?? results;
        return { base: subtractTally(results.base, first.base), target: subtractTally(results.target, first.target) };
    }

    #describeCircumstances(service: string, target: string): Parameters<typeof decideRolloutStep>[0]["circumstances"] {
        const { configuration, endpoints, split } = this.#options;
        const services = configuration.current()?.configuration.services ?? [];
        const all = endpoints.ofService(service);
        const known = split.orderOf(service)?.knownBefore;
        const others = all.filter(({ softwareVersion }) => softwareVersion !== target);
        // Without another version, the target is what served before the order.
        const before = all.filter(endpoint => others.length === 0 || known?.has(endpoint.endpointId) === true);
        return {
            services: services.map(({ name }) => name),
            runningVersions: new Set([...others, ...before].map(({ softwareVersion }) => softwareVersion)),
            startMs: (services.find(({ name }) => name === service)?.scaling?.startSeconds ?? 0) * 1_000,
        };
    }

    #observe(
        service: string,
        target: string,
    ): Pick<RolloutObservation, "targetEndpoints" | "baseEndpoints" | "requiredEndpoints"> {
        const usable = this.#options.endpoints.usable(service);
        const targets = usable.filter(({ softwareVersion }) => softwareVersion === target);
        const others = usable.filter(({ softwareVersion }) => softwareVersion !== target);
        const running = usable.reduce((total, { endpointId }) => total + this.#options.countRunning(endpointId), 0);
        const capacity = targets.reduce((total, endpoint) => total + endpoint.capacity, 0) / Math.max(1, targets.length);
        const loaded = Math.ceil(running / Math.max(1, capacity * targetUtilization));
        return {
            targetEndpoints: targets.map(({ endpointId }) => endpointId),
            baseEndpoints: others.length,
            requiredEndpoints: Math.max(1, Math.ceil(others.length * minReplacedShare), Math.min(others.length, loaded)),
        };
    }

    /** Whether the store holds an earlier step, as after a restore. */
    #isOutdated({ service, step, state }: RolloutRecord): boolean {
        const { mirror, decoder: { rollouts } } = this.#options;
        const stored = readRecord(mirror.get(recordPrefix + service)?.value);
        const isStatusOpen =
            rollouts.readTargetInProgress(mirror.get(rollouts.statusPrefix + service)?.value ?? "") !== undefined;
        return !this.#isAhead(recordPrefix + service) && (stored?.step !== step || isStatusOpen !== (state === "inProgress"));
    }

    async #write(record: RolloutRecord, former: RolloutRecord | undefined): Promise<void> {
        const { store, mirror, decoder: { rollouts }, fleetClock, log, split } = this.#options;
        const { service } = record;
        const key = recordPrefix + service;
        const { era } = mirror.position;
        const writtenAtMs = fleetClock.now().getTime();
        const status = rollouts.renderStatus(record);
        const statusKey = rollouts.statusPrefix + service;
        const isStatusWritten = mirror.get(statusKey)?.value === status;
        const revision = this.#isAhead(key) ? this.#written.get(key)?.revision : mirror.get(key)?.revision;
        const committed = await store.commit({
            era,
            expected: [{ key, revision: revision ?? 0 }],
            writes: [
                // The record is last, since the store may count a revision for each change and returns the last one.
                ...(isStatusWritten ? [] : [{ key: statusKey, value: status }]),
                { key, value: renderRecord(record, writtenAtMs) },
            ],
        });
        if (!committed.ok) {
            this.#written.delete(key);
            log.write(events.rolloutStepFailed, { service, step: record.step, code: committed.issue.code });
            return;
        }
        this.#written.set(key, { era, revision: committed.value });
        split.takeRecord(record, writtenAtMs);
        this.#logStep(record, former);
        if (record.state !== "inProgress" && former?.state === "inProgress") {
            await this.#removeTallies(service);
        }
    }

    /** Whether this host has written a revision that the mirror does not have yet. */
    #isAhead(key: string): boolean {
        const written = this.#written.get(key);
        const { mirror } = this.#options;
        return written?.era === mirror.position.era && written.revision > (mirror.get(key)?.revision ?? 0);
    }

    async #removeTallies(service: string): Promise<void> {
        const { store } = this.#options;
        const listed = await store.list(`${tallyPrefix}${service}/`);
        const keys = listed.ok ? listed.value.items.map(({ key }) => key) : [];
        for (let index = 0; index < keys.length; index += commitKeys) {
            // What stays is ignored by the next order.
            await store.commit({ era: store.era, expected: [], writes: [], removals: keys.slice(index, index + commitKeys) });
        }
    }

    #logStep(record: RolloutRecord, former: RolloutRecord | undefined): void {
        const { log } = this.#options;
        const { service, target, state, phase, reason, field, step, share } = record;
        const fields = { service, target, phase, step, share, reason, field };
        if (field !== undefined) {
            log.write(events.rolloutRefused, fields);
        }
        else if (state !== "inProgress") {
            log.write(state === "completed" ? events.rolloutCompleted : events.rolloutReverted, fields);
        }
        else if (former?.state !== "inProgress") {
            log.write(events.rolloutStarted, { ...fields, formerVersions: record.formerVersions, durationMs: record.durationMs });
        }
        else if (former.phase !== phase) {
            log.write(events.rolloutPhaseChanged, { ...fields, endpoints: record.endpoints });
        }
    }
}
