import { createSystemClock, listenOn, splitAddress } from "@filbertrelay/kernel";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";

/** Faults of one route; absent ones stay as they are. */
export interface RouteFaults {
    /** Delay of each piece of data in each direction. */
    readonly delayMs?: number | undefined;
    /** Share of new connections that are closed at once, 0 to 1. */
    readonly dropRate?: number | undefined;
    /** `silent`: nothing passes until it is healed; `refuse`: new connections are closed and existing ones reset. */
    readonly partition?: "none" | "silent" | "refuse" | undefined;
    /** Whether nothing listens for new connections, while existing ones live on. */
    readonly refusesNew?: boolean | undefined;
    /** The next N replies are lost after the request was passed on. */
    readonly loseReplies?: number | undefined;
}

/** What a route did so far. */
export interface RouteReport {
    readonly id: string;
    readonly listen: string;
    readonly target: string;
    readonly labels: readonly string[];
    readonly connections: number;
    readonly accepted: number;
    readonly repliesLost: number;
    readonly partition: "none" | "silent" | "refuse";
}

interface Link {
    readonly client: Socket;
    readonly target: Socket;
    isBlackHoled: boolean;
    /** A request passed that whose reply will be lost. */
    isReplyDoomed: boolean;
}

/** One listener of the proxy and its target. */
export class ProxyRoute {
    readonly id: string;
    readonly target: string;
    readonly labels: readonly string[];
    readonly #server: Server;
    readonly #links = new Set<Link>();
    readonly #held = new Set<Socket>();
    readonly #random: () => number;
    #listen = "";
    #delayMs = 0;
    #dropRate = 0;
    #partition: "none" | "silent" | "refuse" = "none";
    #repliesToLose = 0;
    #accepted = 0;
    #repliesLost = 0;

    constructor(
        options: {
            readonly id: string;
            readonly target: string;
            readonly labels: readonly string[];
            readonly random: () => number;
        },
    ) {
        this.id = options.id;
        this.target = options.target;
        this.labels = options.labels;
        this.#random = options.random;
        this.#server = createServer({ allowHalfOpen: true, noDelay: true }, client => this.#accept(client));
    }

