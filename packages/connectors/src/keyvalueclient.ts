import { failure, success } from "@filbertrelay/kernel";
import type { Outcome } from "@filbertrelay/kernel";
import { z } from "zod";
import type { CallBudget, CallKind } from "./budget.js";
import { checkReply, JsonCaller } from "./http.js";
import type { ClientOptions, JsonCall, JsonReply } from "./http.js";
import type { CallPurpose, KeyValueClient, KeyValueIssue, StoredValue } from "./keyvalue.js";

/** Options of `createKeyValueClient`. */
export interface KeyValueClientOptions extends ClientOptions {
    /** Every call is charged here; without it calls are neither limited nor counted. */
    readonly budget?: CallBudget;
}

/** A key-value client whose connections can be closed. */
export interface ClosableKeyValueClient extends KeyValueClient {
    stop(): Promise<void>;
}

/** Creates a client of the key-value service as described in docs/protocols/key-value.md. */
export function createKeyValueClient(options: KeyValueClientOptions): ClosableKeyValueClient {
    return new HttpKeyValueClient(options);
}

const versionSchema = z.int().min(0);
const storedValueSchema = z.object({ key: z.string(), value: z.string(), version: versionSchema });
const listSchema = z.object({ values: z.array(storedValueSchema) });
const writtenSchema = z.object({ version: versionSchema });
const leaseSchema = z.object({ leaseId: z.string().min(1) });

type Answer<T> = Outcome<T, KeyValueIssue>;

class HttpKeyValueClient implements ClosableKeyValueClient {
    readonly #caller: JsonCaller;
    readonly #options: KeyValueClientOptions;

    constructor(options: KeyValueClientOptions) {
        this.#options = options;
        this.#caller = new JsonCaller(options);
    }

    async get(key: string, purpose: CallPurpose): Promise<Answer<StoredValue | undefined>> {
        const reply = await this.#call("read", purpose, { method: "GET", path: keyPath(key) });
        if (!reply.ok) {
            return reply;
        }
        if (reply.value.status === 404) {
            return hasCode(reply.value, "notFound") ? success(undefined) : unexpected(reply.value);
        }
        const stored = read(reply.value, storedValueSchema);
        if (stored.ok && stored.value.key !== key) {
            return unavailable(`The answer is about the key '${stored.value.key}' instead of '${key}'.`);
        }
        return stored;
    }

    async list(prefix: string, purpose: CallPurpose): Promise<Answer<readonly StoredValue[]>> {
        const reply = await this.#call("read", purpose, { method: "GET", path: `/v1/kv?${new URLSearchParams({ prefix })}` });
        return reply.ok ? valuesUnder(prefix, read(reply.value, listSchema)) : reply;
    }

    async compareAndSwap(
        key: string,
        value: string,
        options: { readonly expectedVersion: number; readonly purpose: CallPurpose; readonly leaseId?: string; },
    ): Promise<Answer<number>> {
        const { expectedVersion, leaseId } = options;
        const body = { value, expectedVersion, ...(leaseId === undefined ? {} : { leaseId }) };
        const reply = await this.#call("write", options.purpose, { method: "PUT", path: keyPath(key), body });
        if (!reply.ok) {
            return reply;
        }
        const written = read(reply.value, writtenSchema);
        if (written.ok && written.value.version <= expectedVersion) {
            return unavailable(`The answer gives the version ${written.value.version}, which is not above ${expectedVersion}.`);
        }
        return written.ok ? success(written.value.version) : written;
    }

    async watch(
        prefix: string,
        options: {
            readonly afterVersion: number;
            readonly timeoutMs: number;
            readonly purpose: CallPurpose;
            readonly signal?: AbortSignal;
        },
    ): Promise<Answer<readonly StoredValue[]>> {
        const query = new URLSearchParams({
            prefix,
            afterVersion: String(options.afterVersion),
            timeoutMs: String(options.timeoutMs),
        });
        const call: JsonCall = { method: "GET", path: `/v1/watch?${query}`, waitMs: options.timeoutMs, signal: options.signal };
        const reply = await this.#call("read", options.purpose, call);
        if (!reply.ok) {
            return reply;
        }
        const values = valuesUnder(prefix, read(reply.value, listSchema));
        return values.ok ? success(values.value.filter(value => value.version > options.afterVersion)) : values;
    }

