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
    /** Hashed once, for admission, routing and reclaims. */
    readonly prompt: PromptBlocks;
    /** The engine whose generation can be resumed, as far as known. */
    engineAddress?: string;
}

interface Progress {
    readonly source: BackedUpAnswer;
    copiedOffset: number;
    isHeadKnown: boolean;
}

/** Sends the progress of answers to their backup hosts, all changes for one host in one message. */
export class BackupSender {
    readonly #peers: PeerNetwork;
    readonly #clock: Clock;
    readonly #progress = new Map<HostId, Map<RequestId, Progress>>();
    readonly #flushing = new Set<HostId>();

    constructor(options: { readonly peers: PeerNetwork; readonly clock: Clock; }) {
        this.#peers = options.peers;
        this.#clock = options.clock;
    }

    /** Copies the request to the backup host and keeps copying progress; false when the host did not take it. */
    async begin(backup: HostId, source: BackedUpAnswer): Promise<boolean> {
        const progress: Progress = { source, copiedOffset: 0, isHeadKnown: false };
        const isTaken = await this.#send(backup, [progress], false);
        this.#progressOf(backup).set(source.answer.requestId, progress);
        this.#schedule(backup);
        void source.answer.ended().then(() => this.#schedule(backup));
        return isTaken;
    }

    /** Hands answers over: their backup hosts continue them. Gives the ids that were taken. */
    async handOver(answers: readonly Answer[]): Promise<ReadonlySet<RequestId>> {
        const wanted = new Set(answers.map(answer => answer.requestId));
        const taken = new Set<RequestId>();
        await Promise.all([...this.#progress].map(async ([backup, progress]) => {
            const moved = [...progress.values()].filter(item => wanted.has(item.source.answer.requestId));
            // The second attempt carries the whole request for answers that the backup host did not know.
            if (moved.length > 0 && (await this.#send(backup, moved, true) || await this.#send(backup, moved, true))) {
                moved.forEach(item => taken.add(item.source.answer.requestId));
            }
        }));
        return taken;
    }

    #progressOf(backup: HostId): Map<RequestId, Progress> {
        const known = this.#progress.get(backup) ?? new Map<RequestId, Progress>();
        this.#progress.set(backup, known);
        return known;
    }

    #schedule(backup: HostId): void {
        if (!this.#flushing.has(backup)) {
            this.#flushing.add(backup);
            this.#clock.after(flushPeriodMs, () => void this.#flush(backup));
        }
    }

    async #flush(backup: HostId): Promise<void> {
        const progress = this.#progressOf(backup);
        const changed = [...progress.values()].filter(hasNews);
        const isTaken = changed.length === 0 || await this.#send(backup, changed, false);
        this.#flushing.delete(backup);
        for (const [requestId, item] of progress) {
            // An ended answer whose last copy was refused is not sent again: the caller has its end from this host.
            if (item.source.answer.state.type !== "running" && (!hasNews(item) || !isTaken)) {
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

function hasNews(item: Progress): boolean {
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

/** The copy of another host's answer. */
export interface HeldCopy {
    readonly customer: CustomerId;
    readonly request: ModelRequest;
    readonly tokens: string[];
    engineAddress?: string;
    end?: AnswerCopy["end"];
}

/** Copies that this host holds for others; the oldest are dropped when they take too much memory. */
export class BackupHolder {
    readonly #copies = new Map<RequestId, HeldCopy>();
    readonly #maximumCharacters: number;
    #characters = 0;

    constructor(options: { readonly maximumCharacters: number; }) {
        this.#maximumCharacters = options.maximumCharacters;
    }

    /** The number of copies held. */
    get size(): number {
        return this.#copies.size;
    }

    /** Takes a change; false when the request is not known here and the change does not carry it. */
    take(copy: AnswerCopy): boolean {
        const requestId = brandAs<RequestId>(copy.requestId);
        const held = this.#copies.get(requestId) ?? this.#create(requestId, copy);
        if (held === undefined || copy.fromOffset > held.tokens.length) {
            return false;
        }
        const added = copy.tokens.slice(held.tokens.length - copy.fromOffset);
        held.tokens.push(...added);
        this.#characters += countCharacters(added);
        if (copy.engineAddress !== undefined) {
            held.engineAddress = copy.engineAddress;
        }
        if (copy.end !== undefined) {
            held.end = copy.end;
        }
        return true;
    }

    /** Gives a copy and stops holding it, because this host continues the answer. */
    release(requestId: RequestId): HeldCopy | undefined {
        const held = this.#copies.get(requestId);
        if (held !== undefined) {
            this.#copies.delete(requestId);
            this.#characters -= sizeOf(held);
        }
        return held;
    }

    #create(requestId: RequestId, copy: AnswerCopy): HeldCopy | undefined {
        if (copy.head === undefined) {
            return undefined;
        }
        const held: HeldCopy = { customer: brandAs<CustomerId>(copy.head.customer), request: copy.head.request, tokens: [] };
        this.#copies.set(requestId, held);
        this.#characters += sizeOf(held);
        for (const oldest of this.#copies.keys()) {
            if (this.#characters <= this.#maximumCharacters || oldest === requestId) {
                break;
            }
            this.release(oldest);
        }
        return held;
    }
}

function sizeOf(held: HeldCopy): number {
    return countCharacters(held.tokens) + countCharacters(held.request.messages.map(message => message.content));
}

function countCharacters(texts: readonly string[]): number {
    return texts.reduce((sum, text) => sum + text.length, 0);
}
