import type { IngressCustomer, IngressRoute } from "@filbertrelay/configuration";
import type { RequestDescription } from "../contract.js";
import type { CallerRequest } from "./responder.js";

/** The request with what the configuration says about it. */
export interface AdmittedRequest {
    readonly caller: CallerRequest;
    readonly description: RequestDescription;
    readonly requestId: string;
    readonly route: IngressRoute;
    readonly service: string;
    readonly customer: IngressCustomer | undefined;
    /** What the request took from its customer's limit. */
    readonly takenUse: number;
    readonly configurationVersion: number;
    /** Monotonic time by which the caller has its final answer. */
    readonly deadlineMs: number;
}
