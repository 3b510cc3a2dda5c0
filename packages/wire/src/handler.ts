import { invariant } from "@filbertrelay/kernel";
import type { HostId } from "@filbertrelay/kernel";
import * as z from "zod";
import type { Frame } from "./frame.js";
import type { PeerContext, Topic } from "./network.js";
import { SendWindow } from "./sendwindow.js";
import { validateShape } from "./shape.js";

/** Sends the frames of one reply; `send` returns an error message if nothing was sent. */
export interface ReplyChannel {
    send(kind: "reply" | "chunk" | "end", body: unknown): string | undefined;
    /** Resolves when the connection accepts more bytes. */
    waitForDrain(): Promise<void>;
}

/** A request that a peer waits for; most handlers never ask for the signal, which is made when one does. */
export class InboundCall implements PeerContext {
    readonly from: HostId;
    readonly window = new SendWindow();
    #controller: AbortController | undefined;
    #reason: Error | undefined;

    constructor(from: HostId) {
        this.from = from;
    }

    get signal(): AbortSignal {
        if (this.#controller === undefined) {
            this.#controller = new AbortController();
            if (this.#reason !== undefined) {
                this.#controller.abort(this.#reason);
            }
        }
        return this.#controller.signal;
    }

    /** Whether the caller no longer waits for the reply. */
    get isAborted(): boolean {
        return this.#reason !== undefined;
    }

    abort(reason: Error): void {
        this.#reason ??= reason;
        this.#controller?.abort(reason);
        this.window.close();
    }
}

type ReplyIssue = NonNullable<Frame["issue"]>;
type Handler = (body: unknown, context: InboundCall, channel: ReplyChannel) => Promise<ReplyIssue | undefined>;

/** The request handlers of this process by topic. */
export class HandlerTable {
    readonly #handlers = new Map<string, Handler>();

    /** Whether a topic has a handler. */
    has(topic: string): boolean {
        return this.#handlers.has(topic);
    }

    /** Registers a handler that returns one reply. */
    add<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: PeerContext) => Promise<z.input<Reply>>,
    ): void {
        this.#set(topic, async (body, context, channel) => {
            const reply = await handler(body, context);
            return context.isAborted ? undefined : toReplyIssue(channel.send("reply", reply));
        });
    }

    /** Registers a handler that returns a stream of chunks. */
    addStream<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: PeerContext) => AsyncIterable<z.input<Reply>>,
    ): void {
        this.#set(topic, async (body, context, channel) => {
            for await (const chunk of handler(body, context)) {
                if (context.isAborted) {
                    return undefined;
                }
                const failed = channel.send("chunk", chunk);
                if (failed !== undefined) {
                    return toReplyIssue(failed);
                }
                await context.window.waitBelow(topic.windowBytes ?? Infinity);
                await channel.waitForDrain();
            }
            return context.isAborted ? undefined : toReplyIssue(channel.send("end", undefined));
        });
    }

    /** Runs the handler of a topic; returns the issue to report to the caller, if any. */
    async run(topic: string, body: unknown, context: InboundCall, channel: ReplyChannel): Promise<ReplyIssue | undefined> {
        const handler = this.#handlers.get(topic);
        if (handler === undefined) {
            return { code: "refused", message: `No handler is registered for topic '${topic}'.` };
        }
        try {
            return await handler(body, context, channel);
        }
        catch (error) {
            return { code: "refused", message: error instanceof Error ? error.message : String(error) };
        }
    }

    #set<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: InboundCall, channel: ReplyChannel) => Promise<ReplyIssue | undefined>,
    ): void {
        invariant(!this.#handlers.has(topic.name), `A handler is already registered for topic '${topic.name}'.`);
        this.#handlers.set(topic.name, (body, context, channel) => {
            const checked = validateShape(topic.request, body);
            if (!checked.success) {
                return Promise.resolve({ code: "invalid", message: z.prettifyError(checked.error) });
            }
            return handler(checked.data, context, channel);
        });
    }
}

function toReplyIssue(message: string | undefined): ReplyIssue | undefined {
    return message === undefined ? undefined : { code: "invalid", message };
}
