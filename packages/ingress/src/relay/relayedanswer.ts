import type { ConnectionFailure, EndpointResponseHandler } from "../endpoint/connection.js";
import type { EndpointLink } from "../endpoint/link.js";
import type { ResponseHead } from "../endpoint/responseparser.js";
import { heldAnswerBytes, toPairs } from "./message.js";
import type { RelayPortion } from "./message.js";

/**
 * The answer of an endpoint on its way to the calling host; does not read the endpoint faster than the portions are taken. The link is
 * left alone once the answer has ended, since it may carry another request by then.
 */
export class RelayedAnswer implements EndpointResponseHandler {
    readonly #link: EndpointLink;
    /** Returns whether the response belongs to the request. */
    readonly #acceptHead: (head: ResponseHead) => boolean;
    #head: ResponseHead | undefined;
    #pieces: Buffer[] = [];
    #bytes = 0;
    #end: { readonly failure?: ConnectionFailure; } | undefined;
    #notify: (() => void) | undefined;

    constructor(link: EndpointLink, acceptHead: (head: ResponseHead) => boolean) {
        this.#link = link;
        this.#acceptHead = acceptHead;
    }

    /** Closes the link, by which the endpoint cancels the request, unless the answer has ended. */
    cancel(reason: string): void {
        if (this.#end === undefined) {
            this.#link.close(reason);
        }
    }

    onHead(head: ResponseHead): boolean {
        const isOwn = this.#acceptHead(head);
        if (isOwn) {
            this.#head = head;
            this.#notify?.();
        }
        return isOwn;
    }

    onBody(chunk: Buffer): void {
        this.#pieces.push(chunk);
        this.#bytes += chunk.length;
        if (this.#bytes >= heldAnswerBytes) {
            this.#link.pause();
        }
        this.#notify?.();
    }

    onComplete(): void {
        this.#finish({});
    }

    onFailure(failure: ConnectionFailure): void {
        this.#finish({ failure });
    }

    /** Yields what has come as soon as it is asked for; the last portion has the end. */
    async *portions(): AsyncGenerator<RelayPortion, void, undefined> {
        for (let isLast = false; !isLast;) {
            while (this.#head === undefined && this.#bytes === 0 && this.#end === undefined) {
                await new Promise<void>(resolve => this.#notify = resolve);
            }
            const portion = this.#take();
            isLast = portion.end !== undefined;
            yield portion;
        }
    }

    #take(): RelayPortion {
        const head = this.#head;
        const pieces = this.#pieces;
        const end = this.#end;
        if (this.#bytes >= heldAnswerBytes && end === undefined) {
            this.#link.resume();
        }
        this.#head = undefined;
        this.#pieces = [];
        this.#bytes = 0;
        return {
            ...(head === undefined ? {} : { head: { ...head, headers: toPairs(head.headers) } }),
            ...(pieces.length === 0 ? {} : { body: Buffer.concat(pieces) }),
            ...(end === undefined ? {} : { end }),
        };
    }

    #finish(end: { readonly failure?: ConnectionFailure; }): void {
        this.#end ??= end;
        this.#notify?.();
    }
}
