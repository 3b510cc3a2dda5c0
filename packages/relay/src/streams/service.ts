import type { CustomerId, HostId, Kernel, RequestId, Service } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { hashPrefixBlocks, rankByRendezvous } from "@filbertrelay/policy";
import type { PromptBlocks } from "@filbertrelay/policy";
import type { PeerNetwork } from "@filbertrelay/wire";
import type { Span } from "@opentelemetry/api";
import type { AdmissionControl } from "../admission/admission.js";
import type { Customer } from "../caller/authentication.js";
import { notExecutedIssue } from "../caller/error.js";
import type { CallerIssue } from "../caller/error.js";
import type { RetryBudgets } from "../calls/retry.js";
import type { ConfigurationService, MembershipService } from "../contract.js";
import type { Directory } from "../directory/directory.js";
import type { EngineRouter } from "../routing/router.js";
import type { Settings } from "../settings.js";
import type { Metrics } from "../telemetry/metrics.js";
import type { Tracing } from "../telemetry/tracing.js";
import { Answer } from "./answer.js";
import { BackupSender, BackupStore } from "./backup.js";
import type { BackedUpAnswer, BackupCopy } from "./backup.js";
import { createTaskContext } from "./context.js";
import type { StreamTaskContext } from "./context.js";
import { streamEvents as events } from "./event.js";
import { AnswerReader } from "./reader.js";
import { EngineReclaimHandler } from "./reclaim.js";
import { createModelRequestId } from "./request.js";
import type { ModelRequest } from "./request.js";
import { AnswerStore } from "./store.js";
import { StreamTask } from "./task.js";
import { backupTopic, readTopic } from "./topic.js";

const maximumEndedAnswers = 5_000;
const defaultRetentionMs = 60_000;
const maximumCopyCharacters = 48_000_000;
const drainPollMs = 50;
/** Time reserved before the drain deadline for handing over the answers still in progress. */
const handOverReserveMs = 1_000;
/** Lower bound of the expected time to the first token, used as the estimate until an engine has reported its rate. */
const minimumFirstTokenMs = 20;

type AnswerOutcome = { readonly ok: true; readonly value: Answer; } | { readonly ok: false; readonly issue: CallerIssue; };

/** Accepts model requests, generates their answers, backs them up, finds them and hands them over; registered as `streams`. */
export class StreamService implements Service {
    readonly #kernel: Kernel;
    readonly #settings: Settings;
    readonly #configuration: ConfigurationService;
    readonly #membership: MembershipService;
    readonly #peers: PeerNetwork;
    readonly #store: AnswerStore;
    readonly #sender: BackupSender;
    readonly #backups = new BackupStore({ maximumCharacters: maximumCopyCharacters });
    readonly #reader: AnswerReader;
    readonly #tasks = new Map<RequestId, StreamTask>();
    #taskContext: StreamTaskContext | undefined;

