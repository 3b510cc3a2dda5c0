import {
    callControl,
    callModel,
    callService,
    checkGuarantees,
    EntryPoints,
    exampleFile,
    launchFleet,
    waitFor,
} from "@filbertrelay/client";
import type { CallerContext, Fleet, FleetOptions, KeyOutcome, ModelAnswer, ServiceAnswer, StandIn } from "@filbertrelay/client";
import { checkAnswers } from "@filbertrelay/configuration";
import type { Answers } from "@filbertrelay/configuration";
import { createSystemClock } from "@filbertrelay/kernel";
import { answerText } from "@filbertrelay/standins";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { Agent, request } from "undici";

/** Limits only keep a failing scenario from hanging; no scenario depends on them. */
export const limitMs = 60_000;
/** Longer than any scenario waits, so that a stop which only ends at its deadline fails. */
const drainLimitMs = 2 * limitMs;
const clock = createSystemClock();
const deployment = "chaulage";
/** Set this variable to keep the daemons' logs after a scenario. */
const keepsLogs = process.env["FILBERTRELAY_KEEP_LOGS"] !== undefined;

interface Keys {
    readonly operator: string;
    readonly customers: Readonly<Record<string, string>>;
}
const keys = (parse(readFileSync(exampleFile("keys.toml"), "utf8")) as unknown as Record<string, Keys>)[deployment]!;

/** Plain key of a customer. */
export const customerKey = (name: string): string => keys.customers[name]!;
/** The customers, in the order of the file. */
export const customers = Object.keys(keys.customers);

/** The answers of the example deployment. */
export function readAnswers(): Answers {
    const checked = checkAnswers(parse(readFileSync(exampleFile(`${deployment}.toml`), "utf8")));
    assert.ok(checked.ok);
    return checked.value;
}

/** One model request with what its caller got. */
export interface AskedModel {
    readonly name: string;
    readonly customer: string;
    readonly messages: { readonly role: "user"; readonly content: string; }[];
    readonly tokens: number;
    answer?: ModelAnswer;
    readonly ended: Promise<ModelAnswer>;
}

/** The requests that carried one idempotency key. */
export interface SentKey {
    readonly key: string;
    readonly customer: string;
    readonly answers: ServiceAnswer[];
    /** When each answer was asked for and came; monotonic. */
    readonly times: { readonly startedMs: number; readonly endedMs: number; }[];
}

/** Entry points whose first choice is fixed, and whose addresses can be replaced by those of a proxy. */
export class SteeredEntryPoints extends EntryPoints {
    readonly #first: string[];
    readonly #proxied: ReadonlyMap<string, string>;

    constructor(
        options: ConstructorParameters<typeof EntryPoints>[0],
        steering: { readonly first?: string | undefined; readonly proxied?: ReadonlyMap<string, string>; },
    ) {
        super(options);
        this.#first = steering.first === undefined ? [] : [steering.first];
        this.#proxied = steering.proxied ?? new Map();
    }

    override async choose(): Promise<string> {
        const address = this.#first.shift() ?? await super.choose();
        return this.#proxied.get(address) ?? address;
    }

    override markFailed(address: string): void {
        const original = [...this.#proxied].find(([, proxy]) => proxy === address)?.[0];
        super.markFailed(original ?? address);
    }
}

/** A fleet of real daemon processes with its callers and the record of what they were told. */
export class PromiseFleet {
    readonly fleet: Fleet;
    readonly seed: number;
    readonly asked: AskedModel[] = [];
    readonly sent = new Map<string, SentKey>();
    readonly lost = new Set<string>();
    /** Addresses of callers' connections that go through a fault proxy. */
    readonly proxied = new Map<string, string>();
    readonly openKeys: Promise<unknown>[] = [];
    proxy: StandIn | undefined;
    /** Host that a step chose, such as the owner of a shard. */
    chosen = "";
    #dispatcher = new Agent({ connections: null, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
    #isSending = false;

    constructor(fleet: Fleet, seed: number) {
        this.fleet = fleet;
        this.seed = seed;
    }

    static async launch(seed: number, engines: number, options: Partial<FleetOptions> = {}): Promise<PromiseFleet> {
        console.log(`Seed ${seed}.`);
        const fleet = await launchFleet({
            answers: readAnswers(),
            entryHosts: 6,
            enginesPerModel: engines,
            instancesPerService: 1,
            keepsDirectory: keepsLogs,
            daemonSettings: { timing: { drainLimitMs }, ...(keepsLogs ? { log: { level: "debug" } } : {}) },
            ...options,
        });
        console.log(`Logs of seed ${seed}: ${fleet.directory}.`);
        return new PromiseFleet(fleet, seed);
    }

