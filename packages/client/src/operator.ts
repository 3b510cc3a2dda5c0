import { failure, success } from "@filbertrelay/kernel";
import type { Issue, Outcome } from "@filbertrelay/kernel";
import { Agent, request } from "undici";
import * as z from "zod";

const memberSchema = z.object({
    hostId: z.string(),
    failureDomain: z.string(),
    state: z.enum(["alive", "suspect", "leaving", "dead"]),
    callerAddress: z.string(),
});

/** One entry of a shard as a daemon reports it. */
export const entrySchema = z.object({
    requestId: z.string(),
    customer: z.string(),
    service: z.string(),
    operation: z.string(),
    state: z.enum(["accepted", "intent", "done", "notRun", "unknown"]),
    since: z.string(),
});

/** A daemon's answer to `GET /v1/status`. */
export const statusSchema = z.object({
    host: z.object({ id: z.string(), incarnation: z.string(), failureDomain: z.string(), state: z.string() }),
    members: z.array(memberSchema),
    configuration: z.object({ version: z.int(), digest: z.string() }).optional(),
    versions: z.array(z.object({ hostId: z.string(), version: z.int() })),
    shards: z.array(z.object({ shard: z.int(), epoch: z.int(), mode: z.string() })),
    entries: z.array(entrySchema),
    keyValue: z.looseObject({}),
    counters: z.record(z.string(), z.number()),
});

/** The state of the fleet as one daemon knows it. */
export type DaemonStatus = z.infer<typeof statusSchema>;

/** Why a daemon gave no answer that can be used. */
export interface OperatorIssue extends Issue {
    readonly code: "daemon.unreachable" | "daemon.unauthorized" | "daemon.notFound" | "daemon.invalid";
}

/** Options of `createOperatorClient`. */
export interface OperatorClientOptions {
    readonly operatorKey: string;
    readonly timeoutMs?: number;
}

/** Calls the operators' paths of daemons. */
export interface OperatorClient {
    status(address: string): Promise<Outcome<DaemonStatus, OperatorIssue>>;
    explain(address: string, requestId: string): Promise<Outcome<unknown, OperatorIssue>>;
    drain(address: string): Promise<Outcome<undefined, OperatorIssue>>;
    close(): Promise<void>;
}

const defaultTimeoutMs = 5_000;

/** Creates a client of the daemons' operator paths. */
export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
    const agent = new Agent({ connect: { timeout: options.timeoutMs ?? defaultTimeoutMs } });
    const call = (method: "GET" | "POST", address: string, path: string) =>
        callDaemon({ ...options, agent, method, address, path });
    return {
        status: async address => {
            const reply = await call("GET", address, "/v1/status");
            return reply.ok ? readStatus(address, reply.value) : reply;
        },
        explain: (address, requestId) => call("GET", address, `/v1/explain/${encodeURIComponent(requestId)}`),
        drain: async address => {
            const reply = await call("POST", address, "/v1/drain");
            return reply.ok ? success(undefined) : reply;
        },
        close: () => agent.destroy(),
    };
}

interface DaemonCall extends OperatorClientOptions {
    readonly agent: Agent;
    readonly method: "GET" | "POST";
    readonly address: string;
    readonly path: string;
}

async function callDaemon(call: DaemonCall): Promise<Outcome<unknown, OperatorIssue>> {
    try {
        const response = await request(`http://${call.address}${call.path}`, {
            method: call.method,
            dispatcher: call.agent,
            headers: { authorization: `Bearer ${call.operatorKey}` },
            signal: AbortSignal.timeout(call.timeoutMs ?? defaultTimeoutMs),
        });
        const text = await response.body.text();
        return response.statusCode < 300 ? readJson(call, text) : refused(call, response.statusCode);
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return failure({ code: "daemon.unreachable", message: `The daemon at ${call.address} gave no answer: ${reason}` });
    }
}

function readJson(call: DaemonCall, text: string): Outcome<unknown, OperatorIssue> {
    try {
        return success(text === "" ? undefined : JSON.parse(text));
    }
    catch {
        return failure({
            code: "daemon.invalid",
            message: `The daemon at ${call.address} answered '${call.path}' with invalid JSON.`,
        });
    }
}

function refused(call: DaemonCall, status: number): Outcome<never, OperatorIssue> {
    if (status === 401 || status === 403) {
        return failure({ code: "daemon.unauthorized", message: `The daemon at ${call.address} refused the operator key.` });
    }
    return failure({
        code: status === 404 ? "daemon.notFound" : "daemon.invalid",
        message: `The daemon at ${call.address} answered '${call.path}' with status ${status}.`,
    });
}

function readStatus(address: string, value: unknown): Outcome<DaemonStatus, OperatorIssue> {
    const checked = statusSchema.safeParse(value);
    if (checked.success) {
        return success(checked.data);
    }
    const first = checked.error.issues[0];
    return failure({
        code: "daemon.invalid",
        message: `The status of the daemon at ${address} has an unexpected form: ${first?.message ?? "no details"}`,
        path: (first?.path ?? []).map(part => typeof part === "symbol" ? String(part) : part),
    });
}
