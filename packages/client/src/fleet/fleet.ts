import { generateConfiguration } from "@filbertrelay/configuration";
import type { Answers, Configuration } from "@filbertrelay/configuration";
import { createKeyValueClient } from "@filbertrelay/connectors";
import { createSystemClock } from "@filbertrelay/kernel";
import { randomBytes, randomUUID } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import * as z from "zod";
import { submit } from "../submission.js";
import { daemonScript } from "./binary.js";
import type { Reclaim } from "./cloud.js";
import { callControl } from "./control.js";
import type { Faults } from "./control.js";
import { sumCost } from "./host.js";
import type { FleetHost, HostCost } from "./host.js";
import { planFleet, planHost } from "./plan.js";
import type { FleetSize, PlannedHost } from "./plan.js";
import { startPlatform, startStandIn } from "./platform.js";
import type { Platform, StandInKind, StandInOptions } from "./platform.js";
import { findFreePorts, pickLoopbackAddress } from "./port.js";
import { FleetProcess, waitFor } from "./process.js";
import { Provisioner } from "./provisioner.js";
import { formatSettings } from "./settings.js";

/** How a fleet is started. */
export interface FleetOptions extends FleetSize {
    readonly answers: Answers;
    readonly standIns?: StandInOptions;
    /** Tables of the daemons' settings that replace the defaults, such as `timing`. */
    readonly daemonSettings?: Readonly<Record<string, unknown>>;
    /** Replaces platform URLs in one daemon's settings, such as that of a fault proxy's route. */
    readonly platformOf?: (
        host: PlannedHost,
        platform: Platform,
    ) => Partial<Record<"keyValue" | "cloud" | "hostList" | "weightStore", string>>;
    /** Starts a process for every host that is started through the cloud API, such as by the planner. */
    readonly provisions?: boolean;
    /** Leaves the configuration head unwritten, so that daemons wait for it. */
    readonly withoutConfiguration?: boolean;
    /** Keeps settings and logs after `stop`. */
    readonly keepsDirectory?: boolean;
}

const startLimitMs = 30_000;
const readyLimitMs = 60_000;
const executionsSchema = z.object({ byKey: z.record(z.string(), z.number()) });

/** Starts stand-ins and daemons of a deployment on loopback; on failure everything started is killed. */
export async function launchFleet(options: FleetOptions): Promise<Fleet> {
    const directory = mkdtempSync(join(tmpdir(), "filbertrelay-fleet-"));
    const configuration = generateConfiguration(options.answers);
    const platform = await startPlatform(configuration, directory, options.standIns ?? {});
    const fleet = new Fleet(options, { directory, configuration, platform });
    try {
        await fleet.start();
        return fleet;
    }
    catch (error) {
        await fleet.stop();
        throw error;
    }
}

/** A running fleet of stand-ins and daemons. */
export class Fleet {
    readonly directory: string;
    readonly configuration: Configuration;
    readonly platform: Platform;
    readonly hosts = new Map<string, FleetHost>();
    readonly #options: FleetOptions;
    readonly #address = pickLoopbackAddress();
    readonly #clusterKey = randomBytes(24).toString("hex");
    readonly #provisioner: Provisioner;
    /** Hosts that the cloud knew before they had a process. */
    readonly #provisioned = new Set<string>();
    #isStopping = false;

    constructor(
        options: FleetOptions,
        parts: { readonly directory: string; readonly configuration: Configuration; readonly platform: Platform; },
    ) {
        this.#options = options;
        this.directory = parts.directory;
        this.configuration = parts.configuration;
        this.platform = parts.platform;
        this.#provisioner = new Provisioner({ cloudUrl: this.platform.cloud.url, start: host => this.#provision(host) });
    }

