import type { StoreChange } from "@filbertrelay/connectors";
import { brandAs, isRemoteAddress, parseBoundedJson } from "@filbertrelay/kernel";
import type { EventLog, FailureDomainId, HostId, Incarnation } from "@filbertrelay/kernel";
import * as z from "zod";
import { stateEvents } from "../state/event.js";
import type { StoreMirror } from "../state/mirror.js";
import { fleetEvents as events } from "./event.js";

/** Prefix of all keys that filbertrelay writes to the store. */
export const ownPrefix = "filbertrelay/";
/** Prefix of the keys under which hosts register. */
export const hostPrefix = `${ownPrefix}hosts/`;

const addressSchema = z.string().refine(isRemoteAddress, "Expected an IPv4 address and a port.");

const entryBounds = { maximumLength: 16_384, maximumDepth: 8 };

const hostEntrySchema = z.object({
    incarnation: z.string().min(1),
    callerAddress: addressSchema,
    peerAddress: addressSchema,
    failureDomain: z.string().min(1),
    /** Processor capacity in CPU seconds per second; absent in entries that older versions wrote. */
    strength: z.number().positive().default(1),
    /** Whether the host reports through aggregators where there are any; absent in entries that older versions wrote. */
    aggregates: z.boolean().default(false),
});

/** The registration that a host writes to the store. */
export type HostEntry = z.infer<typeof hostEntrySchema>;

/** A registered host. */
export interface HostRecord {
    readonly hostId: HostId;
    readonly incarnation: Incarnation;
    readonly callerAddress: string;
    readonly peerAddress: string;
    readonly failureDomain: FailureDomainId;
    /** Processor capacity of the host, in CPU seconds per second. */
    readonly strength: number;
    /** Whether the host reports through aggregators where there are any. */
    readonly aggregates: boolean;
}

/** The hosts registered in the store, including this one. */
export class HostTable {
    readonly #log: EventLog;
    readonly #mirror: StoreMirror;
    readonly #records = new Map<HostId, HostRecord>();

    constructor(options: { readonly mirror: StoreMirror; readonly log: EventLog; }) {
        this.#log = options.log;
        this.#mirror = options.mirror;
        options.mirror.listen(hostPrefix, change => {
            this.#apply(change);
            return "material";
        });
    }

    list(): readonly HostRecord[] {
        return [...this.#records.values()];
    }

    get size(): number {
        return this.#records.size;
    }

    get(hostId: HostId): HostRecord | undefined {
        return this.#records.get(hostId);
    }

    #apply(change: StoreChange): void {
        const hostId = brandAs<HostId>(change.key.slice(hostPrefix.length));
        if (change.value === undefined) {
            this.#mirror.afterRemovalGrace(change.key, () => {
                if (this.#records.delete(hostId)) {
                    this.#logChange(hostId, "gone", undefined);
                }
            });
            return;
        }
        const record = parseHost(hostId, change.value);
        if (record === undefined) {
            this.#log.write(stateEvents.entrySkipped, {
                key: change.key,
                code: "host.invalid",
                message: "The value is not a valid host registration.",
            });
            return;
        }
        this.#records.set(hostId, record);
        this.#logChange(hostId, "ready", change.revision);
    }

    #logChange(hostId: HostId, state: string, revision: number | undefined): void {
        this.#log.write(events.hostChanged, { peer: hostId, state, revision, hosts: this.#records.size });
    }
}

function parseHost(hostId: HostId, value: string): HostRecord | undefined {
    const parsed = parseBoundedJson(value, entryBounds);
    const entry = hostEntrySchema.safeParse(parsed.ok ? parsed.value : undefined);
    return entry.success ?
        {
            ...entry.data,
            hostId,
            incarnation: brandAs<Incarnation>(entry.data.incarnation),
            failureDomain: brandAs<FailureDomainId>(entry.data.failureDomain),
        } :
        undefined;
}
