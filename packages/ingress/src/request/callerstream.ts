import type { HeaderList } from "../contract.js";
import { ForwardedEvents } from "./forwardedevents.js";
import type { CallerResponder } from "./responder.js";

/** Status and headers with which a response to the caller begins. */
export interface CallerHead {
    readonly status: number;
    readonly responseHeaders: HeaderList;
}

/** What became of the bytes of an attempt. */
export type ForwardingResult =
    /** `isFull` asks to send nothing more until the caller has read; `pendingBytes` are kept until their event is complete. */
    | { readonly type: "forwarded"; readonly hasProgress: boolean; readonly isFull: boolean; readonly pendingBytes: number; }
    /** Nothing was forwarded and nothing of the bytes counts as forwarded. */
    | { readonly type: "malformed"; readonly detail: string; };

/** The stream of events to one caller, which several attempts may write one after the other. */
export class CallerStream {
    readonly #responder: CallerResponder;
    readonly #events: ForwardedEvents;
    #isBegun = false;

    /** `lastEventId` is the last event that the caller had received before this request. */
    constructor(responder: CallerResponder, lastEventId: string | undefined) {
        this.#responder = responder;
        this.#events = new ForwardedEvents(lastEventId);
    }

    /** Whether the caller has got the head of the response. */
    get isBegun(): boolean {
        return this.#isBegun;
    }

    /** Id of the last event forwarded to the caller. */
    get lastId(): string | undefined {
        return this.#events.lastId;
    }

    /** Events forwarded by this host. */
    get count(): number {
        return this.#events.count;
    }

    /** Whether the bytes of the attempt so far end in the middle of an event. */
    get isWithinEvent(): boolean {
        return this.#events.isWithinEvent;
    }

    /** Starts reading from another attempt. */
    restart(): void {
        this.#events.restart();
    }

    /** Forwards the events that bytes of an attempt complete. */
    forward(head: CallerHead, bytes: Buffer): ForwardingResult {
        const added = this.#events.read(bytes);
        if (added === undefined) {
            return { type: "malformed", detail: "An event is too long, or too much comes without one." };
        }
        const { pendingBytes } = this.#events;
        if (added.frames.length === 0) {
            return { type: "forwarded", hasProgress: false, isFull: false, pendingBytes };
        }
        if (!this.begin(head)) {
            return { type: "malformed", detail: "The head can't be forwarded." };
        }
        const isFull = !this.#responder.write(Buffer.concat(added.frames));
        this.#events.record(added);
        return { type: "forwarded", hasProgress: added.hasProgress, isFull, pendingBytes };
    }

    /** Sends the head unless it was sent; returns false when it can't be sent. */
    begin({ status, responseHeaders }: CallerHead): boolean {
        this.#isBegun ||= this.#responder.sendHead(status, responseHeaders);
        return this.#isBegun;
    }
}
