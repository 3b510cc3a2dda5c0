import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy/ingress";
import { createRandom } from "./random.js";

/** A run of hosts that share engines, of which some start while callers send requests. */
export interface PaceDay {
    readonly hosts: number;
    /** How long hosts know of each other's requests only what they knew before. */
    readonly exchangeMs: number;
    readonly warmEngines: number;
    readonly startingEngines: number;
    /** Share of the warm engines' time that callers ask for. */
    readonly load: number;
    /** How many times longer a starting engine takes for its first requests. */
    readonly coldFactor: number;
    /** How long the starting engines live; without end if absent. */
    readonly livesMs?: number;
    readonly isPaced: boolean;
    readonly seed: number;
}

/** What callers got from the engines that started. */
export interface PaceResult {
    /** Requests that the starting engines answered, and those of them that took longer than the objective. */
    readonly answered: number;
    readonly late: number;
    /** Requests that any engine answered later than the objective, from the start of the engines on. */
    readonly lateAnywhere: number;
    /** Most requests in progress at one starting engine in the first second. */
    readonly mostAtStart: number;
    /** Requests that were lost because their engine ended. */
    readonly lost: number;
    /** Milliseconds until a starting engine got half of what a warm one gets in the same time; infinite if never. */
    readonly halfShareMs: number;
    readonly requests: number;
}

interface Engine {
    readonly record: policy.PacedEndpoint;
    readonly isStarting: boolean;
    freeAtMs: number;
    answers: number;
    readonly sentMs: number[];
    readonly endsMs: number[];
}

const capacity = 16;
const promptTokens = 4_000;
const tokenMs = 0.025;
const workMs = promptTokens * tokenMs;
const objectiveMs = 800;
/** Requests that an engine answers before its cache and its code are warm. */
const coldRequests = 8;
const dayMs = 8_000;
const startMs = 2_000;
const stepMs = 5;
const shareSpanMs = 1_000;

