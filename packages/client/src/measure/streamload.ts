import { createHistogram } from "node:perf_hooks";
import type { RecordableHistogram } from "node:perf_hooks";
import { Agent, request } from "undici";
import type { Dispatcher } from "undici";

/** Where and how streams are opened. */
export interface StreamLoad {
    readonly openAddress: string;
    /** Reads the answer from this host instead, by request id. */
    readonly readAddress?: string | undefined;
    readonly customerKey: string;
    readonly model: string;
    readonly streams: number;
    readonly tokensPerStream: number;
    /** Streams are started evenly over this time. */
    readonly rampMs: number;
}

/** Times in milliseconds. */
export interface StreamLoadResult {
    readonly tokens: number;
    readonly failed: number;
    readonly durationMs: number;
    readonly firstToken: Percentiles;
    readonly betweenTokens: Percentiles;
}

/** Percentiles of a time in milliseconds. */
export interface Percentiles {
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
}

const microsecondsPerMillisecond = 1_000;
const promptWords = 40;
const tokenMark = Buffer.from("\nid: ");

/** Opens streams and reads them to their ends. */
export async function runStreamLoad(load: StreamLoad): Promise<StreamLoadResult> {
    const dispatcher = new Agent({ connections: null, pipelining: 1, bodyTimeout: 0, headersTimeout: 0 });
    const firstToken = createHistogram();
    const betweenTokens = createHistogram();
    const startMs = performance.now();
    const counts = await Promise.all(Array.from({ length: load.streams }, async (...[, index]) => {
        await new Promise(resolve => setTimeout(resolve, index * load.rampMs / load.streams));
        return runStream(load, index, { dispatcher, firstToken, betweenTokens }).catch(() => 0);
    }));
    const durationMs = performance.now() - startMs;
    await dispatcher.close();
    return {
        tokens: counts.reduce((sum, count) => sum + count, 0),
        failed: counts.filter(count => count < load.tokensPerStream).length,
        durationMs,
        firstToken: percentiles(firstToken),
        betweenTokens: percentiles(betweenTokens),
    };
}

interface Recorders {
    readonly dispatcher: Dispatcher;
    readonly firstToken: RecordableHistogram;
    readonly betweenTokens: RecordableHistogram;
}

async function runStream(load: StreamLoad, index: number, recorders: Recorders): Promise<number> {
    const startMs = performance.now();
    const opened = await open(load, index, recorders.dispatcher);
    const body = load.readAddress === undefined ? opened.body : await readElsewhere(load, opened, recorders.dispatcher);
    let tokens = 0;
    let lastMs = startMs;
    for await (const chunk of body as AsyncIterable<Buffer>) {
        const nowMs = performance.now();
        const count = countTokens(chunk);
        if (count > 0) {
            const recorder = tokens === 0 ? recorders.firstToken : recorders.betweenTokens;
            recorder.record(Math.max(1, Math.round((nowMs - lastMs) * microsecondsPerMillisecond)));
            lastMs = nowMs;
            tokens += count;
        }
    }
    // The last event carries no token, only the reason of the end.
    return tokens;
}

async function open(load: StreamLoad, index: number, dispatcher: Dispatcher): Promise<Dispatcher.ResponseData> {
    const response = await request(`http://${load.openAddress}/v1/chat/completions`, {
        method: "POST",
        dispatcher,
        headers: {
            authorization: `Bearer ${load.customerKey}`,
            "content-type": "application/json",
            "x-request-deadline-ms": "60000",
        },
        body: JSON.stringify({
            request_id: `speed-${process.pid}-${index}-${performance.now()}`,
            model: load.model,
            stream: true,
            max_tokens: load.tokensPerStream,
            seed: index,
            priority: 5,
            prefix: [],
            messages: [{
                role: "user",
                content: `Question ${index} of ${process.pid}. ${"How long does lime cure? ".repeat(promptWords)}`,
            }],
        }),
    });
    if (response.statusCode !== 200) {
        throw new Error(`The stream was refused with status ${response.statusCode}: ${await response.body.text()}`);
    }
    return response;
}

async function readElsewhere(
    load: StreamLoad,
    opened: Dispatcher.ResponseData,
    dispatcher: Dispatcher,
): Promise<Dispatcher.ResponseData["body"]> {
    const requestId = String(opened.headers["x-request-id"]);
    const response = await request(`http://${load.readAddress}/v1/requests/${requestId}?offset=0`, {
        dispatcher,
        headers: { authorization: `Bearer ${load.customerKey}` },
    });
    opened.body.destroy();
    opened.body.once("error", () => undefined);
    return response.body;
}

// Events start with their token's number, so counting the lines that carry one counts tokens without parsing them.
function countTokens(chunk: Buffer): number {
    let count = chunk.subarray(0, tokenMark.length - 1).equals(tokenMark.subarray(1)) ? 1 : 0;
    for (let position = chunk.indexOf(tokenMark); position >= 0; position = chunk.indexOf(tokenMark, position + 1)) {
        count += 1;
    }
    return count;
}

function percentiles(histogram: RecordableHistogram): Percentiles {
    const read = (percentile: number): number => histogram.percentile(percentile) / microsecondsPerMillisecond;
    return { p50: read(50), p95: read(95), p99: read(99) };
}
