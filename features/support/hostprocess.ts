import { describeEngine, StandinEngine, StandinStore } from "@filbertrelay/platform/standins";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bodyLimitBytes } from "./crowd.js";
import { createConfiguration, findPort, respondFully, waitFor } from "./ingress.js";

/** The addresses of a host process, by their port. */
export interface HostPorts {
    readonly callers: number;
    readonly readiness: number;
    readonly directory: number;
    readonly metrics: number;
}

/** The bundled daemon as a process of its own, with a store and an engine. */
export class HostProcessFixture {
    readonly store = new StandinStore();
    readonly engine = new StandinEngine(respondFully);
    readonly #folder = mkdtempSync(join(tmpdir(), "filbertrelay-crowd-"));
    #ports: HostPorts | undefined;
    #child: ChildProcess | undefined;
    #log = "";
    #descriptors = 0;
    #counting: NodeJS.Timeout | undefined;

    get ports(): HostPorts {
        return this.#ports!;
    }

    /** What the process has written. */
    get log(): string {
        return this.#log;
    }

    get isRunning(): boolean {
        return this.#child?.exitCode === null && this.#child.signalCode === null;
    }

    /** Most descriptors that were open at once. */
    get descriptors(): number {
        return this.#descriptors;
    }

    /** Most memory that was resident at once, in MB. */
    get memoryMb(): number {
        const peakKb = /^VmHWM:\s+(\d+) kB/m.exec(readFileSync(`/proc/${this.#child!.pid!}/status`, "utf8"))?.[1];
        return Number(peakKb) / 1_024;
    }

    /** Starts the process and waits until it is ready. */
    async start(limits: string): Promise<void> {
        await this.store.start();
        await this.engine.start();
        this.store.put("op/config", {
            ...createConfiguration(7) as object,
            limits: { maxHeaderBytes: 16_384, maxBodyBytes: bodyLimitBytes, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
        });
        this.store.put("servers/records-0", describeEngine(this.engine, { service: "records", state: "ready" }));
        const [callers, peers, readiness, directory, metrics] = await Promise.all(Array.from({ length: 5 }, findPort));
        this.#ports = { callers: callers!, readiness: readiness!, directory: directory!, metrics: metrics! };
        const file = join(this.#folder, "settings.toml");
        writeFileSync(
            file,
            `
[host]
id = "host-1"
failureDomain = "zone-a"
callerAddress = "127.0.0.1:${callers}"
peerAddress = "127.0.0.1:${peers}"
readyAddress = "127.0.0.1:${readiness}"
directoryAddress = "127.0.0.1:${directory}"
metricsAddress = "127.0.0.1:${metrics}"
[cluster]
keys = ["a-secret-of-16-characters"]
[store]
address = "${this.store.address}"
readsPerSecond = 100
writesPerSecond = 100
[limits]
${limits}
`,
        );
        const words = ["--max-old-space-size=160", "--max-semi-space-size=2", "target/filbertrelayd.cjs"];
        this.#child = spawn(process.execPath, words, {
            env: { PATH: process.env["PATH"], FILBERTRELAY_NODE_FILE: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const append = (text: Buffer): void => {
            this.#log = (this.#log + text.toString()).slice(-20_000);
        };
        this.#child.stdout!.on("data", append);
        this.#child.stderr!.on("data", append);
        const folder = `/proc/${this.#child.pid!}/fd`;
        this.#counting = setInterval(() => {
            if (this.isRunning) {
                this.#descriptors = Math.max(this.#descriptors, readdirSync(folder).length);
            }
        }, 50);
        await waitFor(async () => (await fetch(`http://127.0.0.1:${readiness}/readyz`)).status === 200);
    }

    /** Sends SIGTERM, to a process that is held up for `heldUpMs`, and waits for the end of the process. */
    async terminate(heldUpMs = 0): Promise<void> {
        if (heldUpMs > 0) {
            this.#child!.kill("SIGSTOP");
            setTimeout(() => this.#child!.kill("SIGCONT"), heldUpMs);
        }
        this.#child!.kill("SIGTERM");
        await waitFor(() => Promise.resolve(!this.isRunning));
    }

    stop(): void {
        clearInterval(this.#counting);
        this.#child?.kill("SIGKILL");
        this.engine.stop();
        this.store.stop();
        rmSync(this.#folder, { recursive: true, force: true });
    }
}