    constructor(kernel: Kernel, settings: Settings) {
        this.#kernel = kernel;
        this.#settings = settings;
        this.#configuration = kernel.get<ConfigurationService>("configuration");
        this.#membership = kernel.get<MembershipService>("membership");
        this.#peers = kernel.get<PeerNetwork>("peers");
        this.#store = new AnswerStore({
            clock: kernel.clock,
            maximumEnded: maximumEndedAnswers,
            retentionMs: () => this.#configuration.head()?.configuration.shards.resultRetentionMs ?? defaultRetentionMs,
        });
        this.#sender = new BackupSender({ peers: this.#peers, clock: kernel.clock });
        this.#reader = new AnswerReader({ peers: this.#peers, membership: this.#membership, clock: kernel.clock });
    }

    start(): Promise<void> {
        this.#taskContext = createTaskContext(this.#kernel, this.#settings.timing.stallTimeoutMs);
        new EngineReclaimHandler(this.#taskContext, this.#kernel.get<Directory>("directory"), () => this.#tasks.values()).start();
        this.#peers.handle(backupTopic, body => {
            const unknown = body.copies.filter(copy => !this.#backups.apply(copy)).map(copy => copy.requestId);
            if (body.adopt) {
                body.copies.filter(copy => !unknown.includes(copy.requestId)).forEach(copy =>
                    this.#adopt(brandAs<RequestId>(copy.requestId))
                );
            }
            return Promise.resolve({ unknown });
        });
        this.#peers.handleStream(
            readTopic,
            body =>
                this.#reader.serve(
                    this.#findLocal(brandAs<RequestId>(body.requestId), body.adopt),
                    brandAs<CustomerId>(body.customer),
                    body.offset,
                ),
        );
        return Promise.resolve();
    }

    /** Answers in progress at this host. */
    openCount(): number {
        return this.#store.running;
    }

    /** Accepts a request and starts generating its answer; a refusal means that nothing was executed. */
    async accept(customer: Customer, request: ModelRequest, span: Span): Promise<AnswerOutcome> {
        if (!this.#configuration.current().models.some(model => model.name === request.model)) {
            return {
                ok: false,
                issue: notExecutedIssue(404, "caller.notFound", `There is no model '${request.model}'.`, {
                    path: ["body", "model"],
                }),
            };
        }
        const rankingId = createModelRequestId(this.#membership.self().hostId, undefined);
        const backup = this.#chooseBackup(rankingId);
        const requestId = createModelRequestId(this.#membership.self().hostId, backup);
        const customerId = brandAs<CustomerId>(customer.name);
        const prompt = hashPrefixBlocks(request.messages);
        const admitted = await this.#kernel.get<AdmissionControl>("admission").admit({
            requestId,
            model: request.model,
            customer: customerId,
            priority: request.priority,
            deadlineAt: request.deadlineAt,
            expectedFirstTokenMs: this.#estimateFirstTokenMs(request.model, prompt),
        });
        if (!admitted.ok) {
            this.#metrics().increment("requests.refused");
            return admitted;
        }
        this.#metrics().increment("requests.accepted");
        this.#kernel.get<RetryBudgets>("retries").recordRequest(customer.name, request.model);
        const answer = new Answer({ requestId, customer: customerId, model: request.model });
        const task = this.#createTask({ answer, request, prompt }, span);
        void answer.ended().then(() => this.#kernel.get<AdmissionControl>("admission").finish(request.model, requestId));
        if (backup !== undefined) {
            await this.#sender.begin(backup, task.source);
        }
        this.#run(task, undefined);
        return { ok: true, value: answer };
    }

    /** Finds an answer on any host, only for the customer that sent the request. */
    async find(requestId: RequestId, customer: CustomerId): Promise<AnswerOutcome> {
        const local = this.#findLocal(requestId, false);
        if (local !== undefined && local.state.type !== "moved") {
            return local.customer === customer ? { ok: true, value: local } : { ok: false, issue: unknownRequest(requestId) };
        }
        const found = await this.#reader.read(requestId, customer, () => this.#findLocal(requestId, true));
        return found === undefined ? { ok: false, issue: unknownRequest(requestId) } : { ok: true, value: found };
    }

    /** Waits until all answers have ended; hands over the remaining ones shortly before the deadline (monotonic milliseconds). */
    async drain(deadline: () => number): Promise<void> {
        const { clock, log } = this.#kernel;
        while (this.#store.running > 0 && clock.monotonicMs() < deadline() - handOverReserveMs) {
            await clock.sleep(drainPollMs);
        }
        const remaining = this.#store.inProgress();
        if (remaining.length === 0) {
            return;
        }
        const taken = await this.#sender.handOver(remaining);
        for (const answer of remaining.filter(candidate => taken.has(candidate.requestId))) {
            this.#tasks.get(answer.requestId)?.stop();
            answer.end({ type: "moved" });
        }
        log.write(taken.size === remaining.length ? events.handedOver : events.notHandedOver, {
            answers: remaining.length,
            taken: taken.size,
        });
    }

    // The answer on this host. With `adopt`, an answer of which this host only has a backup copy is continued here.
    #findLocal(requestId: RequestId, adopt: boolean): Answer | undefined {
        return this.#store.get(requestId) ?? (adopt ? this.#adopt(requestId) : undefined);
    }

    #adopt(requestId: RequestId): Answer | undefined {
        const copy = this.#backups.release(requestId);
        if (copy === undefined) {
            return this.#store.get(requestId);
        }
        this.#kernel.log.write(events.adopted, { requestId, offset: copy.tokens.length });
        this.#metrics().increment("streams.adopted");
        const answer = new Answer({ requestId, customer: copy.customer, model: copy.request.model }, copy.tokens);
        if (copy.end !== undefined && copy.end.type !== "moved") {
            this.#store.add(answer);
            answer.end(copy.end);
            return answer;
        }
        this.#resume(answer, copy);
        return answer;
    }

    #resume(answer: Answer, copy: BackupCopy): void {
        const tracing = this.#kernel.get<Tracing>("tracing");
        const span = tracing.startSpan("backup", tracing.extract(undefined), { requestId: answer.requestId });
        const prompt = hashPrefixBlocks(copy.request.messages);
        const task = this.#createTask({ answer, request: copy.request, prompt }, span);
        const next = this.#chooseBackup(answer.requestId);
        if (next !== undefined) {
            void this.#sender.begin(next, task.source);
        }
        this.#run(task, copy.engineAddress);
        void answer.ended().then(() => span.end());
    }

    #createTask(source: BackedUpAnswer, span: Span): StreamTask {
        const { answer } = source;
        const context = this.#taskContext;
        if (context === undefined) {
            throw new Error("The stream service received a request before it was started.");
        }
        this.#store.add(answer);
        const task = new StreamTask(source, span, context);
        this.#tasks.set(answer.requestId, task);
        void answer.ended().then(() => this.#tasks.delete(answer.requestId));
        return task;
    }

    #run(task: StreamTask, engineAddress: string | undefined): void {
        const startedMs = this.#kernel.clock.monotonicMs();
        const { answer } = task.source;
        const cancel = answer.onChange(() => {
            cancel();
            this.#metrics().timing("firstToken", this.#kernel.clock.monotonicMs() - startedMs, { model: answer.model });
        });
        void task.run(engineAddress === undefined ? undefined : { engineAddress });
    }

    // Prefers another failure domain. Ranks by the request id, as readers do when they search for an answer.
    #chooseBackup(requestId: RequestId): HostId | undefined {
        const self = this.#membership.self();
        const alive = this.#membership.members().filter(member => member.state === "alive" && member.hostId !== self.hostId);
        const elsewhere = alive.filter(member => member.failureDomain !== self.failureDomain);
        return rankByRendezvous(requestId, elsewhere.length > 0 ? elsewhere : alive, member => member.hostId)[0]?.hostId;
    }

    #estimateFirstTokenMs(model: string, prompt: PromptBlocks): number {
        const router = this.#kernel.get<EngineRouter>("routing");
        const chosen = router.choose(model, prompt, { excluded: new Set(), avoidedFailureDomains: new Set() });
        return Math.max(minimumFirstTokenMs, chosen.ok ? chosen.value.routing.explanation[0]?.expectedFirstTokenMs ?? 0 : 0);
    }

    #metrics(): Metrics {
        return this.#kernel.get<Metrics>("metrics");
    }
}

function unknownRequest(requestId: RequestId): CallerIssue {
    return {
        status: 404,
        code: "caller.notFound",
        message: `There is no answer for the request '${requestId}' that this customer may read.`,
        executed: "unknown",
    };
}
