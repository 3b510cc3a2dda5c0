import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock, listenOn } from "@filbertrelay/kernel";
import assert from "node:assert/strict";
import { spawn, spawnSync } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, statSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ensureBundle } from "../support/bundle.js";
import { findPort, waitFor } from "../support/ingress.js";

interface StartWorld {
    loadedModules: readonly string[];
    settingsFile: string;
    settingsText: string;
    readyPort: number;
    daemon: ChildProcess | undefined;
    port: number;
    server: Server | undefined;
}

/** Preload script that prints the loaded Node.js modules when the process exits. */
const listModules = `
process.on("exit", () => require("node:fs").writeSync(1, JSON.stringify(process.moduleLoadList)));
`;

When("the bundled daemon runs until it has read its settings", { timeout: 60_000 }, function(this: StartWorld) {
    ensureBundle();
    const folder = mkdtempSync(join(tmpdir(), "filbertrelay-start-"));
    const preload = join(folder, "modules.cjs");
    writeFileSync(preload, listModules);
    // Invalid settings end the process before it opens a socket.
    const settings = join(folder, "settings.toml");
    writeFileSync(settings, "[host]\n");
    const started = spawnSync(process.execPath, ["--require", preload, "target/filbertrelayd.cjs"], {
        encoding: "utf8",
        env: { PATH: process.env["PATH"], FILBERTRELAY_NODE_FILE: settings },
    });
    assert.equal(started.status, 2, started.stderr);
    this.loadedModules = (JSON.parse(started.stdout) as string[]).map(name => name.replace("NativeModule ", ""));
});

Then("it has loaded none of {string}", function(this: StartWorld, names: string) {
    assert.ok(this.loadedModules.includes("http"));
    assert.deepEqual(names.split(", ").filter(name => this.loadedModules.includes(name)), []);
});

Then("its bytecode is smaller than {int} KB", (limitKb: number) => {
    const { size } = statSync("target/daemon.bytecode");
    assert.ok(size < limitKb * 1_024, `${size} bytes`);
});

Given("a settings file of which only the first half is written", async function(this: StartWorld) {
    const [callers, peers, ready, store] = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
    this.readyPort = ready;
    this.settingsFile = join(mkdtempSync(join(tmpdir(), "filbertrelay-start-")), "settings.toml");
    this.settingsText = `
[host]
id = "host-1"
failureDomain = "zone-a"
callerAddress = "127.0.0.1:${callers}"
peerAddress = "127.0.0.1:${peers}"
readyAddress = "127.0.0.1:${ready}"
[cluster]
keys = ["a-secret-of-16-characters"]
[store]
address = "127.0.0.1:${store}"
readsPerSecond = 100
writesPerSecond = 100
`;
    writeFileSync(this.settingsFile, this.settingsText.slice(0, this.settingsText.length / 2));
});

When(
    "the bundled daemon starts and the rest is written {int} ms later",
    { timeout: 60_000 },
    async function(this: StartWorld, delayMs: number) {
        ensureBundle();
        const environment = { PATH: process.env["PATH"], FILBERTRELAY_NODE_FILE: this.settingsFile };
        this.daemon = spawn(process.execPath, ["target/filbertrelayd.cjs"], { env: environment, stdio: "ignore" });
        await new Promise(resolve => setTimeout(resolve, delayMs));
        writeFileSync(this.settingsFile, this.settingsText);
    },
);

When("its settings file is removed and it is told to read it", async function(this: StartWorld) {
    rmSync(this.settingsFile);
    this.daemon!.kill("SIGHUP");
    await new Promise(resolve => setTimeout(resolve, 300));
});

Then("it is ready", async function(this: StartWorld) {
    // Without a store it has no configuration; what counts is that it runs and answers.
    await waitFor(async () => (await fetch(`http://127.0.0.1:${this.readyPort}/readyz`)).status > 0);
    assert.equal(this.daemon!.exitCode, null);
});

Given("a port that another server holds for {int} ms", async function(this: StartWorld, holdMs: number) {
    const holder = createServer();
    await new Promise<void>(resolve => holder.listen(0, "127.0.0.1", resolve));
    this.port = (holder.address() as AddressInfo).port;
    setTimeout(() => holder.close(), holdMs);
});

Then("a server that is to listen there does so once it is free", async function(this: StartWorld) {
    this.server = createServer();
    await listenOn(this.server, `127.0.0.1:${this.port}`, createSystemClock());
    assert.ok(this.server.listening);
});

Then("it outlives {int} errors of accepting connections", function(this: StartWorld, count: number) {
    for (let error = 0; error < count; error += 1) {
        this.server!.emit("error", Object.assign(new Error("accept EMFILE"), { code: "EMFILE" }));
    }
    assert.ok(this.server!.listening);
});

After(function(this: Partial<StartWorld>) {
    this.daemon?.kill("SIGKILL");
    this.server?.close();
});
