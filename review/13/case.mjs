// Configurations in quick succession, each with many routes, at hosts whose links to the store have 7 Mbit/s.
import { connect, createServer } from "node:net";
import { fileURLToPath } from "node:url";
import { renderResponse } from "../../platform/dist/standins/index.js";
import {
    Channel, createConfiguration, customerKey, customerName, delay, hasTrouble, Host, isStatusRequest, play, renderRequest,
} from "../harness-3/harness.mjs";

const hostCount = 3;
/** The sheet gives the machines 7 to 140 Mbit/s. */
const linkBytesPerMs = 7_000_000 / 8 / 1_000;
const pieceBytes = 8_192;
/** The sheet gives the store 4 ms for an answer. */
const storeMs = 4;
/** As many as the largest `big_config` of the site adds. */
const addedRoutes = hasTrouble ? 1_884 : 0;
/** `configApplyMs` on the sheet. */
const applyMs = 3_000;
/** The site's `config_storm`: a change each 0.33 s for 4 s. */
const stormGapMs = 330;
const stormChanges = 12;
/** The case ends before the 20 s of the store's history have passed. */
const playMs = 13_000;
const intervalMs = 100;
const droppedKey = "key-that-is-dropped";

/** One direction of a machine's link, which all its channels share. */
class Lane {
    #freeMs = 0;

    carry(bytes, deliver) {
        const nowMs = performance.now();
        this.#freeMs = Math.max(this.#freeMs, nowMs) + bytes.length / linkBytesPerMs;
        setTimeout(deliver, this.#freeMs - nowMs + storeMs / 2);
    }
}

/** Passes the channels between one machine and the store on, at the rate of the machine's link. */
class Link {
    #server;
    #sockets = new Set();

    constructor(target) {
        const [host, port] = target.split(":");
        const up = new Lane();
        const down = new Lane();
        this.#server = createServer({ allowHalfOpen: true }, near => {
            const far = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
            near.setNoDelay(true);
            this.#join(near, far, up);
            this.#join(far, near, down);
        });
    }

    get address() {
        return `127.0.0.1:${this.#server.address().port}`;
    }

    async start() {
        await new Promise(resolve => this.#server.listen(0, "127.0.0.1", resolve));
    }

    stop() {
        this.#server.close();
        this.#sockets.forEach(socket => socket.destroy());
    }

    /** Reads a piece only when the one before has left, so that bytes of a channel that was closed don't take up the link. */
    #join(from, to, lane) {
        this.#sockets.add(from);
        from.on("error", () => undefined);
        from.on("close", () => {
            this.#sockets.delete(from);
            to.destroy();
        });
        const next = () => {
            const available = Math.min(from.readableLength, pieceBytes);
            const piece = available === 0 ? null : from.read(available);
            if (piece === null) {
                from.once("readable", next);
                return;
            }
            lane.carry(piece, () => {
                if (!to.destroyed) {
                    to.write(piece);
                    next();
                }
            });
        };
        from.once("readable", next);
        from.on("end", () => to.end());
    }
}

function configure(version, isKeyHeld) {
    const extra = Array.from({ length: version === 1 ? 0 : addedRoutes }, (_, index) => ({
        name: `added-${index}`,
        prefix: `/added-${index}/`,
        routeType: "idempotent",
        backend: "ledger",
        timeoutMs: 4_000,
        targetLatencyMs: 1_000,
        maxAttempts: 2,
    }));
    return createConfiguration({
        version,
        routes: extra,
        tenants: [{ name: customerName, apiKeys: isKeyHeld ? [customerKey, droppedKey] : [customerKey] }],
    });
}

async function run(deployment) {
    await deployment.addEngine("engine-0", { backend: "ledger" }, (request, connection) => {
        setTimeout(() => connection.send(renderResponse(request, { body: "{}" })), isStatusRequest(request) ? 1 : 20);
    });
    await deployment.start({ hosts: 0, configuration: configure(1, true) });
    const storeAddress = deployment.store.address;
    const links = [];
    for (let index = 0; index < hostCount; index += 1) {
        const link = new Link(storeAddress);
        await link.start();
        links.push(link);
        Object.defineProperty(deployment.store, "address", { get: () => link.address, configurable: true });
        const host = new Host(deployment, index, {});
        deployment.hosts.push(host);
        await host.start();
    }
    try {
        await Promise.all(deployment.hosts.map(host => host.awaitReady()));
        await delay(3_000);
        return await playChanges(deployment);
    }
    finally {
        links.forEach(link => link.stop());
    }
}

/** Plays the changes; resolves with whether a request ran that only an older version allows. */
async function playChanges(deployment) {
    const put = (version, isKeyHeld) => {
        const text = JSON.stringify(configure(version, isKeyHeld));
        deployment.store.put("op/config", text);
        deployment.note(`version ${version}, ${text.length} bytes, ${isKeyHeld ? "holds" : "drops"} the key`);
    };
    put(2, true);
    await delay(1_500);
    for (let index = 0; index < stormChanges; index += 1) {
        await delay(stormGapMs);
        put(4 + 3 * index, index < stormChanges - 1);
    }
    const droppedMs = performance.now();
    const counts = deployment.hosts.map(() => ({ late: 0, ran: 0, lastMs: 0 }));
    const open = [];
    let sequence = 0;
    while (performance.now() - droppedMs < playMs) {
        for (const host of deployment.hosts) {
            sequence += 1;
            open.push(ask(deployment, host, `dropped-${sequence}`, droppedMs, counts[host.index]));
        }
        await delay(intervalMs);
    }
    await Promise.all(open);
    counts.forEach(({ late, ran, lastMs }, index) =>
        deployment.note(
            `host ${index}: ${ran} of ${late} requests sent later than ${applyMs} ms ran with the dropped key, the last ` +
                `${Math.round(lastMs)} ms after the confirmation`,
        )
    );
    return counts.some(({ ran }) => ran > 0);
}

/** Sends a request with the dropped key. */
async function ask(deployment, host, id, droppedMs, count) {
    const sentMs = performance.now() - droppedMs;
    const channel = new Channel(host.ip, host.callerPort);
    channel.send(renderRequest({ id, path: "/orders/x", body: "{}" }).replace(customerKey, droppedKey));
    const answer = await Promise.race([channel.next(), delay(6_000)]);
    channel.destroy();
    deployment.note(`host ${host.index} ${id} sent after ${Math.round(sentMs)} ms: ${answer?.status ?? "no answer"}`);
    if (sentMs > applyMs) {
        count.late += 1;
        if (answer?.status === 200) {
            count.ran += 1;
            count.lastMs = sentMs;
        }
    }
}

await play(fileURLToPath(new URL("record.txt", import.meta.url)), run);
