import type { Candidate, PeerRequest, ShardAnswer, ShardEffect, ShardInput, SubmitInput } from "./message.js";
import type { Holder, HolderSet, ShardEntry, ShardValue, VersionedValue } from "./value.js";

/** A safety rule that the model checker can switch off to show that it finds the resulting fault. */
export type RuleName =
    | "allAcknowledgements"
    | "promises"
    | "neverRetryIntent"
    | "proofOfTermination"
    | "intentBeforeSend"
    | "unknownAfterLastResort"
    | "confirmedRefusal"
    | "agreementOfHolders"
    | "survivingStandby"
    | "agreedPromise"
    | "queryAllHosts"
    | "recordedDelivery";

/** Parameters of a shard machine. */
export interface ShardOptions {
    readonly self: Holder;
    readonly shard: number;
    /** Refill interval of the write budget and the longest wait of a batch. */
    readonly batchIntervalMs: number;
    /** Writes that may be made at once after a quiet time. */
    readonly writeBurst: number;
    /** Wait before a failed call is repeated. */
    readonly retryMs: number;
    readonly resultRetentionMs: number;
    readonly keyRetentionMs: number;
    /** Open entries above which new keys are refused. */
    readonly openEntryLimit: number;
    /** Bytes of finished entries above which the oldest are sealed early, which keeps the value under 1 MB. */
    readonly resultBytesLimit: number;
    readonly disabledRules: ReadonlySet<RuleName>;
}

/** A caller that waits for the answer to a key. */
export interface Waiter {
    readonly call: number;
    readonly deadlineMs: number;
    /** The step in which the submission arrived. */
    readonly arrival: number;
}

/** A compare-and-swap whose outcome is not known yet. */
export interface PendingWrite {
    readonly token: string;
    readonly issued: number;
    readonly value: ShardValue;
    readonly isUncertain: boolean;
}

/** What a standby has acknowledged. */
export interface Acknowledgement {
    readonly sequence: number;
    readonly isInFlight: boolean;
    /** The step that sent the last copy which was acknowledged. */
    readonly confirmed: number;
    readonly retryAtMs: number;
}

/** A change of the holder set without the key-value service. */
export interface HolderChange {
    readonly set: HolderSet;
    readonly sequence: number;
    readonly needed: readonly Holder[];
    readonly agreed: ReadonlySet<string>;
    readonly retryAtMs: number;
}

/** The state of an acting owner. */
export interface OwnerState {
    epoch: number;
    change: number;
    standbys: readonly Holder[];
    /** The highest change number proposed or written in this epoch. */
    highestChange: number;
    mode: "store" | "witness";
    version: number;
    sequence: number;
    storedSequence: number;
    /** Entries up to this revision are in the key-value service or at every standby that must acknowledge. */
    recordedSequence: number;
    entries: Map<string, ShardEntry>;
    sealed: Map<string, number>;
    hasSegments: boolean;
    isReadingSegments: boolean;
    isSealing: boolean;
    unknownUntilMs: number;
    write: PendingWrite | undefined;
    /** Standbys of values whose write may still take effect; all of them must acknowledge too. */
    uncertainSets: readonly (readonly Holder[])[];
    /** Standbys that may remember a change which was proposed and dropped; all of them must acknowledge too. */
    droppedStandbys: readonly Holder[];
    acknowledgements: Map<string, Acknowledgement>;
    holderChange: HolderChange | undefined;
    /** The host that the shard is offered to; the offer is never taken back, because it may take effect late. */
    successor: Holder | undefined;
    tokens: number;
    refilledAtMs: number;
    dirtySinceMs: number | undefined;
    readIssued: number | undefined;
    nextReadAtMs: number;
}

/** A takeover in progress. */
export interface Takeover {
    stage: "reading" | "promising" | "listing" | "querying" | "writing";
    base: VersionedValue | undefined;
    /** The holder sets learnt, newest first; any of them may be in force. */
    sets: readonly HolderSet[];
    /** The standbys of every holder set learnt. */
    required: readonly Holder[];
    /** Former owners that were asked to release. */
    asked: readonly string[];
    /** The standbys that promised, with the newest holder set that each had agreed to before. */
    promised: Map<string, HolderSet | undefined>;
    isReleased: boolean;
    copies: Map<string, ShardEntry>;
    /** Answers to the last-resort query by host: the incarnation that answered `no`. */
    answers: Map<string, string>;
    previousAnswers: Map<string, string> | undefined;
    hosts: readonly string[];
    isLastResort: boolean;
    write: PendingWrite | undefined;
    isForced: boolean;
    retryAtMs: number;
}

/** An attempt at an endpoint that this process alone may make. */
export interface Attempt {
    readonly entry: ShardEntry;
    readonly endpointIndex: number;
    readonly deadlineMs: number;
}

/** A result whose callers wait until it is recorded. */
export interface HeldResult {
    readonly intent: string | undefined;
    readonly answer: ShardAnswer;
    /** Set once a caller's deadline has passed: the time at which the result is delivered even if it isn't recorded. */
    readonly deliverAtMs: number | undefined;
}

