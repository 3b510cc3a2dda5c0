import { brandAs, failure, success } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId, HostId, Outcome } from "@filbertrelay/kernel";
import * as z from "zod";
import type { HostListClient, HostListIssue, ListedHost } from "./hostlist.js";
import { JsonClient, parseResponse } from "./http.js";
import type { ClientOptions } from "./http.js";

/** A host list client whose connections can be closed. */
export interface ClosableHostListClient extends HostListClient {
    stop(): Promise<void>;
}

/** Creates a client of the host list as described in docs/protocols/host-list.md. */
export function createHostListClient(options: ClientOptions): ClosableHostListClient {
    const client = new JsonClient(options);
    return { list: () => readHosts(client), stop: () => client.close() };
}

const listedHostSchema = z.object({
    hostId: z.string().min(1).transform(value => brandAs<HostId>(value)),
    role: z.enum(["entry", "engine", "service"]),
    address: z.string().min(1),
    failureDomain: z.string().min(1).transform(value => brandAs<FailureDomainId>(value)),
    state: z.enum(["live", "leaving"]),
    endpointId: z.string().min(1).transform(value => brandAs<EndpointId>(value)).optional(),
    serves: z.string().optional(),
    hostClass: z.string().optional(),
    reclaimable: z.boolean().optional(),
});
const responseSchema = z.object({ hosts: z.array(listedHostSchema) });

async function readHosts(client: JsonClient): Promise<Outcome<readonly ListedHost[], HostListIssue>> {
    const response = await client.call({ method: "GET", path: "/v1/hosts" });
    if (!response.ok) {
        return failure({ code: "hostList.unavailable", message: response.issue.message });
    }
    if (response.value.status !== 200) {
        return failure({
            code: "hostList.unavailable",
            message: `The host list responded with status ${response.value.status}.`,
        });
    }
    const checked = parseResponse(responseSchema, response.value);
    return checked.ok ? success(checked.value.hosts) : failure({ code: "hostList.invalid", message: checked.issue.message });
}
