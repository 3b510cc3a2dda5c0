import type { CustomerId, Kernel, Service } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { createRetryBudget } from "@filbertrelay/policy";
import type { RetryBudget } from "@filbertrelay/policy";
import type { ConfigurationService } from "../contract.js";

const defaultRatio = 0.1;

/** Retry budgets per customer and service with the ratio of the configuration; registered as `retries`. */
export class RetryBudgets implements Service {
    readonly #configuration: ConfigurationService;
    #ratio = defaultRatio;
    #budget: RetryBudget = createRetryBudget({ ratio: defaultRatio });

    constructor(kernel: Kernel) {
        this.#configuration = kernel.get<ConfigurationService>("configuration");
    }

    start(): Promise<void> {
        this.#configuration.onChange(head => {
            if (head.configuration.retryBudgetRatio !== this.#ratio) {
                this.#ratio = head.configuration.retryBudgetRatio;
                this.#budget = createRetryBudget({ ratio: this.#ratio });
            }
        });
        return Promise.resolve();
    }

    /** Notes a first attempt. */
    countRequest(customer: string, service: string): void {
        this.#budget.recordAttempt(brandAs<CustomerId>(customer), service);
    }

    /** Takes a retry from the budget; false when it is used up. */
    tryRetry(customer: string, service: string): boolean {
        return this.#budget.tryRetry(brandAs<CustomerId>(customer), service);
    }
}
