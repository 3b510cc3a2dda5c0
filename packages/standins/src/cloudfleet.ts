import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";

/** A host as the cloud keeps it. */
export interface FleetHost {
    readonly hostId: string;
    readonly role: "entry" | "engine" | "service";
    address: string | undefined;
    readonly failureDomain: string;
    readonly hostClass: string;
    readonly reclaimable: boolean;
    state: "running" | "reclaiming" | "terminated";
    readonly pricePerHour: number;
    /** Process that stands for the host; it is killed when the host is terminated. */
    pid: number | undefined;
    endpointId: string | undefined;
    serves: string | undefined;
}

/** An announced termination. */
export interface FleetNotice {
    readonly sequence: number;
    readonly hostId: string;
    readonly terminatesAt: string;
}

const exitPollMs = 5;
const exitTimeoutMs = 5_000;

/** Hosts and reclaim notices of the cloud stand-in. */
export class CloudFleet {
    readonly #hosts = new Map<string, FleetHost>();
    readonly #notices: FleetNotice[] = [];
    readonly #waiters = new Set<() => void>();
    readonly #timers = new Set<NodeJS.Timeout>();

    add(host: FleetHost): void {
        this.#hosts.set(host.hostId, host);
    }

    get(hostId: string): FleetHost | undefined {
        return this.#hosts.get(hostId);
    }

    list(): readonly FleetHost[] {
        return [...this.#hosts.values()];
    }

    /** Announces the termination of a running host and carries it out after the notice period. */
    reclaim(host: FleetHost, noticeMs: number): void {
        if (host.state !== "running") {
            return;
        }
        host.state = "reclaiming";
        const terminatesAt = new Date(Date.now() + noticeMs).toISOString();
        this.#notices.push({ sequence: this.#notices.length + 1, hostId: host.hostId, terminatesAt });
        [...this.#waiters].forEach(wake => wake());
        const timer = setTimeout(() => {
            this.#timers.delete(timer);
            void this.terminate(host);
        }, noticeMs);
        this.#timers.add(timer);
    }

    /** Kills the host's process; the state becomes `terminated` only after the process is gone. */
    async terminate(host: FleetHost): Promise<boolean> {
        if (host.pid !== undefined && host.state !== "terminated" && !await killProcess(host.pid)) {
            return false;
        }
        host.state = "terminated";
        return true;
    }

    /** Waits for notices with a higher sequence; empty after the timeout. */
    waitForNotices(afterSequence: number, timeoutMs: number, signal: AbortSignal): Promise<readonly FleetNotice[]> {
        const read = (): readonly FleetNotice[] => this.#notices.filter(notice => notice.sequence > afterSequence);
        const present = read();
        if (present.length > 0 || signal.aborted) {
            return Promise.resolve(present);
        }
        return new Promise(resolve => {
            const finish = (): void => {
                clearTimeout(timer);
                this.#waiters.delete(finish);
                resolve(read());
            };
            const timer = setTimeout(finish, timeoutMs);
            this.#waiters.add(finish);
            signal.addEventListener("abort", finish, { once: true });
        });
    }

    close(): void {
        this.#timers.forEach(timer => clearTimeout(timer));
    }
}

async function killProcess(pid: number): Promise<boolean> {
    const endMs = performance.now() + exitTimeoutMs;
    try {
        process.kill(pid, "SIGKILL");
    }
    catch (error) {
        return (error as NodeJS.ErrnoException).code === "ESRCH";
    }
    while (isRunning(pid)) {
        if (performance.now() > endMs) {
            return false;
        }
        await sleep(exitPollMs);
    }
    return true;
}

/** A killed child stays listed as a zombie until its parent reads its exit code; it runs no more code. */
function isRunning(pid: number): boolean {
    try {
        const status = readFileSync(`/proc/${pid}/stat`, "utf8");
        const state = status.slice(status.lastIndexOf(")") + 2, status.lastIndexOf(")") + 3);
        return state !== "Z" && state !== "X";
    }
    catch {
        return false;
    }
}
