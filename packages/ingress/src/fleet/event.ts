import { declareEvents } from "@filbertrelay/kernel";

/** Log events of the host's place in the fleet and of the duties. */
export const fleetEvents = declareEvents({
    registered: {
        number: 2301,
        level: "info",
        text: "This host registered itself in the store.",
        action: "None.",
    },
    registrationLost: {
        number: 2302,
        level: "warn",
        text: "This host's entry in the store has lapsed.",
        action: "None; it is written again when the store answers.",
    },
    peerLost: {
        number: 2303,
        level: "warn",
        text: "A peer does not answer any more.",
        action: "None; its part of shared limits is left to it until its entry lapses.",
    },
    peerRegained: {
        number: 2304,
        level: "info",
        text: "A peer answers.",
        action: "None.",
    },
    hostChanged: {
        number: 2305,
        level: "info",
        text: "Another host's entry changed.",
        action: "None.",
    },
    servingChanged: {
        number: 2306,
        level: "info",
        text: "This host began or ceased to be one that callers are sent to.",
        action: "None; `work` is the processor time of all callers' requests that the set is made for.",
    },
    leadGained: {
        number: 6301,
        level: "info",
        text: "This host holds the duties of the fleet.",
        action: "None.",
    },
    leadLost: {
        number: 6302,
        level: "info",
        text: "This host does not hold the duties any more.",
        action: "None; another host takes them over.",
    },
    usageReported: {
        number: 6303,
        level: "info",
        text: "The usage of a window was reported.",
        action: "None.",
    },
    usageFailed: {
        number: 6304,
        level: "warn",
        text: "The usage of a window could not be reported.",
        action: "None at first; it is tried again until the window is too old.",
    },
    endpointsOrdered: {
        number: 6305,
        level: "info",
        text: "A number of endpoints was ordered.",
        action: "None.",
    },
    orderFailed: {
        number: 6306,
        level: "warn",
        text: "An order of endpoints failed.",
        action: "None; the next plan leaves refused offers out for a while.",
    },
});
