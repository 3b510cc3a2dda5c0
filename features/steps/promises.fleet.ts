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

/** Time-out that keeps a failing scenario from hanging; no scenario depends on its value. */
export const limitMs = 60_000;
/** Longer than any scenario waits, so that a scenario fails when a host stops only at its drain deadline. */
const drainLimitMs = 2 * limitMs;
const clock = createSystemClock();
const deployment = "chaulage";
/** Keeps the daemons' logs after a scenario. */
const keepLogs = process.env["FILBERTRELAY_KEEP_LOGS"] !== undefined;

interface Keys {
    readonly operator: string;
    readonly customers: Readonly<Record<string, string>>;
}
const keys = (parse(readFileSync(exampleFile("keys.toml"), "utf8")) as unknown as Record<string, Keys>)[deployment]!;

/** The unhashed API key of a customer. */
export const customerKey = (name: string): string => keys.customers[name]!;
/** The names of the customers, in the order of the keys file. */
export const customers = Object.keys(keys.customers);

/** The answers of the example deployment. */
export function readAnswers(): Answers {
    const checked = checkAnswers(parse(readFileSync(exampleFile(`${deployment}.toml`), "utf8")));
    assert.ok(checked.ok);
    return checked.value;
}

/** A model request and the answer that its caller received. */
export interface ModelCall {
    readonly name: string;
    readonly customer: string;
    readonly messages: { readonly role: "user"; readonly content: string; }[];
    readonly tokens: number;
    answer?: ModelAnswer;
    readonly ended: Promise<ModelAnswer>;
}

/** The requests sent with one idempotency key, and their responses. */
export interface KeyRecord {
    readonly key: string;
    readonly customer: string;
    readonly answers: ServiceAnswer[];
    /** When each request was sent and its response received; monotonic. */
    readonly times: { readonly startedMs: number; readonly endedMs: number; }[];
}

/** Entry points with a fixed first choice, and with addresses that can be replaced by those of a proxy. */
export class TestEntryPoints extends EntryPoints {
    readonly #first: string[];
    readonly #proxied: ReadonlyMap<string, string>;

    constructor(
        options: ConstructorParameters<typeof EntryPoints>[0],
        overrides: { readonly first?: string | undefined; readonly proxied?: ReadonlyMap<string, string>; },
    ) {
        super(options);
        this.#first = overrides.first === undefined ? [] : [overrides.first];
        this.#proxied = overrides.proxied ?? new Map();
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

/** A fleet of real daemon processes, its callers, and the record of the answers and responses that they received. */
export class PromiseFleet {
    readonly fleet: Fleet;
    readonly seed: number;
    readonly modelCalls: ModelCall[] = [];
    readonly sent = new Map<string, KeyRecord>();
    readonly lost = new Set<string>();
    /** Daemon addresses, mapped to the addresses of the fault proxy through which callers connect. */
    readonly proxied = new Map<string, string>();
    readonly pendingSends: Promise<unknown>[] = [];
    proxy: StandIn | undefined;
    /** The host that a step selected, such as the owner of a shard. */
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
            keepsDirectory: keepLogs,
            daemonSettings: { timing: { drainLimitMs }, ...(keepLogs ? { log: { level: "debug" } } : {}) },
            ...options,
        });
        console.log(`Logs of seed ${seed}: ${fleet.directory}.`);
        return new PromiseFleet(fleet, seed);
    }

    /** Creates the context of a caller with entry points of its own. */
    context(options: { readonly failureDomain?: string; readonly first?: string; } = {}): CallerContext {
        const seeds = this.fleet.callerAddresses();
        const entryPoints = new TestEntryPoints(
            { clock, dispatcher: this.#dispatcher, seeds, failureDomain: options.failureDomain },
            { first: options.first, proxied: this.proxied },
        );
        return { clock, dispatcher: this.#dispatcher, entryPoints };
    }

    /** Sends a model request and reads its answer in the background. */
    ask(index: number, options: { tokens: number; customer?: string; first?: string; content?: string; }): ModelCall {
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
        const asked: ModelCall = { name: `${customer}/${index}`, customer, messages, tokens: options.tokens, ended };
        this.modelCalls.push(asked);
        void ended.then(answer => asked.answer = answer);
        return asked;
    }

    /** Sends a booking and records the response. */
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
    startBookings(periodMs: number): void {
        this.#isSending = true;
        this.pendingSends.push(this.#bookUntilStopped(periodMs));
    }

    async #bookUntilStopped(periodMs: number): Promise<void> {
        const pending: Promise<unknown>[] = [];
        for (let index = 0; this.#isSending; index++) {
            const failureDomain = this.fleet.configuration.failureDomains[index % 3]!;
            pending.push(
                this.book(`booking-${this.seed}-${index}`, { customer: customers[index % customers.length]!, failureDomain }),
            );
            await clock.sleep(periodMs);
        }
        await Promise.all(pending);
    }

    /** Stops sending bookings and waits for all responses. */
    async stopBookings(): Promise<void> {
        this.#isSending = false;
        await Promise.all(this.pendingSends);
    }

    /** Checks that each answer is complete, in order and for the caller's own question. */
    async checkAnswers(): Promise<void> {
        for (const asked of this.modelCalls) {
            const answer = await asked.ended;
            assert.equal(answer.outcome, "complete", `${asked.name} ended with ${JSON.stringify(answer.error)}`);
            assert.equal(answer.outOfOrder, 0, asked.name);
            assert.equal(answer.tokens.length, asked.tokens, asked.name);
            assert.equal(answer.tokens.join(""), answerText(asked.messages, asked.tokens), asked.name);
        }
    }

    /** Checks the outcomes of all keys against the executions that the services counted. */
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
        this.#checkConsistentResults();
    }

    // A recorded result never changes, and once returned it is returned for every later request. Concurrent submissions may
    // get different outcomes: the response to one can be created before the result is known and delivered after it.
    #checkConsistentResults(): void {
        for (const { key, answers, times } of this.sent.values()) {
            const bodies = new Set(answers.filter(answer => answer.outcome === "done").map(answer => answer.body));
            assert.ok(bodies.size <= 1, `The key '${key}' got different results: ${[...bodies].join(" ")}`);
            const isDone = (index: number): boolean => answers[index]?.outcome === "done";
            const firstResultMs = Math.min(Infinity, ...times.filter((...[, index]) => isDone(index)).map(time => time.endedMs));
            assert.ok(
                times.every(({ startedMs }, index) => isDone(index) || startedMs <= firstResultMs),
                `The key '${key}' lost its recorded result: ${answers.map(answer => answer.outcome).join(", ")}`,
            );
        }
    }

    /** Counts the keys by their last outcome, for the printed summary. */
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

    /** Sends one GET request to a daemon, without retries. */
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

    /** The host that owns the most shards, whose loss affects the most keys. */
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

    /** Opens a route of the fault proxy and returns its address. */
    async route(target: string, label: string): Promise<string> {
        const proxy = await this.faultProxy();
        const route = await callControl(proxy.url, "/routes", { target, labels: [label] }) as { listen: string; };
        return route.listen;
    }

    /** Sets the faults of the routes with a label. */
    async routeFaults(match: string, faults: Record<string, unknown>): Promise<void> {
        await callControl((await this.faultProxy()).url, "/route-faults", { match, ...faults });
    }

    /** Waits for all answers and returns the ids of their requests. */
    async requestIds(): Promise<string[]> {
        const answers = await Promise.all(this.modelCalls.map(asked => asked.ended));
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
