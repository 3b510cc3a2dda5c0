import type { StoreChange } from "@filbertrelay/connectors";
import type { EndpointId, EventLog } from "@filbertrelay/kernel";
import { isDeepStrictEqual } from "node:util";
import type { EndpointRecord, StoreDecoder } from "../contract.js";
import { stateEvents as events } from "./event.js";
import type { ChangeOrigin } from "./itemview.js";
import type { StoreMirror } from "./mirror.js";

/** Receives the id of an endpoint that ended or was replaced by a new process with the same id. */
export type EndpointEndedListener = (endpointId: EndpointId) => void;

/** The endpoints registered in the store. */
export class EndpointTable {
    readonly #log: EventLog;
    readonly #mirror: StoreMirror;
    readonly #decoder: StoreDecoder;
    readonly #records = new Map<string, EndpointRecord>();
    /** By service; made anew after each change of the records. */
    readonly #ofService = new Map<string, readonly EndpointRecord[]>();
    readonly #usable = new Map<string, readonly EndpointRecord[]>();
    readonly #endedListeners: EndpointEndedListener[] = [];
    readonly #changedListeners: (() => void)[] = [];
    readonly #startedListeners: ((record: EndpointRecord) => void)[] = [];

    constructor(
        options: { readonly mirror: StoreMirror; readonly decoder: StoreDecoder; readonly log: EventLog; },
    ) {
        this.#log = options.log;
        this.#mirror = options.mirror;
        this.#decoder = options.decoder;
        options.mirror.listen(options.decoder.endpointPrefix, (change, origin) => this.#apply(change, origin));
    }

    /** All endpoints of all services. */
    list(): readonly EndpointRecord[] {
        return [...this.#records.values()];
    }

    /** The endpoints of a service that accept new requests. */
    usable(service: string): readonly EndpointRecord[] {
        const known = this.#usable.get(service) ?? this.ofService(service).filter(record => !record.isLeaving);
        this.#usable.set(service, known);
        return known;
    }

    /** All endpoints of a service, including leaving ones. */
    ofService(service: string): readonly EndpointRecord[] {
        const known = this.#ofService.get(service) ?? [...this.#records.values()].filter(record => record.service === service);
        this.#ofService.set(service, known);
        return known;
    }

    /** Whether the process of an endpoint is registered and not leaving. */
    isServing({ endpointId, startedAtMs }: EndpointRecord): boolean {
        return [...this.#records.values()].some(record =>
            record.endpointId === endpointId && record.startedAtMs === startedAtMs && !record.isLeaving
        );
    }

    /** The software versions of the endpoints of each service, including leaving ones. */
    versions(): ReadonlyMap<string, ReadonlySet<string>> {
        const versions = new Map<string, Set<string>>();
        for (const { service, softwareVersion } of this.#records.values()) {
            versions.set(service, (versions.get(service) ?? new Set()).add(softwareVersion));
        }
        return versions;
    }

    /** Registers a listener for changes of the registered endpoints. */
    onChanged(listener: () => void): void {
        this.#changedListeners.push(listener);
    }

    /** Registers a listener for endpoints that were not known before, and for new processes of known ones. */
    onStarted(listener: (record: EndpointRecord) => void): void {
        this.#startedListeners.push(listener);
    }

    /** Registers a listener for endpoints that have ended. */
    onEnded(listener: EndpointEndedListener): void {
        this.#endedListeners.push(listener);
    }

    #apply(change: StoreChange, origin: ChangeOrigin): "material" | "heartbeat" {
        const known = this.#records.get(change.key);
        const decoded = change.value === undefined ? undefined : this.#decoder.readEndpoint(change.key, change.value);
        if (decoded === undefined) {
            this.#mirror.afterRemovalGrace(change.key, () => this.#remove(change, origin));
            return "material";
        }
        if (!decoded.ok) {
            this.#log.write(events.entrySkipped, { key: change.key, code: decoded.issue.code, message: decoded.issue.message });
            this.#remove(change, origin);
            // An entry that named no endpoint before changes nothing, however often it is written.
            return known === undefined ? "heartbeat" : "material";
        }
        const record = decoded.value;
        if (known === record || isDeepStrictEqual(known, record)) {
            return "heartbeat";
        }
        this.#records.set(change.key, record);
        this.#dropLists();
        if (known !== undefined && known.startedAtMs !== record.startedAtMs) {
            this.#endedListeners.forEach(listener => listener(record.endpointId));
        }
        if (known?.startedAtMs !== record.startedAtMs) {
            this.#startedListeners.forEach(listener => listener(record));
        }
        this.#log.write(events.endpointChanged, {
            endpoint: record.endpointId,
            service: record.service,
            failureDomain: record.failureDomain,
            softwareVersion: record.softwareVersion,
            isLeaving: record.isLeaving,
            isReclaimable: record.isReclaimable,
            revision: change.revision,
            ...origin,
        });
        this.#changedListeners.forEach(listener => listener());
        return "material";
    }

    #remove({ key, revision }: StoreChange, origin: ChangeOrigin): void {
        const record = this.#records.get(key);
        if (record !== undefined) {
            this.#records.delete(key);
            this.#dropLists();
            this.#log.write(events.endpointGone, {
                endpoint: record.endpointId,
                service: record.service,
                revision,
                ...origin,
            });
            this.#endedListeners.forEach(listener => listener(record.endpointId));
            this.#changedListeners.forEach(listener => listener());
        }
    }

    #dropLists(): void {
        this.#ofService.clear();
        this.#usable.clear();
    }
}
