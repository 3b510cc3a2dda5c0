import type { Clock } from "@filbertrelay/kernel";
import { MemoryHolding } from "@filbertrelay/policy/ingress";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { GuardedRequest } from "./connectionguard.js";
import type { CallerLimits } from "./limits.js";
import { RequestBody } from "./requestbody.js";

/** Memory that a request takes beside its body: its head, its state and that of its endpoint's connection. */
const requestBytes = 8_192;
/** Size below which a piece of a body costs more than it brings, and the number of such pieces that are read in one turn. */
const smallPieceBytes = 256;
const smallPiecesOfTurn = 256;

const noBody = Buffer.alloc(0);

export interface ExchangeOptions {
    readonly clock: Clock;
    readonly limits: CallerLimits;
    /** Rejects the request, whose body is not complete, and closes its connection. */
    readonly reject: (reason: "memory" | "stalled") => void;
}

/** One request with its response: what it holds, and whether its caller sends and reads on. */
export class CallerExchange {
    readonly #request: GuardedRequest;
    readonly #response: ServerResponse;
    readonly #options: ExchangeOptions;
    readonly #holding: MemoryHolding;
    #body: RequestBody | undefined;
    #check: ((nowMs: number) => void) | undefined;
    #phase: "body" | "endpoint" | "answer" = "body";
    #expectedBytes = 0;
    #startedMs = 0;
    #movedMs = 0;
    #unsentBytes = 0;
    #answerBytes = 0;
    #smallPieces = 0;
    /** Bytes of the body, and of the memory that it takes, at the last record of its progress. */
    #recordedBytes = 0;
    #accountedBytes = 0;

    constructor(request: GuardedRequest, response: ServerResponse, options: ExchangeOptions) {
        this.#request = request;
        this.#response = response;
        this.#options = options;
        this.#holding = new MemoryHolding(options.limits.budget, () => this.#endForOthers());
    }

    /** Bytes of the body that have arrived. */
    get receivedBytes(): number {
        return this.#body?.length ?? 0;
    }

    /** Whether the host ended the request. */
    get isEnded(): boolean {
        return this.#holding.isReleased;
    }

    /** Takes a piece of the body, of which `expectedBytes` are to come in all. */
    receive(piece: Buffer, expectedBytes: number): void {
        const body = this.#body ??= new RequestBody();
        body.append(piece);
        if (body.length === expectedBytes) {
            return;
        }
        if (piece.length < smallPieceBytes) {
            this.#countSmallPiece();
        }
        if (body.heldBytes === this.#accountedBytes) {
            return;
        }
        const nowMs = this.#options.clock.monotonicMs();
        if (this.#expectedBytes === 0) {
            this.#startedMs = nowMs;
            this.#expectedBytes = expectedBytes;
            this.#beginWatch();
        }
        this.#recordReceived(body, nowMs);
    }

    /** Returns the complete body, which is held until the end of the request. */
    takeBody(nowMs: number): Buffer {
        this.#phase = "endpoint";
        this.#endWatch();
        const body = this.#body?.take() ?? noBody;
        this.#holding.settle(requestBytes + body.length, nowMs);
        return body;
    }

    /** Records that bytes of the answer wait for the caller to read. */
    recordUnread(): void {
        if (this.#holding.isReleased) {
            return;
        }
        const nowMs = this.#options.clock.monotonicMs();
        if (this.#phase !== "answer") {
            this.#phase = "answer";
            this.#startedMs = nowMs;
            this.#movedMs = nowMs;
            this.#beginWatch();
        }
        this.#answerBytes = this.#response.writableLength;
        this.#unsentBytes = this.#answerBytes;
        this.#transferAnswer(nowMs);
    }

    /** Records that the caller has read what was sent. */
    recordRead(): void {
        if (this.#phase === "answer") {
            this.#phase = "endpoint";
            this.#endWatch();
            this.#holding.settle(requestBytes, this.#options.clock.monotonicMs());
        }
    }

    /** Gives back everything that the request holds. */
    release(): void {
        this.#endWatch();
        this.#holding.release();
        this.#body = undefined;
    }

    #countSmallPiece(): void {
        this.#smallPieces += 1;
        if (this.#smallPieces === smallPiecesOfTurn) {
            this.#options.limits.readTurns.wait(this.#request);
            // Later pieces were read together with this one.
            setImmediate(() => {
                this.#smallPieces = 0;
            });
        }
    }

    #beginWatch(): void {
        this.#check ??= nowMs => this.#checkProgress(nowMs);
        this.#options.limits.watch.add(this.#check);
    }

    #endWatch(): void {
        if (this.#check !== undefined) {
            this.#options.limits.watch.remove(this.#check);
            this.#check = undefined;
        }
    }

    #recordReceived(body: RequestBody, nowMs: number): void {
        const movedBytes = body.length;
        this.#movedMs = nowMs;
        this.#recordedBytes = movedBytes;
        this.#accountedBytes = body.heldBytes;
        this.#holding.transfer(requestBytes + this.#accountedBytes, {
            remainingBytes: this.#expectedBytes - movedBytes,
            movedBytes,
            startedMs: this.#startedMs,
            movedMs: nowMs,
        }, nowMs);
    }

    #transferAnswer(nowMs: number): void {
        this.#holding.transfer(requestBytes + this.#answerBytes, {
            remainingBytes: this.#unsentBytes,
            movedBytes: this.#answerBytes - this.#unsentBytes,
            startedMs: this.#startedMs,
            movedMs: this.#movedMs,
        }, nowMs);
    }

    #checkProgress(nowMs: number): void {
        if (this.#phase === "body" && this.#body !== undefined && this.#body.length !== this.#recordedBytes) {
            this.#recordReceived(this.#body, nowMs);
        }
        else if (this.#phase === "answer") {
            const unsentBytes = countUnsentBytes(this.#request.socket);
            if (unsentBytes !== this.#unsentBytes) {
                this.#unsentBytes = unsentBytes;
                this.#movedMs = nowMs;
                this.#transferAnswer(nowMs);
            }
        }
        if (nowMs - this.#movedMs >= this.#options.limits.stallMs) {
            this.#options.limits.report("transferStalled", { phase: this.#phase });
            this.#end("stalled");
        }
    }

    #endForOthers(): void {
        this.#options.limits.report("transferEnded", { phase: this.#phase, heldBytes: this.#options.limits.budget.heldBytes });
        this.#end("memory");
    }

    #end(reason: "memory" | "stalled"): void {
        this.release();
        if (this.#phase === "body") {
            this.#options.reject(reason);
        }
        else {
            this.#request.socket.destroy();
        }
    }
}

/** Bytes that the system has not taken yet; Node.js itself only tells how many it has not confirmed. */
function countUnsentBytes(socket: Socket): number {
    const handle: unknown = Reflect.get(socket, "_handle");
    return typeof handle === "object" && handle !== null && "writeQueueSize" in handle &&
            typeof handle.writeQueueSize === "number" ?
        handle.writeQueueSize :
        socket.writableLength;
}
