import { PressureMeter } from "./hostpressure.js";
import type { HostPressure } from "./hostpressure.js";

/** What is known of a request when its head has been read. */
export interface ArrivingRequest {
    /** 1 for the most urgent requests of the configuration, 0 for the least urgent ones. */
    readonly urgency: number;
    /** Time that the caller waits for the response, in milliseconds. */
    readonly waitMs: number;
    /** Latency objective of the response. */
    readonly objectiveMs: number;
    /** Whether it continues a response that has begun. */
    readonly isContinuation: boolean;
}

/** Why a request is refused for the host's own sake: it was read too late, or the host has too much to do before it. */
export type PressureReason = "late" | "queue";

/** Whether a request is admitted to a host under pressure. */
export type PressureDecision =
    | { readonly admitted: true; }
    | { readonly admitted: false; readonly reason: PressureReason; readonly retryAfterMs: number; };

/** Options of `PressureAdmission`. */
export interface PressureAdmissionOptions {
    /** Uniform in [0, 1). */
    readonly draw: () => number;
    readonly nowMs: number;
    /** The host's busy time at `nowMs`, in milliseconds. */
    readonly busyMs: number;
}

/**
 * Queueing time up to which the least urgent requests are admitted while load lasts, unless one request takes longer. An answer takes
 * several turns as long.
 */
const leastQueueMs = 30;
/** The most urgent requests are admitted up to this multiple of it. */
const urgentFactor = 3;
/** Without lasting load, a queue is the work of a moment, e.g. a collector pause, and none is refused up to this multiple. */
const calmFactor = 10;
/** Load counts as lasting after so many windows of high utilization, until the utilization or the part of requests is low. */
const pressedWindows = 2;
const highUtilization = 0.9;
const lowUtilization = 0.75;
/** Part of the busy time that requests must cause; refusing them doesn't relieve a host of other work. */
const requestsShare = 0.2;
/** Part of its objective within which a request has to leave the queue to be answered in time. */
const objectiveShare = 0.6;
/** Part of the mean chance that each urgency keeps, so that no kind of request is refused altogether. */
const guaranteedShare = 0.35;
/** Weight of one request in the mean chance, and in the mean time to start a request. */
const chanceWeight = 0.02;
const startWeight = 0.1;
/** Processing time of a request, with its answer, and of a refusal in the time to start a request. */
const requestStarts = 2.5;
const refusalStarts = 0.125;
/** Refused callers return within this part of the objective, so that they can still be answered in time. */
const returnObjectiveShare = 0.4;
const shortestReturnMs = 100;
/** Callers honour a delay of up to a third of the time that they have left. */
const longestReturnShare = 0.33;
/** Part of the longest delay before which no caller returns. */
const earliestReturnShare = 0.25;

const admission: PressureDecision = { admitted: true };

/**
 * Decides when a head has been read whether the host takes the request, by the time that requests spend in the host's queue. The
 * more urgent a request is, the longer a queue it is admitted to, so that the least urgent ones are refused first.
 */
export class PressureAdmission {
    readonly #draw: () => number;
    readonly #meter: PressureMeter;
    #pressure: HostPressure = { utilization: 0, readDelayMs: 0, windowMs: 0 };
    #isPressed = false;
    #highWindows = 0;
    #pressedMs = 0;
    #arrived = 0;
    #admitted = 0;
    /** Mean time that the host needs to start a request. */
    #startMs = 0;
    /** Received requests that were not started yet. */
    #pending = 0;
    /** Mean chance of a request to be admitted. */
    #chance = 1;
    /** Guaranteed admissions that are due, by urgency. */
    readonly #credits = new Map<number, number>();

    constructor({ draw, nowMs, busyMs }: PressureAdmissionOptions) {
        this.#draw = draw;
        this.#meter = new PressureMeter(nowMs, busyMs);
    }

    /** The pressure of the last window. */
    get pressure(): HostPressure {
        return this.#pressure;
    }

    /** Returns the time under lasting load since the last call, in milliseconds, and starts anew. */
    takePressedMs(): number {
        const pressedMs = this.#pressedMs;
        this.#pressedMs = 0;
        return pressedMs;
    }

    /** Whether load has lasted for some hundred milliseconds. */
    get isPressed(): boolean {
        return this.#isPressed;
    }

