import type { EndpointId } from "@filbertrelay/kernel";
import { chooseEndpointFor, decideStart, limitSilence } from "@filbertrelay/policy/ingress";
import type { EndpointChoice } from "@filbertrelay/policy/ingress";
import type { EndpointRecord } from "../contract.js";
import type { AdmittedRequest } from "./admitted.js";
import { Attempt } from "./attempt.js";
import type { AttemptEnd } from "./attempt.js";
import type { RequestContext } from "./context.js";
import { requestEvents as events } from "./event.js";
import { ForwardedEvents } from "./forwardedevents.js";
import { sendOwnAnswer } from "./refusal.js";
import type { CallerResponder } from "./responder.js";

/** Assumed until requests of a service have ended: the time that one occupies a place. */
const defaultHoldMs = 700;
/**
 * What one more request adds to an engine's time per stated output token. A generated token adds about 0.12 ms to a step, and
 * requests generate about a third of what they state as their limit.
 */
const outputTokenMs = 0.04;
/** A refused caller may come back at once when only a moment's change, such as a configuration, is missing. */
const briefRetryMs = 250;

/** Carries one admitted request to endpoints until the caller has a final answer. */
export class RequestTask {
    readonly #context: RequestContext;
    readonly #request: AdmittedRequest;
    readonly #responder: CallerResponder;
    readonly #tried = new Set<EndpointId>();
    readonly #forwarded: ForwardedEvents;
    #attempt: Attempt | undefined;
    #sends = 0;
    #runs = 0;
    #isBegun = false;
    #isEnded = false;
    #isCounted = false;
    /** A repeat was taken from the budget before the silent attempt was left. */
    #isRepeatTaken = false;
    #cancelDeadline: () => void = () => undefined;
    #cancelSilence: () => void = () => undefined;
    #firstEventMs: number | undefined;

    constructor(context: RequestContext, request: AdmittedRequest, responder: CallerResponder) {
        this.#context = context;
        this.#request = request;
        this.#responder = responder;
        this.#forwarded = new ForwardedEvents(request.description.lastEventId);
    }

    /** Starts the request or refuses it at once. */
    start(): void {
        const { clock } = this.#context;
        this.#responder.onGone(() => this.#end("gone", "caller"));
        this.#responder.onDrained(() => this.#attempt?.resume());
        this.#cancelDeadline = clock.after(Math.max(0, this.#request.deadlineMs - clock.monotonicMs()), () => this.#expire());
        this.#context.repeats.recordRequest(this.#request.service, clock.monotonicMs());
        this.#next();
    }

