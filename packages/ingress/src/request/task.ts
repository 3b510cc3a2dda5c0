import type { RequestTraits } from "@filbertrelay/policy/ingress";
import { match } from "ts-pattern";
import { describeError } from "../describeerror.js";
import { decideAdmission } from "./admission.js";
import type { AdmittedRequest } from "./admitted.js";
import { Attempt } from "./attempt.js";
import type { AnsweredResult, AttemptResult } from "./attempt.js";
import { logAttemptFailed, logAttemptStarted, logSilence } from "./attemptlog.js";
import type { LoggedRequest } from "./attemptlog.js";
import { recordOutcome, recordProgress } from "./attemptoutcome.js";
import { AttemptPlanner } from "./attemptplanner.js";
import type { PlannedAttempt } from "./attemptplanner.js";
import { RequestBoundary } from "./boundary.js";
import { CallerStream } from "./callerstream.js";
import type { RequestContext } from "./context.js";
import { StreamContinuation } from "./continuation.js";
import { recordEnding, sendFailure, sendRefusal } from "./ending.js";
import type { RequestOutcome } from "./ending.js";
import { defaultRetryAfterMs, estimateRetryAfterMs, priorityOf } from "./endpointselection.js";
import { requestEvents as events } from "./event.js";
import { RequestUsage } from "./requestusage.js";
import type { CallerResponder } from "./responder.js";
import { SilenceTimer } from "./silencetimer.js";
import type { AttemptProgress } from "./silencetimer.js";
import { describeTraits } from "./traits.js";

/** Short, since another host can accept the request at once. */
export const stoppingRetryMs = 20;

/** Executes one admitted request, with retries on other endpoints, until the caller has its final response. */
export class RequestTask {
    readonly #context: RequestContext;
    readonly #request: AdmittedRequest;
    readonly #responder: CallerResponder;
    readonly #onEnd: () => void;
    readonly #boundary = new RequestBoundary(error => this.#breakDown(error));
    readonly #planner: AttemptPlanner;
    readonly #stream: CallerStream;
    readonly #continuation: StreamContinuation;
    readonly #silence: SilenceTimer;
    readonly #traits: RequestTraits;
    readonly #usage: RequestUsage;
    #attempt: Attempt | undefined;
    #isEnded = false;
    /** The attempt that follows the current one, which is being ended for it; charged to the budget already. */
    #replacement: PlannedAttempt | undefined;
    #cancelDeadline: () => void = () => undefined;
    #firstEventMs: number | undefined;

