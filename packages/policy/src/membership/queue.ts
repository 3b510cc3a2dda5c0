import type { HostId } from "@filbertrelay/kernel";
import type { PublishedValue } from "./message.js";
import type { MemberUpdate } from "./record.js";

/** A change that is still being broadcast. */
export interface QueuedItem {
    readonly content:
        | { readonly kind: "member"; readonly update: MemberUpdate; }
        | { readonly kind: "value"; readonly value: PublishedValue; };
    /** The number of messages that have carried the change so far. */
    readonly sent: number;
    /** Estimated encoded size. */
    readonly bytes: number;
}

/** Pending changes by key; a newer change of the same member or value replaces the older one. */
export type BroadcastQueue = ReadonlyMap<string, QueuedItem>;

// A member's change must reach every node within seconds even at 2% message loss; anti-entropy alone would reach the last nodes too late.
const memberSendFactor = 3;
// Values change often, so a missed one is soon replaced. With 9 sends at 360 nodes the busiest node used 7.2 KB/s.
const valueSendMinimum = 4;

/** The key of a published value. */
export function valueKey(name: string, host: HostId): string {
    return `value\n${name}\n${host}`;
}

/** Creates the queue entry of a member's change. */
export function queueMember(update: MemberUpdate): readonly [string, QueuedItem] {
    const { hostId, incarnation, details } = update;
    const detailBytes = details === undefined ?
        0 :
        details.failureDomain.length + details.peerAddress.length + details.callerAddress.length;
    const bytes = 8 + hostId.length + incarnation.length + detailBytes;
    return [`member\n${hostId}`, { content: { kind: "member", update }, sent: 0, bytes }];
}

/** Creates the queue entry of a published value. */
export function queueValue(value: PublishedValue): readonly [string, QueuedItem] {
    const bytes = 10 + value.host.length + (JSON.stringify(value.value) ?? "").length;
    return [valueKey(value.name, value.host), { content: { kind: "value", value }, sent: 0, bytes }];
}

/** The number of messages in which one node sends a change; proportional to the logarithm of the fleet size, so that all nodes are reached. */
export function sendLimit(kind: "member" | "value", fleetSize: number): number {
    const rounds = Math.ceil(Math.log2(fleetSize + 1));
    return kind === "member" ? memberSendFactor * rounds : Math.max(valueSendMinimum, Math.ceil(rounds / 2));
}

/** Takes the changes for one message, members before values and the least sent first, and counts them as sent. */
export function takeFromQueue(
    queue: BroadcastQueue,
    options: { readonly limitBytes: number; readonly fleetSize: number; },
): { readonly taken: readonly QueuedItem[]; readonly queue: BroadcastQueue; } {
    if (queue.size === 0) {
        return { taken: [], queue };
    }
    const rest = new Map(queue);
    const taken: QueuedItem[] = [];
    let bytes = 0;
    for (const [key, item] of [...queue].sort(([, left], [, right]) => rank(left) - rank(right))) {
        if (taken.length > 0 && bytes + item.bytes > options.limitBytes) {
            continue;
        }
        bytes += item.bytes;
        taken.push(item);
        const sent = item.sent + 1;
        if (sent >= sendLimit(item.content.kind, options.fleetSize)) {
            rest.delete(key);
        }
        else {
            rest.set(key, { ...item, sent });
        }
    }
    return { taken, queue: rest };
}

function rank(item: QueuedItem): number {
    return item.content.kind === "member" ? item.sent : 1_000 + item.sent;
}
