import type { EndpointIssue, EngineItem } from "@filbertrelay/endpoints";
import type { EndpointId } from "@filbertrelay/kernel";
import { fingerprintRequest, planRecovery } from "@filbertrelay/policy";
import type { InterruptionCause } from "@filbertrelay/policy";
import type { Span } from "@opentelemetry/api";
import { match } from "ts-pattern";
import type { CallerIssue } from "../caller/error.js";
import type { DirectoryEntry } from "../contract.js";
import { toInterruptionCause } from "./attempt.js";
import type { AttemptResult } from "./attempt.js";
import type { BackedUpAnswer } from "./backup.js";
import type { StreamTaskContext } from "./context.js";
import { streamEvents as events } from "./event.js";
import { EngineSelection } from "./selection.js";

/** Delay after a refusal, so that a request does not try all engines within milliseconds. */
const refusalDelayMs = 200;
/** Before the first token a request may wait in the engine's queue, so the stall timeout is longer. */
const firstTokenStallFactor = 5;
/** An answer that has begun fails when no engine continues it within this time. */
const recoveryLimitMs = 120_000;
/** Delay before a backup host resumes an answer, since the engine may still be computing the prompt. */
const resumeDelayMs = 100;
/** An unreachable engine is excluded from routing for this time. */
const unreachableExclusionMs = 2_000;

/** The engine at which to resume an answer that another host started. */
export interface ResumePoint {
    readonly engineAddress: string;
}

/** Generates one answer: chooses engines and continues on another one after an interruption until the answer is complete. */
export class StreamTask {
    readonly source: BackedUpAnswer;
    readonly #context: StreamTaskContext;
    readonly #span: Span;
    readonly #fingerprint: string;
    readonly #selection: EngineSelection;
    #engine: { readonly entry: DirectoryEntry; readonly endpointId: EndpointId; } | undefined;
    #attempt = new AbortController();
    #relocationCause: InterruptionCause | undefined;
    #isStopped = false;
    #reconnects = 0;
    #attemptsElsewhere = 0;
    /** Monotonic time of the first interruption since the last token. */
    #interruptedSinceMs: number | undefined;
    #mayHaveExecuted = false;
    /** Why the answer last moved to another engine. */
    #lastInterruption: InterruptionCause | undefined;

