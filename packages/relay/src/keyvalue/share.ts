import type { CallBudget, CallRates } from "@filbertrelay/connectors";
import type { Kernel, Service } from "@filbertrelay/kernel";
import type { ConfigurationService, MembershipService } from "../contract.js";

/** Shards are not spread evenly over the hosts, so a host may use this multiple of an even share. */
const skewFactor = 3;
const minimumRates: CallRates = { readsPerSecond: 10, writesPerSecond: 5 };

/** Limits this host to its share of the deployment's budget of key-value calls; registered as `callBudgetShare`. */
export class CallBudgetShare implements Service {
    readonly #kernel: Kernel;

    constructor(kernel: Kernel) {
        this.#kernel = kernel;
    }

    start(): Promise<void> {
        this.#kernel.get<ConfigurationService>("configuration").onChange(() => this.#apply());
        this.#kernel.get<MembershipService>("membership").onChange(() => this.#apply());
        this.#apply();
        return Promise.resolve();
    }

    #apply(): void {
        const budget = this.#kernel.get<ConfigurationService>("configuration").head()?.configuration.keyValueBudget;
        if (budget === undefined) {
            return;
        }
        const members = this.#kernel.get<MembershipService>("membership").members();
        const hosts = Math.max(1, members.filter(member => member.state !== "dead").length);
        const share = (total: number, minimum: number): number => Math.max(minimum, Math.min(total, skewFactor * total / hosts));
        this.#kernel.get<CallBudget>("callBudget").setRates({
            readsPerSecond: share(budget.readsPerSecond, minimumRates.readsPerSecond),
            writesPerSecond: share(budget.writesPerSecond, minimumRates.writesPerSecond),
        });
    }
}
