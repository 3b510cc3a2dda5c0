import { Given, Then, When } from "@cucumber/cucumber";
import { createKernel, createSystemClock, createVirtualClock, silentEventLog } from "@filbertrelay/kernel";
import type { Kernel, VirtualClock } from "@filbertrelay/kernel";
import assert from "node:assert/strict";

interface KernelWorld {
    kernel: Kernel;
    stopped: string[];
    clock: VirtualClock;
    ran: number[];
}

Given(
    "a kernel with the services {string}, {string} and {string} where {string} fails to stop",
    function(this: KernelWorld, first: string, second: string, third: string, failing: string) {
        this.stopped = [];
        this.kernel = createKernel({ clock: createSystemClock(), log: silentEventLog });
        for (const name of [first, second, third]) {
            this.kernel.register(name, {
                stop: () => {
                    this.stopped.push(name);
                    return name === failing ? Promise.reject(new Error("The service failed to stop.")) : Promise.resolve();
                },
            });
        }
    },
);

When("the kernel starts and stops", async function(this: KernelWorld) {
    await this.kernel.start();
    await this.kernel.stop(0);
});

Then("the services stopped in the order {string}", function(this: KernelWorld, order: string) {
    assert.equal(this.stopped.join(","), order);
});

Given("a virtual clock", function(this: KernelWorld) {
    this.clock = createVirtualClock();
});

When(
    "callbacks are scheduled after 30, 10, 20 and 10 ms and the one after 20 ms is cancelled",
    function(this: KernelWorld) {
        this.ran = [];
        const cancels = [30, 10, 20, 10].map((ms, index) => this.clock.after(ms, () => this.ran.push(index)));
        cancels[2]?.();
    },
);

Then("after {int} ms the callbacks ran in the order {string}", function(this: KernelWorld, ms: number, order: string) {
    this.clock.advance(ms);
    assert.equal(this.ran.join(","), order);
});