    constructor(source: BackedUpAnswer, span: Span, context: StreamTaskContext) {
        this.source = source;
        this.#span = span;
        this.#context = context;
        this.#fingerprint = fingerprintRequest(source.answer.customer, source.request.model, source.request.messages);
        this.#selection = new EngineSelection(context, {
            model: source.request.model,
            prompt: this.source.prompt,
            fingerprint: this.#fingerprint,
        });
    }

    /** The current engine. */
    get engine(): DirectoryEntry | undefined {
        return this.#engine?.entry;
    }

    /** Runs until the answer has ended or the task is stopped. */
    async run(resume?: ResumePoint): Promise<void> {
        let end = resume === undefined ? await this.#dispatch(true) : await this.#resumeFrom(resume);
        while (end.type === "interrupted") {
            if (this.#shouldReconnect(end.cause)) {
                end = await this.#reconnect();
            }
            else if (await this.#prepareFailover(end.cause, end.issue)) {
                end = await this.#dispatch(false);
            }
            else {
                break;
            }
        }
        this.#selection.release();
        if (end.type === "finished") {
            this.#finish(end.item);
        }
    }

    /** Moves the answer to another engine, to the preferred one if it is available. */
    relocate(cause: InterruptionCause, preferred?: EndpointId): void {
        this.#relocationCause = cause;
        this.#selection.prefer(preferred);
        this.#attempt.abort(new Error("The answer is moved to another engine."));
    }

    /** Stops without ending the answer, because another host continues it. */
    stop(): void {
        this.#isStopped = true;
        this.#attempt.abort(new Error("Another host continues the answer."));
    }

    async #dispatch(isFirst: boolean): Promise<AttemptResult> {
        const { answer, request } = this.source;
        const { router, explanations, engines, kernel } = this.#context;
        const selected = await this.#selection.choose({
            limitAt: answer.length > 0 ? kernel.clock.now().getTime() + recoveryLimitMs : request.deadlineAt,
            isStopped: () => this.#isStopped,
        });
        if (selected.type !== "chosen") {
            if (selected.type === "failed") {
                this.#fail({ ...selected.issue, executed: this.#mayHaveExecuted ? "unknown" : "no" });
            }
            return { type: "stopped" };
        }
        const { choice } = selected;
        const prefix = answer.tokensFrom(0);
        explanations.add(answer.requestId, isFirst ? "engine chosen" : "answer continued on another engine", {
            endpoint: choice.endpointId,
            failureDomain: choice.engine.failureDomain,
            offset: answer.length,
            scores: choice.routing.explanation.slice(0, 4),
        });
        router.recordDispatch(choice, answer.requestId, this.source.prompt);
        const end = await this.#read(
            choice.engine,
            choice.endpointId,
            (silenceMs, signal) =>
                engines.generate(choice.engine.address, {
                    requestId: answer.requestId,
                    model: request.model,
                    messages: request.messages,
                    maxTokens: request.maxTokens,
                    seed: request.seed,
                    priority: request.priority,
                    sampling: request.sampling,
                    ...(prefix.length > 0 ? { prefix } : {}),
                }, { silenceMs, signal }),
        );
        const issue = end.type === "interrupted" ? end.issue : undefined;
        this.#mayHaveExecuted ||= issue?.executed !== "no";
        if (issue?.code === "endpoint.unreachable") {
            router.recordCrash(choice.endpointId, unreachableExclusionMs);
        }
        return end;
    }

    async #reconnect(): Promise<AttemptResult> {
        const engine = this.#engine;
        if (engine === undefined) {
            return { type: "interrupted", cause: "refused" };
        }
        this.#reconnects += 1;
        const { answer } = this.source;
        this.#context.metrics.increment("streams.reconnects");
        this.#context.explanations.add(answer.requestId, "new connection to the same engine", {
            endpoint: engine.endpointId,
            offset: answer.length,
        });
        const end = await this.#read(
            engine.entry,
            engine.endpointId,
            (silenceMs, signal) =>
                this.#context.engines.resume(engine.entry.address, answer.requestId, answer.length, { silenceMs, signal }),
        );
        const isLost = end.type === "interrupted" &&
            (end.issue?.code === "endpoint.unreachable" || end.issue?.code === "endpoint.notFound");
        // An engine that no longer knows the request has restarted since it accepted it.
        return isLost ? { ...end, cause: "crashed" } : end;
    }

    async #resumeFrom(resume: ResumePoint): Promise<AttemptResult> {
        const { answer } = this.source;
        const { engines, explanations, stallTimeoutMs, kernel } = this.#context;
        explanations.add(answer.requestId, "answer continued by its backup host", { offset: answer.length });
        await kernel.clock.sleep(resumeDelayMs);
        const items = engines.resume(resume.engineAddress, answer.requestId, answer.length, {
            silenceMs: stallTimeoutMs,
            signal: this.#attempt.signal,
        });
        return this.#consume(items, () => undefined);
    }

    async #read(
        entry: DirectoryEntry,
        endpointId: EndpointId,
        open: (silenceMs: number, signal: AbortSignal) => AsyncIterable<EngineItem>,
    ): Promise<AttemptResult> {
        const { answer } = this.source;
        const { engines, router, suspects, tracing, stallTimeoutMs } = this.#context;
        const span = tracing.startSpan("endpoint attempt", this.#span, { endpoint: endpointId, offset: answer.length });
        this.#engine = { entry, endpointId };
        this.source.engineAddress = entry.address;
        this.#attempt = new AbortController();
        this.#relocationCause = undefined;
        suspects.recordStart(this.#fingerprint, endpointId);
        const silenceMs = answer.length === 0 ? stallTimeoutMs * firstTokenStallFactor : stallTimeoutMs;
        const end = await this.#consume(
            open(silenceMs, this.#attempt.signal),
            () => router.recordFirstToken(endpointId, answer.requestId),
        );
        suspects.recordEnd(this.#fingerprint, endpointId, end.type === "finished");
        if (this.#relocationCause !== undefined) {
            // The engine keeps generating after a lost connection, so its slot is freed explicitly.
            void engines.cancel(entry.address, answer.requestId);
        }
        router.recordFinish(endpointId, answer.requestId);
        match(end)
            .with({ type: "interrupted" }, ({ cause }) => tracing.fail(span, cause))
            .otherwise(() => span.end());
        return end;
    }

    async #consume(items: AsyncIterable<EngineItem>, onFirstToken: () => void): Promise<AttemptResult> {
        const { answer } = this.source;
        let isFirstToken = true;
        for await (const item of items) {
            if (item.type === "token") {
                if (isFirstToken) {
                    isFirstToken = false;
                    onFirstToken();
                }
                if (answer.append(item.token.offset, item.token.text) === "gap") {
                    return { type: "interrupted", cause: "connectionLost" };
                }
                this.#reconnects = 0;
                this.#attemptsElsewhere = 0;
                this.#interruptedSinceMs = undefined;
                continue;
            }
            if (item.type === "finish") {
                return { type: "finished", item };
            }
            return this.#toResult(item.issue);
        }
        return this.#toResult(undefined);
    }

    #toResult(issue: EndpointIssue | undefined): AttemptResult {
        if (this.#isStopped) {
            return { type: "stopped" };
        }
        if (this.#relocationCause !== undefined) {
            return { type: "interrupted", cause: this.#relocationCause };
        }
        const cause = toInterruptionCause(issue);
        return issue === undefined ? { type: "interrupted", cause } : { type: "interrupted", cause, issue };
    }

    #shouldReconnect(cause: InterruptionCause): boolean {
        return this.#engine !== undefined && this.#planNext(cause, true).action === "reconnect";
    }

    #planNext(cause: InterruptionCause, retryAllowed: boolean): ReturnType<typeof planRecovery> {
        const { answer, request } = this.source;
        const { clock } = this.#context.kernel;
        this.#interruptedSinceMs ??= clock.monotonicMs();
        return planRecovery({
            cause,
            endpointId: this.#engine?.endpointId ?? ("" as EndpointId),
            promptTokens: this.source.prompt.promptTokens,
            forwardedTokens: answer.length,
            reconnects: this.#reconnects,
            attemptsElsewhere: this.#attemptsElsewhere,
            remainingMs: answer.length > 0 ?
                this.#interruptedSinceMs + recoveryLimitMs - clock.monotonicMs() :
                request.deadlineAt - clock.now().getTime(),
            retryAllowed,
        });
    }

    // False when the answer failed permanently. Records a crash before the next engine is chosen, so that suspects are isolated.
    async #prepareFailover(cause: InterruptionCause, issue: EndpointIssue | undefined): Promise<boolean> {
        const { answer } = this.source;
        const { suspects, metrics, kernel, explanations } = this.#context;
        const engine = this.#engine;
        if (engine !== undefined) {
            if (cause === "crashed") {
                suspects.recordCrash(engine.endpointId, this.#fingerprint);
            }
            if (cause === "stalled") {
                // The engine may still be running behind a broken connection; an unread generation would keep its slot.
                void this.#context.engines.cancel(engine.entry.address, answer.requestId);
            }
            this.#selection.exclude(engine.entry, engine.endpointId, cause);
        }
        if (!await this.#waitForRetry(cause)) {
            this.#fail({
                status: 502,
                code: "stream.interrupted",
                message: issue?.message ?? "The engine's stream was interrupted and no other engine could continue it.",
                executed: this.#mayHaveExecuted ? "unknown" : "no",
            });
            return false;
        }
        // A refused request was not started, so it does not count as an attempt.
        this.#attemptsElsewhere += cause === "refused" ? 0 : 1;
        this.#lastInterruption = cause;
        metrics.increment(`streams.interrupted.${cause}`);
        explanations.add(answer.requestId, "interrupted", { cause, issue: issue?.code, offset: answer.length });
        kernel.log.write(events.interrupted, {
            requestId: answer.requestId,
            cause,
            endpoint: engine?.endpointId,
            offset: answer.length,
        });
        return true;
    }

    // Waits while the retry budget is exhausted, and after a refusal; false when the answer can't be continued.
    async #waitForRetry(cause: InterruptionCause): Promise<boolean> {
        const { retries, kernel } = this.#context;
        const { answer, request } = this.source;
        if (cause === "refused") {
            await kernel.clock.sleep(refusalDelayMs);
        }
        while (!this.#isStopped) {
            const needsBudget = cause !== "reclaimed" && cause !== "refused" && answer.length === 0;
            const plan = this.#planNext(cause, !needsBudget || retries.tryRetry(answer.customer, request.model));
            if (plan.action !== "wait") {
                return plan.action !== "fail";
            }
            await kernel.clock.sleep(plan.retryAfterMs);
        }
        return true;
    }

    #finish(item: Extract<EngineItem, { type: "finish"; }>): void {
        const { metrics } = this.#context;
        const { answer } = this.source;
        const computed = item.finish.promptTokens - item.finish.cachedTokens;
        metrics.increment("tokens.prompt", item.finish.promptTokens);
        metrics.increment("tokens.computed", computed);
        metrics.increment("tokens.generated", answer.length);
        if (this.#lastInterruption !== undefined) {
            metrics.increment(`tokens.recomputed.${this.#lastInterruption}`, computed);
        }
        metrics.increment("streams.finished");
        answer.end({ type: "finished", finish: item.finish });
    }

    #fail(issue: CallerIssue): void {
        const { kernel, metrics, explanations } = this.#context;
        const { answer } = this.source;
        metrics.increment("streams.failed");
        explanations.add(answer.requestId, "failed", { code: issue.code });
        kernel.log.write(events.failed, { requestId: answer.requestId, code: issue.code });
        answer.end({ type: "failed", issue });
    }
}
