import type { Configuration } from "@filbertrelay/configuration";
import type { CloudClient, KeyValueClient, StoredValue } from "@filbertrelay/connectors";
import type { ServiceDriver, ServiceRequest, ServiceResponse } from "@filbertrelay/endpoints";
import { brandAs, createKernel, createSystemClock, failure, silentEventLog, success } from "@filbertrelay/kernel";
import type {
    CustomerId,
    FailureDomainId,
    HostId,
    IdempotencyKey,
    Incarnation,
    Kernel,
    Service,
    ServiceName,
} from "@filbertrelay/kernel";
import { createShardService } from "@filbertrelay/relay";
import type { Member, ShardService, Submission } from "@filbertrelay/relay";
import type { PeerContext, PeerNetwork } from "@filbertrelay/wire";

/** An in-memory key-value service with outages and lost replies. */
export class MemoryKeyValue {
    readonly values = new Map<string, StoredValue>();
    isDown = false;
    lostReplies = 0;
    reads = 0;
    writes = 0;
    latencyMs = 0;
    #revision = 0;

    client(): KeyValueClient {
        const unavailable = failure({ code: "keyValue.unavailable" as const, message: "The key-value service is down." });
        const unused = () => Promise.resolve(unavailable);
        return {
            get: async key => {
                await this.#delay();
                this.reads += 1;
                return this.isDown ? unavailable : success(this.values.get(key));
            },
            list: async prefix => {
                await this.#delay();
                this.reads += 1;
                const values = [...this.values.values()].filter(value => value.key.startsWith(prefix));
                return this.isDown ? unavailable : success(values);
            },
            compareAndSwap: async (key, value, { expectedVersion }) => {
                await this.#delay();
                this.writes += 1;
                if (this.isDown) {
                    return unavailable;
                }
                if ((this.values.get(key)?.version ?? 0) !== expectedVersion) {
                    return failure({ code: "keyValue.conflict" as const, message: "The version does not match." });
                }
                const version = ++this.#revision;
                this.values.set(key, { key, value, version });
                this.lostReplies -= 1;
                return this.lostReplies >= 0 ? unavailable : success(version);
            },
            watch: unused,
            grantLease: unused,
            renewLease: unused,
        };
    }

    #delay(): Promise<void> {
        return this.latencyMs > 0 ? new Promise(resolve => setTimeout(resolve, this.latencyMs)) : Promise.resolve();
    }
}

type Handler = (body: unknown, context: PeerContext) => Promise<unknown>;

/** Overrides of the default configuration of a fleet. */
export interface FleetOptions {
    readonly resultRetentionMs?: number;
    readonly answersStatus?: boolean;
}

/** An entry host whose shard service uses in-memory fakes. */
export interface EntryHost {
    readonly member: Member;
    readonly shards: ShardService;
    readonly handlers: Map<string, Handler>;
    readonly kernel: Kernel;
    isDead: boolean;
    isCutOff: boolean;
}

/** Several entry hosts in one process that share one plain service. */
export class EntryFleet {
    readonly keyValue = new MemoryKeyValue();
    readonly hosts: EntryHost[] = [];
    readonly runs = new Map<string, number>();
    readonly terminated = new Set<string>();
    readonly #listeners = new Set<(member: Member) => void>();
    readonly #configuration: Configuration;
    readonly #responses = new Map<string, ServiceResponse>();
    isResponding = true;

    constructor(size: number, options: FleetOptions = {}) {
        this.#configuration = createConfiguration(options);
        for (let index = 0; index < size; index++) {
            this.hosts.push(this.#createHost(index));
        }
    }

    async start(): Promise<void> {
        for (const host of this.hosts) {
            await host.shards.start?.();
        }
    }

    /** Returns the first live host that owns a shard. */
    owner(shard = 0): EntryHost | undefined {
        return this.hosts.filter(host => !host.isDead && host.shards.owned().some(owned => owned.shard === shard))[0];
    }

    survivor(): EntryHost {
        const survivor = this.hosts.find(host => !host.isDead && host.member.state === "alive" && host !== this.owner());
        return survivor ?? this.hosts[0]!;
    }

    kill(host: EntryHost): void {
        host.isDead = true;
        this.terminated.add(host.member.hostId);
        this.setState(host, "dead");
    }

    setState(host: EntryHost, state: Member["state"]): void {
        Object.assign(host.member, { state });
        this.#listeners.forEach(listener => listener(host.member));
    }

    submission(key: string, options: { customer?: string; body?: string; remainingMs?: number; } = {}): Submission {
        return {
            customer: brandAs<CustomerId>(options.customer ?? "c1"),
            service: brandAs<ServiceName>("orders"),
            operation: "create",
            idempotencyKey: brandAs<IdempotencyKey>(key),
            method: "POST",
            path: "/orders",
            headers: {},
            body: new TextEncoder().encode(options.body ?? "order"),
            remainingMs: options.remainingMs ?? 2_000,
        };
    }

    #createHost(index: number): EntryHost {
        const member: Member = {
            hostId: brandAs<HostId>(`host-${index}`),
            incarnation: brandAs<Incarnation>(`${1_000 + index}-a`),
            failureDomain: brandAs<FailureDomainId>(`domain-${index}`),
            peerAddress: `127.0.0.1:${9_000 + index}`,
            callerAddress: `127.0.0.1:${8_000 + index}`,
            state: "alive",
        };
        const kernel = createKernel({ clock: createSystemClock(), log: silentEventLog });
        const handlers = new Map<string, Handler>();
        const shards = createShardService(kernel, { retryMs: 30 });
        const host: EntryHost = { member, shards, handlers, kernel, isDead: false, isCutOff: false };
        this.#register(kernel, host);
        return host;
    }

