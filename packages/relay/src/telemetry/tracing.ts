import type { Service } from "@filbertrelay/kernel";
import { context, propagation, ROOT_CONTEXT, SpanStatusCode, trace } from "@opentelemetry/api";
import type { Context, Span, Tracer } from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import { BatchSpanProcessor, NodeTracerProvider } from "@opentelemetry/sdk-trace-node";

/** The header that carries the trace context between hops. */
export const traceHeader = "traceparent";

/** Creates a span per hop and exports spans by OTLP over HTTP if a collector is configured; registered as `tracing`. */
export class Tracing implements Service {
    readonly #provider: NodeTracerProvider | undefined;
    readonly #tracer: Tracer;
    readonly #propagator = new W3CTraceContextPropagator();

    constructor(options: { readonly hostId: string; readonly otlpUrl?: string; }) {
        if (options.otlpUrl !== undefined) {
            this.#provider = new NodeTracerProvider({
                resource: resourceFromAttributes({ "service.name": "filbertrelayd", "service.instance.id": options.hostId }),
                spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url: options.otlpUrl }))],
            });
        }
        this.#tracer = (this.#provider ?? trace).getTracer("filbertrelay");
    }

    /** Reads the caller's trace context from a header value. */
    extract(header: string | undefined): Context {
        return this.#propagator.extract(ROOT_CONTEXT, { [traceHeader]: header }, {
            get: (carrier, key) => carrier[key as typeof traceHeader],
            keys: carrier => Object.keys(carrier),
        });
    }

    /** Returns the header value that propagates a span to the next hop; `undefined` when tracing is disabled. */
    inject(span: Span): string | undefined {
        const carrier: Record<string, string> = {};
        this.#propagator.inject(trace.setSpan(ROOT_CONTEXT, span), carrier, {
            set: (target, key, value) => {
                target[key] = value;
            },
        });
        return carrier[traceHeader];
    }

    /** Starts the span of one hop. */
    startSpan(name: string, parent: Context | Span, attributes: Record<string, string | number> = {}): Span {
        const parentContext = "spanContext" in parent ? trace.setSpan(ROOT_CONTEXT, parent) : parent;
        return this.#tracer.startSpan(name, { attributes }, parentContext);
    }

    /** Marks a span as failed with an issue code and ends it. */
    fail(span: Span, code: string): void {
        span.setStatus({ code: SpanStatusCode.ERROR, message: code });
        span.end();
    }

    async stop(): Promise<void> {
        await this.#provider?.shutdown();
        context.disable();
        propagation.disable();
    }
}
