import { handleTakeoverWritten } from "./claim.js";
import { flushStore, handleRead, handleWritten } from "./commit.js";
import { deliverHeld } from "./delivery.js";
import { drainQueue, expireWaiters, handleQueried, handleSent, submitToOwner } from "./entry.js";
import type { PeerReply, PeerRequest, ShardInput, SubmitInput } from "./message.js";
import { handleSegments, handleSegmentWritten, loadSegments, sealFinished } from "./retention.js";
import { handleRequest } from "./standby.js";
import { cloneState, isServing, wake } from "./state.js";
import type { ShardState, Step, StepResult, TimedInput } from "./state.js";
import { advance, continueTakeover, handleHosts, handleTakeoverRead, handleTakeoverReply, startTakeover } from "./takeover.js";
import { holderKey, holderSetOf, isNewerSet, isSameHolder } from "./value.js";
import type { Holder, HolderSet } from "./value.js";
import { completeChange, flushWitness, handleCopied, handleHolders, requiredStandbys } from "./witness.js";

/** The shard state machine: all safety decisions about a shard in one process. The given state is not changed. */
export function stepShard(previous: ShardState, { input, nowMs }: TimedInput): StepResult {
    const state = cloneState(previous);
    state.counter += 1;
    state.nowMs = Math.max(state.nowMs, nowMs);
    const step: Step = { state, effects: [] };
    dispatch(step, input);
    proceed(step);
    return { state, effects: step.effects };
}

function dispatch(step: Step, input: ShardInput): void {
    const { state } = step;
    switch (input.type) {
        case "submit":
            return submit(step, input);
        case "members":
            state.members = input.members;
            return;
        case "acquire":
            return startTakeover(step, input.force);
        case "leave":
            state.isLeaving = true;
            return;
        case "timer":
            return;
        case "read":
            return read(step, input);
        case "written":
            return written(step, input);
        case "segments":
            return state.owner && handleSegments(step, state.owner, input.keys);
        case "segmentWritten":
            return state.owner && handleSegmentWritten(step, state.owner, input.keys, input.ok);
        case "request":
            return handleRequest(step, input.to, input.request);
        case "called":
            return called(step, input.to, input.request, input.reply);
        case "proof":
            return proof(step, input);
        case "hosts":
            return state.takeover && handleHosts(step, state.takeover, input.hosts);
        case "sent":
            return handleSent(step, input.intent, input.outcome);
        case "queried":
            return handleQueried(step, input.key, input.response);
    }
}

function submit(step: Step, input: SubmitInput): void {
    const { state } = step;
    if (state.owner !== undefined && isServing(state.owner)) {
        submitToOwner(step, state.owner, input, state.counter);
        return;
    }
    if (state.owner?.successor !== undefined || (state.owner === undefined && state.isLeaving)) {
        step.effects.push({
            type: "answer",
            call: input.call,
            answer: { ok: false, code: "shard.notOwned", executed: "unknown" },
        });
        return;
    }
    state.queued = [...state.queued, { input, arrival: state.counter }];
    wake(step, input.deadlineMs);
    startTakeover(step, false);
}

function read(step: Step, input: Extract<ShardInput, { type: "read"; }>): void {
    const { owner, takeover } = step.state;
    if (owner?.readIssued !== undefined) {
        handleRead(step, owner, input.result);
    }
    else if (takeover !== undefined) {
        handleTakeoverRead(step, takeover, input.result);
    }
    else if (typeof input.result !== "string") {
        noteSet(step.state, input.result.value);
    }
}

function noteSet(state: ShardState, set: HolderSet): void {
    if (state.known === undefined || isNewerSet(set, state.known)) {
        state.known = holderSetOf(set);
    }
}

function written(step: Step, input: Extract<ShardInput, { type: "written"; }>): void {
    const { owner, takeover } = step.state;
    if (takeover !== undefined) {
        handleTakeoverWritten(step, takeover, input.token, input.result);
    }
    else if (owner !== undefined) {
        handleWritten(step, owner, input.token, input.result);
    }
}

