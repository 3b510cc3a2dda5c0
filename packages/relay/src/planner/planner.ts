import type { Configuration } from "@filbertrelay/configuration";
import type { CloudClient, CloudHost, KeyValueClient, WeightStoreClient } from "@filbertrelay/connectors";
import type { EngineDriver } from "@filbertrelay/endpoints";
import type { FailureDomainId, HostId, Kernel, Service } from "@filbertrelay/kernel";
import { brandAs, declareEvents } from "@filbertrelay/kernel";
import { createStartBackoff, nameOffer, planOrders, planPlacement, planStarts, rankByRendezvous } from "@filbertrelay/policy";
import type { HostOffer, ObservedEngine, WantedOrder, WantedStart } from "@filbertrelay/policy";
import type { ConfigurationService, MembershipService } from "../contract.js";
import type { Directory } from "../directory/directory.js";
import { readIntent, writeIntent } from "./intent.js";
import type { PlannerIntent } from "./intent.js";
import { PlannerLease } from "./lease.js";

const events = declareEvents({
    hostStarted: { number: 6001, level: "info", text: "The planner started a host.", action: "None." },
    hostStartRefused: {
        number: 6002,
        level: "warn",
        text: "The cloud API refused to start a host; other offers are used until the backoff ends.",
        action:
            "None, unless every offer is refused: requests are then refused once load exceeds the capacity of the remaining engines.",
    },
    orderSent: { number: 6003, level: "info", text: "The planner ordered an engine to load a model.", action: "None." },
    notEnoughOffers: {
        number: 6004,
        level: "warn",
        text: "The offers can't provide the engines that the questionnaire requires after the loss of a failure domain.",
        action: "Add failure domains or host classes to the questionnaire, or ask for fewer engines.",
    },
    orderRefused: {
        number: 6005,
        level: "info",
        text: "An engine refused an order because its fencing token was stale.",
        action: "None; another host has become the planner.",
    },
});

const roundPeriodMs = 5_000;
/** Number of hosts that compete for the lease; more would only add calls to the key-value service. */
const candidateCount = 3;
const maximumLoadingRatio = 0.34;
/** Used when the weight store does not report its rate. */
const defaultStoreBytesPerSecond = 200_000_000;
const hostBytesPerSecond = 1_000_000_000;
/** Limits the cost of one round if the cloud's list of hosts is wrong. */
const maximumStartsPerRound = 16;

/** Starts hosts and assigns models to engines; only the holder of the planner lease does so. Registered as `planner`. */
export class Planner implements Service {
    readonly #kernel: Kernel;
    readonly #keyValue: KeyValueClient;
    readonly #cloud: CloudClient;
    readonly #engines: EngineDriver;
    readonly #lease: PlannerLease;
    readonly #backoff = createStartBackoff();
    readonly #stopping = new AbortController();

