import type { CustomerId, Kernel, Service } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { createRetryBudget } from "@filbertrelay/policy";
import type { RetryBudget } from "@filbertrelay/policy";
import type { ConfigurationService } from "../contract.js";

const defaultRatio = 0.1;

/** Retry budgets per customer and service at the configured ratio; registered as `retries`. */
export class RetryBudgets implements Service {
    readonly #configuration: ConfigurationService;
    #ratio = defaultRatio;
    #budget: RetryBudget = createRetryBudget({ ratio: defaultRatio });

    constructor(kernel: Kernel) {
        this.#configuration = kernel.get<ConfigurationService>("configuration");
    }

    start(): Promise<void> {
        this.#configuration.onChange(() => this.#applyRatio());
        this.#applyRatio();
        return Promise.resolve();
    }

    #applyRatio(): void {
        const ratio = this.#configuration.head()?.configuration.retryBudgetRatio;
        if (ratio !== undefined && ratio !== this.#ratio) {
            this.#ratio = ratio;
            this.#budget = createRetryBudget({ ratio });
        }
    }

    /** Records the first attempt of a request. */
    recordRequest(customer: string, service: string): void {
        this.#budget.recordAttempt(brandAs<CustomerId>(customer), service);
    }

    /** Takes a retry from the budget; false when the budget is exhausted. */
    tryRetry(customer: string, service: string): boolean {
        return this.#budget.tryRetry(brandAs<CustomerId>(customer), service);
    }
}
