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
import { BackupHolder, BackupSender } from "./backup.js";
import type { BackedUpAnswer, HeldCopy } from "./backup.js";
import { findTaskContext } from "./context.js";
import type { StreamTaskContext } from "./context.js";
import { streamEvents as events } from "./event.js";
import { AnswerReader } from "./reader.js";
import { EngineReclaims } from "./reclaim.js";
import { createModelRequestId } from "./request.js";
import type { ModelRequest } from "./request.js";
import { AnswerStore } from "./store.js";
import { StreamTask } from "./task.js";
import { backupTopic, readTopic } from "./topic.js";

const maximumEndedAnswers = 5_000;
const defaultRetentionMs = 60_000;
const maximumCopyCharacters = 48_000_000;
const drainPollMs = 50;
/** Kept back from the drain's deadline for the hand-over of what is still in progress. */
const handOverReserveMs = 1_000;
/** Assumed until an engine reported its rate. */
const minimumFirstTokenMs = 20;

type AnswerOutcome = { readonly ok: true; readonly value: Answer; } | { readonly ok: false; readonly issue: CallerIssue; };

/** Answers of model requests: accepts, generates, copies to a backup host, finds and hands over. Registered as `streams`. */
export class StreamService implements Service {
    readonly #kernel: Kernel;
    readonly #settings: Settings;
    readonly #configuration: ConfigurationService;
    readonly #membership: MembershipService;
    readonly #peers: PeerNetwork;
    readonly #store: AnswerStore;
    readonly #sender: BackupSender;
    readonly #holder = new BackupHolder({ maximumCharacters: maximumCopyCharacters });
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
        this.#taskContext = findTaskContext(this.#kernel, this.#settings.timing.stallTimeoutMs);
        new EngineReclaims(this.#taskContext, this.#kernel.get<Directory>("directory"), () => this.#tasks.values()).start();
        this.#peers.handle(backupTopic, body => {
            const unknown = body.copies.filter(copy => !this.#holder.take(copy)).map(copy => copy.requestId);
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
                    this.#local(brandAs<RequestId>(body.requestId), body.adopt),
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

    /** Accepts a request and starts its answer; a refusal means that nothing was run. */
    async accept(customer: Customer, request: ModelRequest, span: Span): Promise<AnswerOutcome> {
        if (!this.#configuration.current().models.some(model => model.name === request.model)) {
            return {
                ok: false,
                issue: notExecutedIssue(404, "caller.notFound", `There is no model '${request.model}'.`, {
                    path: ["body", "model"],
                }),
            };
        }
        const seedId = createModelRequestId(this.#membership.self().hostId, undefined);
        const backup = this.#chooseBackup(seedId);
        const requestId = createModelRequestId(this.#membership.self().hostId, backup);
        const customerId = brandAs<CustomerId>(customer.name);
        const prompt = hashPrefixBlocks(request.messages);
        const admitted = await this.#kernel.get<AdmissionControl>("admission").admit({
            requestId,
            model: request.model,
            customer: customerId,
            priority: request.priority,
            deadlineAt: request.deadlineAt,
            expectedFirstTokenMs: this.#expectFirstTokenMs(request.model, prompt),
        });
        if (!admitted.ok) {
            this.#metrics().increment("requests.refused");
            return admitted;
        }
        this.#metrics().increment("requests.accepted");
        this.#kernel.get<RetryBudgets>("retries").recordRequest(customer.name, request.model);
        const answer = new Answer({ requestId, customer: customerId, model: request.model });
        const task = this.#begin({ answer, request, prompt }, span);
        void answer.ended().then(() => this.#kernel.get<AdmissionControl>("admission").finish(request.model, requestId));
        if (backup !== undefined) {
            await this.#sender.begin(backup, task.source);
        }
        this.#run(task, undefined);
        return { ok: true, value: answer };
    }

    /** Finds an answer on any host, for the customer that asked for it only. */
    async find(requestId: RequestId, customer: CustomerId): Promise<AnswerOutcome> {
        const local = this.#local(requestId, false);
        if (local !== undefined && local.state.type !== "moved") {
            return local.customer === customer ? { ok: true, value: local } : { ok: false, issue: unknownRequest(requestId) };
        }
        const found = await this.#reader.read(requestId, customer, () => this.#local(requestId, true));
        return found === undefined ? { ok: false, issue: unknownRequest(requestId) } : { ok: true, value: found };
    }

    /** Waits until all answers have ended; hands over what is left shortly before the deadline (monotonic milliseconds). */
    async drain(deadline: () => number): Promise<void> {
        const { clock, log } = this.#kernel;
        while (this.#store.running > 0 && clock.monotonicMs() < deadline() - handOverReserveMs) {
            await clock.sleep(drainPollMs);
        }
        const left = this.#store.inProgress();
        if (left.length === 0) {
            return;
        }
        const taken = await this.#sender.handOver(left);
        for (const answer of left.filter(candidate => taken.has(candidate.requestId))) {
            this.#tasks.get(answer.requestId)?.stop();
            answer.end({ type: "moved" });
        }
        log.write(taken.size === left.length ? events.handedOver : events.notHandedOver, {
            answers: left.length,
            taken: taken.size,
        });
    }

    // The answer as this host has it. With `adopt`, an answer that this host only holds a copy of is continued here.
    #local(requestId: RequestId, adopt: boolean): Answer | undefined {
        return this.#store.get(requestId) ?? (adopt ? this.#adopt(requestId) : undefined);
    }

    #adopt(requestId: RequestId): Answer | undefined {
        const held = this.#holder.release(requestId);
        if (held === undefined) {
            return this.#store.get(requestId);
        }
        this.#kernel.log.write(events.adopted, { requestId, offset: held.tokens.length });
        this.#metrics().increment("streams.adopted");
        const answer = new Answer({ requestId, customer: held.customer, model: held.request.model }, held.tokens);
        if (held.end !== undefined && held.end.type !== "moved") {
            this.#store.add(answer);
            answer.end(held.end);
            return answer;
        }
        this.#continue(answer, held);
        return answer;
    }

    #continue(answer: Answer, held: HeldCopy): void {
        const tracing = this.#kernel.get<Tracing>("tracing");
        const span = tracing.startSpan("backup", tracing.extract(undefined), { requestId: answer.requestId });
        const prompt = hashPrefixBlocks(held.request.messages);
        const task = this.#begin({ answer, request: held.request, prompt }, span);
        const next = this.#chooseBackup(answer.requestId);
        if (next !== undefined) {
            void this.#sender.begin(next, task.source);
        }
        this.#run(task, held.engineAddress);
        void answer.ended().then(() => span.end());
    }

    #begin(source: BackedUpAnswer, span: Span): StreamTask {
        const { answer } = source;
        const context = this.#taskContext;
        if (context === undefined) {
            throw new Error("The stream service takes requests before it started.");
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

    // A host in another failure domain, the same for every reader that has to search.
    #chooseBackup(requestId: RequestId): HostId | undefined {
        const self = this.#membership.self();
        const alive = this.#membership.members().filter(member => member.state === "alive" && member.hostId !== self.hostId);
        const elsewhere = alive.filter(member => member.failureDomain !== self.failureDomain);
        return rankByRendezvous(requestId, elsewhere.length > 0 ? elsewhere : alive, member => member.hostId)[0]?.hostId;
    }

    #expectFirstTokenMs(model: string, prompt: PromptBlocks): number {
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
