import { traceHeader } from "./tracing.js";
import type { Tracing } from "./tracing.js";

/** One hop of a request. */
export interface Hop {
    /** The headers for the next hop, with this hop as parent. */
    readonly headers: Readonly<Record<string, string>>;
    /** Ends the span; a code marks it as failed. */
    end(code?: string): void;
}

/** Starts the span of a hop from the trace context in the headers; without tracing the headers are unchanged. */
export function startHop(
    tracing: Tracing | undefined,
    name: string,
    headers: Readonly<Record<string, string>>,
    attributes: Record<string, string | number>,
): Hop {
    if (tracing === undefined) {
        return { headers, end: () => undefined };
    }
    const span = tracing.startSpan(name, tracing.extract(headers[traceHeader]), attributes);
    const context = tracing.inject(span);
    return {
        headers: context === undefined ? headers : { ...headers, [traceHeader]: context },
        end: code => code === undefined ? span.end() : tracing.fail(span, code),
    };
}