    /** A caller's context; each caller has entry points of its own. */
    context(options: { readonly failureDomain?: string; readonly first?: string; } = {}): CallerContext {
        const seeds = this.fleet.callerAddresses();
        const entryPoints = new SteeredEntryPoints(
            { clock, dispatcher: this.#dispatcher, seeds, failureDomain: options.failureDomain },
            { first: options.first, proxied: this.proxied },
        );
        return { clock, dispatcher: this.#dispatcher, entryPoints };
    }

    /** Sends a model request and reads its answer in the background. */
    ask(index: number, options: { tokens: number; customer?: string; first?: string; content?: string; }): AskedModel {
        const customer = options.customer ?? customers[index % customers.length]!;
        const content = options.content ?? `Seed ${this.seed}, question ${index} of ${customer}: how long does lime cure?`;
        const messages = [{ role: "user" as const, content }];
        const failureDomain = this.fleet.configuration.failureDomains[index % 3];
        const context = this.context({
            ...(failureDomain === undefined ? {} : { failureDomain }),
            ...pick("first", options.first),
        });
        const ended = callModel(context, {
            customerKey: customerKey(customer),
            model: "assistant",
            messages,
            maxTokens: options.tokens,
            seed: this.seed + index,
            deadlineMs: limitMs,
            patienceMs: limitMs,
        });
        const asked: AskedModel = { name: `${customer}/${index}`, customer, messages, tokens: options.tokens, ended };
        this.asked.push(asked);
        void ended.then(answer => asked.answer = answer);
        return asked;
    }

    /** Sends a booking and keeps what its caller was told. */
    async book(
        key: string,
        options: { customer?: string; failureDomain?: string; first?: string; } = {},
    ): Promise<ServiceAnswer> {
        const customer = options.customer ?? customers[0]!;
        const sent = this.sent.get(`${customer} ${key}`) ?? { key, customer, answers: [], times: [] };
        this.sent.set(`${customer} ${key}`, sent);
        const startedMs = clock.monotonicMs();
        const answer = await callService(this.context(options), {
            customerKey: customerKey(customer),
            service: "booking",
            method: "POST",
            path: "/bookings",
            body: JSON.stringify({ key, customer }),
            idempotencyKey: key,
            deadlineMs: limitMs,
            patienceMs: limitMs,
        });
        sent.answers.push(answer);
        sent.times.push({ startedMs, endedMs: clock.monotonicMs() });
        return answer;
    }

    /** Sends a booking every interval until `stopBookings`. */
    startBookings(everyMs: number): void {
        this.#isSending = true;
        this.openKeys.push(this.#bookUntilStopped(everyMs));
    }

    async #bookUntilStopped(everyMs: number): Promise<void> {
        const open: Promise<unknown>[] = [];
        for (let index = 0; this.#isSending; index++) {
            const failureDomain = this.fleet.configuration.failureDomains[index % 3]!;
            open.push(
                this.book(`booking-${this.seed}-${index}`, { customer: customers[index % customers.length]!, failureDomain }),
            );
            await clock.sleep(everyMs);
        }
        await Promise.all(open);
    }

    /** Ends the sending of bookings and waits for every answer. */
    async stopBookings(): Promise<void> {
        this.#isSending = false;
        await Promise.all(this.openKeys);
    }

    /** Checks that each answer is complete, its own and in order. */
    async checkAnswers(): Promise<void> {
        for (const asked of this.asked) {
            const answer = await asked.ended;
            assert.equal(answer.outcome, "complete", `${asked.name} ended with ${JSON.stringify(answer.error)}`);
            assert.equal(answer.outOfOrder, 0, asked.name);
            assert.equal(answer.tokens.length, asked.tokens, asked.name);
            assert.equal(answer.tokens.join(""), answerText(asked.messages, asked.tokens), asked.name);
        }
    }

    /** Checks the keys against the counts of the plain services. */
    async checkKeys(): Promise<void> {
        await this.stopBookings();
        const executions = await this.fleet.executions();
        const outcomes: KeyOutcome[] = [...this.sent.values()].map(({ key, answers }) => ({
            key,
            outcomes: answers.map(answer => answer.outcome),
            executions: executions.get(key) ?? 0,
        }));
        const known = new Set(outcomes.map(outcome => outcome.key));
        const failed = checkGuarantees(outcomes, [], [...executions.keys()].filter(key => !known.has(key))).filter(check =>
            !check.passed
        );
        assert.deepEqual(failed, []);
        assert.ok(outcomes.length > 0);
        this.#checkSameAnswers();
    }

    // A recorded result never changes, and a result that was given is given again to whoever asks after that. Submissions at
    // the same time may get different outcomes: one can be answered before the result is known and delivered after it.
    #checkSameAnswers(): void {
        for (const { key, answers, times } of this.sent.values()) {
            const bodies = new Set(answers.filter(answer => answer.outcome === "done").map(answer => answer.body));
            assert.ok(bodies.size <= 1, `The key '${key}' got different answers: ${[...bodies].join(" ")}`);
            const isDone = (index: number): boolean => answers[index]?.outcome === "done";
            const knownMs = Math.min(Infinity, ...times.filter((...[, index]) => isDone(index)).map(time => time.endedMs));
            assert.ok(
                times.every(({ startedMs }, index) => isDone(index) || startedMs <= knownMs),
                `The key '${key}' lost its result: ${answers.map(answer => answer.outcome).join(", ")}`,
            );
        }
    }

    /** How many keys ended with each outcome, for the printed record. */
    countOutcomes(): Record<string, number> {
        const counts: Record<string, number> = {};
        for (const { answers } of this.sent.values()) {
            const outcome = answers.at(-1)?.outcome ?? "open";
            counts[outcome] = (counts[outcome] ?? 0) + 1;
        }
        return counts;
    }

    /** A daemon's status. */
    async status(hostId: string): Promise<StatusPart> {
        const { statusCode, body } = await this.get(hostId, "/v1/status", keys.operator);
        assert.equal(statusCode, 200, body);
        return JSON.parse(body) as StatusPart;
    }

    /** Calls a daemon once, without retries. */
    async get(hostId: string, path: string, key: string): Promise<{ statusCode: number; body: string; }> {
        const response = await request(`http://${this.fleet.host(hostId).callerAddress}${path}`, {
            dispatcher: this.#dispatcher,
            headers: { authorization: `Bearer ${key}` },
            signal: AbortSignal.timeout(10_000),
        });
        return { statusCode: response.statusCode, body: await response.body.text() };
    }

    /** Sends one booking to one host, without retries. */
    async bookOnce(hostId: string, key: string): Promise<{ statusCode: number; body: string; }> {
        const response = await request(`http://${this.fleet.host(hostId).callerAddress}/v1/services/booking/bookings`, {
            method: "POST",
            dispatcher: this.#dispatcher,
            headers: {
                authorization: `Bearer ${customerKey(customers[0]!)}`,
                "idempotency-key": key,
                "content-type": "application/json",
                "x-request-deadline-ms": "5000",
            },
            body: "{}",
            signal: AbortSignal.timeout(20_000),
        });
        return { statusCode: response.statusCode, body: await response.body.text() };
    }

    /** The host that owns most shards; its loss concerns the most keys. */
    async largestOwner(): Promise<string> {
        return waitFor("a host that owns shards", async () => {
            const hosts = await Promise.all(
                this.fleet.entryHosts().map(async ({ hostId }) => ({ hostId, owned: (await this.status(hostId)).shards.length })),
            );
            const [largest] = hosts.sort((left, right) => right.owned - left.owned);
            return largest !== undefined && largest.owned > 0 ? largest.hostId : undefined;
        }, { limitMs });
    }

    /** Starts the fault proxy on first use. */
    async faultProxy(): Promise<StandIn> {
        this.proxy ??= await this.fleet.startStandIn("fault-proxy", "fault-proxy");
        return this.proxy;
    }

    /** Opens a route of the fault proxy; gives its address. */
    async route(target: string, label: string): Promise<string> {
        const proxy = await this.faultProxy();
        const route = await callControl(proxy.url, "/routes", { target, labels: [label] }) as { listen: string; };
        return route.listen;
    }

    /** Sets faults of routes by their label. */
    async routeFaults(match: string, faults: Record<string, unknown>): Promise<void> {
        await callControl((await this.faultProxy()).url, "/route-faults", { match, ...faults });
    }

    /** Ids of the model requests, once they are known. */
    async requestIds(): Promise<string[]> {
        const answers = await Promise.all(this.asked.map(asked => asked.ended));
        return answers.map(answer => String(answer.requestId));
    }

    async stop(): Promise<void> {
        this.#isSending = false;
        await this.fleet.stop();
        await this.proxy?.process.kill();
        await this.#dispatcher.destroy();
    }
}

/** The parts of a daemon's status that scenarios read. */
export interface StatusPart {
    readonly host: { readonly id: string; readonly state: string; };
    readonly members: readonly { readonly hostId: string; readonly state: string; }[];
    readonly configuration?: { readonly version: number; readonly digest: string; };
    readonly shards: readonly { readonly shard: number; readonly epoch: number; readonly mode: string; }[];
    readonly counters: Readonly<Record<string, number>>;
}

function pick<Name extends string>(name: Name, value: string | undefined): Partial<Record<Name, string>> {
    return (value === undefined ? {} : { [name]: value }) as Partial<Record<Name, string>>;
}