    /**
     * Decides on a request that was readable for `delayMs` before it was read; `undefined` if the host was idle. `busyMs`, the host's busy
     * time, and `describe` are called only if they are needed.
     */
    decide(
        nowMs: number,
        delayMs: number | undefined,
        busyMs: () => number,
        describe: () => ArrivingRequest | undefined,
    ): PressureDecision {
        const readDelayMs = delayMs ?? 0;
        this.#meter.recordRead(readDelayMs);
        this.#arrived += 1;
        if (this.#meter.isDue(nowMs)) {
            this.#closeWindow(nowMs, busyMs());
        }
        const queueMs = readDelayMs + this.#pending * this.#startMs * requestStarts;
        if (queueMs < (this.#isPressed ? this.#pressedQueueMs() : leastQueueMs * calmFactor)) {
            return this.#admit();
        }
        const request = describe();
        // What a continued stream has cost would be lost, so it counts as in calm.
        const isTaken = request?.isContinuation === true && queueMs < leastQueueMs * calmFactor;
        if (request === undefined || isTaken) {
            return this.#admit();
        }
        const reason = this.#findReason(request, queueMs, readDelayMs);
        if (reason === undefined) {
            return this.#admit();
        }
        this.#chance -= chanceWeight * this.#chance;
        return { admitted: false, reason, retryAfterMs: this.#chooseReturn(request, readDelayMs) };
    }

    /** Records that an admitted request was received as a whole. */
    recordReceived(): void {
        this.#pending += 1;
    }

    /** Records how long it took to start a received request, in milliseconds; `undefined` if its caller had left. */
    recordStart(elapsedMs: number | undefined): void {
        this.#pending -= 1;
        if (elapsedMs === undefined) {
            return;
        }
        this.#startMs = this.#startMs === 0 ? elapsedMs : this.#startMs + startWeight * (elapsedMs - this.#startMs);
    }

    #findReason(request: ArrivingRequest, queueMs: number, readDelayMs: number): PressureReason | undefined {
        const { urgency, waitMs, objectiveMs } = request;
        if (readDelayMs >= Math.min(waitMs, objectiveMs)) {
            return "late";
        }
        const credit = (this.#credits.get(urgency) ?? 0) + this.#chance * guaranteedShare;
        const inTimeMs = objectiveMs * objectiveShare;
        const leastMs = this.#pressedQueueMs();
        const allowedMs = this.#isPressed ?
            Math.max(leastMs, Math.min(leastMs * (1 + urgency * (urgentFactor - 1)), inTimeMs)) :
            Math.max(leastQueueMs * calmFactor, inTimeMs);
        const isAdmitted = queueMs < allowedMs || credit >= 1;
        this.#credits.set(urgency, isAdmitted ? Math.max(0, credit - 1) : credit);
        return isAdmitted ? undefined : "queue";
    }

    /** A host that takes longer for a request would be idle after each if it took none behind it. */
    #pressedQueueMs(): number {
        return Math.max(leastQueueMs, this.#startMs * requestStarts);
    }

    #admit(): PressureDecision {
        this.#admitted += 1;
        this.#chance += chanceWeight * (1 - this.#chance);
        return admission;
    }

    #closeWindow(nowMs: number, busyMs: number): void {
        this.#pressure = this.#meter.close(nowMs, busyMs);
        const { utilization, windowMs } = this.#pressure;
        const refusedMs = (this.#arrived - this.#admitted) * this.#startMs * refusalStarts;
        const requestsMs = refusedMs + this.#admitted * this.#startMs * requestStarts;
        const isHigh = utilization >= highUtilization && requestsMs >= requestsShare * windowMs;
        this.#highWindows = isHigh ? this.#highWindows + 1 : 0;
        const isLasting = utilization >= lowUtilization && requestsMs >= requestsShare / 2 * windowMs;
        this.#isPressed = this.#highWindows >= pressedWindows || (this.#isPressed && isLasting);
        this.#pressedMs += this.#isPressed ? windowMs : 0;
        this.#arrived = 0;
        this.#admitted = 0;
    }

    /** Spread, so that callers who are refused at one moment don't return at one moment. */
    #chooseReturn({ waitMs, objectiveMs }: ArrivingRequest, readDelayMs: number): number {
        const wantedMs = Math.max(shortestReturnMs, objectiveMs * returnObjectiveShare);
        const longestMs = Math.min(wantedMs, Math.max(0, waitMs - readDelayMs) * longestReturnShare);
        return longestMs * (earliestReturnShare + (1 - earliestReturnShare) * this.#draw());
    }
}

/** Ranks priorities, of which smaller ones are more urgent, evenly from 1 for the most urgent to 0 for the least urgent one. */
export function rankUrgencies(priorities: readonly number[]): ReadonlyMap<number, number> {
    const ranked = [...new Set(priorities)].sort((left, right) => left - right);
    return new Map(ranked.map((priority, rank) => [priority, ranked.length === 1 ? 1 : 1 - rank / (ranked.length - 1)]));
}
