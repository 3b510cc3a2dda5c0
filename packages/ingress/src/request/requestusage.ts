import type { AdmittedRequest } from "./admitted.js";
import type { RequestContext } from "./context.js";

/** Records the use of one request for its customer, once for all attempts. */
export class RequestUsage {
    readonly #context: RequestContext;
    readonly #request: AdmittedRequest;
    #isRecorded = false;

    constructor(context: RequestContext, request: AdmittedRequest) {
        this.#context = context;
        this.#request = request;
    }

    /** `at` decides the usage window that the request counts in. */
    record(at: Date): void {
        const { customer } = this.#request;
        if (!this.#isRecorded && customer !== undefined) {
            this.#isRecorded = true;
            this.#context.usage.record(customer.name, at);
        }
    }
}
