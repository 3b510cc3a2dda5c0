import { refreshStandbys } from "./commit.js";
import { adoptEntries } from "./entry.js";
import type { PeerRequest } from "./message.js";
import { nextToken } from "./state.js";
import type { OwnerState, ShardState, Step, Takeover } from "./state.js";
import { holderKey, holderSetOf, isSameHolder, mergeCopies } from "./value.js";
import type { ShardValue, VersionedValue } from "./value.js";

/** Writes the value that makes this process the owner, by compare-and-swap against the version that was read. */
export function claimOwnership(step: Step, takeover: Takeover, base: VersionedValue | undefined): void {
    const { state } = step;
    const { self } = state.options;
    const entries = base === undefined ? [] : mergeCopies(base.value, takeover.copies.values()).values();
    const lostUntilMs = takeover.isLastResort ? state.nowMs + state.options.resultRetentionMs : 0;
    const value: ShardValue = {
        epoch: (base?.value.epoch ?? 0) + 1,
        change: 0,
        owner: self,
        standbys: refreshStandbys(state, self, base?.value.standbys ?? []),
        writer: nextToken(state),
        sequence: Math.max(base?.value.sequence ?? 0, ...[...takeover.copies.values()].map(copy => copy.revision)),
        entries: [...adoptEntries(state, entries).values()].filter(entry => entry.state !== "notRun"),
        unknownUntilMs: Math.max(base?.value.unknownUntilMs ?? 0, lostUntilMs),
    };
    takeover.stage = "writing";
    takeover.retryAtMs = 0;
    takeover.write = { token: value.writer, issued: state.counter, value, isUncertain: false };
    step.effects.push({ type: "write", token: value.writer, expectedVersion: base?.version ?? 0, value });
}

/** Handles the outcome of the takeover's compare-and-swap. */
export function handleTakeoverWritten(
    step: Step,
    takeover: Takeover,
    token: string,
    result: number | "conflict" | "unavailable",
): void {
    const write = takeover.write;
    if (write?.token !== token || takeover.stage !== "writing") {
        return;
    }
    if (typeof result === "number") {
        becomeOwner(step, result, write.value);
        return;
    }
    takeover.stage = "reading";
    step.effects.push({ type: "read" });
}

/** Becomes the owner under a stored value that names this process as owner. */
export function becomeOwner(step: Step, version: number, value: ShardValue): void {
    const { state } = step;
    const { takeover } = state;
    const owner = createOwner(state, version, value, value.sequence);
    state.confirmedCounter = Math.max(state.confirmedCounter, takeover?.write?.issued ?? 0);
    state.takeover = undefined;
    state.owner = owner;
    dropPromisedCopies(step, owner, takeover);
}

/** Creates the owner state from a stored value. */
export function createOwner(state: ShardState, version: number, value: ShardValue, storedSequence: number): OwnerState {
    state.knownSet = holderSetOf(value);
    state.copies = new Map();
    return {
        epoch: value.epoch,
        change: value.change,
        standbys: value.standbys,
        highestChange: value.change,
        mode: "store",
        version,
        sequence: value.sequence,
        storedSequence,
        recordedSequence: storedSequence,
        entries: adoptEntries(state, value.entries),
        sealed: new Map(),
        hasSegments: false,
        isReadingSegments: false,
        isSealing: false,
        unknownUntilMs: value.unknownUntilMs,
        write: undefined,
        uncertainSets: [],
        droppedStandbys: [],
        acknowledgements: new Map(),
        holderChange: undefined,
        successor: undefined,
        tokens: state.options.writeBurst,
        refilledAtMs: state.nowMs,
        dirtySinceMs: undefined,
        readCounter: undefined,
        nextReadAtMs: 0,
    };
}

/** Lets the standbys that promised drop their copies, which the new value contains. */
function dropPromisedCopies(step: Step, owner: OwnerState, takeover: Takeover | undefined): void {
    const { state } = step;
    const set = { epoch: owner.epoch, change: owner.change, owner: state.options.self, standbys: owner.standbys };
    const { sequence } = owner;
    for (const standby of takeover?.required ?? []) {
        if (takeover?.promised.has(holderKey(standby)) === true && !isSameHolder(standby, state.options.self)) {
            const request: PeerRequest = {
                type: "copy",
                set,
                sequence,
                issued: state.counter,
                storedSequence: sequence,
                entries: [],
            };
            step.effects.push({ type: "call", to: standby, request });
        }
    }
}
