import type { EndpointId, HostId } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { planEngineReclaim, prefixBlockTokens } from "@filbertrelay/policy";
import type { ReclaimStep } from "@filbertrelay/policy";
import type { Directory } from "../directory/directory.js";
import type { EngineChoice } from "../routing/router.js";
import type { StreamTaskContext } from "./context.js";
import { streamEvents as events } from "./event.js";
import type { StreamTask } from "./task.js";

const moveOverheadMs = 50;
const moveTokensPerSecond = 50_000;
/** Assumed time per remaining token. */
const tokenPeriodMs = 30;
const reserveMs = 1_000;

/** Moves the streams off engines whose hosts are reclaimed, with or without their KV cache. */
export class EngineReclaimHandler {
    readonly #context: StreamTaskContext;
    readonly #directory: Directory;
    readonly #tasks: () => Iterable<StreamTask>;

    constructor(context: StreamTaskContext, directory: Directory, tasks: () => Iterable<StreamTask>) {
        this.#context = context;
        this.#directory = directory;
        this.#tasks = tasks;
    }

    start(): void {
        this.#directory.onReclaim((hostId, terminatesAt) => void this.#reclaim(hostId, terminatesAt));
    }

    async #reclaim(hostId: HostId, terminatesAt: Date): Promise<void> {
        const { kernel, router } = this.#context;
        const affected = new Map(
            [...this.#tasks()].filter(task => task.engine?.hostId === hostId).map(
                task => [task.source.answer.requestId as string, task],
            ),
        );
        const first = [...affected.values()][0];
        if (first?.engine === undefined) {
            return;
        }
        const endpointId = brandAs<EndpointId>(first.engine.endpointId);
        const targets = new Map([...affected].map(([requestId, task]) => [requestId, this.#chooseTarget(task, endpointId)]));
        const plan = planEngineReclaim(
            [...affected].map(([requestId, task]) =>
                toReclaimInput(requestId, task, this.#cachedTokens(task, targets.get(requestId)))
            ),
            {
                noticeMs: terminatesAt.getTime() - kernel.clock.now().getTime(),
                reserveMs,
                moveOverheadMs,
                moveTokensPerSecond,
                prefillTokensPerSecond: router.tokensPerSecond(endpointId),
            },
        );
        kernel.log.write(events.engineReclaimed, { endpoint: endpointId, streams: affected.size, ...plan.tokens });
        for (const step of plan.steps) {
            await this.#execute(step, affected.get(step.requestId), targets.get(step.requestId));
        }
    }

    async #execute(step: ReclaimStep, task: StreamTask | undefined, target: EngineChoice | undefined): Promise<void> {
        const engine = task?.engine;
        if (
            task === undefined || engine === undefined || step.action === "finish" || task.source.answer.state.type !== "running"
        ) {
            return;
        }
        const { engines, metrics, explanations } = this.#context;
        const { answer } = task.source;
        if (step.action === "move" && target !== undefined) {
            const moved = await engines.moveCache(engine.address, target.engine.address, answer.requestId);
            metrics.increment(moved.ok ? "tokens.moved" : "streams.moveFailed", moved.ok ? moved.value : 1);
            explanations.add(answer.requestId, "KV cache moved", { to: target.endpointId, ok: moved.ok });
        }
        task.relocate("reclaimed", step.action === "move" ? target?.endpointId : undefined);
    }

    #chooseTarget(task: StreamTask, endpointId: EndpointId): EngineChoice | undefined {
        const chosen = this.#context.router.choose(task.source.request.model, task.source.prompt, {
            excluded: new Set([endpointId]),
            avoidedFailureDomains: new Set(),
        });
        return chosen.ok ? chosen.value : undefined;
    }

    #cachedTokens(task: StreamTask, target: EngineChoice | undefined): number {
        return target === undefined ?
            0 :
            this.#context.router.cachedBlocks(target.endpointId, task.source.prompt) * prefixBlockTokens;
    }
}

function toReclaimInput(
    requestId: string,
    task: StreamTask,
    cachedElsewhereTokens: number,
): Parameters<typeof planEngineReclaim>[0][number] {
    const { answer, request } = task.source;
    return {
        requestId,
        promptTokens: task.source.prompt.promptTokens,
        generatedTokens: answer.length,
        remainingMs: Math.max(0, request.maxTokens - answer.length) * tokenPeriodMs,
        cachedElsewhereTokens,
    };
}
