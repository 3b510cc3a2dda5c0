import type { Clock, CustomerId, HostId, RequestId } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import type { PromptBlocks } from "@filbertrelay/policy";
import type { PeerNetwork } from "@filbertrelay/wire";
import type { Answer } from "./answer.js";
import type { ModelRequest } from "./request.js";
import { backupTopic } from "./topic.js";
import type { AnswerCopy } from "./topic.js";

const flushPeriodMs = 100;
const copyTimeoutMs = 1_000;

/** An answer that this host copies to a backup host. */
export interface BackedUpAnswer {
    readonly answer: Answer;
    readonly request: ModelRequest;
    /** Hashed once and used for admission, routing and reclaims. */
    readonly prompt: PromptBlocks;
    /** The engine whose generation can be resumed, if known. */
    engineAddress?: string;
}

interface Progress {
    readonly source: BackedUpAnswer;
    copiedOffset: number;
    isHeadKnown: boolean;
}

/** Sends the progress of answers to their backup hosts, batching all changes for a host into one message. */
export class BackupSender {
    readonly #peers: PeerNetwork;
    readonly #clock: Clock;
    readonly #progress = new Map<HostId, Map<RequestId, Progress>>();
    readonly #flushing = new Set<HostId>();

    constructor(options: { readonly peers: PeerNetwork; readonly clock: Clock; }) {
        this.#peers = options.peers;
        this.#clock = options.clock;
    }

    /** Copies the request to the backup host and keeps it up to date; false when the host did not accept the first copy. */
    async begin(backup: HostId, source: BackedUpAnswer): Promise<boolean> {
        const progress: Progress = { source, copiedOffset: 0, isHeadKnown: false };
        const isAccepted = await this.#send(backup, [progress], false);
        this.#progressOf(backup).set(source.answer.requestId, progress);
        this.#schedule(backup);
        void source.answer.ended().then(() => this.#schedule(backup));
        return isAccepted;
    }

    /** Asks the backup hosts to continue the answers. Returns the request ids that were accepted. */
    async handOver(answers: readonly Answer[]): Promise<ReadonlySet<RequestId>> {
        const requestIds = new Set(answers.map(answer => answer.requestId));
        const accepted = new Set<RequestId>();
        await Promise.all([...this.#progress].map(async ([backup, progress]) => {
            const selected = [...progress.values()].filter(item => requestIds.has(item.source.answer.requestId));
            // The second attempt includes the whole request for answers that the backup host did not know.
            if (selected.length > 0 && (await this.#send(backup, selected, true) || await this.#send(backup, selected, true))) {
                selected.forEach(item => accepted.add(item.source.answer.requestId));
            }
        }));
        return accepted;
    }

    #progressOf(backup: HostId): Map<RequestId, Progress> {
        const progress = this.#progress.get(backup) ?? new Map<RequestId, Progress>();
        this.#progress.set(backup, progress);
        return progress;
    }

    #schedule(backup: HostId): void {
        if (!this.#flushing.has(backup)) {
            this.#flushing.add(backup);
            this.#clock.after(flushPeriodMs, () => void this.#flush(backup));
        }
    }

    async #flush(backup: HostId): Promise<void> {
        const progress = this.#progressOf(backup);
        const changed = [...progress.values()].filter(hasUnsentChanges);
        const isAccepted = changed.length === 0 || await this.#send(backup, changed, false);
        this.#flushing.delete(backup);
        for (const [requestId, item] of progress) {
            // The end of an answer is not sent again after a failure, because the caller gets it from this host.
            if (item.source.answer.state.type !== "running" && (!hasUnsentChanges(item) || !isAccepted)) {
                progress.delete(requestId);
            }
        }
        if (progress.size > 0) {
            this.#schedule(backup);
        }
        else {
            this.#progress.delete(backup);
        }
    }

    async #send(backup: HostId, changed: readonly Progress[], adopt: boolean): Promise<boolean> {
        const lengths = changed.map(item => item.source.answer.length);
        const copies = changed.map(toCopy);
        const sent = await this.#peers.call(backup, backupTopic, { copies, adopt }, { timeoutMs: copyTimeoutMs });
        if (!sent.ok) {
            return false;
        }
        const unknown = new Set(sent.value.unknown);
        changed.forEach((item, index) => {
            item.isHeadKnown = !unknown.has(item.source.answer.requestId);
            item.copiedOffset = item.isHeadKnown ? lengths[index] ?? 0 : 0;
        });
        return unknown.size === 0;
    }
}