    constructor(kernel: Kernel) {
        this.#kernel = kernel;
        this.#keyValue = kernel.get<KeyValueClient>("keyValue");
        this.#cloud = kernel.get<CloudClient>("cloud");
        this.#engines = kernel.get<EngineDriver>("engines");
        this.#lease = new PlannerLease({
            keyValue: this.#keyValue,
            clock: kernel.clock,
            hostId: this.#membership().self().hostId,
        });
    }

    start(): Promise<void> {
        void this.#runLoop();
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#stopping.abort(new Error("The planner stopped."));
        return Promise.resolve();
    }

    async #runLoop(): Promise<void> {
        while (!this.#stopping.signal.aborted) {
            await this.#kernel.clock.sleep(roundPeriodMs, this.#stopping.signal).catch(() => undefined);
            if (this.#isCandidate() && await this.#lease.renewOrAcquire() !== undefined) {
                await this.#runRound();
            }
        }
    }

    #isCandidate(): boolean {
        const members = this.#membership().members().filter(member => member.state === "alive");
        const ranked = rankByRendezvous("planner", members, member => member.hostId);
        const isReady = this.#kernel.get<ConfigurationService>("configuration").isReady();
        return isReady && !this.#stopping.signal.aborted &&
            ranked.slice(0, candidateCount).some(member => member.hostId === this.#membership().self().hostId);
    }

    async #runRound(): Promise<void> {
        const configuration = this.#kernel.get<ConfigurationService>("configuration").current();
        const [hosts, stored] = await Promise.all([this.#cloud.listHosts(), readIntent(this.#keyValue)]);
        const fencingToken = this.#lease.fencingToken();
        if (
            !hosts.ok || stored === undefined || fencingToken === undefined || (stored.intent?.fencingToken ?? 0) > fencingToken
        ) {
            return;
        }
        const starts = this.#computeStarts(configuration, hosts.value);
        const orders = await this.#computeOrders(configuration);
        if (starts.length + orders.length === 0) {
            return;
        }
        const round = (stored.intent?.round ?? 0) + 1;
        const intent = toIntent(fencingToken, round, starts, orders);
        // The write fails for a former lease holder that was paused, so it sends nothing.
        if (await writeIntent(this.#keyValue, intent, stored.version) && this.#lease.fencingToken() === fencingToken) {
            await this.#execute(intent, starts, orders);
        }
    }

    #computeStarts(configuration: Configuration, hosts: readonly CloudHost[]): readonly WantedStart[] {
        const requiredEngines = configuration.models.reduce((sum, model) => sum + model.enginesAtPeak, 0);
        const excludedOffers = this.#backoff.excluded(this.#kernel.clock.now().getTime());
        const placement = planPlacement(toOffers(configuration), { requiredEngines, excludedOffers });
        if (!placement.ok) {
            this.#kernel.log.write(events.notEnoughOffers, { requiredEngines, excludedOffers: [...excludedOffers] });
            return [];
        }
        const engines = hosts.filter(host => host.role === "engine" && host.state !== "terminated");
        return planStarts(
            placement.value,
            engines.map(host => ({
                hostId: host.hostId,
                failureDomain: host.failureDomain,
                hostClass: host.hostClass,
                purchase: host.reclaimable ? "reclaimable" : "onDemand",
                isRetained: host.state === "running",
            })),
        ).slice(0, maximumStartsPerRound);
    }

    async #computeOrders(configuration: Configuration): Promise<readonly WantedOrder[]> {
        const rate = await this.#kernel.get<WeightStoreClient>("weightStore").readRate();
        const storeBytesPerSecond = rate.ok ? rate.value.bytesPerSecond : defaultStoreBytesPerSecond;
        const orders = await Promise.all(configuration.models.map(async model => {
            const observed = await this.#observeEngines(model.name);
            return planOrders(observed, model, { storeBytesPerSecond, hostBytesPerSecond, maximumLoadingRatio });
        }));
        return orders.flat();
    }

    async #observeEngines(model: string): Promise<readonly ObservedEngine[]> {
        const endpoints = this.#kernel.get<Directory>("directory").endpoints(model);
        const observed = await Promise.all(endpoints.map(async ({ endpointId, address }) => {
            const state = await this.#engines.readState(address);
            return state.ok ? [{ endpointId, ...state.value }] : [];
        }));
        return observed.flat();
    }

    async #execute(intent: PlannerIntent, starts: readonly WantedStart[], orders: readonly WantedOrder[]): Promise<void> {
        await Promise.all([
            ...starts.map(({ offer }, index) => this.#startHost(offer, intent.starts[index]?.requestId ?? "")),
            ...orders.map(order => this.#sendOrder(order, intent.fencingToken)),
        ]);
    }

    async #startHost(offer: HostOffer, requestId: string): Promise<void> {
        const { clock, log } = this.#kernel;
        const started = await this.#cloud.startHost({
            requestId,
            role: "engine",
            failureDomain: brandAs<FailureDomainId>(offer.failureDomain),
            hostClass: offer.hostClass,
            reclaimable: offer.purchase === "reclaimable",
        });
        if (started.ok) {
            this.#backoff.recordStart(nameOffer(offer));
            log.write(events.hostStarted, { host: started.value.hostId satisfies HostId, offer: nameOffer(offer) });
        }
        else if (started.issue.code === "cloud.refused") {
            this.#backoff.recordRefusal(nameOffer(offer), clock.now().getTime());
            log.write(events.hostStartRefused, { offer: nameOffer(offer) });
        }
    }

    async #sendOrder({ endpointId, model }: WantedOrder, fencingToken: number): Promise<void> {
        const endpoint = this.#kernel.get<Directory>("directory").endpoints(model.name).find(candidate =>
            candidate.endpointId === endpointId
        );
        if (endpoint === undefined) {
            return;
        }
        const sent = await this.#engines.sendOrder(endpoint.address, {
            fencingToken,
            model: model.name,
            modelVersion: model.version,
            adapters: model.adapters,
            role: "mixed",
        });
        const isStale = !sent.ok && sent.issue.code === "endpoint.staleOrder";
        this.#kernel.log.write(isStale ? events.orderRefused : events.orderSent, {
            endpoint: endpointId,
            model: model.name,
            version: model.version,
        });
    }

    #membership(): MembershipService {
        return this.#kernel.get<MembershipService>("membership");
    }
}

// A host runs one engine per accelerator.
function toOffers(configuration: Configuration): readonly HostOffer[] {
    return configuration.hostClasses.filter(offer => offer.accelerators > 0).flatMap(offer => {
        const { failureDomain, name: hostClass, accelerators: enginesPerHost } = offer;
        const base = { failureDomain, hostClass, enginesPerHost };
        const onDemand: HostOffer = { ...base, purchase: "onDemand", price: offer.onDemandPrice };
        return offer.reclaimablePrice === undefined ?
            [onDemand] :
            [onDemand, { ...base, purchase: "reclaimable", price: offer.reclaimablePrice }];
    });
}

function toIntent(
    fencingToken: number,
    round: number,
    starts: readonly WantedStart[],
    orders: readonly WantedOrder[],
): PlannerIntent {
    return {
        fencingToken,
        round,
        starts: starts.map(({ offer }, index) => ({
            requestId: `${fencingToken}-${round}-${index}`,
            failureDomain: offer.failureDomain,
            hostClass: offer.hostClass,
            reclaimable: offer.purchase === "reclaimable",
        })),
        orders: orders.map(({ endpointId, model }) => ({ endpointId, model: model.name, modelVersion: model.version })),
    };
}
