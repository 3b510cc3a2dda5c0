import * as policy from "@filbertrelay/policy";
import { createRandom } from "./random.js";

/** Milliseconds of one host's time: to read a head, to start its request two turns later, and to pass on the answer. */
const headCostMs = 4;
const startCostMs = 16;
const answerCostMs = 20;
const refusalCostMs = 2;
const endpointMs = 40;
/** A caller gives up a request that isn't read within this time. */
const unreadMs = 1_000;
/** Interval at which a host's own work is done, and the work. */
const ownWorkIntervalMs = 100;
const ownWorkMs = 5;

const requestCostMs = headCostMs + startCostMs + answerCostMs;

/** Requests a second that a host could answer with all of its time. */
export const fullRatePerSecond = 1_000 * (1 - ownWorkMs / ownWorkIntervalMs) / requestCostMs;

/** A kind of request of the played load. */
export interface PlayedKind {
    /** 1 for the most urgent kind, 0 for the least urgent one. */
    readonly urgency: number;
    readonly objectiveMs: number;
    readonly waitMs: number;
    /** Share of the load. */
    readonly share: number;
}

/** A load that is played: all times in milliseconds since its start. */
export interface PlayedLoad {
    readonly hosts: number;
    readonly kinds: readonly PlayedKind[];
    readonly durationMs: number;
    /** Requests a second of all callers at a time. */
    readonly rate: (atMs: number) => number;
    /** Factor on the time that a host needs for its work. */
    readonly slowness?: (host: number, atMs: number) => number;
    /** How many of the hosts callers choose from at a time; all by default. */
    readonly listed?: (atMs: number) => number;
    /** Whether callers who were refused repeat at once, instead of after Retry-After. */
    readonly isImpatient?: boolean;
    readonly isGated?: boolean;
    readonly seed: number;
}

/** What one caller got. */
export interface PlayedRequest {
    readonly kind: PlayedKind;
    readonly sentMs: number;
    /** When its response was complete; `undefined` if it got none within its time limit. */
    answeredMs?: number;
    /** When it was to come back after each refusal. */
    readonly returnsMs: number[];
    /** Largest part of the time that it had left in a Retry-After. */
    longestReturnShare: number;
}

interface Input {
    readonly readyMs: number;
    readonly request: PlayedRequest;
    readonly isAnswer: boolean;
}

/** Plays a load on hosts that do one thing after another, in turns of all input that is readable. */
export function playLoad(load: PlayedLoad): readonly PlayedRequest[] {
    const random = createRandom(load.seed);
    const requests: PlayedRequest[] = [];
    const hosts = Array.from({ length: load.hosts }, (_, index) => new PlayedHost(index, load, random));
    const send = (request: PlayedRequest, atMs: number): void => {
        const listed = load.listed?.(atMs) ?? hosts.length;
        hosts[Math.floor(random() * listed)]!.add({ readyMs: atMs, request, isAnswer: false });
    };
    const returning: { readonly atMs: number; readonly request: PlayedRequest; }[] = [];
    let nextMs = 0;
    for (let nowMs = 0; nowMs < load.durationMs; nowMs += 1) {
        while (nextMs <= nowMs) {
            let draw = random();
            const kind = load.kinds.find(({ share }) => (draw -= share) < 0) ?? load.kinds.at(-1)!;
            const request = { kind, sentMs: nextMs, returnsMs: [], longestReturnShare: 0 };
            requests.push(request);
            send(request, nextMs);
            nextMs += -Math.log(1 - random()) * 1_000 / load.rate(nextMs);
        }
        for (const { request, atMs } of takeDue(returning, nowMs)) {
            send(request, atMs);
        }
        for (const host of hosts) {
            host.advance(nowMs, (request, atMs, retryAfterMs) => {
                // Callers repeat a refused request once.
                if (request.returnsMs.length === 1) {
                    returning.push({ atMs: atMs + (load.isImpatient === true ? 5 : retryAfterMs), request });
                }
            });
        }
    }
    return requests;
}

/** Answers that the hosts have time for in a span: what their own work and the refusals leave, or as many as callers want. */
export function roomFor(load: PlayedLoad, requests: readonly PlayedRequest[], fromMs: number, toMs: number): number {
    const stepMs = 1_000;
    let sum = 0;
    for (let atMs = fromMs; atMs < toMs; atMs += stepMs) {
        const sent = requests.filter(({ sentMs }) => sentMs >= atMs && sentMs < atMs + stepMs);
        const refusals = sent.reduce((count, { returnsMs }) => count + returnsMs.length, 0);
        const hosts = Array.from(
            { length: load.listed?.(atMs) ?? load.hosts },
            (_, host) => 1 / (load.slowness?.(host, atMs) ?? 1),
        );
        const full = hosts.reduce((total, speed) => total + speed, 0) * fullRatePerSecond;
        sum += Math.min(sent.length, full - refusals * refusalCostMs / requestCostMs);
    }
    return sum;
}

