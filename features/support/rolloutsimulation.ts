import { addTallies, decideRolloutStep, HostRollout, subtractTally } from "@filbertrelay/policy/ingress";
import type { HostTally, RolloutRecord, StoredOrder, VersionedEndpoint, VersionTally } from "@filbertrelay/policy/ingress";
import { createRandom } from "./random.js";

/** How a version answers; `sinceMs` is the time since the order, `running` what its endpoint runs. */
export type VersionBehaviour = (
    request: { readonly route: string; readonly sinceMs: number; readonly running: number; readonly draw: number; },
) => "good" | "failed" | "slow";

/** A fault that begins at a time after the order. */
export interface RolloutFault {
    readonly kind: "holderKilled" | "hostsCut" | "storeDown" | "restored" | "crash" | "reclaim" | "otherOrder" | "answerLost";
    readonly atMs: number;
    readonly forMs: number;
}

export interface RolloutDay {
    readonly seed: number;
    readonly behaviour: VersionBehaviour;
    /** How the version that served before answers; without a fault by default. */
    readonly formerBehaviour?: VersionBehaviour;
    readonly durationMs?: number;
    readonly requestsPerSecond?: number;
    readonly faults?: readonly RolloutFault[];
}

/** What happened on a day. */
export interface RolloutDayResult {
    readonly record: RolloutRecord;
    readonly endedMs: number;
    /** Requests of the service until the time limit, and those of them at the target. */
    readonly requests: number;
    readonly exposed: number;
    /** Requests at the target before it counted as proven. */
    readonly exposedUnproven: number;
    /** When the 50th bad answer of the target came, and when the last request was sent there. */
    readonly fiftiethBadMs: number | undefined;
    readonly lastSentMs: number;
    /** Requests that had no endpoint. */
    readonly refused: number;
}

const tickMs = 20;
const holderTickMs = 500;
const bootMs = 4_000;
const hostCount = 10;
const endpointCount = 20;
const exposureRatio = 0.1;
export const rollbackMs = 5_000;
/** Of the requests on each route, and the time that one takes. */
const routes = [{ name: "chat", share: 0.5, workMs: 150 }, { name: "look", share: 0.35, workMs: 40 }, {
    name: "rare",
    share: 0.15,
    workMs: 300,
}];
const recentSteps = 10;

interface Endpoint extends VersionedEndpoint {
    running: number;
    isGone: boolean;
}

