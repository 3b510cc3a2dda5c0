import type { AttemptFailure } from "@filbertrelay/policy/ingress";
import type { AttemptOptions, AttemptResult } from "./attempt.js";
import type { RequestContext } from "./context.js";

/** An endpoint that was heard from this recently is not silent, whatever it fails to finish. */
const steadyMs = 200;

/** What an attempt adds to the records that all requests share: loads, health, pace, timings and the comparison of versions. */
export class AttemptAccount {
    /** Monotonic time at which the request was sent. */
    readonly sentMs: number;
    readonly #context: RequestContext;
    readonly #options: AttemptOptions;
    readonly #loadKey: string;
    #hasFirstEvent = false;
    #endWork: (() => void) | undefined;
    #heardMs = -Infinity;

    constructor(context: RequestContext, options: AttemptOptions) {
        this.#context = context;
        this.#options = options;
        this.#loadKey = `${options.requestId}#${options.number}`;
        this.sentMs = context.clock.monotonicMs();
    }

    /** Whether the first event of the response was recorded. */
    get hasFirstEvent(): boolean {
        return this.#hasFirstEvent;
    }

    recordSent(): void {
        const { loads, limits, paces, rooms, health, rollouts, timings } = this.#context;
        const { endpoint, isStream, number, priority, tokens } = this.#options;
        limits.recordSend(endpoint.endpointId, this.sentMs);
        paces.recordSend(endpoint, this.sentMs);
        rooms.recordSend(endpoint, this.sentMs);
        health.recordSent(endpoint.endpointId, this.sentMs);
        rollouts.recordSent(endpoint, number === 1);
        loads.recordDispatch({ requestId: this.#loadKey, endpointId: endpoint.endpointId, priority, tokens });
        this.#endWork = isStream ? undefined : timings.startWork(endpoint.service, this.sentMs);
    }

    /** Records that a part of the response has arrived. */
    recordHeard(): void {
        this.#heardMs = this.#context.clock.monotonicMs();
        this.#context.health.recordHeard(this.#options.endpoint.endpointId, this.#heardMs);
    }

    /** Records that the first event has arrived, which means that the prompt has been processed. */
    recordFirstEvent(): void {
        if (this.#hasFirstEvent) {
            return;
        }
        this.#hasFirstEvent = true;
        const { loads, clock, timings, paces } = this.#context;
        const { endpoint, isEndpointIdle, objectiveMs, tokens } = this.#options;
        const nowMs = clock.monotonicMs();
        const startMs = nowMs - this.sentMs;
        loads.recordFirstEvent(this.#loadKey);
        paces.recordAnswer(endpoint, { elapsedMs: startMs, objectiveMs }, nowMs);
        this.#recordResult("answered");
        if (isEndpointIdle) {
            timings.recordStart(endpoint.service, startMs, tokens);
        }
    }

    /** Counts the attempt as load of its endpoint no longer. */
    dropLoad(): void {
        this.#context.loads.recordEnd(this.#loadKey);
        this.#endWork?.();
    }

    /** Records an end without a result. */
    recordCancelled(): void {
        if (!this.#hasFirstEvent) {
            // At least as long as until now.
            this.#recordResult("answered");
        }
        this.dropLoad();
    }

    /** Records the result; `failure` is how the endpoint failed, if it did. */
    recordEnd(result: AttemptResult, failure: AttemptFailure | undefined): void {
        this.dropLoad();
        this.#recordComparison(result);
        if (failure !== undefined) {
            this.#recordFailure(failure);
        }
        else if (result.type === "answered") {
            this.#recordAnswer(result.isStream);
        }
    }

    #recordAnswer(isStream: boolean): void {
        const { health, clock, timings, paces } = this.#context;
        const { endpoint, isTrial, objectiveMs } = this.#options;
        const nowMs = clock.monotonicMs();
        const elapsedMs = nowMs - this.sentMs;
        if (!isStream) {
            paces.recordAnswer(endpoint, { elapsedMs, objectiveMs }, nowMs);
        }
        health.recordSuccess(endpoint.endpointId);
        timings.recordSlotHold(endpoint.service, { durationMs: elapsedMs, nowMs, isTrial });
    }

    /** Records a failure against the endpoint, and tells the other hosts once it is certain that this host's links are not its cause. */
    #recordFailure(failure: AttemptFailure): void {
        const { health, clock, paces, linkMonitor } = this.#context;
        const { endpoint, way } = this.#options;
        const isRelaySilent = failure === "silent" && way.type === "relay";
        if (isRelaySilent) {
            return;
        }
        const isSteady = failure === "silent" && clock.monotonicMs() - this.#heardMs < steadyMs;
        health.recordFailure(endpoint.endpointId, isSteady ? "unfinished" : failure, clock.monotonicMs());
        if (health.isQuarantined(endpoint.endpointId, clock.monotonicMs())) {
            linkMonitor.whenConfirmed(endpoint, () => paces.recordSetback(endpoint, clock.monotonicMs()));
        }
    }

    /** Records the end for the comparison of versions; a stream counted as answered at its first event. */
    #recordComparison(result: AttemptResult): void {
        const { way, endpoint } = this.#options;
        if (result.type === "failed") {
            const { clock, linkMonitor } = this.#context;
            const durationMs = clock.monotonicMs() - this.sentMs;
            const type = result.isConnectionLost === true ? "lost" : "failed";
            if (way.type === "direct") {
                linkMonitor.whenConfirmed(endpoint, () => this.#recordResult(type, clock.monotonicMs() - durationMs));
            }
        }
        else if (result.type === "answered" && !this.#hasFirstEvent) {
            this.#recordResult(result.status >= 500 ? "failed" : "answered");
        }
    }

    #recordResult(type: "answered" | "failed" | "lost", sentMs = this.sentMs): void {
        const { endpoint, route } = this.#options;
        this.#context.rollouts.recordResult(endpoint, { route, type, sentMs });
    }
}
