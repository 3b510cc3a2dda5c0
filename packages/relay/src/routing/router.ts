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

/** Engines that one entry host sends to; more are only a longer list of late reports. */
const subsetSize = 32;

/** A host without a load report of each model's engines takes requests after this time all the same. */
const reportWaitMs = 3_000;

/** The engine chosen for a request. */
export interface EngineChoice {
    readonly engine: DirectoryEntry;
    readonly endpointId: EndpointId;
    readonly routing: RoutingChoice;
}

/** What must not be chosen. */
export interface ChoiceLimits {
    readonly excluded: ReadonlySet<EndpointId>;
    readonly avoidedFailureDomains: ReadonlySet<FailureDomainId>;
    /** Chosen if it is live and not excluded, because the KV cache was moved there. */
    readonly preferred?: EndpointId | undefined;
}

/** Chooses engines for model requests from caches and load as this host knows them; registered as `routing`. */
export class EngineRouter implements Service {
    readonly #kernel: Kernel;
    readonly #directory: Directory;
    readonly #configuration: ConfigurationService;
    readonly #index: PrefixIndex = createPrefixIndex();
    readonly #loads: LoadTable = createLoadTable();
    readonly #watches = new Map<EndpointId, EngineWatch>();
    readonly #crashedUntilMs = new Map<EndpointId, number>();
    #startedMs = 0;
    #isStopped = false;

    constructor(kernel: Kernel) {
        this.#kernel = kernel;
        this.#directory = kernel.get<Directory>("directory");
        this.#configuration = kernel.get<ConfigurationService>("configuration");
    }

    start(): Promise<void> {
        this.#startedMs = this.#kernel.clock.monotonicMs();
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

    /** Whether an engine of each model has reported its load, without which admission would refuse too much. */
    isReady(): boolean {
        const { clock } = this.#kernel;
        const models = this.#configuration.head()?.configuration.models ?? [];
        const now = clock.now();
        const isReported = (engine: DirectoryEntry): boolean =>
            Number.isFinite(this.#loads.estimate(brandAs<EndpointId>(engine.endpointId), now).ageMs);
        return clock.monotonicMs() - this.#startedMs > reportWaitMs ||
            models.every(model => this.#directory.endpoints(model.name).some(isReported));
    }

    /** Chooses an engine of the model for a prompt. */
    choose(model: string, prompt: PromptBlocks, limits: ChoiceLimits): Outcome<EngineChoice, RoutingIssue> {
        const usable = this.#usableEngines(model);
        const preferred = usable.filter(engine =>
            engine.endpointId === limits.preferred && !limits.excluded.has(limits.preferred)
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
            excluded: limits.excluded,
            avoidedFailureDomains: limits.avoidedFailureDomains,
        });
        if (!chosen.ok) {
            return chosen;
        }
        const engine = engines.find(candidate => candidate.endpointId === chosen.value.endpointId);
        return engine === undefined ?
            failure({ code: "routing.noCandidate", message: `The model '${model}' has no live engine.` }) :
            success({ engine, endpointId: chosen.value.endpointId, routing: chosen.value });
    }

    /** Notes that a request was sent, so that the next choice counts it before the engine reports it. */
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

    /** Forgets the cache of a crashed engine and leaves it out for a while. */
    recordCrash(endpointId: EndpointId, avoidForMs: number): void {
        this.#index.forget(endpointId);
        this.#loads.forget(endpointId);
        this.#crashedUntilMs.set(endpointId, this.#kernel.clock.monotonicMs() + avoidForMs);
    }

    /** Leading tokens of a prompt that an engine holds, as far as known. */
    cachedBlocks(endpointId: EndpointId, prompt: PromptBlocks): number {
        return this.#index.match(endpointId, prompt.blocks).certainBlocks;
    }

    /** Tokens that an engine computes per second. */
    tokensPerSecond(endpointId: EndpointId): number {
        return this.#loads.estimate(endpointId, this.#kernel.clock.now()).tokensPerSecond;
    }

    /** Batch slots of all live engines of a model, in the whole fleet. */
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
        const sound = engines.filter(engine => (this.#crashedUntilMs.get(brandAs<EndpointId>(engine.endpointId)) ?? 0) <= nowMs);
        return sound.length > 0 ? sound : engines;
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

    #updateWatches(): void {
        if (this.#isStopped) {
            return;
        }
        const models = this.#configuration.head()?.configuration.models ?? [];
        const engines = models.flatMap(model => this.#subset(this.#directory.endpoints(model.name)));
        const wanted = new Map(engines.map(engine => [brandAs<EndpointId>(engine.endpointId), engine]));
        for (const [endpointId, watch] of this.#watches) {
            if (wanted.get(endpointId)?.address !== watch.address) {
                watch.stop();
                this.#watches.delete(endpointId);
                this.#index.forget(endpointId);
                this.#loads.forget(endpointId);
            }
        }
        for (const [endpointId, engine] of wanted) {
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
