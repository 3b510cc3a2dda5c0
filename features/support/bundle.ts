import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";

/** Bundles the daemon under `target/`, unless the test command has done so once for all scenarios. */
export function ensureBundle(): void {
    if (process.env["FILBERTRELAY_BUNDLED"] !== "1") {
        const bundled = spawnSync(process.execPath, ["scripts/bundle.mjs"], { encoding: "utf8" });
        assert.equal(bundled.status, 0, bundled.stderr);
    }
}
