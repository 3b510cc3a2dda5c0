import { readFileSync } from "node:fs";

const clockTicksPerSecond = 100;
const bytesPerKilobyte = 1_024;

/** Processor time and resident memory of a process, read from /proc. */
export interface ProcessUse {
    readonly processorSeconds: number;
    readonly residentBytes: number;
}

/** Reads what a process has used so far; Linux only. */
export function readProcessUse(pid: number): ProcessUse {
    const afterName = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ").at(-1)?.split(" ") ?? [];
    const ticks = Number(afterName[11]) + Number(afterName[12]);
    const resident = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
    return { processorSeconds: ticks / clockTicksPerSecond, residentBytes: Number(resident ?? 0) * bytesPerKilobyte };
}
