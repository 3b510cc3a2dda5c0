import type { ServerResponse } from "node:http";
import { match } from "ts-pattern";
import { renderIssue } from "../caller/error.js";
import type { EntryPoint } from "../caller/error.js";
import type { Answer, AnswerState } from "./answer.js";

/** Writes an answer as server-sent events, from an offset until the answer ends or the connection closes. */
export function writeEventStream(
    response: ServerResponse,
    answer: Answer,
    options: { readonly offset: number; readonly created: Date; readonly entryPoints: () => readonly EntryPoint[]; },
): void {
    const formatter = createEventFormatter(answer, options.created);
    response.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        "x-request-id": answer.requestId,
    });
    response.flushHeaders();
    let offset = options.offset;
    let isBlocked = false;
    let isScheduled = false;

    // All tokens that arrive in one turn of the event loop share one write, because each write is a system call.
    const schedule = (): void => {
        if (!isScheduled) {
            isScheduled = true;
            setImmediate(flush);
        }
    };
    const flush = (): void => {
        isScheduled = false;
        if (isBlocked || response.destroyed) {
            return;
        }
        let text = "";
        for (let token = answer.at(offset); token !== undefined; token = answer.at(offset)) {
            offset += 1;
            text += formatter.token(offset, token);
        }
        const state = answer.state;
        if (state.type !== "running") {
            cancel();
            response.end(text + formatter.end(state, offset, options.entryPoints));
            return;
        }
        if (text !== "" && !response.write(text)) {
            isBlocked = true;
            response.once("drain", () => {
                isBlocked = false;
                flush();
            });
        }
    };
    const cancel = answer.onChange(schedule);
    response.once("close", cancel);
    flush();
}

interface EventFormatter {
    token(offset: number, text: string): string;
    end(state: Exclude<AnswerState, { type: "running"; }>, offset: number, entryPoints: () => readonly EntryPoint[]): string;
}

// The fixed parts of each event are built once per stream; only the token's text is encoded per event.
function createEventFormatter(answer: Answer, created: Date): EventFormatter {
    const head = JSON.stringify({
        id: answer.requestId,
        object: "chat.completion.chunk",
        created: Math.floor(created.getTime() / 1_000),
        model: answer.model,
    }).slice(0, -1);
    return {
        token: (offset, text) =>
            `id: ${offset}\ndata: ${head},"choices":[{"index":0,"delta":{"content":${
                JSON.stringify(text)
            }},"finish_reason":null}]}\n\n`,
        end: (state, offset, entryPoints) =>
            match(state)
                .with({ type: "finished" }, ({ finish }) => {
                    const usage = JSON.stringify({
                        prompt_tokens: finish.promptTokens,
                        completion_tokens: answer.length,
                        total_tokens: finish.promptTokens + answer.length,
                    });
                    const choices = `"choices":[{"index":0,"delta":{},"finish_reason":"${finish.reason}"}]`;
                    return `id: ${offset}\ndata: ${head},${choices},"usage":${usage}}\n\ndata: [DONE]\n\n`;
                })
                .with({ type: "failed" }, ({ issue }) => `event: error\ndata: ${renderIssue(issue)}\n\n`)
                .with({ type: "moved" }, () => {
                    const target = { requestId: answer.requestId, offset, entryPoints: entryPoints() };
                    return `event: moved\ndata: ${JSON.stringify(target)}\n\n`;
                })
                .exhaustive(),
    };
}

/** Renders a finished answer as one chat-completions object. */
export function renderCompletion(
    answer: Answer,
    finish: Extract<AnswerState, { type: "finished"; }>["finish"],
    created: Date,
): string {
    return JSON.stringify({
        id: answer.requestId,
        object: "chat.completion",
        created: Math.floor(created.getTime() / 1_000),
        model: answer.model,
        choices: [{
            index: 0,
            message: { role: "assistant", content: answer.tokensFrom(0).join("") },
            finish_reason: finish.reason,
        }],
        usage: {
            prompt_tokens: finish.promptTokens,
            completion_tokens: answer.length,
            total_tokens: finish.promptTokens + answer.length,
        },
    });
}
