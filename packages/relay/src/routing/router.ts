import type { Configuration } from "@filbertrelay/configuration";
import type { EngineDriver } from "@filbertrelay/endpoints";
import type { EndpointId, FailureDomainId, HostId, Kernel, Service } from "@filbertrelay/kernel";
import { brandAs, failure, success } from "@filbertrelay/kernel";
import type { Outcome } from "@filbertrelay/kernel";
import { chooseEndpoint, computeSubset, createLoadTable, createPrefixIndex, describeCandidates } from "@filbertrelay/policy";
import type { LoadTable, PrefixIndex, PromptBlocks, RoutingChoice, RoutingIssue } from "@filbertrelay/policy";
import type { ConfigurationService, DirectoryEntry, MembershipService } from "../contract.js";
import type { Directory } from "../directory/directory.js";
import { EngineWatch } from "./watch.js";

/** Engines that one entry host sends to; a larger subset would only add more outdated load reports. */
const subsetSize = 32;

/** A host is ready after this time even if the engines of some models have not reported their load. */
const reportTimeoutMs = 3_000;

/** The engine chosen for a request. */
export interface EngineChoice {
    readonly engine: DirectoryEntry;
    readonly endpointId: EndpointId;
    readonly routing: RoutingChoice;
}

/** Constraints on the choice of an engine. */
export interface ChoiceConstraints {
    readonly excluded: ReadonlySet<EndpointId>;
    readonly avoidedFailureDomains: ReadonlySet<FailureDomainId>;
    /** Chosen if it is usable and not excluded, because the KV cache was moved there. */
    readonly preferred?: EndpointId | undefined;
}

/** Chooses engines for model requests by the caches and load that this host knows of; registered as `routing`. */
export class EngineRouter implements Service {
    readonly #kernel: Kernel;
    readonly #directory: Directory;
    readonly #configuration: ConfigurationService;
    readonly #index: PrefixIndex = createPrefixIndex();
    readonly #loads: LoadTable = createLoadTable({ dispatchWeight: () => this.#dispatchWeight });
    /** Accounts for dispatches of other hosts that rely on the same outdated load report; see `LoadTableOptions`. */
    #dispatchWeight = 1;
    readonly #watches = new Map<EndpointId, EngineWatch>();
    readonly #excludedUntilMs = new Map<EndpointId, number>();
    #startedMs = 0;
    #isStopped = false;

    constructor(kernel: Kernel) {
        this.#kernel = kernel;
        this.#directory = kernel.get<Directory>("directory");
        this.#configuration = kernel.get<ConfigurationService>("configuration");
    }

    start(): Promise<void> {
        this.#startedMs = this.#kernel.clock.monotonicMs();
        this.#kernel.get<MembershipService>("membership").onChange(() => this.#updateDispatchWeight());
        this.#directory.onChange(() => this.#updateWatches());
        this.#configuration.onChange(() => this.#updateWatches());
        this.#updateWatches();
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#isStopped = true;
        this.#watches.forEach(watch => watch.stop());
        return Promise.resolve();
    }

