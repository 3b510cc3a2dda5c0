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

/** Queueing time up to which the least urgent requests are admitted. An answer takes several turns, each of them about as long. */
const leastQueueMs = 30;
/** The most urgent requests are admitted up to this multiple of it. */
const urgentFactor = 3;
/** Part of its objective that a request may spend in the queue, unless that is less than what the least urgent ones may. */
const objectiveShare = 0.6;
/** Without lasting load, a queue is the work of a moment, e.g. of a pause of the garbage collector. */
const calmFactor = 10;
/** Load counts as lasting after so many windows of high utilization, until the utilization is low. */
const pressedWindows = 2;
const highUtilization = 0.9;
const lowUtilization = 0.75;
/** Part of the mean chance that each urgency keeps, so that no kind of request is refused altogether. */
const guaranteedShare = 0.35;
/** Weight of one request in the mean chance. */
const chanceWeight = 0.02;
/** Weight of the last window in the mean processing time of a request, and the load below which a window says little about it. */
const costWeight = 0.2;
const costUtilization = 0.3;
/** Processing time of a refusal in that of a request. */
const refusalCostRatio = 0.05;
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
    #arrived = 0;
    #admitted = 0;
    /** Mean time that a request keeps the host busy. */
    #costMs: number | undefined;
    /** Work of admitted requests that the host has not had time for. */
    #backlog = { workMs: 0, atMs: 0 };
    /** Part of the time that admitted requests get; refusals take the rest. */
    #workShare = 1;
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
        const queueMs = Math.max(readDelayMs, this.#updateBacklog(nowMs, delayMs === undefined));
        if (queueMs < leastQueueMs * (this.#isPressed ? 1 : calmFactor)) {
            return this.#admit();
        }
        const request = describe();
        if (request === undefined || request.isContinuation) {
            return this.#admit();
        }
        const reason = this.#findReason(request, queueMs, readDelayMs);
        if (reason === undefined) {
            return this.#admit();
        }
        this.#chance -= chanceWeight * this.#chance;
        return { admitted: false, reason, retryAfterMs: this.#chooseReturn(request, readDelayMs) };
    }

    #findReason(request: ArrivingRequest, queueMs: number, readDelayMs: number): PressureReason | undefined {
        const { urgency, waitMs, objectiveMs } = request;
        if (readDelayMs >= Math.min(waitMs, objectiveMs)) {
            return "late";
        }
        const credit = (this.#credits.get(urgency) ?? 0) + this.#chance * guaranteedShare;
        const longestMs = leastQueueMs * (1 + urgency * (urgentFactor - 1));
        const isShort = queueMs < Math.max(leastQueueMs, Math.min(longestMs, objectiveMs * objectiveShare));
        const isAdmitted = isShort || credit >= 1;
        this.#credits.set(urgency, isAdmitted ? Math.max(0, credit - 1) : credit);
        return isAdmitted ? undefined : "queue";
    }

    #admit(): PressureDecision {
        this.#admitted += 1;
        this.#chance += chanceWeight * (1 - this.#chance);
        this.#backlog.workMs += this.#costMs ?? 0;
        return admission;
    }

    /** Returns the time that the admitted requests will take, in milliseconds. */
    #updateBacklog(nowMs: number, isIdle: boolean): number {
        const { workMs, atMs } = this.#backlog;
        this.#backlog = { workMs: isIdle ? 0 : Math.max(0, workMs - (nowMs - atMs) * this.#workShare), atMs: nowMs };
        return this.#backlog.workMs / this.#workShare;
    }

    #closeWindow(nowMs: number, busyMs: number): void {
        this.#pressure = this.#meter.close(nowMs, busyMs);
        const { utilization, windowMs } = this.#pressure;
        this.#highWindows = utilization >= highUtilization ? this.#highWindows + 1 : 0;
        this.#isPressed = this.#highWindows >= pressedWindows || (this.#isPressed && utilization >= lowUtilization);
        if (this.#admitted > 0 && utilization >= costUtilization) {
            const refused = this.#arrived - this.#admitted;
            const costMs = utilization * windowMs / (this.#admitted + refused * refusalCostRatio);
            this.#workShare = this.#admitted / (this.#admitted + refused * refusalCostRatio);
            this.#costMs = this.#costMs === undefined ? costMs : this.#costMs + costWeight * (costMs - this.#costMs);
        }
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
