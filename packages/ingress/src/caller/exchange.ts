import type { Clock } from "@filbertrelay/kernel";
import type { ServerResponse } from "node:http";
import type { GuardedRequest } from "./connectionguard.js";
import type { CallerLimits } from "./limits.js";
import { CallerTransfer } from "./transfer.js";

/** Memory that a request takes beside its body: its head, its state and that of its endpoint's connection. */
const requestBytes = 8_192;
const noBody = Buffer.alloc(0);

/** What all exchanges of a server share. */
export interface ExchangeHost {
    readonly clock: Clock;
    readonly limits: CallerLimits;
    /** Rejects a request whose body is not complete, and closes its connection. */
    readonly reject: (exchange: CallerExchange, response: ServerResponse, reason: "memory" | "stalled") => void;
}

/** One request with its response, and the memory that both hold. */
export class CallerExchange {
    readonly #request: GuardedRequest;
    readonly #response: ServerResponse;
    readonly #host: ExchangeHost;
    /** Created with the first piece of a body or the first bytes that wait for the caller. */
    #transfer: CallerTransfer | undefined;
    #isEnded = false;

    constructor(request: GuardedRequest, response: ServerResponse, host: ExchangeHost) {
        this.#request = request;
        this.#response = response;
        this.#host = host;
        host.limits.budget.add(requestBytes);
    }

    /** Bytes of the body that have arrived. */
    get receivedBytes(): number {
        return this.#transfer?.receivedBytes ?? 0;
    }

    /** Whether everything was given back. */
    get isEnded(): boolean {
        return this.#isEnded;
    }

    /** Takes a piece of the body, of which `expectedBytes` are to come in all. */
    receive(piece: Buffer, expectedBytes: number): void {
        this.#ensureTransfer().receive(piece, expectedBytes);
    }

    /** Returns the complete body, which is held until the end of the request. */
    takeBody(nowMs: number): Buffer {
        return this.#transfer?.takeBody(nowMs) ?? noBody;
    }

    /** Records that bytes of the answer wait for the caller to read. */
    recordUnread(): void {
        if (!this.#isEnded) {
            this.#ensureTransfer().recordUnread(this.#response.writableLength);
        }
    }

    /** Records that the caller has read what was sent. */
    recordRead(): void {
        this.#transfer?.recordRead();
    }

    /** Gives back everything that the request holds. */
    release(): void {
        if (!this.#isEnded) {
            this.#isEnded = true;
            this.#transfer?.release();
            this.#host.limits.budget.add(-requestBytes);
        }
    }

    #ensureTransfer(): CallerTransfer {
        this.#transfer ??= new CallerTransfer(this.#request, {
            clock: this.#host.clock,
            limits: this.#host.limits,
            end: (phase, reason) => this.#end(phase, reason),
        });
        return this.#transfer;
    }

    #end(phase: "body" | "answer", reason: "memory" | "stalled"): void {
        this.release();
        if (phase === "body") {
            this.#host.reject(this, this.#response, reason);
        }
        else {
            this.#request.socket.destroy();
        }
    }
}
