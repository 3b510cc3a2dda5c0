import { brandAs } from "@filbertrelay/kernel";
import type { RequestId } from "@filbertrelay/kernel";
import { decideStreamVersion, StreamOrigins, VersionHistory } from "@filbertrelay/policy";
import type { VersionRecord } from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { createSchedules, simulatedHosts, stepMs } from "./schedules.js";
import type { Step } from "./schedules.js";

const service = "assistant";
/** Longest time until the caller of a stream no longer comes back, and until hosts no longer begin streams at a version that left. */
const lifeMs = 4_000;
const lateStartMs = 2_000;
/** Time within which hosts that live hear of a change. */
const hearMs = 400;

type VersionKind = "begin" | "takeUp" | "wait" | "hear" | "release" | "retire" | "cut" | "heal" | "kill" | "killAll" | "restore";

/** Schedules of versions that come and go, of streams and their take-ups, and of hosts that are killed and start again. */
export const versionSteps = createSchedules<VersionKind>(
    ["begin", "begin", "takeUp", "takeUp", "wait"],
    ["hear", "release", "retire", "cut", "heal", "kill", "killAll", "restore"],
);

interface VersionHost {
    readonly history: VersionHistory;
    readonly origins: StreamOrigins;
    /** Versions that the host knows to serve. */
    versions: ReadonlySet<string>;
    /** Whether it neither hears of changes nor reaches the hosts that are not cut off. */
    isCut: boolean;
    heardMs: number;
}

/** What a host knows of versions counts for this long after it has heard of them. */
const maxCopyAgeMs = 2_000;
/** Most hosts that are cut off from the others, and then together. */
const mostCut = 2;

interface BegunStream {
    readonly requestId: RequestId;
    readonly version: string;
    readonly beganMs: number;
}

/** Hosts that begin and take up streams of a service whose versions change. */
export class VersionSimulation {
    /** Take-ups that some living host had to know, and those of them that went on. */
    readonly counts = { known: 0, continued: 0 };
    #nowMs = 100_000;
    #versions = ["v1"];
    #released = 1;
    #changedMs = -Infinity;
    #era = 1;
    #record: VersionRecord | undefined;
    #records: (VersionRecord | undefined)[] = [undefined];
    readonly #hosts = Array.from({ length: simulatedHosts }, () => this.#createHost());
    readonly #streams: BegunStream[] = [];
    /** When the last endpoint of each version left. */
    readonly #leftMs = new Map<string, number>();

    run(steps: readonly Step<VersionKind>[]): void {
        this.#hosts.forEach(host => this.#hear(host));
        for (const { kind, host, pick } of steps) {
            this.#nowMs += stepMs;
            if (this.#nowMs - this.#changedMs >= hearMs) {
                this.#hosts.forEach(each => this.#hear(each));
            }
            this.#step(kind, host, pick);
        }
    }

    #createHost(): VersionHost {
        return {
            history: new VersionHistory(this.#nowMs),
            origins: new StreamOrigins(),
            versions: new Set(),
            isCut: false,
            heardMs: -Infinity,
        };
    }