    #register(kernel: Kernel, host: EntryHost): void {
        const services = {
            membership: {
                self: () => host.member,
                members: () => this.hosts.map(other => other.member),
                onChange: (listener: (member: Member) => void) => {
                    this.#listeners.add(listener);
                    return () => this.#listeners.delete(listener);
                },
            },
            configuration: { current: () => this.#configuration },
            directory: {
                endpoints:
                    () => [{ endpointId: "orders-1", hostId: "e1", address: "orders-1", failureDomain: "d", leaving: false }],
            },
            peers: this.#network(host),
            keyValue: this.keyValue.client(),
            services: this.#driver(host),
            cloud: this.#cloud(),
            shards: host.shards,
        };
        Object.entries(services).forEach(([name, service]) => kernel.register(name, service as Service));
    }

    #network(host: EntryHost): PeerNetwork {
        const call: PeerNetwork["call"] = async (peer, topic, body) => {
            const target = this.hosts.find(other => other.member.hostId === peer);
            const isLost = target === undefined || target.isDead || host.isDead || target.isCutOff || host.isCutOff;
            const handler = target?.handlers.get(topic.name);
            if (isLost || handler === undefined) {
                return failure({ code: "peer.unreachable" as const, message: "The peer is unreachable.", sent: false });
            }
            const context = { from: host.member.hostId, signal: new AbortController().signal };
            const reply = await handler(topic.request.parse(body), context);
            return success(topic.reply.parse(reply) as never);
        };
        const handle = ((topic: { name: string; }, handler: Handler) => void host.handlers.set(topic.name, handler)) as never;
        return { call, handle, setAddress: () => undefined } as unknown as PeerNetwork;
    }

    #driver(host: EntryHost): ServiceDriver {
        return {
            send: (_address: string, request: ServiceRequest) => this.#run(host, request),
            queryKey: (_address: string, key: IdempotencyKey) => Promise.resolve(this.#query(key)),
        };
    }

    async #run(host: EntryHost, request: ServiceRequest): ReturnType<ServiceDriver["send"]> {
        if (host.isDead) {
            return new Promise(() => undefined);
        }
        const key = String(request.idempotencyKey);
        const count = (this.runs.get(key) ?? 0) + 1;
        this.runs.set(key, count);
        const response = { status: 201, headers: {}, body: new TextEncoder().encode(`${key} run ${count}`) };
        this.#responses.set(key, response);
        if (!this.isResponding) {
            return new Promise(() => undefined);
        }
        await Promise.resolve();
        return success(response);
    }

    #query(key: string): Awaited<ReturnType<ServiceDriver["queryKey"]>> {
        const response = this.#responses.get(key);
        return success(response === undefined ? { executed: "no" } : { executed: "yes", response });
    }

    #cloud(): CloudClient {
        const describe = (host: EntryHost) => ({
            hostId: host.member.hostId,
            role: "entry" as const,
            failureDomain: host.member.failureDomain,
            hostClass: "small",
            reclaimable: true,
            state: this.terminated.has(host.member.hostId) ? "terminated" as const : "running" as const,
            pricePerHour: 1,
        });
        return {
            listHosts: () => Promise.resolve(success(this.hosts.map(describe))),
            getHost: (hostId: HostId) =>
                Promise.resolve(success(describe(this.hosts.find(host => host.member.hostId === hostId)!))),
        } as unknown as CloudClient;
    }
}

function createConfiguration(options: FleetOptions): Configuration {
    const { resultRetentionMs = 3_600_000, answersStatus = false } = options;
    const shards = { generation: 1, count: 1, batchIntervalMs: 20, resultRetentionMs, keyRetentionMs: 86_400_000 };
    return { shards, services: [{ name: "orders", deduplicates: false, answersStatus }] } as unknown as Configuration;
}
