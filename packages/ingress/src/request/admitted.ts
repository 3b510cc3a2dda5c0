import type { IngressCustomer, IngressRoute } from "@filbertrelay/configuration";
import type { RequestDescription } from "../contract.js";
import type { CallerRequest } from "./responder.js";

/** An authenticated request with its route, service, customer and deadline. */
export interface AdmittedRequest {
    readonly caller: CallerRequest;
    readonly description: RequestDescription;
    readonly requestId: string;
    readonly route: IngressRoute;
    readonly service: string;
    readonly customer: IngressCustomer | undefined;
    /** Requests or tokens charged to the customer's limit. */
    readonly chargedUnits: number;
    readonly configurationVersion: number;
    /** Monotonic time by which the caller must have its final response. */
    readonly deadlineMs: number;
}