/** Plays a roll-out over hosts that learn of the record late, and a holder that may be gone. */
export function playRollout(
    { seed, behaviour, formerBehaviour = () => "good", durationMs = 60_000, requestsPerSecond = 250, faults = [] }: RolloutDay,
): RolloutDayResult {
    const draw = createRandom(seed);
    const random = (): number => (draw(), draw());
    const createHost = (): HostRollout => new HostRollout({ exposureRatio, rollbackMs, firstCredit: random() });
    const hosts = Array.from({ length: hostCount }, createHost);
    const confirmedMs = hosts.map(() => 0);
    const endpoints = Array.from({ length: endpointCount }, (_, index) => createEndpoint(`old-${index}`, "v1"));
    const tallies = new Map<string, HostTally>();
    const snapshots: { readonly base: VersionTally; readonly target: VersionTally; }[] = [];
    const messages = new Map<number, (() => void)[]>();
    let stored: RolloutRecord | undefined;
    const history: RolloutRecord[] = [];
    let order: StoredOrder = { service: "s", target: "v2", durationMs, era: 1, revision: 7 };
    let [requests, exposed, exposedUnproven, bad, refused, lastSentMs] = [0, 0, 0, 0, 0, -1];
    let fiftiethBadMs: number | undefined;
    let endedMs = Infinity;
    let nowMs = 0;
    const isActive = (kind: RolloutFault["kind"]): boolean =>
        faults.some(fault => fault.kind === kind && nowMs >= fault.atMs && nowMs < fault.atMs + fault.forMs);
    const begins = (kind: RolloutFault["kind"]): boolean => faults.some(fault => fault.kind === kind && fault.atMs === nowMs);
    const later = (delayMs: number, deliver: () => void): unknown =>
        messages.set(nowMs + delayMs, [...messages.get(nowMs + delayMs) ?? [], deliver]);
    const isCut = (host: number): boolean => isActive("storeDown") || (isActive("hostsCut") && host % 3 === 0);

    for (; nowMs < durationMs * 1.5; nowMs += tickMs) {
        messages.get(nowMs)?.forEach(deliver => deliver());
        messages.delete(nowMs);
        if (nowMs === bootMs) {
            endpoints.push(...Array.from({ length: endpointCount }, (_, index) => createEndpoint(`new-${index}`, "v2")));
        }
        applyFaults();
        hosts.forEach((host, index) => {
            if (!isCut(index)) {
                confirmedMs[index] = nowMs;
                if (stored !== undefined && nowMs % 200 === 0) {
                    const record = stored;
                    later(20 * Math.ceil(random() * 10), () => isCut(index) ? undefined : host.setRecord(record, nowMs));
                }
            }
            if (nowMs % 500 === 20 * index) {
                report(host, index);
            }
        });
        if (nowMs % holderTickMs === 0 && !isActive("holderKilled") && !isActive("storeDown")) {
            actAsHolder(hosts[Math.floor(nowMs / 7_000) % hostCount]!);
        }
        for (let count = requestsPerSecond * tickMs / 1_000; count > random(); count -= 1) {
            send();
        }
    }
    return { record: stored!, endedMs, requests, exposed, exposedUnproven, fiftiethBadMs, lastSentMs, refused };

    function applyFaults(): void {
        if (begins("crash") || begins("reclaim")) {
            const targets = endpoints.filter(({ softwareVersion, isGone }) => softwareVersion === "v2" && !isGone);
            const busy = [...targets].sort((left, right) => right.running - left.running);
            busy.slice(0, begins("crash") ? 1 : endpointCount / 3).forEach(endpoint => endpoint.isGone = true);
        }
        if (begins("restored") && stored !== undefined) {
            stored = history.at(-12) ?? stored;
            order = { ...order, era: order.era + 1 };
        }
        if (begins("otherOrder")) {
            order = { ...order, target: "v3", durationMs: durationMs / 2, revision: 900 };
        }
    }

    function listTallies(): readonly HostTally[] {
        return [...tallies].filter(([key]) => key.startsWith(`${order.revision}/`)).map(([, tally]) => tally);
    }

    function actAsHolder(host: HostRollout): void {
        if (stored !== undefined) {
            host.setRecord(stored, nowMs);
        }
        const base = addTallies(listTallies().map(tally => tally.base));
        const target = addTallies(listTallies().map(tally => tally.target));
        snapshots.push({ base, target });
        const before = snapshots.at(-recentSteps) ?? { base: {}, target: {} };
        const usable = endpoints.filter(({ isGone }) => !isGone);
        const record = host.record;
        const next = decideRolloutStep({
            record,
            order,
            circumstances: {
                services: ["s"],
                runningVersions: new Set(usable.map(each => each.softwareVersion).filter(version => version !== order.target)),
                startMs: bootMs,
            },
            seen: {
                nowMs,
                base,
                target,
                recent: { base: subtractTally(base, before.base), target: subtractTally(target, before.target) },
                targetEndpoints: usable.filter(({ softwareVersion }) => softwareVersion === order.target).map(each =>
                    each.endpointId
                ),
                baseEndpoints: usable.filter(({ softwareVersion }) => softwareVersion !== order.target).length,
                requiredEndpoints: endpointCount / 2,
            },
            exposureRatio,
        });
        if (next === undefined || next === stored) {
            return;
        }
        stored = next;
        history.push(next);
        if (next.state !== "inProgress" && (record?.state === "inProgress" || record === undefined)) {
            endedMs = Math.min(endedMs, nowMs);
        }
        if (next.state === "completed") {
            endpoints.filter(({ softwareVersion }) => softwareVersion === "v1").forEach(endpoint => endpoint.isGone = true);
        }
        if (!isActive("answerLost")) {
            host.setRecord(next, nowMs);
        }
    }

    function report(host: HostRollout, index: number): void {
        const tally = isCut(index) ? undefined : host.takeReport();
        const takenMs = nowMs;
        const revision = host.record?.orderRevision;
        if (tally !== undefined) {
            later(20 * Math.ceil(random() * 8), () => {
                if (!isActive("storeDown")) {
                    tallies.set(`${revision}/${index}`, tally);
                }
                host.endReport(takenMs, !isActive("storeDown"));
            });
        }
    }

    function send(): void {
        const index = Math.floor(random() * hostCount);
        const host = hosts[index]!;
        let pick = random();
        const route = routes.find(({ share }) => (pick -= share) < 0) ?? routes[0]!;
        const request = { nowMs, copyConfirmedMs: confirmedMs[index]!, isContinued: false, isRepeated: false };
        const open = host.select(endpoints.filter(({ isGone }) => !isGone), request);
        const [first, second] = [open[Math.floor(random() * open.length)], open[Math.floor(random() * open.length)]];
        if (first === undefined || second === undefined) {
            refused += 1;
            return;
        }
        const endpoint = first.running <= second.running ? first : second;
        host.recordSent(endpoint.softwareVersion, true);
        const isTarget = endpoint.softwareVersion === "v2";
        if (nowMs < durationMs) {
            requests += 1;
            exposed += isTarget ? 1 : 0;
            exposedUnproven += isTarget && stored?.state === "inProgress" && stored.phase !== "moving" ? 1 : 0;
        }
        lastSentMs = isTarget ? nowMs : lastSentMs;
        endpoint.running += 1;
        const answer = (isTarget ? behaviour : formerBehaviour)({
            route: route.name,
            sinceMs: nowMs,
            running: endpoint.running,
            draw: random(),
        });
        const durationOf = route.workMs * (0.7 + 0.6 * random()) * (answer === "slow" ? 4 : 1);
        const takenMs = Math.max(tickMs, tickMs * Math.round(durationOf / tickMs));
        later(takenMs, () => {
            endpoint.running -= 1;
            const type = endpoint.isGone ? "lost" : answer === "failed" ? "failed" : "answered";
            if (isTarget && answer !== "good" && !endpoint.isGone) {
                bad += 1;
                fiftiethBadMs ??= bad === 50 ? nowMs : undefined;
            }
            host.recordResult(route.name, endpoint.softwareVersion, {
                type,
                endpointId: endpoint.endpointId,
                durationMs: takenMs,
            }, nowMs);
        });
    }
}

function createEndpoint(endpointId: string, softwareVersion: string): Endpoint {
    return { endpointId, softwareVersion, running: 0, isGone: false };
}
