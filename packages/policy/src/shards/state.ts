import type { Candidate, PeerRequest, ShardEffect, ShardInput, SubmitInput, SubmitResult } from "./message.js";
import type { Holder, HolderSet, ShardEntry, ShardValue, VersionedValue } from "./value.js";

/** A safety rule that can be disabled to verify that the model checker detects the resulting violation. */
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
    /** Refill interval of the write tokens and maximum delay of a batch. */
    readonly batchIntervalMs: number;
    /** Maximum number of accumulated write tokens. */
    readonly writeBurst: number;
    /** Delay before a failed call is retried. */
    readonly retryMs: number;
    readonly resultRetentionMs: number;
    readonly keyRetentionMs: number;
    /** Open entries above which new keys are refused. */
    readonly openEntryLimit: number;
    /** Bytes of finished entries above which the oldest are sealed early to keep the stored value under 1 MB. */
    readonly resultBytesLimit: number;
    readonly disabledRules: ReadonlySet<RuleName>;
}

/** A caller that waits for the result of a key. */
export interface Waiter {
    readonly call: number;
    readonly deadlineMs: number;
    /** The state's counter when the submission arrived. */
    readonly arrivalCounter: number;
}

/** A compare-and-swap whose outcome is not yet known. */
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
    /** The counter at which the last acknowledged copy was sent. */
    readonly confirmedCounter: number;
    readonly retryAtMs: number;
}

/** A proposed change of the holder set without the key-value service. */
export interface HolderChange {
    readonly set: HolderSet;
    readonly sequence: number;
    readonly needed: readonly Holder[];
    readonly agreed: ReadonlySet<string>;
    readonly retryAtMs: number;
}

/** The state of a shard at its owner. */
export interface OwnerState {
    epoch: number;
    change: number;
    standbys: readonly Holder[];
    /** The highest change number proposed or written in this epoch. */
    highestChange: number;
    /** In mode `witness`, used while the key-value service is unreachable, entries are recorded at the standbys. */
    mode: "store" | "witness";
    version: number;
    sequence: number;
    storedSequence: number;
    /** Entries up to this revision are in the key-value service or acknowledged by every required standby. */
    recordedSequence: number;
    entries: Map<string, ShardEntry>;
    sealed: Map<string, number>;
    hasSegments: boolean;
    isReadingSegments: boolean;
    isSealing: boolean;
    unknownUntilMs: number;
    write: PendingWrite | undefined;
    /** Standbys of values whose write may still take effect; all of them must acknowledge copies. */
    uncertainSets: readonly (readonly Holder[])[];
    /** Standbys that may have recorded a cancelled change; all of them must acknowledge copies. */
    droppedStandbys: readonly Holder[];
    acknowledgements: Map<string, Acknowledgement>;
    holderChange: HolderChange | undefined;
    /** The holder to which the shard is being handed over; never reset, because the handover may take effect late. */
    successor: Holder | undefined;
    tokens: number;
    refilledAtMs: number;
    dirtySinceMs: number | undefined;
    readCounter: number | undefined;
    nextReadAtMs: number;
}

/** A takeover in progress. */
export interface Takeover {
    stage: "reading" | "promising" | "listing" | "querying" | "writing";
    base: VersionedValue | undefined;
    /** The known holder sets of the epoch, newest first; any of them may be in effect. */
    sets: readonly HolderSet[];
    /** The standbys of all `sets`. */
    required: readonly Holder[];
    /** Former owners to which `release` was sent. */
    releaseRequested: readonly string[];
    /** The standbys that promised, each with the newest holder set that it had agreed to. */
    promised: Map<string, HolderSet | undefined>;
    isReleased: boolean;
    copies: Map<string, ShardEntry>;
    /** Replies to the last-resort query: the incarnation that replied, by host. */
    answers: Map<string, string>;
    previousAnswers: Map<string, string> | undefined;
    hosts: readonly string[];
    isLastResort: boolean;
    write: PendingWrite | undefined;
    isForced: boolean;
    retryAtMs: number;
}

