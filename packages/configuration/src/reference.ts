import type { Issue } from "@filbertrelay/kernel";
import * as z from "zod";

const namedSchema = z.object({ name: z.string() }).catch({ name: "" });
const lenientSchema = z.object({
    failureDomains: z.array(z.string().catch("")).catch([]),
    callers: z.array(namedSchema).catch([]),
    customers: z.array(
        z.object({
            name: z.string().catch(""),
            caller: z.string().catch(""),
            keyHashes: z.array(z.string().catch("")).catch([]),
        }).catch({ name: "", caller: "", keyHashes: [] }),
    ).catch([]),
    operatorKeyHashes: z.array(z.string().catch("")).catch([]),
    models: z.array(namedSchema).catch([]),
    services: z.array(
        z.object({
            name: z.string().catch(""),
            operations: z.array(
                z.object({ name: z.string().catch(""), method: z.string().catch(""), path: z.string().catch("") })
                    .catch({ name: "", method: "", path: "" }),
            ).catch([]),
        }).catch({ name: "", operations: [] }),
    ).catch([]),
    hostClasses: z.array(
        z.object({ name: z.string().catch(""), prices: z.record(z.string(), z.unknown()).catch({}) })
            .catch({ name: "", prices: {} }),
    ).catch([]),
});

type LenientAnswers = z.infer<typeof lenientSchema>;
type Path = readonly (string | number)[];

/**
 * Finds duplicate names and references to names that do not exist. Malformed parts are skipped, so that these
 * errors are reported together with those of the schema instead of on a second attempt.
 */
export function findReferenceIssues(document: unknown): readonly Issue[] {
    const lenient = lenientSchema.safeParse(document);
    return lenient.success ? [...findDuplicates(lenient.data), ...findUnknownNames(lenient.data)] : [];
}

function findDuplicates(answers: LenientAnswers): Issue[] {
    const names = (list: readonly { name: string; }[]) => list.map(item => item.name);
    const hashes = answers.customers.flatMap((customer, index) =>
        customer.keyHashes.map((hash, position) => ({ hash, path: ["customers", index, "keyHashes", position] }))
    ).concat(answers.operatorKeyHashes.map((hash, position) => ({ hash, path: ["operatorKeyHashes", position] })));
    return [
        ...findDuplicateValues(answers.failureDomains, index => ["failureDomains", index]),
        ...findDuplicateValues(names(answers.callers), index => ["callers", index, "name"]),
        ...findDuplicateValues(names(answers.customers), index => ["customers", index, "name"]),
        ...findDuplicateValues(names(answers.models), index => ["models", index, "name"]),
        ...findDuplicateValues([...names(answers.services), ...names(answers.models)], index => servedNamePath(answers, index)),
        ...findDuplicateValues(names(answers.hostClasses), index => ["hostClasses", index, "name"]),
        ...findDuplicateValues(hashes.map(entry => entry.hash), index => hashes[index]?.path ?? []),
        ...answers.services.flatMap((service, index) => findOperationDuplicates(service, index)),
    ];
}

// Models and plain services share one namespace, because the host list gives only the name of what an endpoint serves.
function servedNamePath(answers: LenientAnswers, index: number): Path {
    const modelIndex = index - answers.services.length;
    return modelIndex < 0 ? ["services", index, "name"] : ["models", modelIndex, "name"];
}

function findOperationDuplicates(service: LenientAnswers["services"][number], index: number): Issue[] {
    const routes = service.operations.map(operation =>
        operation.path === "" || operation.method === "" ? "" : `${operation.method} ${operation.path}`
    );
    return [
        ...findDuplicateValues(
            service.operations.map(operation => operation.name),
            position => ["services", index, "operations", position, "name"],
        ),
        ...findDuplicateValues(routes, position => ["services", index, "operations", position, "path"]),
    ];
}

function findDuplicateValues(values: readonly string[], pathOf: (index: number) => Path): Issue[] {
    return values.flatMap((value, index) =>
        value !== "" && values.indexOf(value) < index ?
            [{ code: "answers.duplicate", message: `'${value}' is given more than once.`, path: pathOf(index) }] :
            []
    );
}

function findUnknownNames(answers: LenientAnswers): Issue[] {
    const callers = new Set(answers.callers.map(caller => caller.name));
    const domains = new Set(answers.failureDomains);
    const unknownCallers = answers.customers.flatMap((customer, index): Issue[] =>
        customer.caller === "" || callers.has(customer.caller) ?
            [] :
            [{
                code: "answers.unknownName",
                message: `No kind of caller is named '${customer.caller}'.`,
                path: ["customers", index, "caller"],
            }]
    );
    const unknownDomains = answers.hostClasses.flatMap((hostClass, index) =>
        Object.keys(hostClass.prices).filter(domain => !domains.has(domain)).map((domain): Issue => ({
            code: "answers.unknownName",
            message: `No failure domain is named '${domain}'.`,
            path: ["hostClasses", index, "prices", domain],
        }))
    );
    return [...unknownCallers, ...unknownDomains];
}
