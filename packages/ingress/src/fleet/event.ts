import { declareEvents } from "@filbertrelay/kernel";

/** Log events about this host's membership in the fleet and the fleet-wide duties. */
export const fleetEvents = declareEvents({
    registered: {
        number: 2301,
        level: "info",
        text: "This host registered in the store.",
        action: "None.",
    },
    registrationExpired: {
        number: 2302,
        level: "warn",
        text: "This host's registration in the store has expired.",
        action: "None; it is renewed when the store responds.",
    },
    peerUnreachable: {
        number: 2303,
        level: "warn",
        text: "A peer has become unreachable.",
        action: "None; its share of customer limits stays reserved until its registration expires.",
    },
    peerReachable: {
        number: 2304,
        level: "info",
        text: "A peer is reachable.",
        action: "None.",
    },
    hostChanged: {
        number: 2305,
        level: "info",
        text: "A host's registration was added, changed or removed.",
        action: "None.",
    },
    servingChanged: {
        number: 2306,
        level: "info",
        text: "This host joined or left the set of hosts that serve callers.",
        action: "None; `work` is the processor time of all callers' requests that the set is sized for.",
    },
    dutyLeaseAcquired: {
        number: 6301,
        level: "info",
        text: "This host acquired the lease on the fleet-wide duties.",
        action: "None.",
    },
    dutyLeaseLost: {
        number: 6302,
        level: "info",
        text: "This host no longer holds the lease on the fleet-wide duties.",
        action: "None; another host takes over.",
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
        action: "None at first; the report is retried until it is past due.",
    },
    endpointsOrdered: {
        number: 6305,
        level: "info",
        text: "Endpoints were ordered.",
        action: "None.",
    },
    orderFailed: {
        number: 6306,
        level: "warn",
        text: "Endpoints could not be ordered.",
        action: "None; the next plans exclude refused offers for a while.",
    },
    usageSkipped: {
        number: 6307,
        level: "warn",
        text: "The usage of a window is not reported, since other counts may have been reported before the store was restored.",
        action: "Read the usage of the window from the platform's own records if it is missing there.",
    },
    originsNotStored: {
        number: 6308,
        level: "warn",
        text: "The versions at which streams began could not be stored.",
        action: "None at first; the write is repeated, and the other hosts remember them. Check the store if it lasts.",
    },
});
