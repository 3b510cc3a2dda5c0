import type { CallBudget, KeyValueClient, KeyValueIssue } from "@filbertrelay/connectors";
import type { Clock, HostId, Kernel, Service } from "@filbertrelay/kernel";
import { failure } from "@filbertrelay/kernel";
import type { Outcome } from "@filbertrelay/kernel";
import { declareTopic } from "@filbertrelay/wire";
import type { PeerNetwork } from "@filbertrelay/wire";
import { match } from "ts-pattern";
import * as z from "zod";
import type { MembershipService } from "../contract.js";

const purposeSchema = z.enum(["configuration", "shards", "planner", "operator"]);

const callSchema = z.discriminatedUnion("type", [
    z.object({ type: z.literal("get"), key: z.string(), purpose: purposeSchema }),
    z.object({ type: z.literal("list"), prefix: z.string(), purpose: purposeSchema }),
    z.object({
        type: z.literal("compareAndSwap"),
        key: z.string(),
        value: z.string(),
        expectedVersion: z.int(),
        purpose: purposeSchema,
    }),
]);

type RelayedCall = z.infer<typeof callSchema>;

const issueCodes = [
    "keyValue.unavailable",
    "keyValue.conflict",
    "keyValue.throttled",
    "keyValue.tooLarge",
    "keyValue.invalid",
] as const;

/** One call to the key-value service on behalf of a host that can't reach it; never relayed further. */
export const keyValueRelayTopic = declareTopic("keyValue.relay", {
    request: callSchema,
    reply: z.discriminatedUnion("ok", [
        z.object({ ok: z.literal(true), value: z.unknown() }),
        z.object({ ok: z.literal(false), issue: z.object({ code: z.enum(issueCodes), message: z.string() }) }),
    ]),
});

const relayTimeoutMs = 1_000;
const relayPeerLimit = 2;
/** When relayed calls fail too, the service is considered down for all hosts, and no call is relayed for this time. */
const relayPauseMs = 2_000;

/** Calls the key-value service directly and, where it can't be reached, through peers that may still reach it. */
export class RelayedKeyValueClient implements KeyValueClient, Service {
    readonly #direct: KeyValueClient;
    readonly #kernel: Kernel;
    readonly #clock: Clock;
    #relayPausedUntilMs = 0;
    #relayedCalls = 0;

    constructor(direct: KeyValueClient, kernel: Kernel) {
        this.#direct = direct;
        this.#kernel = kernel;
        this.#clock = kernel.clock;
    }

    start(): Promise<void> {
        this.#kernel.get<PeerNetwork>("peers").handle(keyValueRelayTopic, call => this.#callDirect(call));
        return Promise.resolve();
    }

    /** Calls by purpose and the number that was relayed by peers, for the status page. */
    usage(): Record<string, unknown> {
        return { ...this.#kernel.get<CallBudget>("callBudget").report(), relayed: this.#relayedCalls };
    }

    get: KeyValueClient["get"] = (key, purpose) => this.#call({ type: "get", key, purpose });

    list: KeyValueClient["list"] = (prefix, purpose) => this.#call({ type: "list", prefix, purpose });

    compareAndSwap: KeyValueClient["compareAndSwap"] = (key, value, options) =>
        options.leaseId === undefined ?
            this.#call({
                type: "compareAndSwap",
                key,
                value,
                expectedVersion: options.expectedVersion,
                purpose: options.purpose,
            }) :
            this.#direct.compareAndSwap(key, value, options);

    watch: KeyValueClient["watch"] = (prefix, options) => this.#direct.watch(prefix, options);

    grantLease: KeyValueClient["grantLease"] = (timeToLiveMs, purpose) => this.#direct.grantLease(timeToLiveMs, purpose);

    renewLease: KeyValueClient["renewLease"] = (leaseId, purpose) => this.#direct.renewLease(leaseId, purpose);

    async #call<T>(call: RelayedCall): Promise<Outcome<T, KeyValueIssue>> {
        const direct = await this.#callDirect(call) as Outcome<T, KeyValueIssue>;
        if (direct.ok || direct.issue.code !== "keyValue.unavailable" || this.#clock.monotonicMs() < this.#relayPausedUntilMs) {
            return direct;
        }
        for (const peer of this.#chooseRelayPeers()) {
            const reply = await this.#kernel.get<PeerNetwork>("peers").call(peer, keyValueRelayTopic, call, {
                timeoutMs: relayTimeoutMs,
            });
            if (reply.ok && (reply.value.ok || reply.value.issue.code !== "keyValue.unavailable")) {
                this.#relayedCalls += 1;
                return reply.value as Outcome<T, KeyValueIssue>;
            }
        }
        this.#relayPausedUntilMs = this.#clock.monotonicMs() + relayPauseMs;
        return failure({
            code: "keyValue.unavailable",
            message: "The key-value service can't be reached directly or through peers.",
        });
    }

    #callDirect(call: RelayedCall): Promise<Outcome<unknown, KeyValueIssue>> {
        return match(call)
            .with(
                { type: "get" },
                ({ key, purpose }) => this.#direct.get(key, purpose) as Promise<Outcome<unknown, KeyValueIssue>>,
            )
            .with({ type: "list" }, ({ prefix, purpose }) => this.#direct.list(prefix, purpose))
            .with(
                { type: "compareAndSwap" },
                ({ key, value, expectedVersion, purpose }) =>
                    this.#direct.compareAndSwap(key, value, { expectedVersion, purpose }),
            )
            .exhaustive();
    }

    // Hosts of other failure domains come first, because a partition usually cuts off a whole failure domain.
    #chooseRelayPeers(): readonly HostId[] {
        const membership = this.#kernel.get<MembershipService>("membership");
        const self = membership.self();
        const alive = membership.members().filter(member => member.state === "alive" && member.hostId !== self.hostId);
        const rankOf = (index: number): number => Number(alive[index]?.failureDomain === self.failureDomain);
        return alive.map((member, index) => ({ hostId: member.hostId, rank: rankOf(index) }))
            .sort((left, right) => left.rank - right.rank)
            .slice(0, relayPeerLimit)
            .map(item => item.hostId);
    }
}
