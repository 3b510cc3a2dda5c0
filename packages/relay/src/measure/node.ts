import type { HostListClient } from "@filbertrelay/connectors";
import { brandAs, createKernel, createSystemClock, silentEventLog, success } from "@filbertrelay/kernel";
import type { HostId, Service } from "@filbertrelay/kernel";
import { createPeerNetwork } from "@filbertrelay/wire";
import { createMembershipService } from "../membership/service.js";
import type { NodeCommand, NodeReport } from "./report.js";

const key = "loopback-measurement";
const listenAddress = "127.0.0.1:0";
const [id = "", failureDomain = "", seed] = process.argv.slice(2);

const clock = createSystemClock();
const kernel = createKernel({ clock, log: silentEventLog });
const network = createPeerNetwork({
    clock,
    log: silentEventLog,
    hostId: brandAs<HostId>(id),
    listenAddress,
    keys: [key],
    frameBytes: 8_388_608,
});
const hostList: HostListClient & Service = { list: () => Promise.resolve(success([])) };
kernel.register("peers", network);
kernel.register("hostList", hostList);
const membership = createMembershipService(kernel, {
    host: { id, failureDomain, peerAddress: listenAddress, callerAddress: "127.0.0.1:8080" },
    cluster: { keys: [key], seeds: seed === undefined ? [] : [seed] },
    timing: { probePeriodMs: 500, stallTimeoutMs: 2_000, drainLimitMs: 30_000 },
});
kernel.register("membership", membership);
membership.onChange(({ hostId, state }) => sendReport({ kind: "change", hostId, state, timeMs: Date.now() }));

let version = 0;
membership.onConfigurationAnnounced((...[, announced]) => adoptVersion(announced));

function adoptVersion(next: number): void {
    if (next > version) {
        version = next;
        membership.announceConfiguration(next);
        sendReport({ kind: "version", version, timeMs: Date.now() });
    }
}

function sendReport(report: NodeReport): void {
    process.send?.(report);
}

function measureUsage(): NodeReport {
    const { user, system } = process.cpuUsage();
    const traffic = network.traffic();
    const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
    return {
        kind: "usage",
        timeMs: Date.now(),
        processorMs: (user + system) / 1_000,
        residentBytes: process.memoryUsage.rss(),
        frames: sum(traffic.map(({ framesSent, framesReceived }) => framesSent + framesReceived)),
        bytes: sum(traffic.map(({ bytesSent, bytesReceived }) => bytesSent + bytesReceived)),
    };
}

process.on("message", (command: NodeCommand) => {
    if (command.kind === "leave") {
        void membership.leave();
    }
    else if (command.kind === "version") {
        adoptVersion(command.version);
    }
    else {
        sendReport(measureUsage());
    }
});
process.on("disconnect", () => process.exit(0));

await kernel.start();
sendReport({ kind: "started", address: network.address });