    async listen(address: string): Promise<void> {
        const { host } = splitAddress(address);
        await listenOn(this.#server, address, createSystemClock());
        this.#listen = `${host}:${(this.#server.address() as AddressInfo).port}`;
    }

    report(): RouteReport {
        return {
            id: this.id,
            listen: this.#listen,
            target: this.target,
            labels: this.labels,
            connections: this.#links.size,
            accepted: this.#accepted,
            repliesLost: this.#repliesLost,
            partition: this.#partition,
        };
    }

    setFaults(faults: RouteFaults): void {
        this.#delayMs = faults.delayMs ?? this.#delayMs;
        this.#dropRate = faults.dropRate ?? this.#dropRate;
        this.#repliesToLose = faults.loseReplies ?? this.#repliesToLose;
        if (faults.partition !== undefined) {
            this.#setPartition(faults.partition);
        }
        if (faults.refusesNew !== undefined && faults.refusesNew === this.#server.listening) {
            this.#setListening(!faults.refusesNew);
        }
    }

    /** Existing connections go silent for good; new ones work. */
    blackHole(): void {
        for (const link of this.#links) {
            link.isBlackHoled = true;
            link.client.pause();
            link.target.pause();
        }
    }

    /** Resets all connections. */
    disconnect(): void {
        this.#links.forEach(link => resetLink(link));
        this.#held.forEach(socket => socket.resetAndDestroy());
        this.#held.clear();
    }

    close(): Promise<void> {
        this.disconnect();
        return new Promise(resolve => this.#server.close(() => resolve()));
    }

    #setListening(isListening: boolean): void {
        if (isListening) {
            const { host, port } = splitAddress(this.#listen);
            this.#server.listen(port, host);
        }
        else {
            this.#server.close();
        }
    }

    #setPartition(partition: "none" | "silent" | "refuse"): void {
        this.#partition = partition;
        if (partition === "refuse") {
            this.disconnect();
        }
        for (const link of [...this.#links].filter(candidate => !candidate.isBlackHoled)) {
            for (const socket of [link.client, link.target]) {
                setPaused(socket, partition === "silent");
            }
        }
        if (partition === "none") {
            const held = [...this.#held];
            this.#held.clear();
            held.forEach(client => this.#link(client));
        }
    }

    #accept(client: Socket): void {
        this.#accepted += 1;
        client.on("error", () => client.destroy());
        if (this.#partition === "refuse" || this.#random() < this.#dropRate) {
            client.resetAndDestroy();
            return;
        }
        if (this.#partition === "silent") {
            this.#held.add(client);
            client.once("close", () => this.#held.delete(client));
            return;
        }
        this.#link(client);
    }

    #link(client: Socket): void {
        const target = connect({ ...splitAddress(this.target), noDelay: true, allowHalfOpen: true });
        const link: Link = { client, target, isBlackHoled: false, isReplyDoomed: false };
        this.#links.add(link);
        this.#forward(link, client, target);
        this.#forward(link, target, client);
        target.on("error", () => {
            if (!link.isBlackHoled) {
                client.resetAndDestroy();
            }
        });
        client.on("close", () => this.#unlink(link));
        target.on("close", () => this.#unlink(link));
    }

    /** A closed side closes the other one, unless the link is silent or the half-close is still in progress. */
    #unlink(link: Link): void {
        if (link.isBlackHoled && !(link.client.destroyed && link.target.destroyed)) {
            return;
        }
        this.#links.delete(link);
        link.client.destroy();
        link.target.destroy();
    }

    #forward(link: Link, from: Socket, to: Socket): void {
        const isReply = from === link.target;
        const queue = new PieceQueue();
        from.on("data", (data: Buffer) => {
            if (!isReply) {
                this.#doomReply(link);
            }
            else if (this.#losesReply(link)) {
                return;
            }
            this.#later(link, queue, () => {
                if (!to.write(data)) {
                    from.pause();
                    to.once("drain", () => this.#resume(link, from));
                }
            });
        });
        from.on("end", () => this.#later(link, queue, () => to.end()));
    }

    /** Dooms the reply to a request while replies are to be lost; the request itself is passed on. */
    #doomReply(link: Link): void {
        if (this.#repliesToLose > 0 && !link.isReplyDoomed) {
            this.#repliesToLose -= 1;
            link.isReplyDoomed = true;
        }
    }

    #losesReply(link: Link): boolean {
        if (!link.isReplyDoomed) {
            return false;
        }
        this.#repliesLost += 1;
        resetLink(link);
        return true;
    }

    #later(link: Link, queue: PieceQueue, action: () => void): void {
        queue.add(this.#delayMs, () => {
            if (!link.isBlackHoled && this.#links.has(link)) {
                action();
            }
        });
    }

    #resume(link: Link, socket: Socket): void {
        if (!link.isBlackHoled && this.#partition !== "silent") {
            socket.resume();
        }
    }
}

function setPaused(socket: Socket, isPaused: boolean): void {
    if (isPaused) {
        socket.pause();
    }
    else {
        socket.resume();
    }
}

function resetLink(link: Link): void {
    link.isBlackHoled = false;
    link.client.resetAndDestroy();
    link.target.resetAndDestroy();
}

/** Pieces of one direction in their order: one that is delayed holds back those behind it, also when the delay has become shorter. */
class PieceQueue {
    readonly #pieces: { readonly dueMs: number; readonly run: () => void; }[] = [];

    add(delayMs: number, run: () => void): void {
        if (delayMs === 0 && this.#pieces.length === 0) {
            run();
            return;
        }
        this.#pieces.push({ dueMs: performance.now() + delayMs, run });
        if (this.#pieces.length === 1) {
            this.#wait();
        }
    }

    #wait(): void {
        const first = this.#pieces[0];
        if (first !== undefined) {
            setTimeout(() => {
                this.#pieces.shift();
                first.run();
                this.#wait();
            }, Math.max(0, first.dueMs - performance.now()));
        }
    }
}