    #step(kind: VersionKind, index: number, pick: number): void {
        const host = this.#hosts[index]!;
        switch (kind) {
            case "begin":
                return this.#begin(index, pick);
            case "takeUp":
                return this.#takeUp(index, pick);
            case "wait":
                this.#nowMs += pick * stepMs;
                return;
            case "hear":
                return this.#hear(host);
            case "release":
                this.#released += 1;
                this.#versions = [...this.#versions, `v${this.#released}`];
                this.#changedMs = this.#nowMs;
                return;
            case "retire":
                this.#versions = this.#versions.filter((version, each, all) => {
                    const stays = all.length === 1 || each !== pick % all.length;
                    this.#leftMs.set(version, stays ? Infinity : this.#nowMs);
                    return stays;
                });
                this.#changedMs = this.#nowMs;
                return;
            case "restore":
                this.#era += 1;
                this.#records = this.#records.slice(0, Math.max(1, this.#records.length - pick));
                this.#record = this.#records.at(-1);
                return;
            case "cut":
                host.isCut ||= this.#hosts.filter(({ isCut }) => isCut).length < mostCut && host.versions.size > 0;
                return;
            case "heal":
                this.#hosts.forEach(each => {
                    each.isCut = false;
                    this.#hear(each);
                });
                return;
            case "kill":
                this.#hosts[index] = this.#createHost();
                return this.#hear(this.#hosts[index]!);
            case "killAll":
                if (pick % 2 === 1) {
                    this.#step("restore", index, pick);
                }
                this.#hosts.forEach((_, each) => {
                    this.#hosts[each] = this.#createHost();
                });
                this.#nowMs += pick * stepMs;
                this.#hosts.forEach(each => this.#hear(each));
        }
    }

    #hear(host: VersionHost): void {
        if (host.isCut) {
            return;
        }
        const known = host.versions;
        host.heardMs = this.#nowMs;
        host.versions = new Set(this.#versions);
        if (this.#record !== undefined) {
            host.history.merge(this.#record, this.#era, this.#nowMs);
        }
        host.history.observe(new Map([[service, host.versions]]), this.#nowMs);
        if (host.history.isOutdated(this.#record, this.#era)) {
            this.#record = host.history.describe(this.#era);
            this.#records.push(this.#record);
        }
        if (known.size <= 1 && host.versions.size > 1) {
            host.origins.ofService(service, this.#nowMs).forEach(origin => this.#keep(this.#hosts.indexOf(host), origin));
        }
    }

    #begin(index: number, pick: number): void {
        const host = this.#hosts[index]!;
        const versions = [...host.versions].filter(each => (this.#leftMs.get(each) ?? Infinity) + lateStartMs > this.#nowMs);
        const version = versions[pick % versions.length];
        if (version === undefined) {
            return;
        }
        const requestId = brandAs<RequestId>(`stream-${this.#streams.length}`);
        const origin = { requestId, service, version, leftMs: lifeMs };
        this.#streams.push({ requestId, version, beganMs: this.#nowMs });
        host.origins.remember(origin, this.#nowMs);
        if (this.#onlyVersion(host) !== version) {
            this.#keep(index, origin);
        }
    }

    /** Another host keeps a copy. */
    #keep(index: number, origin: Parameters<StreamOrigins["remember"]>[0]): void {
        const { isCut } = this.#hosts[index]!;
        const holders = this.#hosts.filter((host, each) => each !== index && host.isCut === isCut);
        holders[index % Math.max(1, holders.length)]?.origins.remember(origin, this.#nowMs);
    }

    #onlyVersion(host: VersionHost): string | undefined {
        return this.#nowMs - host.heardMs > maxCopyAgeMs ?
            undefined :
            host.history.onlyVersion(service, { lifeMs, lateStartMs }, this.#nowMs);
    }

    #takeUp(index: number, pick: number): void {
        const open = this.#streams.filter(({ beganMs }) => this.#nowMs - beganMs < lifeMs);
        const stream = open[pick % Math.max(1, open.length)];
        if (stream === undefined) {
            return;
        }
        const { requestId, version } = stream;
        const find = (host: VersionHost): string | undefined => host.origins.find(requestId, this.#nowMs)?.version;
        const host = this.#hosts[index]!;
        const replies = this.#hosts.filter(other => other !== host && other.isCut === host.isCut).map(other => ({
            version: find(other),
            onlyVersion: this.#onlyVersion(other),
        }));
        const decided = decideStreamVersion({
            own: find(host),
            replies,
            onlyVersion: this.#onlyVersion(host),
            otherHosts: simulatedHosts - 1,
        });
        assert.ok(decided === undefined || decided === version, `A stream of ${version} goes on at ${decided}.`);
        if (this.#hosts.some(each => each.isCut === host.isCut && find(each) !== undefined)) {
            this.counts.known += 1;
            this.counts.continued += decided === version ? 1 : 0;
        }
    }
}