/** Everything that one process knows about one shard. */
export interface ShardState {
    readonly options: ShardOptions;
    counter: number;
    nowMs: number;
    members: readonly Candidate[];
    isLeaving: boolean;
    /** The newest holder set that this process has seen. */
    known: HolderSet | undefined;
    /** The newest holder set that this process agreed to or took copies for. */
    agreed: HolderSet | undefined;
    /** No copy or holder change of this epoch or an earlier one is accepted any more. */
    promisedEpoch: number;
    /** The epoch whose ownership this process gave up to a successor. */
    releasedEpoch: number;
    copies: Map<string, ShardEntry>;
    handover: Extract<PeerRequest, { type: "holders"; }> | undefined;
    gone: Set<string>;
    owner: OwnerState | undefined;
    takeover: Takeover | undefined;
    queued: readonly { readonly input: SubmitInput; readonly arrival: number; }[];
    waiting: Map<string, readonly Waiter[]>;
    attempts: Map<string, Attempt>;
    /** The delegation that the successor has not acknowledged yet. */
    activation: { readonly set: HolderSet; readonly retryAtMs: number; } | undefined;
    /** Results that the present owner has not acknowledged yet, by intent. */
    unsettled: Map<string, { readonly request: Extract<PeerRequest, { type: "settle"; }>; readonly retryAtMs: number; }>;
    /** Results that are not recorded yet, by key. */
    held: Map<string, HeldResult>;
    /** The last step whose start is proven to precede a moment of undisputed ownership. */
    confirmed: number;
}

/** One step of the machine: the state being changed and the effects so far. */
export interface Step {
    readonly state: ShardState;
    readonly effects: ShardEffect[];
}

/** The result of a step. */
export interface StepResult {
    readonly state: ShardState;
    readonly effects: readonly ShardEffect[];
}

/** An input together with the wall-clock time at which it is handled. */
export interface TimedInput {
    readonly input: ShardInput;
    readonly nowMs: number;
}

/** The state of a process that knows nothing about a shard. */
export function createShardState(options: ShardOptions): ShardState {
    return {
        options,
        counter: 0,
        nowMs: 0,
        members: [],
        isLeaving: false,
        known: undefined,
        agreed: undefined,
        promisedEpoch: 0,
        releasedEpoch: 0,
        copies: new Map(),
        handover: undefined,
        gone: new Set(),
        owner: undefined,
        takeover: undefined,
        queued: [],
        waiting: new Map(),
        attempts: new Map(),
        activation: undefined,
        unsettled: new Map(),
        held: new Map(),
        confirmed: 0,
    };
}

/** Copies a state so that a step can change it without affecting the original. */
export function cloneState(state: ShardState): ShardState {
    return {
        ...state,
        copies: copyMap(state.copies),
        gone: copySet(state.gone),
        owner: state.owner === undefined ? undefined : cloneOwner(state.owner),
        takeover: state.takeover === undefined ? undefined : cloneTakeover(state.takeover),
        waiting: copyMap(state.waiting),
        attempts: copyMap(state.attempts),
        unsettled: copyMap(state.unsettled),
        held: copyMap(state.held),
    };
}

function cloneOwner(owner: OwnerState): OwnerState {
    return {
        ...owner,
        entries: copyMap(owner.entries),
        acknowledgements: copyMap(owner.acknowledgements),
    };
}

function cloneTakeover(takeover: Takeover): Takeover {
    return {
        ...takeover,
        promised: copyMap(takeover.promised),
        copies: copyMap(takeover.copies),
        answers: copyMap(takeover.answers),
    };
}

// Most maps of a state are empty, and copying an empty map through its iterator is slow.
function copyMap<K, V>(map: ReadonlyMap<K, V>): Map<K, V> {
    return map.size === 0 ? new Map<K, V>() : new Map(map);
}

function copySet<T>(set: ReadonlySet<T>): Set<T> {
    return set.size === 0 ? new Set<T>() : new Set(set);
}

/** Tells whether a safety rule is in force; always true outside the model checker. */
export function isInForce(state: ShardState, rule: RuleName): boolean {
    return !state.options.disabledRules.has(rule);
}

/** Tells whether this owner can run new keys. */
export function isServing(owner: OwnerState): boolean {
    return owner.hasSegments && owner.successor === undefined;
}

/** The holder set under which an owner acts. */
export function actingSet(state: ShardState, owner: OwnerState): HolderSet {
    return { epoch: owner.epoch, change: owner.change, owner: state.options.self, standbys: owner.standbys };
}

/** Gives a unique name to the next write or intent of this process. */
export function nextToken(state: ShardState): string {
    state.counter += 1;
    return `${state.options.self.host}/${state.options.self.incarnation}#${state.counter}`;
}

/** Asks for a timer input at the given time. */
export function wake(step: Step, atMs: number): void {
    step.effects.push({ type: "wake", atMs });
}

/** Answers a caller. */
export function answer(step: Step, call: number, value: ShardAnswer): void {
    step.effects.push({ type: "answer", call, answer: value });
}
