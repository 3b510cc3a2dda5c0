import { declareEvents } from "@filbertrelay/kernel";

/** Log events about what a host believes of the store, the configuration and the endpoints. */
export const stateEvents = declareEvents({
    storeLost: {
        number: 5301,
        level: "warn",
        text: "The store can't be reached.",
        action: "None at first: requests go on with what is known. Look at the store when it lasts.",
    },
    storeRegained: {
        number: 5302,
        level: "info",
        text: "The store can be reached again.",
        action: "None.",
    },
    storeReread: {
        number: 5303,
        level: "info",
        text: "The store's items were read anew.",
        action: "None.",
    },
    configurationApplied: {
        number: 5304,
        level: "info",
        text: "A configuration is in force.",
        action: "None.",
    },
    entrySkipped: {
        number: 5305,
        level: "warn",
        text: "An entry of the store could not be read and is left out.",
        action: "Find out who wrote the key when it is not expected.",
    },
    endpointChanged: {
        number: 5306,
        level: "info",
        text: "An endpoint appeared, changed or is leaving.",
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
        text: "Changes of the store were learned from a peer.",
        action: "None; this host could not reach the store itself.",
    },
});
