import type { Clock, Outcome } from "@filbertrelay/kernel";
import { failure, success } from "@filbertrelay/kernel";
import { z } from "zod";
import type { PeerConnection } from "./connection.js";
import type { CallOptions, PeerIssue, Topic } from "./network.js";
import { validateShape } from "./shape.js";

/** A call in progress, from choosing a connection to the end of the reply. */
export class Call<Reply extends z.ZodType> {
    readonly #clock: Clock;
    readonly #topic: Topic<z.ZodType, Reply>;
    readonly #options: CallOptions;
    readonly #queue: Outcome<z.output<Reply>, PeerIssue>[] = [];
    #isEnded = false;
    #isSent = false;
    #notify: (() => void) | undefined;
    #cancelTimer: (() => void) | undefined;
    #connection: PeerConnection | undefined;
    #id: number | undefined;
    readonly #onAbort = () => this.#fail("peer.closed", "The caller cancelled the call.");

    constructor(clock: Clock, topic: Topic<z.ZodType, Reply>, options: CallOptions) {
        this.#clock = clock;
        this.#topic = topic;
        this.#options = options;
    }

    /** Sends the request on the connection from `connect`; retries once if the connection closed before the request was sent. */
    async start(body: unknown, connect: () => Promise<Outcome<PeerConnection, PeerIssue>>): Promise<void> {
        if (this.#options.signal?.aborted === true) {
            this.#onAbort();
            return;
        }
        this.#options.signal?.addEventListener("abort", this.#onAbort, { once: true });
        this.#restartTimer();
        for (let attempt = 1; !this.#isEnded; attempt++) {
            const connection = await connect();
            if (this.#isEnded) {
                return;
            }
            const issue = connection.ok ? this.#send(connection.value, body) : connection.issue;
            if (issue === undefined) {
                return;
            }
            if (!connection.ok || issue.code !== "peer.closed" || attempt === 2) {
                this.#end(failure(issue));
            }
        }
    }

    /** Yields the peer's replies in order; a failure is the last item. */
    async *items(): AsyncGenerator<Outcome<z.output<Reply>, PeerIssue>, void, undefined> {
        try {
            for (let item = await this.#next(); item !== undefined; item = await this.#next()) {
                yield item;
            }
        }
        finally {
            this.#cancel();
        }
    }

    /** Waits for the first of the peer's replies and ends the call; `undefined` without any. */
    async first(): Promise<Outcome<z.output<Reply>, PeerIssue> | undefined> {
        const item = await this.#next();
        this.#cancel();
        return item;
    }

    async #next(): Promise<Outcome<z.output<Reply>, PeerIssue> | undefined> {
        while (this.#queue.length === 0 && !this.#isEnded) {
            await new Promise<void>(resolve => this.#notify = resolve);
        }
        return this.#queue.shift();
    }

    #send(connection: PeerConnection, body: unknown): PeerIssue | undefined {
        const id = connection.request(body, {
            topic: this.#topic.name,
            onBody: received => this.#receive(received),
            onEnd: issue => this.#end(issue === undefined ? undefined : failure(issue)),
        });
        if (typeof id !== "number") {
            return id;
        }
        this.#isSent = true;
        this.#connection = connection;
        this.#id = id;
        return undefined;
    }

    #receive(body: unknown): void {
        const checked = validateShape(this.#topic.reply, body);
        if (!checked.success) {
            this.#fail("peer.invalid", z.prettifyError(checked.error));
            return;
        }
        this.#restartTimer();
        this.#queue.push(success(checked.data));
        this.#notify?.();
    }

    #restartTimer(): void {
        this.#cancelTimer?.();
        const { timeoutMs } = this.#options;
        this.#cancelTimer = this.#clock.after(timeoutMs, () => {
            this.#fail("peer.timeout", `No reply from the peer within ${timeoutMs} ms.`);
        });
    }

    #fail(code: PeerIssue["code"], message: string): void {
        this.#cancel();
        this.#end(failure({ code, message, sent: this.#isSent }));
    }

    #cancel(): void {
        if (!this.#isEnded && this.#id !== undefined) {
            this.#connection?.cancel(this.#id);
        }
        this.#settle();
    }

    #end(last: Outcome<z.output<Reply>, PeerIssue> | undefined): void {
        if (last !== undefined && !this.#queue.some(item => !item.ok)) {
            this.#queue.push(last);
        }
        this.#settle();
    }

    #settle(): void {
        this.#isEnded = true;
        this.#cancelTimer?.();
        this.#options.signal?.removeEventListener("abort", this.#onAbort);
        this.#notify?.();
    }
}