    /** Starts endpoints, writes the configuration and starts the daemons; resolves when all are ready. */
    async start(): Promise<void> {
        const planned = planFleet(this.configuration, this.#options);
        await Promise.all(planned.filter(host => host.role !== "entry").map(host => this.#startEndpoint(host)));
        if (this.#options.withoutConfiguration !== true) {
            await this.#writeConfiguration();
        }
        await Promise.all(planned.filter(host => host.role === "entry").map(host => this.#startDaemon(host)));
        if (this.#options.withoutConfiguration !== true) {
            await this.waitUntilReady();
        }
        if (this.#options.provisions === true) {
            this.#provisioner.start();
        }
    }

    /** Running entry hosts. */
    entryHosts(): readonly FleetHost[] {
        return [...this.hosts.values()].filter(host => host.role === "entry" && host.process.isRunning);
    }

    /** Callers' addresses of running entry hosts. */
    callerAddresses(): readonly string[] {
        return this.entryHosts().flatMap(host => host.callerAddress ?? []);
    }

    /** A host by its id; an unknown id is an error of the test. */
    host(hostId: string): FleetHost {
        const host = this.hosts.get(hostId);
        if (host === undefined) {
            throw new Error(`The fleet has no host '${hostId}'.`);
        }
        return host;
    }

    /** Waits until every running daemon takes requests. */
    async waitUntilReady(limitMs = readyLimitMs): Promise<void> {
        await Promise.all(
            this.entryHosts().map(host => waitFor(`the daemon '${host.hostId}' to be ready`, () => isReady(host), { limitMs })),
        );
    }

    /** Starts a further entry host. */
    async addEntryHost(hostId: string, failureDomain: string): Promise<FleetHost> {
        return this.#startDaemon(planHost(this.configuration, { hostId, role: "entry", failureDomain }));
    }

    /** Starts a daemon again on a host whose process ended, under the same id and addresses. */
    async restart(hostId: string): Promise<void> {
        const host = this.host(hostId);
        await host.process.kill();
        host.process = this.#spawnDaemon(hostId);
        host.endedMs = undefined;
        this.#watchEnd(host);
        await this.platform.cloud.control.attach(hostId, { pid: host.process.pid, address: host.address });
        await waitFor(`the daemon '${hostId}' to be ready`, () => isReady(host), { limitMs: readyLimitMs });
    }

    /** Kills a host's process; the cloud still lists the host as running. */
    async kill(hostId: string): Promise<void> {
        await this.host(hostId).process.kill();
    }

    /** Pauses a host's process until `resume`. */
    pause(hostId: string): void {
        this.host(hostId).process.signal("SIGSTOP");
    }

    /** Lets a paused process run again. */
    resume(hostId: string): void {
        this.host(hostId).process.signal("SIGCONT");
    }

    /** Asks a daemon to drain, as an operator's SIGTERM does; gives its exit code or signal. */
    stopHost(hostId: string, limitMs: number): Promise<number | string> {
        return this.host(hostId).process.stop(limitMs);
    }

    /** Terminates a host through the cloud, without notice. */
    terminate(hostId: string): Promise<void> {
        return this.platform.cloud.control.terminate(hostId);
    }

    /** Announces a reclaim of a host or a whole failure domain; gives the hosts concerned. */
    reclaim(reclaim: Reclaim): Promise<readonly string[]> {
        return this.platform.cloud.control.reclaim(reclaim);
    }

    /** Sets faults of a part of the platform or of an endpoint by its host id. */
    async setFaults(target: "keyValue" | "cloud" | "hostList" | "weightStore" | (string & {}), faults: Faults): Promise<void> {
        await callControl(this.urlOf(target), "/faults", faults);
    }

    /** The URL of a part of the platform or of an endpoint by its host id. */
    urlOf(target: string): string {
        const part = (this.platform as unknown as Record<string, { url: string; } | undefined>)[target];
        return part?.url ?? `http://${this.host(target).address}`;
    }

    /** Starts a stand-in that belongs to no host, such as a fault proxy; it ends with the fleet. */
    async startStandIn(kind: StandInKind, name: string, words: readonly string[] = []) {
        return startStandIn(kind, { name, words, directory: this.directory });
    }

    /** Executions per idempotency key, added up over the plain services that still run; a killed one takes its counts along. */
    async executions(): Promise<Map<string, number>> {
        const sums = new Map<string, number>();
        for (
            const host of [...this.hosts.values()].filter(candidate =>
                candidate.role === "service" && candidate.process.isRunning
            )
        ) {
            const { byKey } = executionsSchema.parse(await callControl(this.urlOf(host.hostId), "/executions"));
            for (const [key, count] of Object.entries(byKey)) {
                sums.set(key, (sums.get(key) ?? 0) + count);
            }
        }
        return sums;
    }

    /** What all hosts cost so far. */
    cost(): readonly HostCost[] {
        return sumCost(this.hosts.values(), performance.now());
    }

    /** Kills every process and removes the directory. */
    async stop(): Promise<void> {
        this.#isStopping = true;
        await this.#provisioner.stop();
        const { keyValue, cloud, hostList, weightStore } = this.platform;
        const processes = [...this.hosts.values(), keyValue, cloud, hostList, weightStore].map(part => part.process);
        await Promise.all(processes.map(process => process.kill()));
        if (this.#options.keepsDirectory !== true) {
            rmSync(this.directory, { recursive: true, force: true });
        }
    }

    /** Gives a host of the cloud its process; an engine starts with the first model until it is told another. */
    async #provision(host: PlannedHost): Promise<void> {
        const model = this.configuration.models[0]?.name;
        if (this.#isStopping || host.role === "service" || (host.role === "engine" && model === undefined)) {
            return;
        }
        this.#provisioned.add(host.hostId);
        try {
            await (host.role === "entry" ? this.#startDaemon(host) : this.#startEndpoint({ ...host, serves: model ?? "" }));
        }
        catch (error) {
            // A host that is reclaimed while it starts is no fault, nor is one that the end of the fleet kills.
            if (this.hosts.get(host.hostId)?.process.isRunning === true && !this.#isStopping) {
                throw error;
            }
        }
    }

    async #startEndpoint(planned: PlannedHost): Promise<void> {
        const kind = planned.role === "engine" ? "model-engine" : "plain-service";
        const words = [...this.#endpointWords(planned), ...this.#options.standIns?.[kind] ?? []];
        const started = await startStandIn(kind, { name: planned.hostId, words, directory: this.directory });
        await this.#add({
            ...planned,
            address: started.address,
            process: started.process,
            startedMs: performance.now(),
            endedMs: undefined,
        });
    }

    #endpointWords(planned: PlannedHost): string[] {
        const model = this.configuration.models.find(candidate => candidate.name === planned.serves);
        if (model !== undefined) {
            const words = [
                "--model",
                model.name,
                "--model-version",
                model.version,
                "--weight-store-url",
                this.platform.weightStore.url,
            ];
            return [...words, ...(model.checksFencing ? ["--check-fencing"] : [])];
        }
        const service = this.configuration.services.find(candidate => candidate.name === planned.serves);
        return [
            "--instance",
            planned.hostId,
            ...(service?.deduplicates === true ? ["--deduplicate"] : []),
            ...(service?.answersStatus === true ? ["--answers-status"] : []),
            ...(service?.checksFencing === true ? ["--check-fencing"] : []),
        ];
    }

    async #startDaemon(planned: PlannedHost): Promise<FleetHost> {
        const [peerPort, callerPort] = await findFreePorts(this.#address, 2);
        const peerAddress = `${this.#address}:${peerPort}`;
        const callerAddress = `${this.#address}:${callerPort}`;
        const { keyValue, cloud, hostList, weightStore } = this.platform;
        const urls = { keyValue: keyValue.url, cloud: cloud.url, hostList: hostList.url, weightStore: weightStore.url };
        const { hostId, failureDomain } = planned;
        const settings = formatSettings({
            hostId,
            failureDomain,
            peerAddress,
            callerAddress,
            clusterKey: this.#clusterKey,
            seeds: this.entryHosts().map(host => host.address),
            platform: { ...urls, ...this.#options.platformOf?.(planned, this.platform) },
            extra: this.#options.daemonSettings ?? {},
        });
        writeFileSync(this.#settingsFile(hostId), settings);
        const process = this.#spawnDaemon(hostId);
        const host: FleetHost = {
            ...planned,
            address: peerAddress,
            callerAddress,
            process,
            startedMs: performance.now(),
            endedMs: undefined,
        };
        await this.#add(host);
        await waitFor(`the daemon '${hostId}' to listen`, () => isListening(host), { limitMs: startLimitMs });
        return host;
    }

    #settingsFile(hostId: string): string {
        return join(this.directory, `${hostId}.toml`);
    }

    #spawnDaemon(hostId: string): FleetProcess {
        const command = [daemonScript, "--settings", this.#settingsFile(hostId)];
        return new FleetProcess({ name: hostId, command, logFile: join(this.directory, `${hostId}.log`) });
    }

    async #add(host: FleetHost): Promise<void> {
        this.hosts.set(host.hostId, host);
        this.#watchEnd(host);
        const { control } = this.platform.cloud;
        const process = { pid: host.process.pid, address: host.address };
        await (this.#provisioned.has(host.hostId) ?
            control.attach(host.hostId, process, host.serves) :
            control.register(host, process));
    }

    #watchEnd(host: FleetHost): void {
        const { process } = host;
        void process.exited.then(() => {
            if (host.process === process) {
                host.endedMs = performance.now();
            }
        });
    }

    async #writeConfiguration(): Promise<void> {
        const clock = createSystemClock();
        const keyValue = createKeyValueClient({ url: this.platform.keyValue.url, clock });
        const base = { head: undefined, storeVersion: 0 };
        const submission = {
            keyValue,
            clock,
            answers: this.#options.answers,
            base,
            submissionId: randomUUID(),
            limitMs: startLimitMs,
        };
        const submitted = await submit(submission);
        await keyValue.stop();
        if (!submitted.ok) {
            throw new Error(`The fleet's configuration was not written: ${submitted.issue.message}`);
        }
    }
}

async function isListening(host: FleetHost): Promise<true | undefined> {
    return await answers(host, "/healthz") ? true : undefined;
}

async function isReady(host: FleetHost): Promise<true | undefined> {
    return await answers(host, "/readyz") ? true : undefined;
}

async function answers(host: FleetHost, path: string): Promise<boolean> {
    if (!host.process.isRunning) {
        throw new Error(`The daemon '${host.hostId}' ended with ${await host.process.exited}.\n${host.process.logEnd()}`);
    }
    try {
        const response = await request(`http://${host.callerAddress}${path}`, { signal: AbortSignal.timeout(2_000) });
        await response.body.dump();
        return response.statusCode === 200;
    }
    catch {
        return false;
    }
}