    /** `onEnd` is called once, when the caller has its final response. */
    constructor(context: RequestContext, request: AdmittedRequest, responder: CallerResponder, onEnd: () => void) {
        this.#context = context;
        this.#request = request;
        this.#responder = responder;
        this.#onEnd = onEnd;
        this.#stream = new CallerStream(responder, request.description.lastEventId);
        this.#continuation = new StreamContinuation(
            context,
            request,
            this.#boundary.guard(() => this.#fail("the caller has come back", 502, undefined)),
        );
        this.#traits = describeTraits(request);
        this.#usage = new RequestUsage(context, request);
        this.#planner = new AttemptPlanner(context, request, this.#continuation, this.#traits);
        this.#silence = new SilenceTimer({
            clock: context.clock,
            route: request.route,
            onSilence: this.#boundary.guard((limitMs, progress) => this.#handleSilence(limitMs, progress)),
        });
    }

    get #logged(): LoggedRequest {
        return { context: this.#context, request: this.#request };
    }

    /** Sends the request to an endpoint or rejects it immediately. */
    start(): void {
        this.#boundary.run(() => this.#start());
    }

    #start(): void {
        const { clock } = this.#context;
        this.#responder.onDisconnect(this.#boundary.guard(() => this.#finish("gone", "caller")));
        this.#responder.onDrain(() => this.#resumeHeld());
        const leftMs = Math.max(0, this.#request.deadlineMs - clock.monotonicMs());
        this.#cancelDeadline = clock.after(leftMs, this.#boundary.guard(() => this.#expire()));
        this.#context.retryBudget.recordRequest(this.#request.service, clock.monotonicMs());
        if (this.#continuation.isResumed) {
            void this.#continuation.find().then(this.#boundary.guard(isFound => this.#resume(isFound)));
        }
        else {
            this.#dispatch();
        }
    }

    /** Goes on with a stream that an earlier request began. */
    #resume(isFound: boolean): void {
        if (isFound) {
            this.#dispatch();
        }
        else if (!this.#isEnded) {
            this.#refuse("the version that began the stream is not known", defaultRetryAfterMs);
        }
    }

    /** Chooses an endpoint and starts an attempt there. */
    #dispatch(): void {
        if (this.#isEnded) {
            return;
        }
        match(this.#planner.plan())
            .with(
                { type: "quarantined" },
                ({ cause, retryAfterMs }) => this.#fail(`${cause} crashes endpoints`, 503, retryAfterMs),
            )
            .with(
                { type: "noEndpoint" },
                () => this.#fail("no endpoint", 503, estimateRetryAfterMs(this.#context, this.#request.service)),
            )
            .with({ type: "stopping" }, () => this.#fail("this host stops", 503, stoppingRetryMs))
            .with({ type: "ready" }, ({ selected }) => {
                if (this.#planner.attempts > 0) {
                    this.#send(selected);
                }
                else {
                    this.#admit(selected);
                }
            })
            .exhaustive();
    }

    /** Ends the request, since the host stops now. */
    endForStop(): void {
        this.#boundary.run(() => this.#fail("this host stops", 502, stoppingRetryMs));
    }

    #admit(planned: PlannedAttempt): void {
        const { choice } = planned;
        const decision = decideAdmission(this.#context, this.#request, choice);
        if (decision.started) {
            this.#continuation.takeOver();
            this.#send(planned, decision);
        }
        else {
            const reason = `expected start ${Math.round(choice.expectedStartMs)} ms (${decision.reason})`;
            this.#refuse(reason, decision.retryAfterMs);
        }
    }

    #send(planned: PlannedAttempt, { isTrial } = { isTrial: false }): void {
        const { endpoint, choice, way } = planned;
        const { caller, description, requestId, customer, deadlineMs } = this.#request;
        const { clock, dialect, promptCaches } = this.#context;
        const remainingMs = Math.max(1, Math.floor(deadlineMs - clock.monotonicMs()));
        this.#planner.recordSent(endpoint);
        const headers = dialect.forwardHeaders(caller.headers, {
            endpointId: endpoint.endpointId,
            remainingMs,
            ...(customer === undefined ? {} : { customer: customer.name }),
            ...(endpoint.hasPromptCache ? { priority: priorityOf(this.#request) } : {}),
            ...(this.#stream.lastId === undefined ? {} : { lastEventId: this.#stream.lastId }),
        });
        logAttemptStarted(this.#logged, planned, { number: this.#planner.attempts, remainingMs });
        if (description.prompt !== undefined && endpoint.hasPromptCache) {
            promptCaches.recordPrompt(endpoint.endpointId, description.prompt.parts);
        }
        this.#stream.restart();
        const attempt = new Attempt(this.#context, {
            requestId,
            number: this.#planner.attempts,
            route: this.#request.route.name,
            endpoint,
            priority: priorityOf(this.#request),
            tokens: choice.tokensToCompute,
            isEndpointIdle: choice.isIdle,
            objectiveMs: this.#request.route.objectiveMs,
            maximumIdleMs: planned.maximumIdleMs,
            remainingMs,
            way,
            isStream: this.#request.route.kind === "stream",
            isTrial,
        }, { method: caller.method, target: caller.target, headers, body: caller.body });
        this.#attempt = attempt;
        this.#restartSilenceTimer(choice.expectedStartMs, false);
        attempt.start(this.#boundary, {
            onStreamBytes: bytes => this.#receiveStream(attempt, bytes),
            onEnd: result => this.#finishAttempt(attempt, result),
        });
    }

    #receiveStream(attempt: Attempt, bytes: Buffer): void {
        const forwarded = this.#stream.forward(attempt, bytes);
        if (forwarded.type === "malformed") {
            attempt.fail("malformed", forwarded.detail);
            return;
        }
        if (!attempt.holdBytes(forwarded.pendingBytes)) {
            return;
        }
        if (forwarded.isFull) {
            attempt.pause();
        }
        if (forwarded.hasProgress) {
            this.#continuation.recordEvent(attempt.endpoint, attempt.sentMs);
            this.#restartSilenceTimer(0, true);
            this.#firstEventMs ??= this.#context.clock.monotonicMs();
            recordProgress(this.#context, this.#traits, attempt);
            attempt.recordFirstEvent();
            this.#usage.record(this.#context.fleetClock.now());
        }
    }

    #finishAttempt(attempt: Attempt, ending: AttemptResult): void {
        if (this.#isEnded || attempt !== this.#attempt) {
            return;
        }
        const result = attempt.checkComplete(ending, this.#stream.isWithinEvent);
        this.#silence.cancel();
        this.#attempt = undefined;
        if (result.type !== "notRun") {
            this.#planner.recordExecution(attempt.endpoint);
        }
        const crashExamined = recordOutcome(this.#context, this.#traits, { attempt, result });
        // Nothing but the rest of a stream can follow what the caller already has of it.
        if (result.type === "answered" && (result.isStream || !this.#stream.isBegun)) {
            this.#finishAnswered(attempt, result);
            return;
        }
        const replacement = this.#replacement;
        this.#replacement = undefined;
        if (replacement !== undefined) {
            logAttemptFailed(this.#logged, attempt, { result, isRepeated: true });
            this.#send(replacement);
            return;
        }
        // An attempt that never reached an endpoint is not charged to the retry budget.
        const isExempt = result.type === "notRun" && !result.hasArrived;
        if (isExempt) {
            this.#planner.recordUnreached(attempt.endpoint, attempt.way);
        }
        const isRepeated = (result.type === "notRun" || this.#planner.mayRetry) && (isExempt || this.#planner.reserveRetry());
        logAttemptFailed(this.#logged, attempt, { result, isRepeated });
        if (isRepeated) {
            // A request that crashes endpoints is recognised before it is sent to the next one.
            void crashExamined?.then(this.#boundary.guard(() => this.#dispatch()));
            if (crashExamined === undefined) {
                this.#dispatch();
            }
            return;
        }
        if (result.type === "failed") {
            this.#usage.record(attempt.startedAt);
        }
        this.#fail(result.type === "answered" ? "error" : result.detail, 502, undefined);
    }

    /** Delivers what an endpoint has answered, unless it is a failure that another endpoint may replace. */
    #finishAnswered(attempt: Attempt, result: AnsweredResult): void {
        const isFailure = !result.isStream && result.status >= 500;
        const decision = isFailure && this.#planner.mayRetry ? this.#planner.decideReplacement() : undefined;
        if (decision?.type === "replace") {
            logAttemptFailed(this.#logged, attempt, { result, isRepeated: true });
            this.#send(decision.selected);
        }
        else {
            this.#deliver(attempt, result);
        }
    }

    #deliver(attempt: Attempt, result: AnsweredResult): void {
        const { clock, timings } = this.#context;
        timings.recordDuration(this.#request.route.name, clock.monotonicMs() - attempt.sentMs);
        this.#usage.record(attempt.startedAt);
        if (!result.isStream) {
            this.#responder.answer(result.status, attempt.responseHeaders, result.body);
            this.#finish("answered", `status ${result.status}`);
            return;
        }
        if (!this.#stream.begin(attempt)) {
            this.#fail("the head can't be forwarded", 502, undefined);
            return;
        }
        this.#responder.end();
        this.#finish("answered", `status ${result.status}`);
    }

    #restartSilenceTimer(expectedStartMs: number, hasStarted: boolean): void {
        this.#silence.restart({ expectedStartMs, hasStarted, isRepeatable: this.#planner.mayRetryAfterCurrent });
    }

    /** Reads on from the endpoint as the caller takes more; its silence counts from now. */
    #resumeHeld(): void {
        if (this.#attempt?.isHeld === true) {
            this.#restartSilenceTimer(0, true);
            this.#attempt.resume();
        }
    }

    /** Goes on at another endpoint if one takes the request for certain; else keeps waiting for the silent one. */
    #handleSilence(limitMs: number, progress: AttemptProgress): void {
        if (this.#attempt?.isHeld === true) {
            // Nothing is read from the endpoint, so this is no silence of its own.
            this.#silence.restart(progress);
            return;
        }
        const decision = this.#planner.decideReplacement();
        logSilence(this.#logged, this.#attempt, {
            silentMs: limitMs,
            forwarded: this.#stream.count,
            decision: decision.type === "replace" ? decision.type : decision.reason,
        });
        if (decision.type === "keep") {
            this.#silence.restart(progress);
            return;
        }
        this.#replacement = decision.selected;
        this.#attempt?.fail("silent", `The endpoint was silent for ${Math.round(limitMs)} ms.`);
    }

    /** Goes on at another endpoint, or by another way, if the link to the present one is cut. */
    leaveCutLink(): void {
        const attempt = this.#attempt;
        if (attempt !== undefined && this.#planner.isCutOff(attempt)) {
            this.#boundary.run(() => this.#leaveCutLink(attempt));
        }
    }

    #leaveCutLink(attempt: Attempt): void {
        const decision = this.#planner.mayRetryAfterCurrent ? this.#planner.decideReplacement() : undefined;
        if (decision?.type === "replace") {
            this.#replacement = decision.selected;
            attempt.fail(undefined, "The link of this host to the endpoint is cut.");
        }
        else {
            attempt.dropLoad();
        }
    }

    /** Ends the request after an error of this host. */
    #breakDown(error: unknown): void {
        const { log, metrics } = this.#context;
        const { requestId, route, service } = this.#request;
        metrics.recordInternalError("request");
        log.write(events.requestBroken, { requestId, route: route.name, service, error: describeError(error) });
        try {
            this.#fail("an internal error", 502, undefined);
        }
        catch {
            this.#responder.abort();
            this.#finish("cut", "an internal error");
        }
    }

    #expire(): void {
        this.#fail("time limit", 504, defaultRetryAfterMs);
    }

    /** Ends the request without an endpoint's response: rejected if it was certainly not executed, else with the given status. */
    #fail(reason: string, status: number, retryAfterMs: number | undefined): void {
        const mayHaveRun = this.#planner.executions > 0 || this.#attempt !== undefined;
        if (this.#stream.isBegun) {
            this.#responder.abort();
            this.#finish("cut", reason);
        }
        else if (mayHaveRun) {
            sendFailure(this.#responder, { reason, status });
            this.#finish("failed", reason);
        }
        else {
            this.#refuse(reason, retryAfterMs ?? defaultRetryAfterMs);
        }
    }

    #refuse(reason: string, retryAfterMs: number): void {
        sendRefusal(this.#context, this.#request, this.#responder, { reason, retryAfterMs });
        this.#finish("refused", reason);
    }

    #finish(outcome: RequestOutcome, reason: string): void {
        if (this.#isEnded) {
            return;
        }
        this.#isEnded = true;
        this.#cancelDeadline();
        this.#silence.cancel();
        this.#continuation.close();
        this.#onEnd();
        this.#attempt?.cancel();
        this.#attempt = undefined;
        recordEnding(this.#context, this.#request, {
            outcome,
            reason,
            sends: this.#planner.attempts,
            events: this.#stream.count,
            firstEventMs: this.#firstEventMs,
        });
    }
}