function takeDue<Item extends { readonly atMs: number; }>(items: Item[], nowMs: number): readonly Item[] {
    const due = items.filter(({ atMs }) => atMs <= nowMs);
    items.splice(0, items.length, ...items.filter(({ atMs }) => atMs > nowMs));
    return due;
}

type RefusalListener = (request: PlayedRequest, atMs: number, retryAfterMs: number) => void;

class PlayedHost {
    readonly #index: number;
    readonly #load: PlayedLoad;
    readonly #admission: policy.PressureAdmission;
    readonly #turns = new policy.TurnTimes();
    #inputs: Input[] = [];
    /** Requests that were admitted in the last turn, and in the one before. */
    #admitted: [PlayedRequest[], PlayedRequest[]] = [[], []];
    #freeMs = 0;
    #busyMs = 0;
    #ownWorkMs = 0;

    constructor(index: number, load: PlayedLoad, random: () => number) {
        this.#index = index;
        this.#load = load;
        this.#admission = new policy.PressureAdmission({ draw: random, nowMs: 0, busyMs: 0 });
    }

    add(input: Input): void {
        this.#inputs.push(input);
    }

    /** Does all turns that begin up to a time. */
    advance(nowMs: number, onRefused: RefusalListener): void {
        while (this.#freeMs <= nowMs) {
            const startMs = this.#freeMs;
            const starting = this.#admitted[1];
            this.#admitted = [[], this.#admitted[0]];
            if (this.#ownWorkMs <= startMs) {
                this.#ownWorkMs = startMs + ownWorkIntervalMs;
                this.#work(ownWorkMs);
            }
            const readable = this.#inputs.filter(({ readyMs }) => readyMs <= startMs);
            this.#inputs = this.#inputs.filter(({ readyMs }) => readyMs > startMs);
            readable.forEach(input => this.#read(input, onRefused));
            starting.forEach(request => {
                const startedMs = this.#freeMs;
                this.#work(startCostMs);
                this.#admission.recordStart(this.#freeMs - startedMs);
                this.#inputs.push({ readyMs: this.#freeMs + endpointMs, request, isAnswer: true });
            });
            this.#turns.endTurn(this.#freeMs);
            if (this.#freeMs === startMs && this.#admitted.every(({ length }) => length === 0)) {
                this.#turns.recordIdle();
                this.#freeMs = nowMs + 1;
            }
        }
    }

    #read({ request, isAnswer, readyMs }: Input, onRefused: RefusalListener): void {
        const { kind, sentMs } = request;
        if (isAnswer) {
            this.#work(answerCostMs);
            if (this.#freeMs <= sentMs + kind.waitMs) {
                request.answeredMs = this.#freeMs;
            }
            return;
        }
        const decision = this.#decide(request, readyMs);
        if (!decision.admitted) {
            this.#work(refusalCostMs);
            request.returnsMs.push(this.#freeMs + decision.retryAfterMs);
            request.longestReturnShare = Math.max(
                request.longestReturnShare,
                decision.retryAfterMs / (sentMs + kind.waitMs - readyMs),
            );
            onRefused(request, this.#freeMs, decision.retryAfterMs);
            return;
        }
        this.#work(headCostMs);
        // The caller has left; the host finds out when it starts the request.
        if (this.#freeMs - readyMs < unreadMs) {
            this.#admission.recordReceived();
            this.#admitted[0].push(request);
        }
    }

    #decide({ kind, sentMs }: PlayedRequest, readyMs: number): policy.PressureDecision {
        if (this.#load.isGated === false) {
            return { admitted: true };
        }
        return this.#admission.decide(this.#freeMs, this.#turns.recordRead(this.#freeMs), () => this.#busyMs, () => ({
            urgency: kind.urgency,
            waitMs: kind.waitMs - (readyMs - sentMs),
            objectiveMs: kind.objectiveMs,
            isContinuation: false,
        }));
    }

    #work(costMs: number): void {
        const spentMs = costMs * (this.#load.slowness?.(this.#index, this.#freeMs) ?? 1);
        this.#freeMs += spentMs;
        this.#busyMs += spentMs;
    }
}
