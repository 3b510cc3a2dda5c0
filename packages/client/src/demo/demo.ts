import type { Answers } from "@filbertrelay/configuration";
import { chaulageWorkload, generateTrace, salalWorkload } from "@filbertrelay/emulator";
import type { Trace } from "@filbertrelay/emulator";
import type { Clock } from "@filbertrelay/kernel";
import { standInAnswerModule } from "../fleet/binary.js";
import { launchFleet } from "../fleet/fleet.js";
import type { Fleet } from "../fleet/fleet.js";
import { createOperatorClient } from "../operator.js";
import type { Output } from "../output.js";
import { playTrace } from "./player.js";
import type { ExpectedAnswer } from "./player.js";
import { RecomputedTokens } from "./recomputed.js";
import type { RunResult } from "./record.js";
import { buildResult } from "./result.js";

/** The deployments that the demo knows. */
export type DemoDeployment = "chaulage" | "salal";

/** How the demo runs. */
export interface DemoOptions {
    readonly clock: Clock;
    readonly output: Output;
    readonly deployment: DemoDeployment;
    readonly answers: Answers;
    readonly keys: DeploymentKeys;
    readonly seed: number;
    readonly requests: number;
    /** Notice of the reclaim; 0 kills the hosts at once. */
    readonly noticeMs: number;
    readonly keepsDirectory: boolean;
}

/** Plain test keys of an example deployment. */
export interface DeploymentKeys {
    readonly operator: string;
    readonly customers: Readonly<Record<string, string>>;
}

const playMs = 24_000;
const reclaimAtMs = 9_000;
const outageAtMs = 12_000;
const outageMs = 5_000;
const longestDeadlineMs = 15_000;
const patienceMs = 20_000;
const entryHosts = 6;

const workloads = { chaulage: chaulageWorkload, salal: salalWorkload };

/** Starts a fleet, plays a trace with a reclaim and an outage in the middle, and checks the guarantees. */
export async function runDemo(options: DemoOptions): Promise<RunResult> {
    const { clock, output } = options;
    const startedAt = clock.now();
    const startMs = clock.monotonicMs();
    const expectedAnswer = await loadExpectedAnswer();
    output.progress(`Starting ${entryHosts} daemons and the stand-ins of '${options.deployment}'.`);
    const fleet = await launchFleet({
        answers: options.answers,
        entryHosts,
        enginesPerModel: options.answers.models[0]?.enginesAtPeak ?? 1,
        instancesPerService: 3,
        keepsDirectory: options.keepsDirectory,
    });
    try {
        return await playOn(fleet, { ...options, startedAt, startMs, expectedAnswer });
    }
    finally {
        await fleet.stop();
        if (options.keepsDirectory) {
            output.progress(`Settings and logs were kept in ${fleet.directory}.`);
        }
    }
}

interface PlayContext extends DemoOptions {
    readonly startedAt: Date;
    readonly startMs: number;
    readonly expectedAnswer: ExpectedAnswer;
}

async function playOn(fleet: Fleet, options: PlayContext): Promise<RunResult> {
    const { clock, output, keys } = options;
    const events: { atMs: number; text: string; }[] = [];
    const note = (text: string): void => {
        events.push({ atMs: clock.monotonicMs() - options.startMs, text });
        output.progress(text);
    };
    note(`${fleet.hosts.size} hosts are ready.`);
    const client = createOperatorClient({ operatorKey: keys.operator });
    const recomputed = new RecomputedTokens({ client, clock, addresses: () => fleet.callerAddresses() });
    recomputed.start();
    const disturbances = disturb(fleet, options, note);
    const played = await playTrace({
        clock,
        trace: createDemoTrace(options),
        durationMs: playMs,
        configuration: fleet.configuration,
        customerKeys: keys.customers,
        seeds: fleet.callerAddresses(),
        expectedAnswer: options.expectedAnswer,
        runName: `demo-${options.seed}`,
        longestDeadlineMs,
        patienceMs,
        originMs: options.startMs,
    });
    await disturbances;
    note("All requests have an outcome.");
    const result = buildResult({
        deployment: options.deployment,
        command: "demo",
        seed: options.seed,
        startedAt: options.startedAt,
        durationMs: clock.monotonicMs() - options.startMs,
        events,
        played,
        executions: await fleet.executions(),
        recomputedTokens: await recomputed.finish(),
        cost: fleet.cost(),
    });
    await client.close();
    return result;
}

/** The user's workload with a flat rate, so that the few requests of a demo fill its whole time. */
function createDemoTrace(options: DemoOptions): Trace {
    const workload = workloads[options.deployment];
    // Non-idempotent requests are the ones at risk, so the demo has a larger share of service requests than a day.
    return generateTrace({ ...workload, requests: options.requests, hours: [1], serviceShare: 0.4 }, "reported", options.seed);
}

async function disturb(fleet: Fleet, { clock, noticeMs }: DemoOptions, note: (text: string) => void): Promise<void> {
    const failureDomain = fleet.configuration.failureDomains[1] ?? "";
    await clock.sleep(reclaimAtMs);
    const hostIds = await fleet.reclaim({ failureDomain, noticeMs });
    note(
        `The cloud reclaims the failure domain '${failureDomain}' with ${noticeMs / 1_000} s of notice: ${hostIds.length} hosts.`,
    );
    await clock.sleep(outageAtMs - reclaimAtMs);
    await fleet.setFaults("keyValue", { outage: "down" });
    note("The key-value service is down.");
    await clock.sleep(outageMs);
    await fleet.setFaults("keyValue", { outage: "none" });
    note("The key-value service is back.");
}

/** Loads the function by which the stand-in engines answer, so that each answer can be compared with its own. */
export async function loadExpectedAnswer(): Promise<ExpectedAnswer> {
    const answerModule = await import(standInAnswerModule) as { readonly answerText: ExpectedAnswer; };
    return answerModule.answerText;
}
