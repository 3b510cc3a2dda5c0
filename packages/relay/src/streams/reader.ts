import type { Clock, CustomerId, HostId, RequestId } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { rankByRendezvous } from "@filbertrelay/policy";
import type { PeerNetwork } from "@filbertrelay/wire";
import { match } from "ts-pattern";
import type * as z from "zod";
import type { MembershipService } from "../contract.js";
import { Answer } from "./answer.js";
import { holdersOf } from "./request.js";
import { readTopic } from "./topic.js";

type ReadChunk = z.input<typeof readTopic.reply>;

const chunkTimeoutMs = 2_000;
/** Below `chunkTimeoutMs`, after which a reader considers the holder lost and has the backup host generate the answer again. */
const keepAliveMs = 500;
/** Hosts queried besides the two that the request id names, for an answer whose holders were both lost. */
const maximumOtherHosts = 4;
const maximumRounds = 20;
const roundDelayMs = 250;

/** Reads answers that other hosts hold, and serves those that this host holds. */
export class AnswerReader {
    readonly #peers: PeerNetwork;
    readonly #membership: MembershipService;
    readonly #clock: Clock;

    constructor(options: { readonly peers: PeerNetwork; readonly membership: MembershipService; readonly clock: Clock; }) {
        this.#peers = options.peers;
        this.#membership = options.membership;
        this.#clock = options.clock;
    }

    /** Yields the chunks of an answer after an offset, until the answer ends. */
    async *serve(answer: Answer | undefined, customer: CustomerId, offset: number): AsyncIterable<ReadChunk> {
        if (answer === undefined || answer.customer !== customer || answer.state.type === "moved") {
            yield { type: "notFound" };
            return;
        }
        yield { type: "found", model: answer.model };
        let next = offset;
        for (;;) {
            const tokens = [...answer.tokensFrom(next)];
            const state = answer.state;
            if (tokens.length > 0) {
                yield { type: "tokens", fromOffset: next, tokens };
                next += tokens.length;
            }
            if (answer.length > next) {
                continue;
            }
            if (state.type !== "running") {
                yield { type: "end", end: state };
                return;
            }
            if (answer.state.type === "running") {
                const changed = answer.changed();
                while (!await this.#changesWithinKeepAlive(changed)) {
                    yield { type: "tokens", fromOffset: next, tokens: [] };
                }
            }
        }
    }

    async #changesWithinKeepAlive(changed: Promise<void>): Promise<boolean> {
        return new Promise(resolve => {
            const cancel = this.#clock.after(keepAliveMs, () => resolve(false));
            void changed.then(() => {
                cancel();
                resolve(true);
            });
        });
    }

    /**
     * Mirrors an answer from the host that holds it; `undefined` when no host knows it for this customer.
     * Queries the accepting host first. Other hosts are asked to adopt the answer only when that host is unreachable.
     */
    async read(requestId: RequestId, customer: CustomerId, adoptLocally: () => Answer | undefined): Promise<Answer | undefined> {
        let mirror: Answer | undefined;
        const found = new Promise<Answer | undefined>(resolve => {
            void this.#mirror(requestId, customer, adoptLocally, answer => {
                mirror = answer;
                resolve(answer);
            }).then(() => resolve(mirror));
        });
        return found;
    }

    async #mirror(
        requestId: RequestId,
        customer: CustomerId,
        adoptLocally: () => Answer | undefined,
        onFound: (answer: Answer) => void,
    ): Promise<void> {
        let mirror: Answer | undefined;
        for (let round = 0; round < maximumRounds; round++) {
            for (const host of this.#hostsToQuery(requestId)) {
                const isSelf = host === this.#membership.self().hostId;
                const source = isSelf ? adoptLocally() : undefined;
                const chunks = isSelf ?
                    this.serve(source, customer, mirror?.length ?? 0) :
                    this.#peerChunks(host, requestId, customer, mirror?.length ?? 0);
                for await (const chunk of chunks) {
                    mirror = this.#apply(chunk, { requestId, customer }, mirror, onFound);
                }
                if (mirror !== undefined && mirror.state.type !== "running") {
                    return;
                }
            }
            if (mirror === undefined) {
                return;
            }
            await this.#clock.sleep(roundDelayMs);
        }
        mirror?.end({ type: "moved" });
    }

    #apply(
        chunk: ReadChunk,
        identity: { readonly requestId: RequestId; readonly customer: CustomerId; },
        mirror: Answer | undefined,
        onFound: (answer: Answer) => void,
    ): Answer | undefined {
        return match(chunk)
            .with({ type: "notFound" }, () => mirror)
            .with({ type: "found" }, ({ model }) => {
                const answer = mirror ?? new Answer({ ...identity, model });
                if (mirror === undefined) {
                    onFound(answer);
                }
                return answer;
            })
            .with({ type: "tokens" }, ({ fromOffset, tokens }) => {
                tokens.forEach((text, index) => mirror?.append(fromOffset + index + 1, text));
                return mirror;
            })
            .with({ type: "end" }, ({ end }) => {
                // Another host continues a moved answer; the next round finds it.
                if (end.type !== "moved") {
                    mirror?.end(end);
                }
                return mirror;
            })
            .exhaustive();
    }

    async *#peerChunks(host: HostId, requestId: RequestId, customer: CustomerId, offset: number): AsyncIterable<ReadChunk> {
        const adopt = holdersOf(requestId)?.[0] !== host;
        const replies = this.#peers.stream(host, readTopic, { requestId, customer, offset, adopt }, {
            timeoutMs: chunkTimeoutMs,
        });
        for await (const reply of replies) {
            if (!reply.ok) {
                return;
            }
            yield reply.value;
        }
    }

    #hostsToQuery(requestId: RequestId): readonly HostId[] {
        const named = holdersOf(requestId);
        if (named === undefined) {
            return [];
        }
        const members = this.#membership.members().filter(member => member.state !== "dead").map(member => member.hostId);
        const others = rankByRendezvous<HostId>(requestId, members.filter(host => !named.includes(host)), host => host);
        const known = new Set(members);
        return [...named.filter(host => known.has(host)), ...others.slice(0, maximumOtherHosts)].map(host =>
            brandAs<HostId>(host)
        );
    }
}