function called(step: Step, to: Holder, request: PeerRequest, reply: PeerReply | undefined): void {
    const { owner, takeover } = step.state;
    switch (request.type) {
        case "copy":
            return owner && handleCopied(step, owner, to, request, reply);
        case "holders":
            return owner && handleHolders(step, owner, to, request.set, reply);
        case "promise":
        case "release":
        case "query":
            return takeover && handleTakeoverReply(step, takeover, to, request, reply);
        case "activate":
            return activated(step, to, reply);
        case "settle":
            return settled(step, request, reply);
    }
}

function activated(step: Step, to: Holder, reply: PeerReply | undefined): void {
    const set = step.state.activation?.set;
    const isOutdated = set !== undefined && reply?.newest !== undefined && isNewerSet(reply.newest, set);
    const isOver = reply !== undefined && (reply.ok || isOutdated || !isSameHolder(reply.holder, to));
    if (isOver) {
        step.state.activation = undefined;
    }
}

function settled(step: Step, request: Extract<PeerRequest, { type: "settle"; }>, reply: PeerReply | undefined): void {
    const { state } = step;
    if (reply?.ok === true) {
        state.unsettled.delete(request.intent);
    }
    else if (reply?.newest !== undefined) {
        noteSet(state, reply.newest);
    }
    else if (state.owner === undefined && state.takeover === undefined) {
        step.effects.push({ type: "read" });
    }
}

function proof(step: Step, input: Extract<ShardInput, { type: "proof"; }>): void {
    const { state } = step;
    if (!input.terminated) {
        return;
    }
    const holders = [
        ...state.takeover?.required ?? [],
        ...state.takeover?.sets.map(set => set.owner) ?? [],
        ...state.owner === undefined ? [] : requiredStandbys(state.owner),
        ...state.owner?.holderChange?.needed ?? [],
    ];
    holders.filter(holder => holder.host === input.host).forEach(holder => state.gone.add(holderKey(holder)));
    if (state.takeover !== undefined) {
        advance(step, state.takeover);
    }
    if (state.owner !== undefined) {
        completeChange(step, state.owner);
    }
}

function proceed(step: Step): void {
    const { state } = step;
    expireWaiters(step);
    if (state.owner !== undefined) {
        drainQueue(step);
        loadSegments(step, state.owner);
        sealFinished(step, state.owner);
        flushStore(step, state.owner);
        flushWitness(step, state.owner);
    }
    else if (state.takeover !== undefined) {
        continueTakeover(step, state.takeover);
    }
    retryActivation(step);
    settleResults(step);
    deliverHeld(step);
}

function retryActivation(step: Step): void {
    const { state } = step;
    const { activation } = state;
    if (activation === undefined || activation.retryAtMs > state.nowMs) {
        return;
    }
    const retryAtMs = state.nowMs + state.options.retryMs;
    state.activation = { ...activation, retryAtMs };
    wake(step, retryAtMs);
    step.effects.push({ type: "call", to: activation.set.owner, request: { type: "activate", set: activation.set } });
}

/** Reports results of a former owner's sends to the present owner until it acknowledges them. */
function settleResults(step: Step): void {
    const { state } = step;
    if (state.owner !== undefined) {
        settleLocally(step);
        return;
    }
    const owner = state.known?.owner;
    if (owner === undefined || isSameHolder(owner, state.options.self)) {
        return;
    }
    for (const [intent, { request, retryAtMs }] of state.unsettled) {
        if (retryAtMs <= state.nowMs) {
            const nextMs = state.nowMs + state.options.retryMs;
            state.unsettled.set(intent, { request, retryAtMs: nextMs });
            wake(step, nextMs);
            step.effects.push({ type: "call", to: owner, request });
        }
    }
}

function settleLocally(step: Step): void {
    const { state } = step;
    for (const { request } of state.unsettled.values()) {
        const effects: Step["effects"] = [];
        handleRequest({ state, effects }, state.options.self, request);
        step.effects.push(...effects.filter(effect => effect.type !== "reply"));
    }
    state.unsettled = new Map();
}
