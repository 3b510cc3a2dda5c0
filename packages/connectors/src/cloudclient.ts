import { brandAs, failure, success } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId, Outcome } from "@filbertrelay/kernel";
import * as z from "zod";
import type { CloudClient, CloudHost, CloudIssue, ReclaimNotice } from "./cloud.js";
import { JsonClient, parseResponse } from "./http.js";
import type { ClientOptions, JsonCall, JsonResponse } from "./http.js";

/** The current price of a host class in one failure domain, in thousandths of a cent per hour. */
export interface HostPrice {
    readonly failureDomain: FailureDomainId;
    readonly hostClass: string;
    /** Absent when the class is not offered as reclaimable. */
    readonly reclaimablePrice?: number | undefined;
    readonly onDemandPrice: number;
}

/** A cloud client that also lists prices and whose connections can be closed. */
export interface PricedCloudClient extends CloudClient {
    listPrices(): Promise<Outcome<readonly HostPrice[], CloudIssue>>;
    stop(): Promise<void>;
}

/** Creates a client of the cloud API as described in docs/protocols/cloud.md. */
export function createCloudClient(options: ClientOptions): PricedCloudClient {
    return new HttpCloudClient(options);
}

const hostIdSchema = z.string().min(1).transform(value => brandAs<HostId>(value));
const failureDomainSchema = z.string().min(1).transform(value => brandAs<FailureDomainId>(value));
const hostSchema = z.object({
    hostId: hostIdSchema,
    role: z.enum(["entry", "engine", "service"]),
    address: z.string().optional(),
    failureDomain: failureDomainSchema,
    hostClass: z.string(),
    reclaimable: z.boolean(),
    state: z.enum(["running", "reclaiming", "terminated"]),
    pricePerHour: z.number().min(0),
}).transform(({ address, ...host }): CloudHost => address === undefined ? host : { ...host, address });
const hostsSchema = z.object({ hosts: z.array(hostSchema) });
const noticesSchema = z.object({
    notices: z.array(z.object({
        sequence: z.int().min(1),
        hostId: hostIdSchema,
        terminatesAt: z.iso.datetime().transform(value => new Date(value)),
    })),
});
const pricesSchema = z.object({
    prices: z.array(z.object({
        failureDomain: failureDomainSchema,
        hostClass: z.string(),
        reclaimablePrice: z.number().positive().optional(),
        onDemandPrice: z.number().positive(),
    })),
});
const errorSchema = z.object({ error: z.object({ code: z.string(), message: z.string() }) });

class HttpCloudClient implements PricedCloudClient {
    readonly #client: JsonClient;

    constructor(options: ClientOptions) {
        this.#client = new JsonClient(options);
    }

    async listHosts(): Promise<Outcome<readonly CloudHost[], CloudIssue>> {
        const response = await this.#call({ method: "GET", path: "/v1/hosts" }, hostsSchema);
        return response.ok ? success(response.value.hosts) : response;
    }

    async getHost(hostId: HostId): Promise<Outcome<CloudHost, CloudIssue>> {
        const response = await this.#call({ method: "GET", path: hostPath(hostId) }, hostSchema);
        return checkHostId(hostId, response);
    }

    startHost(request: Parameters<CloudClient["startHost"]>[0]): Promise<Outcome<CloudHost, CloudIssue>> {
        return this.#call({ method: "POST", path: "/v1/hosts", body: request }, hostSchema);
    }

    async terminateHost(hostId: HostId): Promise<Outcome<undefined, CloudIssue>> {
        const response = checkHostId(hostId, await this.#call({ method: "DELETE", path: hostPath(hostId) }, hostSchema));
        if (!response.ok) {
            return response;
        }
        return response.value.state === "terminated" ? success(undefined) : unavailable("The termination is not confirmed yet.");
    }

    async waitForNotices(
        afterSequence: number,
        options: { readonly timeoutMs: number; readonly signal?: AbortSignal; },
    ): Promise<Outcome<readonly ReclaimNotice[], CloudIssue>> {
        const path = `/v1/notices?afterSequence=${afterSequence}&timeoutMs=${options.timeoutMs}`;
        const call: JsonCall = { method: "GET", path, waitMs: options.timeoutMs, signal: options.signal };
        const response = await this.#call(call, noticesSchema);
        return response.ok ? success(response.value.notices.filter(notice => notice.sequence > afterSequence)) : response;
    }

    async listPrices(): Promise<Outcome<readonly HostPrice[], CloudIssue>> {
        const response = await this.#call({ method: "GET", path: "/v1/prices" }, pricesSchema);
        return response.ok ? success(response.value.prices) : response;
    }

    stop(): Promise<void> {
        return this.#client.close();
    }

    async #call<T>(call: JsonCall, schema: z.ZodType<T>): Promise<Outcome<T, CloudIssue>> {
        const response = await this.#client.call(call);
        if (!response.ok) {
            return unavailable(response.issue.message);
        }
        if (response.value.status < 200 || response.value.status > 299) {
            return toFailure(response.value);
        }
        const checked = parseResponse(schema, response.value);
        return checked.ok ? checked : unavailable(checked.issue.message);
    }
}

function hostPath(hostId: HostId): string {
    return `/v1/hosts/${encodeURIComponent(hostId)}`;
}

/** Rejects a response about another host: its state must never be taken as proof of this host's termination. */
function checkHostId(hostId: HostId, response: Outcome<CloudHost, CloudIssue>): Outcome<CloudHost, CloudIssue> {
    if (response.ok && response.value.hostId !== hostId) {
        return unavailable(`The response is about the host '${response.value.hostId}' instead of '${hostId}'.`);
    }
    return response;
}

const issueCodes: ReadonlyMap<string, CloudIssue["code"]> = new Map([
    ["refused", "cloud.refused"],
    ["notFound", "cloud.notFound"],
    ["invalid", "cloud.invalid"],
]);

function toFailure(response: JsonResponse): Outcome<never, CloudIssue> {
    const checked = errorSchema.safeParse(response.body);
    const code = checked.success ? issueCodes.get(checked.data.error.code) : undefined;
    if (!checked.success || code === undefined) {
        return unavailable(`The cloud API responded with status ${response.status}.`);
    }
    return failure({ code, message: checked.data.error.message });
}

function unavailable(message: string): Outcome<never, CloudIssue> {
    return failure({ code: "cloud.unavailable", message });
}
