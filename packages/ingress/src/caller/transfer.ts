import type { Clock } from "@filbertrelay/kernel";
import { MemoryHolding } from "@filbertrelay/policy/ingress";
import type { Socket } from "node:net";
import type { GuardedRequest } from "./connectionguard.js";
import type { CallerLimits } from "./limits.js";
import { RequestBody } from "./requestbody.js";

/** Size below which a piece of a body costs more than it brings, and the number of such pieces that are read in one turn. */
const smallPieceBytes = 256;
const smallPiecesOfTurn = 256;

export interface TransferOptions {
    readonly clock: Clock;
    readonly limits: CallerLimits;
    /** Ends the request while its body arrives or its answer is taken. */
    readonly end: (phase: "body" | "answer", reason: "memory" | "stalled") => void;
}

/** The body of a request and the unread part of its answer: what they hold, and whether the caller sends and reads on. */
export class CallerTransfer {
    readonly #request: GuardedRequest;
    readonly #options: TransferOptions;
    readonly #holding: MemoryHolding;
    readonly #body = new RequestBody();
    readonly #check = (nowMs: number): void => this.#checkProgress(nowMs);
    #phase: "body" | "settled" | "answer" = "body";
    #totalBytes = 0;
    /** Bytes that were still to come or to be read at the last record of progress, and the memory that was held then. */
    #remainingBytes = 0;
    #heldBytes = 0;
    #startedMs = 0;
    #movedMs = 0;
    #smallPieces = 0;

    constructor(request: GuardedRequest, options: TransferOptions) {
        this.#request = request;
        this.#options = options;
        this.#holding = new MemoryHolding(options.limits.budget, () => this.#endForOthers());
    }

    get receivedBytes(): number {
        return this.#body.length;
    }

    receive(piece: Buffer, expectedBytes: number): void {
        this.#body.append(piece);
        if (this.#body.length === expectedBytes) {
            return;
        }
        if (piece.length < smallPieceBytes) {
            this.#countSmallPiece();
        }
        if (this.#body.heldBytes === this.#heldBytes) {
            return;
        }
        const nowMs = this.#options.clock.monotonicMs();
        if (this.#totalBytes === 0) {
            this.#begin(expectedBytes, nowMs);
        }
        this.#recordProgress(expectedBytes - this.#body.length, this.#body.heldBytes, nowMs);
    }

    takeBody(nowMs: number): Buffer {
        const body = this.#body.take();
        this.#settle(body.length, nowMs);
        return body;
    }

    recordUnread(unreadBytes: number): void {
        const nowMs = this.#options.clock.monotonicMs();
        if (this.#phase !== "answer") {
            this.#phase = "answer";
            this.#begin(unreadBytes, nowMs);
        }
        this.#totalBytes = unreadBytes;
        this.#recordProgress(unreadBytes, unreadBytes, nowMs);
    }

    recordRead(): void {
        if (this.#phase === "answer") {
            this.#settle(0, this.#options.clock.monotonicMs());
        }
    }

    release(): void {
        this.#options.limits.watch.remove(this.#check);
        this.#holding.release();
        this.#body.clear();
    }

    #begin(totalBytes: number, nowMs: number): void {
        this.#totalBytes = totalBytes;
        this.#startedMs = nowMs;
        this.#options.limits.watch.add(this.#check);
    }

    #settle(heldBytes: number, nowMs: number): void {
        this.#phase = "settled";
        this.#options.limits.watch.remove(this.#check);
        this.#holding.settle(heldBytes, nowMs);
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

    #recordProgress(remainingBytes: number, heldBytes: number, nowMs: number): void {
        this.#remainingBytes = remainingBytes;
        this.#heldBytes = heldBytes;
        this.#movedMs = nowMs;
        const movedBytes = this.#totalBytes - remainingBytes;
        this.#holding.transfer(heldBytes, { remainingBytes, movedBytes, startedMs: this.#startedMs, movedMs: nowMs }, nowMs);
    }

    #checkProgress(nowMs: number): void {
        const remainingBytes = this.#phase === "body" ?
            this.#totalBytes - this.#body.length :
            countUnsentBytes(this.#request.socket);
        if (remainingBytes !== this.#remainingBytes) {
            this.#recordProgress(remainingBytes, this.#phase === "body" ? this.#body.heldBytes : this.#heldBytes, nowMs);
        }
        else if (nowMs - this.#movedMs >= this.#options.limits.stallMs) {
            this.#options.limits.report("transferStalled", { phase: this.#phase });
            this.#options.end(this.#phase === "body" ? "body" : "answer", "stalled");
        }
    }

    #endForOthers(): void {
        const { limits, end } = this.#options;
        limits.report("transferEnded", { phase: this.#phase, heldBytes: limits.budget.heldBytes });
        end(this.#phase === "body" ? "body" : "answer", "memory");
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