/** An attempt whose intent this process wrote, so that no other process may make it. */
export interface Attempt {
    readonly entry: ShardEntry;
    readonly endpointIndex: number;
    readonly deadlineMs: number;
}

/** A result that is withheld from its callers until it is recorded. */
export interface HeldResult {
    readonly intent: string | undefined;
    readonly answer: SubmitResult;
    /** Set once a caller's deadline has passed: when to deliver the result even if it isn't recorded. */
    readonly deliverAtMs: number | undefined;
}

/** The state of one shard in one process. */
export interface ShardState {
    readonly options: ShardOptions;
    /** Incremented by each step and token; orders events of this process. */
    counter: number;
    nowMs: number;
    members: readonly Candidate[];
    isLeaving: boolean;
    /** The newest holder set that this process has seen. */
    knownSet: HolderSet | undefined;
    /** The newest holder set that this process agreed to or took copies for. */
    agreed: HolderSet | undefined;
    /** Copies and holder changes of this epoch and earlier ones are rejected. */
    promisedEpoch: number;
    /** The epoch whose ownership this process gave up to a successor. */
    releasedEpoch: number;
    /** Entries that this process holds as a standby, by key. */
    copies: Map<string, ShardEntry>;
    /** The agreed change that makes this process the owner once it is activated. */
    handover: Extract<PeerRequest, { type: "holders"; }> | undefined;
    /** Keys of holders that are terminated or replaced by a newer process. */
    gone: Set<string>;
    owner: OwnerState | undefined;
    takeover: Takeover | undefined;
    queued: readonly { readonly input: SubmitInput; readonly arrivalCounter: number; }[];
    waiting: Map<string, readonly Waiter[]>;
    attempts: Map<string, Attempt>;
    /** The handover that the successor has not acknowledged yet. */
    activation: { readonly set: HolderSet; readonly retryAtMs: number; } | undefined;
    /** Outcomes that the current owner has not acknowledged yet, by intent. */
    unsettled: Map<string, { readonly request: Extract<PeerRequest, { type: "settle"; }>; readonly retryAtMs: number; }>;
    /** Results that are not recorded yet, by key. */
    held: Map<string, HeldResult>;
    /** The highest counter value that is proven to precede a moment at which this process was the only owner. */
    confirmedCounter: number;
}

/** One step of the state machine: the state being changed and the effects so far. */
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

/** Creates the state of a process that has no information about the shard. */
export function createShardState(options: ShardOptions): ShardState {
    return {
        options,
        counter: 0,
        nowMs: 0,
        members: [],
        isLeaving: false,
        knownSet: undefined,
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
        confirmedCounter: 0,
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

/** Returns whether a safety rule is enabled; always true outside the model checker. */
export function isRuleEnabled(state: ShardState, rule: RuleName): boolean {
    return !state.options.disabledRules.has(rule);
}

/** Returns whether this owner can accept new keys. */
export function isServing(owner: OwnerState): boolean {
    return owner.hasSegments && owner.successor === undefined;
}

/** Returns the holder set that is in effect at an owner. */
export function activeSet(state: ShardState, owner: OwnerState): HolderSet {
    return { epoch: owner.epoch, change: owner.change, owner: state.options.self, standbys: owner.standbys };
}

/** Returns a unique token for the next write or intent of this process. */
export function nextToken(state: ShardState): string {
    state.counter += 1;
    return `${state.options.self.host}/${state.options.self.incarnation}#${state.counter}`;
}

/** Requests a timer input at the given time. */
export function scheduleTimer(step: Step, atMs: number): void {
    step.effects.push({ type: "wake", atMs });
}

/** Responds to a caller. */
export function respond(step: Step, call: number, value: SubmitResult): void {
    step.effects.push({ type: "answer", call, answer: value });
}