    /** Chooses an endpoint and sends the request there. */
    #next(): void {
        const { route, service } = this.#request;
        const endpoints = this.#context.endpoints.usable(service);
        const choice = this.#choose(endpoints);
        const endpoint = endpoints.find(({ endpointId }) => endpointId === choice?.endpointId);
        this.#recordDemand(choice);
        if (choice === undefined || endpoint === undefined) {
            this.#giveUp("no endpoint", 503, briefRetryMs);
            return;
        }
        if (this.#sends === 0 && !this.#mayStart(choice)) {
            return;
        }
        this.#send(endpoint, choice, route.kind === "stream");
    }

    #choose(endpoints: readonly EndpointRecord[]): EndpointChoice | undefined {
        const { health, loads, promptCaches, clock, homeDomain, timings } = this.#context;
        const { description, service, requestId } = this.#request;
        const nowMs = clock.monotonicMs();
        const parts = description.prompt?.parts ?? [];
        const candidates = endpoints.map(endpoint => ({
            endpointId: endpoint.endpointId,
            failureDomain: endpoint.failureDomain,
            capacity: endpoint.capacity,
            load: loads.estimate(endpoint.endpointId, this.#priority(), nowMs),
            cachedTokens: endpoint.hasPromptCache ? promptCaches.cachedTokens(endpoint.endpointId, parts) : 0,
            failureRatio: health.failureRatio(endpoint.endpointId),
            isQuarantined: health.isQuarantined(endpoint.endpointId, nowMs),
        }));
        return chooseEndpointFor(candidates, {
            parts,
            promptTokens: description.prompt?.inputTokens ?? 0,
            requestId,
            tried: this.#tried,
            homeDomain,
            tokenMs: timings.tokenMs(service),
            holdMs: timings.holdMs(service) ?? defaultHoldMs,
        });
    }

    #mayStart(choice: EndpointChoice): boolean {
        const { clock, timings } = this.#context;
        const { caller, route, service, deadlineMs } = this.#request;
        const nowMs = clock.monotonicMs();
        const decision = decideStart({
            expectedStartMs: choice.expectedStartMs,
            workMs: route.kind === "stream" ? 0 : timings.holdMs(service) ?? 0,
            elapsedMs: nowMs - caller.arrivedMs,
            objectiveMs: route.objectiveMs,
            remainingMs: deadlineMs - nowMs,
        });
        if (decision.started) {
            return true;
        }
        this.#refuse(`expected start ${Math.round(choice.expectedStartMs)} ms (${decision.reason})`, decision.retryAfterMs);
        return false;
    }

    #send(endpoint: EndpointRecord, choice: EndpointChoice, isStream: boolean): void {
        const { caller, description, requestId, customer, deadlineMs } = this.#request;
        const { clock, dialect, log, promptCaches } = this.#context;
        const remainingMs = Math.max(1, Math.floor(deadlineMs - clock.monotonicMs()));
        this.#sends += 1;
        this.#tried.add(endpoint.endpointId);
        const headers = dialect.forwardHeaders(caller.headers, {
            endpointId: endpoint.endpointId,
            remainingMs,
            ...(customer === undefined ? {} : { customer: customer.name }),
            ...(endpoint.hasPromptCache ? { priority: this.#priority() } : {}),
            ...(this.#forwarded.lastId === undefined ? {} : { lastEventId: this.#forwarded.lastId }),
        });
        log.write(events.attemptStarted, {
            requestId,
            endpoint: endpoint.endpointId,
            attempt: this.#sends,
            expectedStartMs: Math.round(choice.expectedStartMs),
            tokensToCompute: Math.round(choice.tokensToCompute),
            running: choice.running,
            candidates: choice.candidates,
            remainingMs,
        });
        if (description.prompt !== undefined && endpoint.hasPromptCache) {
            promptCaches.recordPrompt(endpoint.endpointId, description.prompt.parts);
        }
        this.#forwarded.restart();
        const attempt = new Attempt(this.#context, {
            requestId,
            number: this.#sends,
            endpoint,
            priority: this.#priority(),
            tokens: choice.tokensToCompute,
            isAloneAtStart: choice.isIdle,
            isRepeatable: this.#isRepeatable(),
            isStream,
        }, { method: caller.method, target: caller.target, headers, body: caller.body });
        this.#attempt = attempt;
        this.#watchSilence(choice.expectedStartMs, false);
        attempt.start({
            onStreamBytes: bytes => this.#receiveStream(attempt, bytes),
            onEnd: end => this.#finishAttempt(attempt, end),
        });
    }

    /** Counts the engine's time for the prompt and for the tokens that it will generate, also when the request is refused. */
    #recordDemand(choice: EndpointChoice | undefined): void {
        const { timings, demand, clock } = this.#context;
        const { description: { prompt }, service } = this.#request;
        if (prompt !== undefined) {
            const tokensToCompute = choice?.tokensToCompute ?? prompt.inputTokens;
            const workMs = tokensToCompute * timings.tokenMs(service) + prompt.outputTokens * outputTokenMs;
            demand.recordWork(service, workMs, clock.monotonicMs());
        }
    }

    #receiveStream(attempt: Attempt, bytes: Buffer): void {
        const taken = this.#forwarded.take(bytes);
        if (taken === undefined) {
            attempt.abandon("malformed", "An event is too long.");
            return;
        }
        this.#forward(attempt, taken.frames);
        if (taken.hasProgress) {
            this.#watchSilence(0, true);
            this.#firstEventMs ??= this.#context.clock.monotonicMs();
            attempt.recordFirstEvent();
            this.#countUse(this.#context.fleetClock.now());
        }
    }

    /** Writes events to the caller. */
    #forward(attempt: Attempt, frames: readonly Buffer[]): void {
        if (frames.length === 0) {
            return;
        }
        if (!this.#isBegun) {
            this.#isBegun = true;
            this.#responder.begin(attempt.status, attempt.responseHeaders);
        }
        if (!this.#responder.write(Buffer.concat(frames))) {
            attempt.pause();
        }
    }

    #finishAttempt(attempt: Attempt, end: AttemptEnd): void {
        if (this.#isEnded || attempt !== this.#attempt) {
            return;
        }
        this.#cancelSilence();
        this.#attempt = undefined;
        if (end.type !== "notRun") {
            this.#runs += 1;
        }
        const isFinal = end.type === "answered" && (end.isStream || end.status < 500);
        // An attempt that never reached an endpoint costs no repeat.
        const isFree = end.type === "notRun" && !end.hasArrived;
        const isRepeated = !isFinal && (end.type === "notRun" || this.#mayRepeat()) &&
            (isFree || this.#isRepeatTaken || this.#takeRepeat());
        this.#isRepeatTaken = false;
        if (end.type === "answered" && !isRepeated) {
            this.#deliver(attempt, end);
            return;
        }
        this.#context.log.write(events.attemptFailed, {
            requestId: this.#request.requestId,
            endpoint: attempt.endpointId,
            result: end.type,
            detail: end.type === "answered" ? `status ${end.status}` : end.detail,
            isRepeated,
        });
        if (isRepeated) {
            this.#next();
            return;
        }
        if (end.type === "failed") {
            this.#countUse(attempt.startedAt);
        }
        this.#giveUp(end.type === "answered" ? "error" : end.detail, 502, undefined);
    }

    #deliver(attempt: Attempt, end: Extract<AttemptEnd, { type: "answered"; }>): void {
        this.#countUse(attempt.startedAt);
        if (!end.isStream) {
            this.#responder.answer(end.status, attempt.responseHeaders, end.body);
            this.#end("answered", `status ${end.status}`);
            return;
        }
        if (this.#forwarded.isWithinEvent && this.#mayRepeat() && this.#takeRepeat()) {
            this.#next();
            return;
        }
        if (this.#forwarded.isWithinEvent) {
            this.#giveUp("the stream ended within an event", 502, undefined);
            return;
        }
        if (!this.#isBegun) {
            this.#responder.begin(attempt.status, attempt.responseHeaders);
        }
        this.#responder.end();
        this.#end("answered", `status ${end.status}`);
    }

    #takeRepeat(): boolean {
        const { repeats, reach, clock } = this.#context;
        return repeats.tryRepeat(this.#request.service, reach().knownHosts, clock.monotonicMs());
    }

    /** Whether the request may run on one more endpoint. */
    #mayRepeat(): boolean {
        return this.#isRepeatable() && this.#runs < this.#request.route.maximumAttempts;
    }

    #isRepeatable(): boolean {
        const { kind, isResumable, maximumAttempts } = this.#request.route;
        return maximumAttempts > 1 && (kind === "idempotent" || (kind === "stream" && isResumable));
    }

    #watchSilence(expectedStartMs: number, hasStarted: boolean): void {
        this.#cancelSilence();
        const { route } = this.#request;
        const limitMs = limitSilence({
            kind: route.kind,
            isRepeatable: this.#isRepeatable() && this.#runs + 1 < route.maximumAttempts,
            objectiveMs: route.objectiveMs,
            pauseLimitMs: route.pauseLimitMs ?? route.objectiveMs,
            expectedStartMs,
            hasStarted,
        });
        if (limitMs !== undefined) {
            this.#cancelSilence = this.#context.clock.after(
                limitMs,
                () => this.#endSilence(limitMs, expectedStartMs, hasStarted),
            );
        }
    }

    /** Leaves a silent endpoint for another one; without another one it may still answer, and is waited for. */
    #endSilence(limitMs: number, expectedStartMs: number, hasStarted: boolean): void {
        const hasOther = this.#context.endpoints.usable(this.#request.service).some(({ endpointId }) =>
            !this.#tried.has(endpointId)
        );
        if (!hasOther || !this.#takeRepeat()) {
            this.#watchSilence(expectedStartMs, hasStarted);
            return;
        }
        this.#isRepeatTaken = true;
        this.#attempt?.abandon("silent", `The endpoint was silent for ${Math.round(limitMs)} ms.`);
    }

    #expire(): void {
        this.#giveUp("time limit", 504, briefRetryMs);
    }

    /** Ends the request without an endpoint's answer: refused when it has certainly not run, else with the given status. */
    #giveUp(reason: string, status: number, retryAfterMs: number | undefined): void {
        const mayHaveRun = this.#runs > 0 || this.#attempt !== undefined;
        if (this.#isBegun) {
            this.#responder.cut();
            this.#end("cut", reason);
        }
        else if (mayHaveRun) {
            const code = status === 504 ? "request.timeLimit" : "request.failed";
            sendOwnAnswer(this.#responder, {
                status: status === 503 ? 502 : status,
                code,
                message: `No complete answer: ${reason}.`,
                executed: "unknown",
            });
            this.#end("failed", reason);
        }
        else {
            this.#refuse(reason, retryAfterMs ?? briefRetryMs);
        }
    }

    #refuse(reason: string, retryAfterMs: number): void {
        const { requestId, service, route } = this.#request;
        sendOwnAnswer(this.#responder, {
            status: 503,
            code: "request.refused",
            message: `The request was not run: ${reason}.`,
            executed: "no",
            retryAfterMs,
        });
        this.#context.log.write(events.requestRefused, {
            requestId,
            service,
            reason,
            retryAfterMs: Math.round(retryAfterMs),
            priority: this.#priority(),
            route: route.name,
        });
        this.#end("refused", reason);
    }

    #countUse(startedAt: Date): void {
        if (!this.#isCounted && this.#request.customer !== undefined) {
            this.#isCounted = true;
            this.#context.usage.record(this.#request.customer.name, startedAt);
        }
    }

    #priority(): number {
        return this.#request.customer?.priority ?? this.#request.route.priority;
    }

    #end(outcome: "answered" | "refused" | "failed" | "cut" | "gone", reason: string): void {
        if (this.#isEnded) {
            return;
        }
        this.#isEnded = true;
        this.#cancelDeadline();
        this.#cancelSilence();
        this.#attempt?.cancel();
        this.#attempt = undefined;
        const { clock, log, metrics, quota } = this.#context;
        const { caller, requestId, route, service, customer, configurationVersion, takenUse } = this.#request;
        if (outcome === "refused" && customer !== undefined) {
            quota.giveBack(customer.name, takenUse, caller.arrivedMs, clock.monotonicMs());
        }
        const elapsedMs = clock.monotonicMs() - caller.arrivedMs;
        metrics.recordRequest(service, outcome, elapsedMs);
        log.write(events.requestEnded, {
            requestId,
            outcome,
            reason,
            route: route.name,
            service,
            customer: customer?.name,
            configurationVersion,
            sends: this.#sends,
            events: this.#forwarded.count,
            firstEventMs: this.#firstEventMs === undefined ? undefined : Math.round(this.#firstEventMs - caller.arrivedMs),
            elapsedMs: Math.round(elapsedMs),
        });
    }
}
