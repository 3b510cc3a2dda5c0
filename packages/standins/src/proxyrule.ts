import { splitAddress } from "@filbertrelay/kernel";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import * as z from "zod";
import { call } from "./rule.js";
import type { Rule, RuleOptions } from "./rule.js";

const routeSchema = z.object({ id: z.string(), listen: z.string() });
const silenceMs = 300;

/** The rules of docs/protocols/fault-proxy.md. */
export function faultProxyRules(options: RuleOptions): readonly Rule[] {
    const check = new ProxyCheck(options.url);
    return [
        {
            id: "F1",
            text: "Bytes pass unchanged and closes are passed on.",
            check: () => check.withRoute(route => check.passesBytes(route)),
        },
        {
            id: "F2",
            text: "A black-holed connection is silent, a new one works.",
            check: () => check.withRoute(route => check.blackHoles(route)),
        },
        {
            id: "F3",
            text: "A lost reply reaches the client never.",
            check: () => check.withRoute(route => check.losesReply(route)),
        },
        {
            id: "F4",
            text: "A silent partition holds data until it is healed.",
            check: () => check.withRoute(route => check.partitions(route)),
        },
        {
            id: "F5",
            text: "A disconnect resets existing connections only.",
            check: () => check.withRoute(route => check.disconnects(route)),
        },
    ];
}

interface Route {
    readonly id: string;
    readonly listen: string;
    /** Bytes that the target received. */
    readonly received: () => number;
}

class ProxyCheck {
    readonly #url: string;

    constructor(url: string) {
        this.#url = url;
    }

    /** Runs a check with a route to an echo server. */
    async withRoute(check: (route: Route) => Promise<void>): Promise<void> {
        let received = 0;
        const sockets = new Set<Socket>();
        const server = createServer(socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", data => {
                received += data.length;
                socket.write(data);
            });
        });
        const target = await listen(server);
        const route = routeSchema.parse((await call(this.#url, "POST", "/control/routes", { body: { target } })).body);
        try {
            await check({ ...route, received: () => received });
        }
        finally {
            await call(this.#url, "DELETE", `/control/routes/${route.id}`);
            sockets.forEach(socket => socket.destroy());
            server.close();
        }
    }

    async passesBytes(route: Route): Promise<void> {
        const client = new Client(route.listen);
        const data = Buffer.from([...Array(300_000).keys()].map(index => index * 7 % 251));
        client.socket.write(data);
        await client.waitFor(data.length);
        assert.ok(client.data().equals(data), "Bytes were changed.");
        client.socket.end();
        await client.closed;
    }

    async blackHoles(route: Route): Promise<void> {
        const client = await this.#echoed(route);
        await this.#fault(route, { blackHole: true });
        client.socket.write("lost");
        const other = await this.#echoed(route);
        await sleep(silenceMs);
        assert.equal(client.data().length, 5, "A black-holed connection passed data.");
        assert.equal(client.socket.destroyed, false, "A black-holed connection was closed.");
        client.socket.destroy();
        other.socket.destroy();
    }

    async losesReply(route: Route): Promise<void> {
        await this.#fault(route, { loseReplies: 1 });
        const client = new Client(route.listen);
        client.socket.write("hello");
        await client.closed;
        assert.equal(client.data().length, 0, "The reply was not lost.");
        assert.equal(route.received(), 5, "The request did not reach the target.");
        (await this.#echoed(route)).socket.destroy();
    }

    async partitions(route: Route): Promise<void> {
        const client = await this.#echoed(route);
        await this.#fault(route, { partition: "silent" });
        const late = new Client(route.listen);
        client.socket.write("later");
        late.socket.write("later");
        await sleep(silenceMs);
        assert.equal(client.data().length + late.data().length, 5, "Data passed through a partition.");
        await this.#fault(route, { partition: "none" });
        await Promise.all([client.waitFor(10), late.waitFor(5)]);
        client.socket.destroy();
        late.socket.destroy();
    }

    async disconnects(route: Route): Promise<void> {
        const client = await this.#echoed(route);
        await this.#fault(route, { disconnect: true });
        await client.closed;
        (await this.#echoed(route)).socket.destroy();
    }

    async #echoed(route: Route): Promise<Client> {
        const client = new Client(route.listen);
        client.socket.write("hello");
        await client.waitFor(5);
        return client;
    }

    async #fault(route: Route, fault: Readonly<Record<string, unknown>>): Promise<void> {
        const reply = await call(this.#url, "POST", "/control/route-faults", { body: { match: route.id, ...fault } });
        assert.equal(reply.status, 200, reply.text);
    }
}

class Client {
    readonly socket: Socket;
    readonly closed: Promise<void>;
    readonly #chunks: Buffer[] = [];

    constructor(address: string) {
        this.socket = connect(splitAddress(address));
        this.socket.on("data", (data: Buffer) => this.#chunks.push(data));
        this.socket.on("error", () => undefined);
        // 'once' of node:events would reject on the reset that a check waits for.
        this.closed = new Promise(resolve => {
            this.socket.on("close", () => resolve());
        });
    }

    data(): Buffer {
        return Buffer.concat(this.#chunks);
    }

    async waitFor(bytes: number): Promise<void> {
        const deadlineMs = performance.now() + 10_000;
        while (this.data().length < bytes) {
            assert.ok(performance.now() < deadlineMs, `${this.data().length} of ${bytes} bytes arrived.`);
            await sleep(10);
        }
    }
}

async function listen(server: Server): Promise<string> {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
