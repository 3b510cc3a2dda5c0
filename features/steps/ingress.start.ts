import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, statSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

interface StartWorld {
    loadedModules: readonly string[];
}

/** Preload script that prints the loaded Node.js modules when the process exits. */
const listModules = `
process.on("exit", () => require("node:fs").writeSync(1, JSON.stringify(process.moduleLoadList)));
`;

When("the bundled daemon runs until it has read its settings", { timeout: 60_000 }, function(this: StartWorld) {
    const bundled = spawnSync(process.execPath, ["scripts/bundle.mjs"], { encoding: "utf8" });
    assert.equal(bundled.status, 0, bundled.stderr);
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
