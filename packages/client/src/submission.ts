import {
    buildHead,
    canonicalJson,
    configurationHeadKey,
    diffConfigurations,
    findTransitionIssues,
    generateConfiguration,
    parseHead,
} from "@filbertrelay/configuration";
import type { Answers, ConfigurationHead, Difference } from "@filbertrelay/configuration";
import type { KeyValueClient, KeyValueIssue } from "@filbertrelay/connectors";
import { failure, success } from "@filbertrelay/kernel";
import type { Clock, Issue, Outcome } from "@filbertrelay/kernel";

/** The head as it was read, with its version in the key-value service; 0 when there is none. */
export interface ReadHead {
    readonly head: ConfigurationHead | undefined;
    readonly storeVersion: number;
}

/** What a submission needs. */
export interface SubmissionOptions {
    readonly keyValue: KeyValueClient;
    readonly clock: Clock;
    readonly answers: Answers;
    /** The head that the operator's decision is based on. */
    readonly base: ReadHead;
    readonly submissionId: string;
    /** How long an uncertain write is read back and repeated. */
    readonly limitMs: number;
}

/** Why a submission is not in effect; with `submission.lost`, `differences` holds what the other submissions changed. */
export interface SubmissionIssue extends Issue {
    readonly code: "submission.lost" | "submission.unreachable" | "submission.invalid";
    readonly issues?: readonly Issue[];
    readonly other?: ConfigurationHead;
    readonly differences?: readonly Difference[];
}

const retryIntervalMs = 300;

/** Reads the present head; a head that can't be parsed is an issue, never taken for an absent one. */
export async function readHead(keyValue: KeyValueClient): Promise<Outcome<ReadHead, SubmissionIssue>> {
    const stored = await keyValue.get(configurationHeadKey, "operator");
    if (!stored.ok) {
        return failure({ code: "submission.unreachable", message: stored.issue.message });
    }
    if (stored.value === undefined) {
        return success({ head: undefined, storeVersion: 0 });
    }
    const head = parseHead(stored.value.value);
    return head.ok ?
        success({ head: head.value, storeVersion: stored.value.version }) :
        failure({ code: "submission.invalid", message: head.issue.message, issues: [head.issue] });
}

/** What the answers would change; `undefined` when there is nothing to write. */
export function planSubmission(answers: Answers, base: ReadHead): Outcome<readonly Difference[] | undefined, SubmissionIssue> {
    const after = generateConfiguration(answers);
    if (base.head === undefined) {
        return success([{ path: [], after }]);
    }
    const issues = findTransitionIssues(base.head.configuration, after);
    if (issues.length > 0) {
        return failure({ code: "submission.invalid", message: "The answers can't follow the present configuration.", issues });
    }
    const differences = diffConfigurations(base.head.configuration, after);
    const isSame = differences.length === 0 && canonicalJson(base.head.answers) === canonicalJson(answers);
    return success(isSame ? undefined : differences);
}

/**
 * Writes the head by compare-and-swap against the base. An uncertain write is read back and recognised by its
 * submission id; it is repeated only against the same base, so it can take effect at most once.
 */
export async function submit(options: SubmissionOptions): Promise<Outcome<ConfigurationHead, SubmissionIssue>> {
    const head = buildHead({
        answers: options.answers,
        version: (options.base.head?.version ?? 0) + 1,
        submissionId: options.submissionId,
        submittedAt: options.clock.now(),
    });
    const endMs = options.clock.monotonicMs() + options.limitMs;
    let message = "The submission was not written.";
    let isUncertain = false;
    do {
        const written = await options.keyValue.compareAndSwap(configurationHeadKey, JSON.stringify(head), {
            expectedVersion: options.base.storeVersion,
            purpose: "operator",
        });
        if (written.ok) {
            return success(head);
        }
        if (isPermanent(written.issue)) {
            return failure({ code: "submission.invalid", message: written.issue.message });
        }
        const settled = await settle(options, head);
        if (settled.ok && settled.value !== undefined) {
            return success(settled.value);
        }
        if (!settled.ok && settled.issue.code !== "submission.unreachable") {
            return settled;
        }
        message = settled.ok ? written.issue.message : settled.issue.message;
        isUncertain ||= written.issue.code === "keyValue.unavailable";
        await options.clock.sleep(retryIntervalMs);
    }
    while (options.clock.monotonicMs() < endMs);
    return failure({
        code: "submission.unreachable",
        message: isUncertain ? `${message} The write may still take effect.` : message,
    });
}

function isPermanent(issue: KeyValueIssue): boolean {
    return issue.code === "keyValue.tooLarge" || issue.code === "keyValue.invalid";
}

/** Reads back after a failed write; `undefined` means that the base is still in place and the write may be repeated. */
async function settle(
    options: SubmissionOptions,
    own: ConfigurationHead,
): Promise<Outcome<ConfigurationHead | undefined, SubmissionIssue>> {
    const present = await readHead(options.keyValue);
    if (!present.ok) {
        return present;
    }
    const { head, storeVersion } = present.value;
    if (head?.submissionId === own.submissionId) {
        return success(head);
    }
    if (storeVersion === options.base.storeVersion) {
        return success(undefined);
    }
    return head === undefined ?
        failure({ code: "submission.invalid", message: "The configuration head was removed during the submission." }) :
        lost(options.base, own, head);
}

/**
 * Describes what the other submissions changed. Heads follow each other by one version, so a present version right
 * above the base proves that this submission was never written; a later one leaves that open.
 */
export function lost(base: ReadHead, own: ConfigurationHead, other: ConfigurationHead): Outcome<never, SubmissionIssue> {
    const before = base.head?.configuration;
    const differences = before === undefined ?
        [{ path: [], after: other.configuration }] :
        diffConfigurations(before, other.configuration);
    const isOpen = other.version > own.version;
    return failure({
        code: "submission.lost",
        message: isOpen ?
            `Version ${other.version} was written by other submissions; this one is not in effect, but may have been for a moment.` :
            `Version ${other.version} was written by another submission at the same time; this one was not written.`,
        other,
        differences,
    });
}
