import type { Configuration } from "@filbertrelay/configuration";
import { join } from "node:path";
import * as z from "zod";
import { standInScript } from "./binary.js";
import { CloudControl } from "./cloud.js";
import { FleetProcess } from "./process.js";

/** The kinds of stand-ins that a fleet starts. */
export type StandInKind = "key-value" | "cloud" | "host-list" | "weight-store" | "model-engine" | "plain-service" | "fault-proxy";

/** A running stand-in with the root of its HTTP paths. */
export interface StandIn {
    readonly url: string;
    /** Address and port. */
    readonly address: string;
    readonly process: FleetProcess;
}

/** The stand-ins of the platform. */
export interface Platform {
    readonly keyValue: StandIn;
    readonly cloud: StandIn & { readonly control: CloudControl; };
    readonly hostList: StandIn;
    readonly weightStore: StandIn;
}

/** Options per kind of stand-in, as command line words such as `--lag-ms`. */
export type StandInOptions = Partial<Readonly<Record<StandInKind, readonly string[]>>>;

const listeningSchema = z.object({ listening: z.string() });
/** Generous, because a shared machine can take seconds to start twenty processes. */
const startLimitMs = 30_000;

/** Starts a stand-in and waits until it listens. */
export async function startStandIn(
    kind: StandInKind,
    options: { readonly name: string; readonly words: readonly string[]; readonly directory: string; },
): Promise<StandIn> {
    const process = new FleetProcess({
        name: options.name,
        command: [standInScript, kind, ...options.words],
        logFile: join(options.directory, `${options.name}.log`),
    });
    const { listening } = listeningSchema.parse(JSON.parse(await process.firstLine(startLimitMs)));
    return { url: `http://${listening}`, address: listening, process };
}

/** Starts the stand-ins of the platform. */
export async function startPlatform(configuration: Configuration, directory: string, options: StandInOptions): Promise<Platform> {
    const prices = configuration.hostClasses.map(({ failureDomain, name, reclaimablePrice, onDemandPrice }) => ({
        failureDomain,
        hostClass: name,
        reclaimablePrice,
        onDemandPrice,
    }));
    const start = (kind: StandInKind, words: readonly string[]) =>
        startStandIn(kind, { name: kind, words: [...words, ...options[kind] ?? []], directory });
    const [keyValue, cloud, weightStore] = await Promise.all([
        start("key-value", []),
        start("cloud", ["--prices", JSON.stringify(prices)]),
        start("weight-store", []),
    ]);
    const hostList = await start("host-list", ["--cloud-url", cloud.url]);
    return { keyValue, cloud: { ...cloud, control: new CloudControl(cloud.url) }, hostList, weightStore };
}
