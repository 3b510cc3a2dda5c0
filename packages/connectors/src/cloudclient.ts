import { brandAs, failure, success } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId, Outcome } from "@filbertrelay/kernel";
import { z } from "zod";
import type { CloudClient, CloudHost, CloudIssue, ReclaimNotice } from "./cloud.js";
import { checkReply, JsonCaller } from "./http.js";
import type { ClientOptions, JsonCall, JsonReply } from "./http.js";

/** The present price of a host class in one failure domain, in thousandths of a cent per hour. */
export interface HostPrice {
    readonly failureDomain: FailureDomainId;
    readonly hostClass: string;
    /** Absent when the class is not offered as reclaimable. */
    readonly reclaimablePrice?: number | undefined;
    readonly onDemandPrice: number;
}

/** The cloud client with prices, and with connections that can be closed. */
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
    readonly #caller: JsonCaller;

    constructor(options: ClientOptions) {
        this.#caller = new JsonCaller(options);
    }

    async listHosts(): Promise<Outcome<readonly CloudHost[], CloudIssue>> {
        const reply = await this.#call({ method: "GET", path: "/v1/hosts" }, hostsSchema);
        return reply.ok ? success(reply.value.hosts) : reply;
    }

    async getHost(hostId: HostId): Promise<Outcome<CloudHost, CloudIssue>> {
        const reply = await this.#call({ method: "GET", path: hostPath(hostId) }, hostSchema);
        return checkHost(hostId, reply);
    }

    startHost(request: Parameters<CloudClient["startHost"]>[0]): Promise<Outcome<CloudHost, CloudIssue>> {
        return this.#call({ method: "POST", path: "/v1/hosts", body: request }, hostSchema);
    }

    async terminateHost(hostId: HostId): Promise<Outcome<undefined, CloudIssue>> {
        const reply = checkHost(hostId, await this.#call({ method: "DELETE", path: hostPath(hostId) }, hostSchema));
        if (!reply.ok) {
            return reply;
        }
        return reply.value.state === "terminated" ? success(undefined) : unavailable("The termination is not confirmed yet.");
    }

    async waitForNotices(
        afterSequence: number,
        options: { readonly timeoutMs: number; readonly signal?: AbortSignal; },
    ): Promise<Outcome<readonly ReclaimNotice[], CloudIssue>> {
        const path = `/v1/notices?afterSequence=${afterSequence}&timeoutMs=${options.timeoutMs}`;
        const call: JsonCall = { method: "GET", path, waitMs: options.timeoutMs, signal: options.signal };
        const reply = await this.#call(call, noticesSchema);
        return reply.ok ? success(reply.value.notices.filter(notice => notice.sequence > afterSequence)) : reply;
    }

    async listPrices(): Promise<Outcome<readonly HostPrice[], CloudIssue>> {
        const reply = await this.#call({ method: "GET", path: "/v1/prices" }, pricesSchema);
        return reply.ok ? success(reply.value.prices) : reply;
    }

    stop(): Promise<void> {
        return this.#caller.close();
    }

    async #call<T>(call: JsonCall, schema: z.ZodType<T>): Promise<Outcome<T, CloudIssue>> {
        const reply = await this.#caller.call(call);
        if (!reply.ok) {
            return unavailable(reply.issue.message);
        }
        if (reply.value.status < 200 || reply.value.status > 299) {
            return refused(reply.value);
        }
        const checked = checkReply(schema, reply.value);
        return checked.ok ? checked : unavailable(checked.issue.message);
    }
}

function hostPath(hostId: HostId): string {
    return `/v1/hosts/${encodeURIComponent(hostId)}`;
}

/** A state of another host must never serve as proof of this host's termination. */
function checkHost(hostId: HostId, reply: Outcome<CloudHost, CloudIssue>): Outcome<CloudHost, CloudIssue> {
    if (reply.ok && reply.value.hostId !== hostId) {
        return unavailable(`The answer is about the host '${reply.value.hostId}' instead of '${hostId}'.`);
    }
    return reply;
}

const issueCodes: ReadonlyMap<string, CloudIssue["code"]> = new Map([
    ["refused", "cloud.refused"],
    ["notFound", "cloud.notFound"],
    ["invalid", "cloud.invalid"],
]);

function refused(reply: JsonReply): Outcome<never, CloudIssue> {
    const checked = errorSchema.safeParse(reply.body);
    const code = checked.success ? issueCodes.get(checked.data.error.code) : undefined;
    if (!checked.success || code === undefined) {
        return unavailable(`The cloud API answered with status ${reply.status}.`);
    }
    return failure({ code, message: checked.data.error.message });
}

function unavailable(message: string): Outcome<never, CloudIssue> {
    return failure({ code: "cloud.unavailable", message });
}