/** Plays a day; engines compute one prompt at a time. */
export function playPaceDay(day: PaceDay): PaceResult {
    const random = createRandom(day.seed);
    const hostIds = Array.from({ length: day.hosts }, (_, index) => brandAs<HostId>(`host-${index}`));
    const hosts = hostIds.map(hostId => ({
        hostId,
        loads: policy.createLoadTracker(),
        paces: policy.createEndpointPaces({ hostId, listHosts: () => hostIds, onChange: () => undefined }),
    }));
    const engines = Array.from({ length: day.warmEngines + day.startingEngines }, (_, index): Engine => ({
        record: { endpointId: brandAs<EndpointId>(`engine-${index}`), startedAtMs: index, capacity },
        isStarting: index >= day.warmEngines,
        freeAtMs: 0,
        answers: 0,
        sentMs: [],
        endsMs: [],
    }));
    const pending: { readonly atMs: number; readonly run: (nowMs: number) => void; }[] = [];
    const diesAtMs = startMs + (day.livesMs ?? Infinity);
    const totals = { answered: 0, late: 0, lateAnywhere: 0, lost: 0, mostAtStart: 0, requests: 0 };
    let untilArrivalMs = 0;
    for (let nowMs = 0; nowMs < dayMs; nowMs += stepMs) {
        for (const due of pending.filter(({ atMs }) => atMs > nowMs - stepMs && atMs <= nowMs)) {
            due.run(nowMs);
        }
        if (nowMs === startMs && day.isPaced) {
            hosts.forEach(({ paces }) =>
                engines.filter(engine => engine.isStarting).forEach(({ record }) => paces.start(record, nowMs))
            );
        }
        if (nowMs % day.exchangeMs === 0) {
            exchange(nowMs);
        }
        for (
            untilArrivalMs -= stepMs;
            untilArrivalMs <= 0;
            untilArrivalMs += 2 * random() * workMs / (day.load * Math.max(1, day.warmEngines))
        ) {
            send(nowMs);
        }
        for (const engine of engines.filter(({ isStarting }) => isStarting && nowMs < startMs + shareSpanMs)) {
            totals.mostAtStart = Math.max(totals.mostAtStart, engine.endsMs.filter(endMs => endMs > nowMs).length);
        }
    }
    return { ...totals, halfShareMs: findHalfShare() };

    function isRunning({ isStarting }: Engine, nowMs: number): boolean {
        return !isStarting || (nowMs >= startMs && nowMs < diesAtMs);
    }

    function exchange(nowMs: number): void {
        const reports = hosts.map(({ hostId, loads, paces }) => ({ hostId, use: loads.ownUse(), pace: paces.report(nowMs) }));
        for (const { hostId: self, loads, paces } of hosts) {
            for (const { hostId, use, pace } of reports.filter(report => report.hostId !== self)) {
                loads.recordPeerUse(hostId, use, nowMs);
                paces.merge(pace ?? {}, nowMs, 0);
            }
        }
    }

    function send(nowMs: number): void {
        const { loads, paces } = hosts[Math.floor(random() * hosts.length)]!;
        const requestId = `request-${totals.requests += 1}`;
        const running = engines.filter(engine => isRunning(engine, nowMs));
        const choice = policy.chooseLowestCostEndpoint(
            running.map(({ record }) => ({
                ...record,
                failureDomain: brandAs<FailureDomainId>("domain"),
                isQuarantined: false,
                observe: () => ({
                    load: loads.estimate(record.endpointId, 0, nowMs),
                    cachedTokens: 0,
                    failureRatio: 0,
                    allowance: paces.allowance(record, policy.consideredShare(running.length), nowMs),
                }),
            })),
            {
                parts: [],
                promptTokens,
                requestId,
                tried: new Set(),
                homeDomain: brandAs<FailureDomainId>("domain"),
                tokenMs,
                slotHoldMs: workMs,
                objectiveMs,
                isRepeatable: true,
            },
        );
        const engine = engines.find(({ record }) => record.endpointId === choice?.endpointId);
        if (choice === undefined || engine === undefined) {
            return;
        }
        engine.sentMs.push(nowMs);
        const isCold = engine.isStarting && engine.sentMs.length <= coldRequests;
        engine.freeAtMs = Math.max(engine.freeAtMs, nowMs) + workMs * (isCold ? day.coldFactor : 1);
        engine.endsMs.push(engine.freeAtMs);
        const { endpointId } = engine.record;
        loads.recordDispatch({ requestId, endpointId, priority: 0, tokens: choice.tokensToCompute });
        paces.recordSend(engine.record, nowMs);
        const lostMs = engine.isStarting ? diesAtMs : Infinity;
        pending.push({
            atMs: Math.min(engine.freeAtMs, Math.max(lostMs, nowMs)),
            run: endMs => {
                loads.recordEnd(requestId);
                if (endMs >= lostMs) {
                    totals.lost += 1;
                    return;
                }
                paces.recordAnswer(engine.record, { elapsedMs: endMs - nowMs, objectiveMs }, endMs);
                const isLate = endMs - nowMs > objectiveMs;
                totals.lateAnywhere += Number(isLate && nowMs >= startMs);
                if (engine.isStarting) {
                    totals.answered += 1;
                    totals.late += Number(isLate);
                }
            },
        });
    }

    function findHalfShare(): number {
        const warm = engines.filter(({ isStarting }) => !isStarting);
        const count = ({ sentMs }: Engine, fromMs: number): number =>
            sentMs.filter(atMs => atMs >= fromMs && atMs < fromMs + shareSpanMs).length;
        for (let fromMs = startMs; fromMs + shareSpanMs <= dayMs; fromMs += 100) {
            const usual = warm.reduce((sum, engine) => sum + count(engine, fromMs), 0) / Math.max(1, warm.length);
            const starting = engines.filter(({ isStarting }) => isStarting);
            const least = Math.min(...starting.map(engine => count(engine, fromMs)));
            if (least > 0 && least >= usual / 2) {
                return fromMs + shareSpanMs - startMs;
            }
        }
        return Infinity;
    }
}
