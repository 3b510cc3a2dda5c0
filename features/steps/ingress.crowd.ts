import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { request } from "node:http";
import { ensureBundle } from "../support/bundle.js";
import { Crowd } from "../support/crowd.js";
import { HostProcessFixture } from "../support/hostprocess.js";
import type { HostPorts } from "../support/hostprocess.js";
import { customerKey, waitFor } from "../support/ingress.js";

interface CrowdWorld {
    process: HostProcessFixture | undefined;
    crowd: Crowd | undefined;
}

Given(
    "a host process with {int} MB of memory and {int} descriptors before an engine",
    { timeout: 60_000 },
    async function(this: CrowdWorld, memoryMb: number, descriptors: number) {
        ensureBundle();
        this.process = new HostProcessFixture();
        await this.process.start(`memoryMb = ${memoryMb}\ndescriptors = ${descriptors}`);
    },
);

When(
    /^(\d+) connections at the "(.+)" address send (.+)$/,
    { timeout: 60_000 },
    async function(this: CrowdWorld, count: string, address: keyof HostPorts, kind: string) {
        this.crowd = new Crowd(this.process!.ports[address], kind);
        await this.crowd.send(Number(count));
    },
);

Then(
    "the process lives and has held at most {int} MB and {int} descriptors",
    function(this: CrowdWorld, memoryMb: number, descriptors: number) {
        const host = this.process!;
        assert.ok(host.isRunning, `The process has ended: ${host.log}`);
        assert.ok(host.memoryMb <= memoryMb, `${host.memoryMb} MB`);
        assert.ok(host.descriptors <= descriptors, `${host.descriptors} descriptors`);
    },
);

Then("one ordinary request is answered", { timeout: 60_000 }, async function(this: CrowdWorld) {
    // As a caller does, it comes again after a refusal.
    await waitFor(async () => (await sendOrdinary(this.process!.ports.callers)) === 200);
});

/** Sends one request on a new connection; returns its status, or 0 without a complete response. */
function sendOrdinary(port: number): Promise<number> {
    return new Promise(resolve => {
        const headers = {
            "Host": "shop.example",
            "Authorization": `Bearer ${customerKey}`,
            "X-Filbertrelay-Attempt-Id": `ordinary-${performance.now()}`,
            "X-Filbertrelay-Deadline-Ms": "5000",
        };
        const options = {
            host: "127.0.0.1",
            port,
            method: "POST",
            path: "/nonIdempotent/item",
            headers,
            agent: false,
            timeout: 5_000,
        };
        const sent = request(options, response => {
            response.resume();
            response.on("close", () => resolve(response.complete ? response.statusCode ?? 0 : 0));
        });
        sent.on("timeout", () => sent.destroy());
        sent.on("error", () => resolve(0));
        sent.end("order");
    });
}

After(function(this: Partial<CrowdWorld>) {
    this.crowd?.close();
    this.process?.stop();
});
