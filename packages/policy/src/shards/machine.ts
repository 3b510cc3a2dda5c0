import { handleTakeoverWritten } from "./claim.js";
import { flushStore, handleRead, handleWritten } from "./commit.js";
import { deliverHeldResults } from "./delivery.js";
import { drainQueue, expireWaiters, handleQueried, handleSent, submitToOwner } from "./entry.js";
import type { PeerReply, PeerRequest, ShardInput, SubmitInput } from "./message.js";
import { handleSegments, handleSegmentWritten, loadSegments, sealFinished } from "./retention.js";
import { handleRequest } from "./standby.js";
import { cloneState, isServing, scheduleTimer } from "./state.js";
import type { ShardState, Step, StepResult, TimedInput } from "./state.js";
import {
    advanceTakeover,
    handleHosts,
    handleTakeoverRead,
    handleTakeoverReply,
    retryTakeover,
    startTakeover,
} from "./takeover.js";
import { holderKey, holderSetOf, isNewerSet, isSameHolder } from "./value.js";
import type { Holder, HolderSet } from "./value.js";
import { completeChange, flushWitness, handleAgreementReply, handleCopyReply, requiredStandbys } from "./witness.js";

/** Makes one step of the shard state machine, which makes all safety decisions about a shard. The given state is not modified. */
export function stepShard(previous: ShardState, { input, nowMs }: TimedInput): StepResult {
    const state = cloneState(previous);
    state.counter += 1;
    state.nowMs = Math.max(state.nowMs, nowMs);
    const step: Step = { state, effects: [] };
    dispatch(step, input);
    continueWork(step);
    return { state, effects: step.effects };
}

function dispatch(step: Step, input: ShardInput): void {
    const { state } = step;
    switch (input.type) {
        case "submit":
            return handleSubmit(step, input);
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
            return dispatchRead(step, input);
        case "written":
            return dispatchWritten(step, input);
        case "segments":
            return state.owner && handleSegments(step, state.owner, input.keys);
        case "segmentWritten":
            return state.owner && handleSegmentWritten(step, state.owner, input.keys, input.ok);
        case "request":
            return handleRequest(step, input.to, input.request);
        case "called":
            return dispatchReply(step, input.to, input.request, input.reply);
        case "proof":
            return handleProof(step, input);
        case "hosts":
            return state.takeover && handleHosts(step, state.takeover, input.hosts);
        case "sent":
            return handleSent(step, input.intent, input.outcome);
        case "queried":
            return handleQueried(step, input.key, input.response);
    }
}

function handleSubmit(step: Step, input: SubmitInput): void {
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
    state.queued = [...state.queued, { input, arrivalCounter: state.counter }];
    scheduleTimer(step, input.deadlineMs);
    startTakeover(step, false);
}

function dispatchRead(step: Step, input: Extract<ShardInput, { type: "read"; }>): void {
    const { owner, takeover } = step.state;
    if (owner?.readCounter !== undefined) {
        handleRead(step, owner, input.result);
    }
    else if (takeover !== undefined) {
        handleTakeoverRead(step, takeover, input.result);
    }
    else if (typeof input.result !== "string") {
        recordSet(step.state, input.result.value);
    }
}

function recordSet(state: ShardState, set: HolderSet): void {
    if (state.knownSet === undefined || isNewerSet(set, state.knownSet)) {
        state.knownSet = holderSetOf(set);
    }
}

function dispatchWritten(step: Step, input: Extract<ShardInput, { type: "written"; }>): void {
    const { owner, takeover } = step.state;
    if (takeover !== undefined) {
        handleTakeoverWritten(step, takeover, input.token, input.result);
    }
    else if (owner !== undefined) {
        handleWritten(step, owner, input.token, input.result);
    }
}

function dispatchReply(step: Step, to: Holder, request: PeerRequest, reply: PeerReply | undefined): void {
    const { owner, takeover } = step.state;
    switch (request.type) {
        case "copy":
            return owner && handleCopyReply(step, owner, to, request, reply);
        case "holders":
            return owner && handleAgreementReply(step, owner, to, request.set, reply);
        case "promise":
        case "release":
        case "query":
            return takeover && handleTakeoverReply(step, takeover, to, request, reply);
        case "activate":
            return handleActivateReply(step, to, reply);
        case "settle":
            return handleSettleReply(step, request, reply);
    }
}

function handleActivateReply(step: Step, to: Holder, reply: PeerReply | undefined): void {
    const set = step.state.activation?.set;
    const isOutdated = set !== undefined && reply?.newest !== undefined && isNewerSet(reply.newest, set);
    const isFinished = reply !== undefined && (reply.ok || isOutdated || !isSameHolder(reply.holder, to));
    if (isFinished) {
        step.state.activation = undefined;
    }
}

function handleSettleReply(step: Step, request: Extract<PeerRequest, { type: "settle"; }>, reply: PeerReply | undefined): void {
    const { state } = step;
    if (reply?.ok === true) {
        state.unsettled.delete(request.intent);
    }
    else if (reply?.newest !== undefined) {
        recordSet(state, reply.newest);
    }
    else if (state.owner === undefined && state.takeover === undefined) {
        step.effects.push({ type: "read" });
    }
}

function handleProof(step: Step, input: Extract<ShardInput, { type: "proof"; }>): void {
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
        advanceTakeover(step, state.takeover);
    }
    if (state.owner !== undefined) {
        completeChange(step, state.owner);
    }
}

function continueWork(step: Step): void {
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
        retryTakeover(step, state.takeover);
    }
    retryActivation(step);
    sendSettlements(step);
    deliverHeldResults(step);
}

function retryActivation(step: Step): void {
    const { state } = step;
    const { activation } = state;
    if (activation === undefined || activation.retryAtMs > state.nowMs) {
        return;
    }
    const retryAtMs = state.nowMs + state.options.retryMs;
    state.activation = { ...activation, retryAtMs };
    scheduleTimer(step, retryAtMs);
    step.effects.push({ type: "call", to: activation.set.owner, request: { type: "activate", set: activation.set } });
}

/** Reports outcomes of a former owner's attempts to the current owner until it acknowledges them. */
function sendSettlements(step: Step): void {
    const { state } = step;
    if (state.owner !== undefined) {
        applySettlements(step);
        return;
    }
    const owner = state.knownSet?.owner;
    if (owner === undefined || isSameHolder(owner, state.options.self)) {
        return;
    }
    for (const [intent, { request, retryAtMs }] of state.unsettled) {
        if (retryAtMs <= state.nowMs) {
            const nextMs = state.nowMs + state.options.retryMs;
            state.unsettled.set(intent, { request, retryAtMs: nextMs });
            scheduleTimer(step, nextMs);
            step.effects.push({ type: "call", to: owner, request });
        }
    }
}

function applySettlements(step: Step): void {
    const { state } = step;
    for (const { request } of state.unsettled.values()) {
        const effects: Step["effects"] = [];
        handleRequest({ state, effects }, state.options.self, request);
        step.effects.push(...effects.filter(effect => effect.type !== "reply"));
    }
    state.unsettled = new Map();
}