function hasUnsentChanges(item: Progress): boolean {
    const { answer } = item.source;
    return !item.isHeadKnown || answer.length > item.copiedOffset || answer.state.type !== "running";
}

function toCopy(item: Progress): AnswerCopy {
    const { answer, request, engineAddress } = item.source;
    return {
        requestId: answer.requestId,
        ...(item.isHeadKnown ? {} : { head: { customer: answer.customer, request } }),
        ...(engineAddress === undefined ? {} : { engineAddress }),
        fromOffset: item.copiedOffset,
        tokens: [...answer.tokensFrom(item.copiedOffset)],
        ...(answer.state.type === "running" ? {} : { end: answer.state }),
    };
}

/** A backup copy of another host's answer. */
export interface BackupCopy {
    readonly customer: CustomerId;
    readonly request: ModelRequest;
    readonly tokens: string[];
    engineAddress?: string;
    end?: AnswerCopy["end"];
}

/** Backup copies that this host keeps for other hosts; evicts the oldest when they exceed the memory limit. */
export class BackupStore {
    readonly #copies = new Map<RequestId, BackupCopy>();
    readonly #maximumCharacters: number;
    #characters = 0;

    constructor(options: { readonly maximumCharacters: number; }) {
        this.#maximumCharacters = options.maximumCharacters;
    }

    /** The number of copies stored. */
    get size(): number {
        return this.#copies.size;
    }

    /** Applies a change; false when tokens before it are missing, or when the request is unknown and not included. */
    apply(copy: AnswerCopy): boolean {
        const requestId = brandAs<RequestId>(copy.requestId);
        const stored = this.#copies.get(requestId) ?? this.#create(requestId, copy);
        if (stored === undefined || copy.fromOffset > stored.tokens.length) {
            return false;
        }
        const added = copy.tokens.slice(stored.tokens.length - copy.fromOffset);
        stored.tokens.push(...added);
        this.#characters += countCharacters(added);
        if (copy.engineAddress !== undefined) {
            stored.engineAddress = copy.engineAddress;
        }
        if (copy.end !== undefined) {
            stored.end = copy.end;
        }
        return true;
    }

    /** Removes and returns a copy, because this host continues the answer. */
    release(requestId: RequestId): BackupCopy | undefined {
        const stored = this.#copies.get(requestId);
        if (stored !== undefined) {
            this.#copies.delete(requestId);
            this.#characters -= sizeOf(stored);
        }
        return stored;
    }

    #create(requestId: RequestId, copy: AnswerCopy): BackupCopy | undefined {
        if (copy.head === undefined) {
            return undefined;
        }
        const stored: BackupCopy = { customer: brandAs<CustomerId>(copy.head.customer), request: copy.head.request, tokens: [] };
        this.#copies.set(requestId, stored);
        this.#characters += sizeOf(stored);
        for (const oldest of this.#copies.keys()) {
            if (this.#characters <= this.#maximumCharacters || oldest === requestId) {
                break;
            }
            this.release(oldest);
        }
        return stored;
    }
}

function sizeOf(stored: BackupCopy): number {
    return countCharacters(stored.tokens) + countCharacters(stored.request.messages.map(message => message.content));
}

function countCharacters(texts: readonly string[]): number {
    return texts.reduce((sum, text) => sum + text.length, 0);
}