    /** Whether an engine of each model has reported its load. Without the reports, admission would refuse too many requests. */
    isReady(): boolean {
        const { clock } = this.#kernel;
        const models = this.#configuration.head()?.configuration.models ?? [];
        const now = clock.now();
        const isReported = (engine: DirectoryEntry): boolean =>
            Number.isFinite(this.#loads.estimate(brandAs<EndpointId>(engine.endpointId), now).ageMs);
        return clock.monotonicMs() - this.#startedMs > reportTimeoutMs ||
            models.every(model => this.#directory.endpoints(model.name).some(isReported));
    }

    /** Chooses an engine of the model for a prompt. */
    choose(model: string, prompt: PromptBlocks, constraints: ChoiceConstraints): Outcome<EngineChoice, RoutingIssue> {
        const usable = this.#usableEngines(model);
        const preferred = usable.filter(engine =>
            engine.endpointId === constraints.preferred && !constraints.excluded.has(constraints.preferred)
        );
        const engines = preferred.length > 0 ? preferred : usable;
        const now = this.#kernel.clock.now();
        const endpoints = engines.map(engine => ({
            endpointId: brandAs<EndpointId>(engine.endpointId),
            failureDomain: engine.failureDomain,
        }));
        const candidates = describeCandidates(endpoints, prompt, this.#index, this.#loads, now);
        const chosen = chooseEndpoint(prompt, candidates, {
            weights: this.#weights(),
            excluded: constraints.excluded,
            avoidedFailureDomains: constraints.avoidedFailureDomains,
        });
        if (!chosen.ok) {
            return chosen;
        }
        const engine = engines.find(candidate => candidate.endpointId === chosen.value.endpointId);
        return engine === undefined ?
            failure({ code: "routing.noCandidate", message: `The model '${model}' has no live engine.` }) :
            success({ engine, endpointId: chosen.value.endpointId, routing: chosen.value });
    }

    /** Records a dispatch, so that the next choice includes it before the engine reports it. */
    recordDispatch(choice: EngineChoice, requestId: string, prompt: PromptBlocks): void {
        this.#index.recordDispatch(choice.endpointId, prompt.blocks);
        this.#loads.recordDispatch(choice.endpointId, requestId, choice.routing.tokensToCompute, this.#kernel.clock.now());
    }

    recordFirstToken(endpointId: EndpointId, requestId: string): void {
        this.#loads.recordFirstToken(endpointId, requestId, this.#kernel.clock.now());
    }

    recordFinish(endpointId: EndpointId, requestId: string): void {
        this.#loads.recordFinish(endpointId, requestId, this.#kernel.clock.now());
    }

    /** Discards the cache index and load of a crashed engine and excludes it for a time. */
    recordCrash(endpointId: EndpointId, excludeForMs: number): void {
        this.#index.forget(endpointId);
        this.#loads.forget(endpointId);
        this.#excludedUntilMs.set(endpointId, this.#kernel.clock.monotonicMs() + excludeForMs);
    }

    /** The number of leading blocks of a prompt that an engine is known to have cached. */
    cachedBlocks(endpointId: EndpointId, prompt: PromptBlocks): number {
        return this.#index.match(endpointId, prompt.blocks).certainBlocks;
    }

    /** Tokens per second that an engine computes, by its last report or else by default. */
    tokensPerSecond(endpointId: EndpointId): number {
        return this.#loads.estimate(endpointId, this.#kernel.clock.now()).tokensPerSecond;
    }

    /** The total number of batch slots of a model's live engines in the fleet. */
    slots(model: string): number {
        const now = this.#kernel.clock.now();
        const engines = this.#directory.endpoints(model);
        return engines.reduce(
            (sum, engine) => sum + this.#loads.estimate(brandAs<EndpointId>(engine.endpointId), now).batchSlots,
            0,
        );
    }

    #usableEngines(model: string): readonly DirectoryEntry[] {
        const nowMs = this.#kernel.clock.monotonicMs();
        const engines = this.#subset(this.#directory.endpoints(model));
        const healthy = engines.filter(engine =>
            (this.#excludedUntilMs.get(brandAs<EndpointId>(engine.endpointId)) ?? 0) <= nowMs
        );
        return healthy.length > 0 ? healthy : engines;
    }

    #subset(engines: readonly DirectoryEntry[]): readonly DirectoryEntry[] {
        return computeSubset(this.#ownHost(), engines, engine => engine.endpointId, { size: subsetSize });
    }

    #ownHost(): HostId {
        return this.#kernel.get<MembershipService>("membership").self().hostId;
    }

    #weights(): Configuration["weights"] {
        return this.#configuration.isReady() ? this.#configuration.current().weights : { latency: 1, cost: 1 };
    }

    // About half the number of hosts that send to an engine: all hosts in a small fleet, few where each host uses a subset.
    #updateDispatchWeight(): void {
        const hosts =
            this.#kernel.get<MembershipService>("membership").members().filter(member => member.state === "alive").length;
        const models = this.#configuration.head()?.configuration.models ?? [];
        const engines = Math.max(1, ...models.map(model => this.#directory.endpoints(model.name).length));
        this.#dispatchWeight = Math.max(1, (hosts * Math.min(1, subsetSize / engines) + 1) / 2);
    }

    #updateWatches(): void {
        if (this.#isStopped) {
            return;
        }
        this.#updateDispatchWeight();
        const models = this.#configuration.head()?.configuration.models ?? [];
        const engines = models.flatMap(model => this.#subset(this.#directory.endpoints(model.name)));
        const watchedEngines = new Map(engines.map(engine => [brandAs<EndpointId>(engine.endpointId), engine]));
        for (const [endpointId, watch] of this.#watches) {
            if (watchedEngines.get(endpointId)?.address !== watch.address) {
                watch.stop();
                this.#watches.delete(endpointId);
                this.#index.forget(endpointId);
                this.#loads.forget(endpointId);
            }
        }
        for (const [endpointId, engine] of watchedEngines) {
            if (!this.#watches.has(endpointId)) {
                const watch = new EngineWatch({
                    clock: this.#kernel.clock,
                    engines: this.#kernel.get<EngineDriver>("engines"),
                    endpointId,
                    address: engine.address,
                    index: this.#index,
                    loads: this.#loads,
                    fleetSize: () => this.#kernel.get<MembershipService>("membership").members().length,
                });
                this.#watches.set(endpointId, watch);
                watch.start();
            }
        }
    }
}