    async grantLease(timeToLiveMs: number, purpose: CallPurpose): Promise<Answer<string>> {
        const reply = await this.#call("write", purpose, { method: "POST", path: "/v1/leases", body: { timeToLiveMs } });
        const lease = reply.ok ? read(reply.value, leaseSchema) : reply;
        return lease.ok ? success(lease.value.leaseId) : lease;
    }

    async renewLease(leaseId: string, purpose: CallPurpose): Promise<Answer<undefined>> {
        const reply = await this.#call("write", purpose, { method: "PUT", path: `/v1/leases/${encodeURIComponent(leaseId)}` });
        const lease = reply.ok ? read(reply.value, leaseSchema) : reply;
        return lease.ok ? success(undefined) : lease;
    }

    stop(): Promise<void> {
        return this.#caller.close();
    }

    async #call(kind: CallKind, purpose: CallPurpose, call: JsonCall): Promise<Answer<JsonReply>> {
        const waitMs = this.#options.budget?.take(kind, purpose) ?? (this.#options.budget === undefined ? 0 : undefined);
        if (waitMs === undefined) {
            return failure({
                code: "keyValue.throttled",
                message: `This node's budget of key-value ${kind}s is used up; nothing was sent.`,
            });
        }
        if (waitMs > 0 && !await this.#waitForTurn(waitMs, call.signal)) {
            return unavailable("The call was cancelled before it was sent.");
        }
        const reply = await this.#caller.call(call);
        return reply.ok ? reply : unavailable(reply.issue.message);
    }

    async #waitForTurn(waitMs: number, signal: AbortSignal | undefined): Promise<boolean> {
        try {
            await this.#options.clock.sleep(waitMs, signal);
            return true;
        }
        catch {
            return false;
        }
    }
}

function keyPath(key: string): string {
    return `/v1/kv/${encodeURIComponent(key)}`;
}

function read<T>(reply: JsonReply, schema: z.ZodType<T>): Answer<T> {
    if (reply.status < 200 || reply.status > 299) {
        return unexpected(reply);
    }
    const checked = checkReply(schema, reply);
    return checked.ok ? checked : unavailable(checked.issue.message);
}

function valuesUnder(prefix: string, list: Answer<z.infer<typeof listSchema>>): Answer<readonly StoredValue[]> {
    if (!list.ok) {
        return list;
    }
    const stray = list.value.values.find(value => !value.key.startsWith(prefix));
    return stray === undefined ?
        success(list.value.values) :
        unavailable(`The answer contains the key '${stray.key}', which is not under '${prefix}'.`);
}

const issueCodes: ReadonlyMap<number, KeyValueIssue["code"]> = new Map([
    [400, "keyValue.invalid"],
    [409, "keyValue.conflict"],
    [413, "keyValue.tooLarge"],
    [429, "keyValue.throttled"],
]);

const errorSchema = z.object({ error: z.object({ code: z.string(), message: z.string() }) });

function hasCode(reply: JsonReply, code: string): boolean {
    const checked = errorSchema.safeParse(reply.body);
    return checked.success && checked.data.error.code === code;
}

/** Maps a status to an issue; a refusal counts as definite only with the protocol's error body. */
function unexpected(reply: JsonReply): Answer<never> {
    const checked = errorSchema.safeParse(reply.body);
    const code = issueCodes.get(reply.status);
    if (!checked.success || code === undefined) {
        return unavailable(`The key-value service answered with status ${reply.status}.`);
    }
    return failure({ code, message: checked.data.error.message });
}

function unavailable(message: string): Answer<never> {
    return failure({ code: "keyValue.unavailable", message });
}
