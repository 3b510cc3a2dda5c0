import { After, Given, Then, When } from "@cucumber/cucumber";
import { clientScript } from "@filbertrelay/client";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

interface LogsWorld {
    logDirectory: string | undefined;
    files: string[];
    explained: string[];
}

After(function(this: LogsWorld) {
    if (this.logDirectory !== undefined) {
        rmSync(this.logDirectory, { recursive: true, force: true });
    }
});

function line(second: number, host: string, event: number, text: string, fields: Record<string, unknown>): string {
    const time = `2026-03-01T08:24:${String(second).padStart(2, "0")}.000Z`;
    return JSON.stringify({ time, level: "info", event, text, host, ...fields });
}

Given("logs of two hosts in which a request is sent twice and its first endpoint vanishes", function(this: LogsWorld) {
    this.logDirectory = mkdtempSync(join(tmpdir(), "filbertrelay-logs-"));
    const first = [
        line(14, "host-1", 4301, "A request ended.", { requestId: "wanted", outcome: "answered" }),
        line(10, "host-1", 4303, "A request was sent to an endpoint.", { requestId: "wanted", endpoint: "engine-1" }),
        line(12, "host-1", 4303, "A request was sent to an endpoint.", { requestId: "wanted", endpoint: "engine-2" }),
        "12.1 host-1 a line that is no log line {",
        line(11, "host-1", 5307, "An endpoint is gone.", { endpoint: "engine-1" }),
        line(11, "host-1", 5307, "An endpoint is gone.", { endpoint: "engine-9" }),
    ];
    const second = [line(11, "host-2", 4303, "A request was sent to an endpoint.", { requestId: "other", endpoint: "engine-1" })];
    this.files = [first, second].map((lines, index) => {
        const file = join(this.logDirectory!, `host-${index + 1}.log`);
        writeFileSync(file, `${lines.join("\n")}\n`);
        return file;
    });
});

When("the request is explained from the logs", function(this: LogsWorld) {
    const words = [clientScript, "explain", "wanted", ...this.files.flatMap(file => ["--logs", file])];
    const child = spawnSync(process.execPath, words, { encoding: "utf8", env: { ...process.env, NODE_OPTIONS: "" } });
    assert.equal(child.status, 0, child.stderr);
    this.explained = child.stdout.trim().split("\n");
});

Then(
    "its lines come in order of time with the loss of the endpoint between them, and no other request's",
    function(this: LogsWorld) {
        assert.deepEqual(this.explained.map(text => /\[(\d+)\]/.exec(text)?.[1]), ["4303", "5307", "4303", "4301"]);
        assert.ok(this.explained[1]!.includes("endpoint=engine-1"));
    },
);
