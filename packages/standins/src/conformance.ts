import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { cloudRules } from "./cloudrule.js";
import { engineRules } from "./enginerule.js";
import { keyValueRules } from "./keyvaluerule.js";
import { faultProxyRules } from "./proxyrule.js";
import type { Rule } from "./rule.js";
import { plainServiceRules } from "./servicerule.js";
import { hostListRules, weightStoreRules } from "./storerule.js";

const rulesByKind = {
    "key-value": keyValueRules,
    "cloud": cloudRules,
    "host-list": hostListRules,
    "weight-store": weightStoreRules,
    "model-engine": engineRules,
    "plain-service": plainServiceRules,
    "fault-proxy": faultProxyRules,
};

const usage =
    "Checks an implementation against the rules of its page in docs/protocols. Exit codes: 0 all kept, 1 a rule is broken, 2 bad usage.";

await yargs(hideBin(process.argv))
    .usage(usage)
    .command(
        "$0 <kind> <url>",
        usage,
        command =>
            command
                .positional("kind", { choices: Object.keys(rulesByKind) as (keyof typeof rulesByKind)[], demandOption: true })
                .positional("url", { type: "string", demandOption: true })
                .option("model", { type: "string", default: "conformance", describe: "Model that the weight store has." })
                .option("model-version", { type: "string", default: "1" })
                .option("deduplicates", { type: "boolean", default: false, describe: "The service deduplicates by key." })
                .option("answers-status", { type: "boolean", default: false, describe: "The service answers the status query." })
                .option("checks-fencing", { type: "boolean", default: false, describe: "Old fencing tokens are refused." })
                .option("without-cache", { type: "boolean", default: false, describe: "The engine has no prefix cache." })
                .option("rules", { type: "string", describe: "Checks only these rules, such as 'K1,K5'." })
                .option("with-orders", { type: "boolean", default: false, describe: "Sends orders to the engine." }),
        async options => {
            const url = options.url.replace(/\/+$/, "");
            process.exitCode = await run(select(rulesByKind[options.kind]({ ...options, url }), options.rules));
        },
    )
    .strict()
    .fail((message, error) => {
        process.stderr.write(`${message ?? String(error)}\n`);
        process.exit(2);
    })
    .parseAsync();
process.exit();

/** Picks rules by id; an id that no rule has is bad usage. */
function select(rules: readonly Rule[], ids: string | undefined): readonly Rule[] {
    const wanted = ids?.split(",");
    const unknown = wanted?.find(id => !rules.some(rule => rule.id === id));
    if (unknown !== undefined) {
        process.stderr.write(`There is no rule '${unknown}', or it is not claimed.\n`);
        process.exit(2);
    }
    return rules.filter(rule => wanted?.includes(rule.id) ?? true);
}

/** Checks rule after rule, because some of them measure what the others would disturb. */
async function run(rules: readonly Rule[]): Promise<number> {
    let failed = 0;
    for (const rule of rules) {
        const fault = await rule.check().then(() => undefined, (error: unknown) => error);
        failed += fault === undefined ? 0 : 1;
        const reason = fault === undefined ?
            "" :
            ` -- ${fault instanceof Error ? fault.message.replaceAll("\n", " ") : String(fault)}`;
        process.stdout.write(`${fault === undefined ? "pass" : "FAIL"} ${rule.id} ${rule.text}${reason}\n`);
    }
    process.stdout.write(`${rules.length - failed} passed, ${failed} failed\n`);
    return failed === 0 ? 0 : 1;
}
