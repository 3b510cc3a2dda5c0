import { invariant } from "@filbertrelay/kernel";
import { z } from "zod";
import type { Frame } from "./frame.js";
import type { PeerContext, Topic } from "./network.js";

/** Sends the frames of one answer; `send` gives the reason when nothing was sent. */
export interface AnswerChannel {
    send(kind: "reply" | "chunk" | "end", body: unknown): string | undefined;
    /** Resolves when the connection accepts more bytes. */
    drained(): Promise<void>;
}

type AnswerIssue = NonNullable<Frame["issue"]>;
type Handler = (body: unknown, context: PeerContext, answer: AnswerChannel) => Promise<AnswerIssue | undefined>;

/** The handlers of this process by topic. */
export class HandlerTable {
    readonly #handlers = new Map<string, Handler>();

    /** Whether a topic has a handler. */
    has(topic: string): boolean {
        return this.#handlers.has(topic);
    }

    /** Adds the handler of a topic that gives one reply. */
    add<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: PeerContext) => Promise<z.input<Reply>>,
    ): void {
        this.#set(topic, async (body, context, answer) => {
            const reply = await handler(body, context);
            return context.signal.aborted ? undefined : describeFailure(answer.send("reply", reply));
        });
    }

    /** Adds the handler of a topic that gives a stream of chunks. */
    addStream<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: PeerContext) => AsyncIterable<z.input<Reply>>,
    ): void {
        this.#set(topic, async (body, context, answer) => {
            for await (const chunk of handler(body, context)) {
                if (context.signal.aborted) {
                    return undefined;
                }
                const failed = answer.send("chunk", chunk);
                if (failed !== undefined) {
                    return describeFailure(failed);
                }
                await answer.drained();
            }
            return context.signal.aborted ? undefined : describeFailure(answer.send("end", undefined));
        });
    }

    /** Runs the handler of a topic; gives the issue that the caller must be told. */
    async run(topic: string, body: unknown, context: PeerContext, answer: AnswerChannel): Promise<AnswerIssue | undefined> {
        const handler = this.#handlers.get(topic);
        if (handler === undefined) {
            return { code: "refused", message: `The topic '${topic}' has no handler.` };
        }
        try {
            return await handler(body, context, answer);
        }
        catch (error) {
            return { code: "refused", message: error instanceof Error ? error.message : String(error) };
        }
    }

    #set<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: PeerContext, answer: AnswerChannel) => Promise<AnswerIssue | undefined>,
    ): void {
        invariant(!this.#handlers.has(topic.name), `The topic '${topic.name}' has two handlers.`);
        this.#handlers.set(topic.name, (body, context, answer) => {
            const checked = topic.request.safeParse(body);
            if (!checked.success) {
                return Promise.resolve({ code: "invalid", message: z.prettifyError(checked.error) });
            }
            return handler(checked.data, context, answer);
        });
    }
}

function describeFailure(message: string | undefined): AnswerIssue | undefined {
    return message === undefined ? undefined : { code: "invalid", message };
}
