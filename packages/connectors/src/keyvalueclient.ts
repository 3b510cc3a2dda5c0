import { failure, success } from "@filbertrelay/kernel";
import type { Outcome } from "@filbertrelay/kernel";
import { transferDueMs } from "@filbertrelay/policy/ingress";
import * as z from "zod";
import type { CallBudget, CallKind } from "./budget.js";
import { defaultTimeoutMs, JsonClient, parseResponse } from "./http.js";
import type { ClientOptions, JsonCall, JsonResponse } from "./http.js";
import type { CallPurpose, KeyValueClient, KeyValueIssue, StoredValue } from "./keyvalue.js";

/** Options of `createKeyValueClient`. */
export interface KeyValueClientOptions extends ClientOptions {
    /** Budget to which every call is charged; without it calls are neither limited nor counted. */
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

/** Lowest mean rate of a response that counts as alive. */
const slowestBytesPerMs = 64;

type KeyValueOutcome<T> = Outcome<T, KeyValueIssue>;

class HttpKeyValueClient implements ClosableKeyValueClient {
    readonly #client: JsonClient;
    readonly #options: KeyValueClientOptions;

    constructor(options: KeyValueClientOptions) {
        this.#options = options;
        const { timeoutMs: silenceMs = defaultTimeoutMs } = options;
        // Lists hold values of up to 1 MB each, so their length says nothing about the service.
        this.#client = new JsonClient({
            transferDueMs: progress => transferDueMs(progress, { silenceMs, slowestBytesPerMs }),
            ...options,
        });
    }

    async get(key: string, purpose: CallPurpose): Promise<KeyValueOutcome<StoredValue | undefined>> {
        const response = await this.#call("read", purpose, { method: "GET", path: keyPath(key) });
        if (!response.ok) {
            return response;
        }
        if (response.value.status === 404) {
            return hasCode(response.value, "notFound") ? success(undefined) : toFailure(response.value);
        }
        const stored = parseBody(response.value, storedValueSchema);
        if (stored.ok && stored.value.key !== key) {
            return unavailable(`The response is about the key '${stored.value.key}' instead of '${key}'.`);
        }
        return stored;
    }

    async list(prefix: string, purpose: CallPurpose): Promise<KeyValueOutcome<readonly StoredValue[]>> {
        const response = await this.#call("read", purpose, { method: "GET", path: `/v1/kv?${new URLSearchParams({ prefix })}` });
        return response.ok ? valuesUnder(prefix, parseBody(response.value, listSchema)) : response;
    }

    async compareAndSwap(
        key: string,
        value: string,
        options: { readonly expectedVersion: number; readonly purpose: CallPurpose; readonly leaseId?: string; },
    ): Promise<KeyValueOutcome<number>> {
        const { expectedVersion, leaseId } = options;
        const body = { value, expectedVersion, ...(leaseId === undefined ? {} : { leaseId }) };
        const response = await this.#call("write", options.purpose, { method: "PUT", path: keyPath(key), body });
        if (!response.ok) {
            return response;
        }
        const written = parseBody(response.value, writtenSchema);
        if (written.ok && written.value.version <= expectedVersion) {
            return unavailable(`The response gives the version ${written.value.version}, which is not above ${expectedVersion}.`);
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
    ): Promise<KeyValueOutcome<readonly StoredValue[]>> {
        const query = new URLSearchParams({
            prefix,
            afterVersion: String(options.afterVersion),
            timeoutMs: String(options.timeoutMs),
        });
        const call: JsonCall = { method: "GET", path: `/v1/watch?${query}`, waitMs: options.timeoutMs, signal: options.signal };
        const response = await this.#call("read", options.purpose, call);
        if (!response.ok) {
            return response;
        }
        const values = valuesUnder(prefix, parseBody(response.value, listSchema));
        return values.ok ? success(values.value.filter(value => value.version > options.afterVersion)) : values;
    }

    async grantLease(timeToLiveMs: number, purpose: CallPurpose): Promise<KeyValueOutcome<string>> {
        const response = await this.#call("write", purpose, { method: "POST", path: "/v1/leases", body: { timeToLiveMs } });
        const lease = response.ok ? parseBody(response.value, leaseSchema) : response;
        return lease.ok ? success(lease.value.leaseId) : lease;
    }

    async renewLease(leaseId: string, purpose: CallPurpose): Promise<KeyValueOutcome<undefined>> {
        const response = await this.#call("write", purpose, { method: "PUT", path: `/v1/leases/${encodeURIComponent(leaseId)}` });
        const lease = response.ok ? parseBody(response.value, leaseSchema) : response;
        return lease.ok ? success(undefined) : lease;
    }

    stop(): Promise<void> {
        return this.#client.close();
    }

    async #call(kind: CallKind, purpose: CallPurpose, call: JsonCall): Promise<KeyValueOutcome<JsonResponse>> {
        const waitMs = this.#options.budget?.acquire(kind, purpose) ?? (this.#options.budget === undefined ? 0 : undefined);
        if (waitMs === undefined) {
            return failure({
                code: "keyValue.throttled",
                message: `This host's budget of key-value ${kind}s is used up; the call was not sent.`,
            });
        }
        if (waitMs > 0 && !await this.#delay(waitMs, call.signal)) {
            return unavailable("The call was cancelled before it was sent.");
        }
        const response = await this.#client.call(call);
        return response.ok ? response : unavailable(response.issue.message);
    }

    async #delay(waitMs: number, signal: AbortSignal | undefined): Promise<boolean> {
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

function parseBody<T>(response: JsonResponse, schema: z.ZodType<T>): KeyValueOutcome<T> {
    if (response.status < 200 || response.status > 299) {
        return toFailure(response);
    }
    const checked = parseResponse(schema, response);
    return checked.ok ? checked : unavailable(checked.issue.message);
}

function valuesUnder(prefix: string, list: KeyValueOutcome<z.infer<typeof listSchema>>): KeyValueOutcome<readonly StoredValue[]> {
    if (!list.ok) {
        return list;
    }
    const unrelated = list.value.values.find(value => !value.key.startsWith(prefix));
    return unrelated === undefined ?
        success(list.value.values) :
        unavailable(`The response contains the key '${unrelated.key}', which is not under '${prefix}'.`);
}

const issueCodes: ReadonlyMap<number, KeyValueIssue["code"]> = new Map([
    [400, "keyValue.invalid"],
    [409, "keyValue.conflict"],
    [413, "keyValue.tooLarge"],
    [429, "keyValue.throttled"],
]);

const errorSchema = z.object({ error: z.object({ code: z.string(), message: z.string() }) });

function hasCode(response: JsonResponse, code: string): boolean {
    const checked = errorSchema.safeParse(response.body);
    return checked.success && checked.data.error.code === code;
}

/** Maps an error response to an issue; without the protocol's error body the outcome counts as unknown. */
function toFailure(response: JsonResponse): KeyValueOutcome<never> {
    const checked = errorSchema.safeParse(response.body);
    const code = issueCodes.get(response.status);
    if (!checked.success || code === undefined) {
        return unavailable(`The key-value service responded with status ${response.status}.`);
    }
    return failure({ code, message: checked.data.error.message });
}

function unavailable(message: string): KeyValueOutcome<never> {
    return failure({ code: "keyValue.unavailable", message });
}
