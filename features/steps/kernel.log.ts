import { Given, Then, When } from "@cucumber/cucumber";
import { createRateLimitedEventLog, createVirtualClock, declareEvents } from "@filbertrelay/kernel";
import type { EventLog, VirtualClock } from "@filbertrelay/kernel";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";

interface LogWorld {
    logClock: VirtualClock;
    log: EventLog;
    written: { readonly number: number; readonly count: unknown; }[];
    writer: ChildProcess;
}

const events = declareEvents({
    first: { number: 9901, level: "info", text: "First test event.", action: "None." },
    second: { number: 9902, level: "info", text: "Second test event.", action: "None." },
});

Given("an event log limited to {int} lines per event and second", function(this: LogWorld, lines: number) {
    this.logClock = createVirtualClock();
    this.written = [];
    const output: EventLog = { write: ({ number }, fields) => void this.written.push({ number, count: fields?.["count"] }) };
    this.log = createRateLimitedEventLog(output, { clock: this.logClock, linesPerSecond: () => lines });
});

When(
    "{int} lines of one event and {int} of another are written within a second, and one of each in the next",
    function(this: LogWorld, first: number, second: number) {
        for (let line = 0; line < first; line += 1) {
            this.log.write(events.first);
        }
        for (let line = 0; line < second; line += 1) {
            this.log.write(events.second);
        }
        this.logClock.advance(1_000);
        this.log.write(events.first);
        this.log.write(events.second);
    },
);

Then(
    "{int} and {int} lines are written, then a line that counts {int}, then one of each",
    function(this: LogWorld, first: number, second: number, suppressed: number) {
        const numbers = this.written.map(({ number }) => number);
        const expected = [...Array<number>(first).fill(9901), ...Array<number>(second).fill(9902), 1004, 9901, 9902];
        assert.deepEqual(numbers, expected);
        assert.equal(this.written[first + second]?.count, suppressed);
    },
);

Given("a process that writes 20 MB of log lines to a pipe that nobody reads", function(this: LogWorld) {
    const script = `
        import { createLineWriter, createSystemClock } from "@filbertrelay/kernel";
        const writer = createLineWriter({ descriptor: 1, clock: createSystemClock() });
        const line = "x".repeat(1_000);
        for (let count = 0; count < 20_000; count += 1) { writer.write(line); }
        setTimeout(() => process.exit(0), 100);
    `;
    this.writer = spawn(process.execPath, ["--input-type=module", "-e", script], {
        cwd: new URL("../../packages/relay", import.meta.url).pathname,
        stdio: ["ignore", "pipe", "inherit"],
        env: { ...process.env, NODE_OPTIONS: "" },
    });
    this.writer.stdout?.pause();
});

Then("the process ends by itself within {int} s", async function(this: LogWorld, seconds: number) {
    const timer = setTimeout(() => this.writer.kill("SIGKILL"), seconds * 1_000);
    const code = await new Promise(resolve => this.writer.once("exit", resolve));
    clearTimeout(timer);
    assert.equal(code, 0);
});
