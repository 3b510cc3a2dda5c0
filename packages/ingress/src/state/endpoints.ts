import type { StoreChange } from "@filbertrelay/connectors";
import type { EndpointId, EventLog } from "@filbertrelay/kernel";
import { isDeepStrictEqual } from "node:util";
import type { EndpointRecord, StoreDecoder } from "../contract.js";
import { stateEvents as events } from "./event.js";
import type { StoreMirror } from "./mirror.js";

/** Receives endpoints that ended or were replaced by a new process under the same id. */
export type EndpointEndedListener = (endpointId: EndpointId) => void;

/** The endpoints that registered themselves in the store. */
export class EndpointTable {
    readonly #log: EventLog;
    readonly #mirror: StoreMirror;
    readonly #decoder: StoreDecoder;
    readonly #records = new Map<string, EndpointRecord>();
    readonly #ended: EndpointEndedListener[] = [];

    constructor(
        options: { readonly mirror: StoreMirror; readonly decoder: StoreDecoder; readonly log: EventLog; },
    ) {
        this.#log = options.log;
        this.#mirror = options.mirror;
        this.#decoder = options.decoder;
        options.mirror.listen(options.decoder.endpointPrefix, change => this.#apply(change));
    }

    /** Endpoints of a service that take new requests. */
    usable(service: string): readonly EndpointRecord[] {
        return this.ofService(service).filter(record => !record.isLeaving);
    }

    /** All endpoints of a service, leaving ones included. */
    ofService(service: string): readonly EndpointRecord[] {
        return [...this.#records.values()].filter(record => record.service === service);
    }

    /** Calls back when an endpoint has ended. */
    onEnded(listener: EndpointEndedListener): void {
        this.#ended.push(listener);
    }

    #apply(change: StoreChange): "material" | "heartbeat" {
        const known = this.#records.get(change.key);
        const decoded = change.value === undefined ? undefined : this.#decoder.readEndpoint(change.key, change.value);
        if (decoded === undefined) {
            this.#mirror.whenGone(change.key, () => this.#drop(change.key));
            return "material";
        }
        if (!decoded.ok) {
            this.#log.write(events.entrySkipped, { key: change.key, code: decoded.issue.code, message: decoded.issue.message });
            this.#drop(change.key);
            return "material";
        }
        const record = decoded.value;
        if (isDeepStrictEqual(known, record)) {
            return "heartbeat";
        }
        this.#records.set(change.key, record);
        if (known !== undefined && known.startedAtMs !== record.startedAtMs) {
            this.#ended.forEach(listener => listener(record.endpointId));
        }
        this.#log.write(events.endpointChanged, {
            endpoint: record.endpointId,
            service: record.service,
            failureDomain: record.failureDomain,
            isLeaving: record.isLeaving,
            isReclaimable: record.isReclaimable,
            revision: change.revision,
        });
        return "material";
    }

    #drop(key: string): void {
        const record = this.#records.get(key);
        if (record !== undefined) {
            this.#records.delete(key);
            this.#log.write(events.endpointGone, { endpoint: record.endpointId, service: record.service });
            this.#ended.forEach(listener => listener(record.endpointId));
        }
    }
}
