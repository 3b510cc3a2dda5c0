import { createKernel } from "@filbertrelay/kernel";
import type { Clock, EventLog, Kernel } from "@filbertrelay/kernel";
import type { Settings } from "./settings.js";
export function createDaemon(
    settings: Settings,
    options: { readonly clock: Clock; readonly log: EventLog; readonly onDrained: () => void; },
): Kernel {
    void settings;
    return createKernel(options);
}
