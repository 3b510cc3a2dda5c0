import type { Clock, Outcome } from "@filbertrelay/kernel";
import { failure, success } from "@filbertrelay/kernel";
import * as z from "zod";
import type { PeerConnection } from "./connection.js";
import type { CallOptions, PeerIssue, Topic } from "./network.js";
import { validateShape } from "./shape.js";

/** Part of the window of a topic after which its receiver says what it has taken. */
const takenShare = 0.25;

interface Received<Item> {
    readonly item: Item;
    readonly bytes: number;
}

/** A call in progress, from choosing a connection to the end of the reply. */
export class Call<Reply extends z.ZodType> {
    readonly #clock: Clock;
    readonly #topic: Topic<z.ZodType, Reply>;
    readonly #options: CallOptions;
    readonly #queue: Received<Outcome<z.output<Reply>, PeerIssue>>[] = [];
    #takenBytes = 0;
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
        this.#restartTimer(this.#options.sendTimeoutMs);
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
        const received = this.#queue.shift();
        this.#recordTaken(received?.bytes ?? 0);
        return received?.item;
    }

    #recordTaken(bytes: number): void {
        const { windowBytes } = this.#topic;
        this.#takenBytes += bytes;
        if (
            windowBytes !== undefined && this.#takenBytes >= windowBytes * takenShare && !this.#isEnded && this.#id !== undefined
        ) {
            this.#connection?.recordTaken(this.#id, this.#takenBytes);
            this.#takenBytes = 0;
        }
    }

    #send(connection: PeerConnection, body: unknown): PeerIssue | undefined {
        const id = connection.request(body, {
            topic: this.#topic.name,
            onBody: (received, bytes) => this.#receive(received, bytes),
            onEnd: issue => this.#end(issue === undefined ? undefined : failure(issue)),
        });
        if (typeof id !== "number") {
            return id;
        }
        this.#isSent = true;
        this.#connection = connection;
        this.#id = id;
        this.#restartTimer();
        return undefined;
    }

    #receive(body: unknown, bytes: number): void {
        const checked = validateShape(this.#topic.reply, body);
        if (!checked.success) {
            this.#fail("peer.invalid", z.prettifyError(checked.error));
            return;
        }
        this.#restartTimer();
        this.#queue.push({ item: success(checked.data), bytes });
        this.#notify?.();
    }

    #restartTimer(timeoutMs = this.#options.timeoutMs): void {
        this.#cancelTimer?.();
        this.#cancelTimer = this.#clock.afterInput(timeoutMs, () => {
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
        if (last !== undefined && !this.#queue.some(({ item }) => !item.ok)) {
            this.#queue.push({ item: last, bytes: 0 });
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
