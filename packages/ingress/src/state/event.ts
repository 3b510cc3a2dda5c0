import { declareEvents } from "@filbertrelay/kernel";

/** Log events about the store, the configuration and the endpoints as a host sees them. */
export const stateEvents = declareEvents({
    storeUnreachable: {
        number: 5301,
        level: "warn",
        text: "The store is unreachable.",
        action: "None at first: requests continue with the last known state. Check the store if it lasts.",
    },
    storeReachable: {
        number: 5302,
        level: "info",
        text: "The store is reachable.",
        action: "None.",
    },
    storeListed: {
        number: 5303,
        level: "info",
        text: "All items of the store were read.",
        action: "None.",
    },
    configurationApplied: {
        number: 5304,
        level: "info",
        text: "A configuration was applied.",
        action: "None.",
    },
    entrySkipped: {
        number: 5305,
        level: "warn",
        text: "An invalid store entry is ignored.",
        action: "Find out who wrote the key if it is unexpected.",
    },
    endpointChanged: {
        number: 5306,
        level: "info",
        text: "An endpoint was added, changed or is leaving.",
        action: "None.",
    },
    endpointGone: {
        number: 5307,
        level: "info",
        text: "An endpoint is gone.",
        action: "None.",
    },
    mirroredFromPeer: {
        number: 5308,
        level: "info",
        text: "Changes of the store were received from a peer.",
        action: "None; this host does not watch the store or could not reach it.",
    },
    storeRestored: {
        number: 5309,
        level: "warn",
        text: "The store was restored from an older copy.",
        action: "Find out what was lost; operators and endpoints write their entries again, hosts register again.",
    },
    entryDisputed: {
        number: 5310,
        level: "info",
        text: "An entry of the restored store is older than what this host knows and does not take effect yet.",
        action: "None; it takes effect if its owner does not write again in time.",
    },
    entryBroken: {
        number: 5312,
        level: "error",
        text: "An error of this host kept a store entry from taking effect; the others hold.",
        action: "Report `error` to the developers.",
    },
    transferLong: {
        number: 5313,
        level: "info",
        text: "A response of the store took long to arrive, or its rest was not read.",
        action: "None if it is rare; otherwise compare `receivedBytes` with the rate of the host's link.",
    },
    versionsRecorded: {
        number: 5311,
        level: "info",
        text: "The software versions of the endpoints were recorded in the store.",
        action: "None.",
    },
});
