import type { OwnedPrefix } from "@filbertrelay/policy/ingress";
import type { EndpointRecord, StoreDecoder } from "../contract.js";
import { rewriteMs } from "./storecontact.js";

/** The entry of an endpoint is removed after this many intervals without a report. */
const expiryHeartbeats = 3;

/** The entries of the operator and the endpoints, who write again what a restore of the store has undone. */
export function createOwnedPrefixes(decoder: StoreDecoder, heartbeatMs: number): readonly OwnedPrefix[] {
    const descriptions = new WeakMap<EndpointRecord, string>();
    const describe = (record: EndpointRecord): string => {
        const known = descriptions.get(record) ?? JSON.stringify(record);
        descriptions.set(record, known);
        return known;
    };
    return [
        {
            prefix: decoder.configurationPrefix,
            read: (_, value) => {
                const version = decoder.readConfigurationVersion(value);
                return version === undefined ? undefined : { version: [version], content: value };
            },
            rewriteMs: Infinity,
            settleMs: Infinity,
        },
        {
            prefix: decoder.endpointPrefix,
            read: (key, value) => {
                const decoded = decoder.readEndpoint(key, value);
                const sequence = decoder.readEndpointSequence(key, value);
                return decoded.ok && sequence !== undefined ?
                    { version: [decoded.value.startedAtMs, sequence], content: describe(decoded.value) } :
                    undefined;
            },
            rewriteMs,
            settleMs: rewriteMs + expiryHeartbeats * heartbeatMs,
        },
    ];
}
