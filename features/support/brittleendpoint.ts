import type { EndpointId } from "@filbertrelay/kernel";

/** Options of `PlayedEndpoint`. */
export interface PlayedEndpointOptions {
    readonly endpointId: EndpointId;
    readonly capacity: number;
    /** Requests that wait at most, at a moment. */
    readonly queue: (nowMs: number) => number;
    /** Rejections within a second that make it fall; `undefined` at moments at which none do. */
    readonly rejections: (nowMs: number) => number | undefined;
    /** How long a request takes once it runs. */
    readonly drawHoldMs: () => number;
    /** How long it is away after a fall. */
    readonly drawDownMs: () => number;
    readonly schedule: (atMs: number, run: () => void) => void;
}

interface PlayedRequest {
    readonly onEnd: (result: "answered" | "lost", nowMs: number) => void;
    isRunning: boolean;
}

/** An endpoint that runs so many requests at once, lets a few wait and falls over when it rejects too many within a second. */
export class PlayedEndpoint {
    readonly endpointId: EndpointId;
    readonly capacity: number;
    /** When it fell. */
    readonly falls: number[] = [];
    /** When it rejected a request. */
    readonly rejected: number[] = [];
    /** Time that requests were run in, over all slots, in milliseconds. */
    busyMs = 0;
    /** Time for which it was away. */
    downMs = 0;
    readonly #options: PlayedEndpointOptions;
    #requests: PlayedRequest[] = [];
    #upFromMs = 0;

    constructor(options: PlayedEndpointOptions) {
        this.#options = options;
        this.endpointId = options.endpointId;
        this.capacity = options.capacity;
    }

    isUp(nowMs: number): boolean {
        return nowMs >= this.#upFromMs;
    }

    /** Takes a request; returns whether it did. */
    receive(nowMs: number, onEnd: PlayedRequest["onEnd"]): "taken" | "rejected" | "unreachable" {
        if (!this.isUp(nowMs)) {
            return "unreachable";
        }
        if (this.#requests.length >= this.capacity + this.#options.queue(nowMs)) {
            this.#reject(nowMs);
            return "rejected";
        }
        this.#requests.push({ onEnd, isRunning: false });
        this.#startNext(nowMs);
        return "taken";
    }

    #startNext(nowMs: number): void {
        const running = this.#requests.filter(({ isRunning }) => isRunning).length;
        const next = this.#requests.find(({ isRunning }) => !isRunning);
        if (next !== undefined && running < this.capacity) {
            next.isRunning = true;
            const endMs = nowMs + this.#options.drawHoldMs();
            this.#options.schedule(endMs, () => this.#end(next, nowMs, endMs));
        }
    }

    #end(request: PlayedRequest, startMs: number, nowMs: number): void {
        if (this.#requests.includes(request)) {
            this.#requests = this.#requests.filter(other => other !== request);
            this.busyMs += nowMs - startMs;
            request.onEnd("answered", nowMs);
            this.#startNext(nowMs);
        }
    }

    #reject(nowMs: number): void {
        this.rejected.push(nowMs);
        const bound = this.#options.rejections(nowMs);
        if (bound !== undefined && this.rejected.filter(atMs => atMs > nowMs - 1_000).length > bound) {
            const downMs = this.#options.drawDownMs();
            this.falls.push(nowMs);
            this.downMs += downMs;
            this.#upFromMs = nowMs + downMs;
            this.#requests.splice(0).forEach(({ onEnd }) => onEnd("lost", nowMs));
        }
    }
}
