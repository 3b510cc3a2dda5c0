// A stand-in for the platform's store: keys, watches, transactions and leases as PROTOCOL.md describes them.
import { createServer } from "node:http";

const pollMs = 10;

/** An in-memory store on a loopback address. */
export class Store {
    #entries = new Map();
    #leases = new Map();
    #changes = [];
    #revision = 1;
    #nextLease = 1;
    #server = createServer((request, response) => void this.#receive(request, response));
    #timer = setInterval(() => this.#expire(), pollMs);
    /** Rises by one with each restore. */
    #era = 1;
    /** While it is down it turns all calls away, and leases pause. */
    isDown = false;

    /** Listens on a free port; resolves with the address. */
    async start(ip) {
        await new Promise(resolve => this.#server.listen(0, ip, resolve));
        return `${ip}:${this.#server.address().port}`;
    }

    stop() {
        clearInterval(this.#timer);
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Writes a value as the operator or an engine does. */
    put(key, value) {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        this.#write(key, Buffer.from(text).toString("base64"), 0);
    }

    remove(key) {
        if (this.#entries.delete(key)) {
            this.#revision += 1;
            this.#changes.push({ key, revision: this.#revision, deleted: true });
        }
    }

    /** Returns a copy of what it holds, to be restored later. */
    backUp() {
        return {
            entries: [...this.#entries],
            leases: [...this.#leases].map(([id, lease]) => [id, { ...lease }]),
            changes: [...this.#changes],
            revision: this.#revision,
            nextLease: this.#nextLease,
        };
    }

    /** Comes back from a copy; revisions and leases are given out again. */
    restore({ entries, leases, changes, revision, nextLease }) {
        this.#entries = new Map(entries);
        this.#leases = new Map(leases.map(([id, { ttlMs }]) => [id, { ttlMs, untilMs: Date.now() + ttlMs }]));
        this.#changes = [...changes];
        this.#revision = revision;
        this.#nextLease = nextLease;
        this.#era += 1;
    }

    async #receive(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        if (this.isDown) {
            response.writeHead(503, { "Content-Type": "application/json", "Content-Length": 2, "Store-Era": String(this.#era) });
            response.end("{}");
            return;
        }
        const text = Buffer.concat(chunks).toString("utf8");
        const url = new URL(request.url, "http://store");
        const [status, body] = await this.#answer(url, text === "" ? {} : JSON.parse(text));
        const bytes = Buffer.from(JSON.stringify(body));
        response.writeHead(status, { "Content-Type": "application/json", "Content-Length": bytes.length, "Store-Era": String(this.#era) });
        response.end(bytes);
    }

    async #answer(url, body) {
        const [, call, id] = url.pathname.split("/");
        const query = url.searchParams;
        switch (call) {
            case "kv-key": {
                const entry = this.#entries.get(query.get("key"));
                return entry === undefined ? [404, { at: this.#revision }] : [200, { ...entry, at: this.#revision }];
            }
            case "kv-range":
                return this.#list(query.get("prefix") ?? "", query.get("after") ?? "");
            case "kv-watch":
                return await this.#watch(query.get("prefix") ?? "", Number(query.get("after")), Number(query.get("waitMs") ?? 0));
            case "kv-txn":
                return this.#commit(body);
            case "kv-lease": {
                const leaseId = this.#nextLease;
                this.#nextLease += 1;
                this.#leases.set(leaseId, { ttlMs: body.ttlMs, untilMs: Date.now() + body.ttlMs });
                return [200, { leaseId, ttlMs: body.ttlMs }];
            }
            case "kv-keep": {
                const lease = this.#leases.get(Number(id));
                if (lease === undefined) {
                    return [404, {}];
                }
                lease.untilMs = Date.now() + lease.ttlMs;
                return [200, { ttlMs: lease.ttlMs }];
            }
            case "kv-lease-end":
                this.#endLease(Number(id));
                return [200, {}];
            default:
                return [404, {}];
        }
    }

    #list(prefix, after) {
        const keys = [...this.#entries.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const page = keys.slice(0, 500).map(key => this.#entries.get(key));
        return [200, { entries: page, hasMore: keys.length > 500, at: this.#revision }];
    }

    async #watch(prefix, after, waitMs) {
        const untilMs = Date.now() + waitMs;
        for (;;) {
            if (after > this.#revision) {
                return [410, {}];
            }
            const events = this.#changes.filter(change => change.revision > after && change.key.startsWith(prefix));
            if (events.length > 0 || Date.now() >= untilMs) {
                return [200, { events, at: this.#revision }];
            }
            await new Promise(resolve => setTimeout(resolve, pollMs));
        }
    }

    #commit({ expected = [], write = [], remove = [] }) {
        if (expected.some(({ key, revision }) => (this.#entries.get(key)?.revision ?? 0) !== revision)) {
            return [412, { entries: expected.map(({ key }) => this.#entries.get(key) ?? { key, revision: 0 }) }];
        }
        if (write.some(({ leaseId }) => (leaseId ?? 0) !== 0 && !this.#leases.has(leaseId))) {
            return [404, {}];
        }
        if (write.some(({ key }) => key.startsWith("op/") || key.startsWith("servers/"))) {
            return [403, {}];
        }
        remove.forEach(key => this.remove(key));
        write.forEach(({ key, value, leaseId }) => this.#write(key, value, leaseId ?? 0));
        return [200, { revision: this.#revision }];
    }

    #write(key, value, leaseId) {
        this.#revision += 1;
        const entry = { key, value, revision: this.#revision, created: this.#entries.get(key)?.created ?? this.#revision, leaseId };
        this.#entries.set(key, entry);
        this.#changes.push(entry);
    }

    #expire() {
        if (this.isDown) {
            this.#leases.forEach(lease => lease.untilMs += pollMs);
            return;
        }
        [...this.#leases].filter(([, { untilMs }]) => Date.now() >= untilMs).forEach(([id]) => this.#endLease(id));
    }

    #endLease(id) {
        this.#leases.delete(id);
        [...this.#entries.values()].filter(entry => entry.leaseId === id).forEach(({ key }) => this.remove(key));
    }
}
