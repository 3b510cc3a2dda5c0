import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { serveStandIn } from "./server.js";
import type { RunningStandIn, StandIn } from "./server.js";

// Each kind loads only its own modules: fleets of tests start some twenty processes at once.
const listenOption = {
    type: "string",
    default: "127.0.0.1:0",
    describe: "Address and port; port 0 lets the system choose.",
} as const;

await yargs(hideBin(process.argv))
    .command("key-value", "Key-value service", {
        "listen": listenOption,
        "reads-per-second": { type: "number", default: 2_000 },
        "writes-per-second": { type: "number", default: 400 },
    }, async options => run((await import("./keyvalue.js")).createKeyValueStandIn(options), options.listen))
    .command(
        "cloud",
        "Cloud API",
        {
            "listen": listenOption,
            "prices": {
                type: "string",
                describe: "JSON list of { failureDomain, hostClass, reclaimablePrice?, onDemandPrice }.",
            },
            "notice-ms": { type: "number", default: 5_000, describe: "Notice period of reclaims that name none." },
        },
        async options => {
            const { createCloudStandIn, readPrices } = await import("./cloud.js");
            await run(createCloudStandIn({ prices: readPrices(options.prices), noticeMs: options.noticeMs }), options.listen);
        },
    )
    .command("host-list", "Host list", {
        "listen": listenOption,
        "cloud-url": { type: "string", demandOption: true },
        "lag-ms": { type: "number", default: 1_000 },
        "poll-ms": { type: "number", default: 100 },
    }, async options => run((await import("./hostlist.js")).createHostListStandIn(options), options.listen))
    .command("weight-store", "Weight store", {
        "listen": listenOption,
        "bytes-per-second": { type: "number", default: 200_000_000 },
        "concurrent-downloads": { type: "number", default: 4 },
        "default-bytes": { type: "number", default: 10_000_000 },
    }, async options => run((await import("./weightstore.js")).createWeightStoreStandIn(options), options.listen))
    .command("model-engine", "Model engine", {
        "listen": listenOption,
        "model": { type: "string", default: "*" },
        "model-version": { type: "string", default: "1" },
        "timing": { choices: ["interval", "steps"] as const, default: "interval" as const },
        "batch-slots": { type: "number", default: 32 },
        "prefill-tokens-per-second": { type: "number", default: 20_000 },
        "token-interval-ms": { type: "number", default: 20 },
        "tokens-per-round": { type: "number", default: 8 },
        "cache-blocks": { type: "number", default: 4_096 },
        "cache-event-lag-ms": { type: "number", default: 300 },
        "cache-event-gap-every": { type: "number", default: 0 },
        "cache-tokens-per-second": { type: "number", default: 0 },
        "load-lag-ms": { type: "number", default: 1_000 },
        "queue-limit": { type: "number", default: 1_000 },
        "answer-tokens": { type: "number", default: 0 },
        "crash-marker": { type: "string", default: "" },
        "check-fencing": { type: "boolean", default: false },
        "weight-store-url": { type: "string" },
        "keep-finished-ms": { type: "number", default: 30_000 },
    }, async options => {
        const { createEngineStandIn } = await import("./engine.js");
        const createModel = options.timing === "steps" ?
            (await import("./stepmodel.js")).createStepModel :
            (await import("./enginemodel.js")).createIntervalModel;
        await run(createEngineStandIn({ ...options, weightStoreUrl: options.weightStoreUrl, createModel }), options.listen);
    })
    .command("plain-service", "Plain service", {
        "listen": listenOption,
        "instance": { type: "string", default: "plain-service" },
        "delay-ms": { type: "number", default: 0 },
        "deduplicate": { type: "boolean", default: false },
        "answers-status": { type: "boolean", default: false },
        "check-fencing": { type: "boolean", default: false },
    }, async options => run((await import("./plainservice.js")).createPlainServiceStandIn(options), options.listen))
    .command(
        "fault-proxy",
        "Fault-injecting TCP proxy",
        { "listen": listenOption },
        async options => run((await import("./faultproxy.js")).createFaultProxyStandIn(), options.listen),
    )
    .demandCommand(1)
    .strict()
    .parseAsync();

async function run(standIn: StandIn, listen: string): Promise<void> {
    announce(await serveStandIn(standIn, listen));
}

/** Prints the address and closes on SIGTERM. */
function announce(running: RunningStandIn): void {
    process.stdout.write(`${JSON.stringify({ listening: running.address })}\n`);
    process.once("SIGTERM", () => void running.close().then(() => process.exit(0)));
}
