import type { EngineDriver } from "@filbertrelay/endpoints";
import type { Kernel } from "@filbertrelay/kernel";
import type { RetryBudgets } from "../calls/retry.js";
import type { EngineRouter } from "../routing/router.js";
import type { Suspects } from "../suspects/suspects.js";
import type { Explanations } from "../telemetry/explanation.js";
import type { Metrics } from "../telemetry/metrics.js";
import type { Tracing } from "../telemetry/tracing.js";

/** Services and settings shared by all stream tasks. */
export interface StreamTaskContext {
    readonly kernel: Kernel;
    readonly engines: EngineDriver;
    readonly router: EngineRouter;
    readonly suspects: Suspects;
    readonly retries: RetryBudgets;
    readonly metrics: Metrics;
    readonly tracing: Tracing;
    readonly explanations: Explanations;
    readonly stallTimeoutMs: number;
}

/** Looks up the drivers and services that stream tasks use. */
export function createTaskContext(kernel: Kernel, stallTimeoutMs: number): StreamTaskContext {
    return {
        kernel,
        engines: kernel.get<EngineDriver>("engines"),
        router: kernel.get<EngineRouter>("routing"),
        suspects: kernel.get<Suspects>("suspects"),
        retries: kernel.get<RetryBudgets>("retries"),
        metrics: kernel.get<Metrics>("metrics"),
        tracing: kernel.get<Tracing>("tracing"),
        explanations: kernel.get<Explanations>("explanations"),
        stallTimeoutMs,
    };
}
