import type { Issue, Outcome } from "@filbertrelay/kernel";
import { failure, parseJson, success } from "@filbertrelay/kernel";
import type { Answers } from "./answers.js";
import { configurationHeadSchema } from "./configuration.js";
import type { ConfigurationHead } from "./configuration.js";
import { digestOf } from "./digest.js";
import { generateConfiguration } from "./generation.js";

/** Options of `buildHead`. */
export interface HeadOptions {
    readonly answers: Answers;
    readonly version: number;
    /** Unique per submission. */
    readonly submissionId: string;
    readonly submittedAt: Date;
}

/** Builds the configuration head that a submission stores under `configuration/head`. */
export function buildHead(options: HeadOptions): ConfigurationHead {
    const configuration = generateConfiguration(options.answers);
    return {
        version: options.version,
        submissionId: options.submissionId,
        digest: digestOf(configuration),
        submittedAt: options.submittedAt.toISOString(),
        answers: options.answers,
        configuration,
    };
}

/** Parses a stored head; rejects it if its digest does not match its configuration. */
export function parseHead(text: string): Outcome<ConfigurationHead> {
    const checked = configurationHeadSchema.safeParse(parseJson(text));
    if (!checked.success) {
        const first = checked.error.issues[0];
        return failure({
            code: "head.invalid",
            message: `The stored configuration head is invalid: ${first?.message ?? "no details"}`,
            path: (first?.path ?? []).map(part => typeof part === "symbol" ? String(part) : part),
        });
    }
    const matches = digestOf(checked.data.configuration) === checked.data.digest;
    return matches ?
        success(checked.data) :
        failure({ code: "head.digest", message: "The stored configuration does not match its digest." });
}

/** Finds why a configuration must not replace another; the number of shards changes only with a new shard generation. */
export function findTransitionIssues(
    before: ConfigurationHead["configuration"],
    after: ConfigurationHead["configuration"],
): readonly Issue[] {
    const issues: Issue[] = [];
    if (after.shards.generation < before.shards.generation) {
        issues.push({ code: "answers.generation", message: "'shardGeneration' must not decrease.", path: ["shardGeneration"] });
    }
    if (after.shards.count !== before.shards.count && after.shards.generation <= before.shards.generation) {
        issues.push({
            code: "answers.generation",
            message: `The number of shards changes from ${before.shards.count} to ${after.shards.count}; ` +
                `raise 'shardGeneration' to ${before.shards.generation + 1}.`,
            path: ["keyValue", "writesPerSecond"],
        });
    }
    if (after.deployment !== before.deployment) {
        issues.push({
            code: "answers.deployment",
            message: `The fleet runs the deployment '${before.deployment}', not '${after.deployment}'.`,
            path: ["deployment"],
        });
    }
    return issues;
}
