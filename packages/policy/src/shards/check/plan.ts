/** A fault or another event of a schedule. */
export type FaultName =
    | "submit"
    | "pause"
    | "pauseOwner"
    | "resume"
    | "crash"
    | "crashOwner"
    | "crashStandby"
    | "restart"
    | "terminateOwner"
    | "terminateStandby"
    | "terminateCrashed"
    | "terminateFormer"
    | "terminateWitnesses"
    | "isolateStandby"
    | "submitOwner"
    | "submitAll"
    | "acquireFresh"
    | "takeoverFresh"
    | "leaveOwner"
    | "leaveStandby"
    | "startHost"
    | "outage"
    | "outageEnd"
    | "cutOwnerFromStore"
    | "partition"
    | "isolateOwner"
    | "rejoin"
    | "cloudOutage"
    | "cloudOutageEnd"
    | "takeover"
    | "twoSuccessors"
    | "settle"
    | "wait";

/** Fault sequences that exercise difficult cases of the protocol; single faults are added at random positions. */
export const faultPlans: readonly (readonly FaultName[])[] = [
    ["crashOwner", "takeover", "submit"],
    ["pauseOwner", "twoSuccessors", "submit", "resume", "submit"],
    ["outage", "submit", "crashOwner", "outageEnd", "takeover", "submit"],
    ["outage", "submit", "crashOwner", "terminateStandby", "outageEnd", "takeover", "submit"],
    ["settle", "outage", "submit", "isolateOwner", "outageEnd", "takeover", "submit", "rejoin"],
    ["settle", "outage", "submit", "leaveOwner", "submit", "terminateOwner", "outageEnd", "takeover", "submit"],
    ["outage", "leaveOwner", "crashOwner", "outageEnd", "takeover", "submit"],
    ["leaveOwner", "crashOwner", "takeover", "submit"],
    [
        "settle",
        "outage",
        "terminateStandby",
        "terminateStandby",
        "submit",
        "terminateOwner",
        "outageEnd",
        "twoSuccessors",
        "submit",
    ],
    ["settle", "outage", "terminateStandby", "submit", "pauseOwner", "outageEnd", "takeover", "submit", "resume"],
    ["settle", "outage", "leaveStandby", "submit", "terminateStandby", "terminateOwner", "outageEnd", "takeover", "submit"],
    ["cutOwnerFromStore", "submit", "takeover", "submit", "rejoin"],
    ["settle", "cutOwnerFromStore", "submit", "partition", "takeover", "submit", "rejoin", "submit"],
    ["settle", "cutOwnerFromStore", "submit", "pauseOwner", "takeover", "submit", "resume", "submit"],
    [
        "settle",
        "outage",
        "submit",
        "settle",
        "crashOwner",
        "crashStandby",
        "crashStandby",
        "restart",
        "outageEnd",
        "takeover",
        "submit",
    ],
    [
        "settle",
        "outage",
        "terminateStandby",
        "startHost",
        "settle",
        "terminateStandby",
        "submit",
        "settle",
        "terminateOwner",
        "outageEnd",
        "takeover",
        "submit",
    ],
    ["settle", "cutOwnerFromStore", "leaveOwner", "settle", "terminateOwner", "takeover", "leaveOwner", "submit"],
    [
        "settle",
        "outage",
        "isolateStandby",
        "submitAll",
        "settle",
        "terminateStandby",
        "terminateOwner",
        "rejoin",
        "outageEnd",
        "takeover",
        "submitAll",
    ],
    [
        "startHost",
        "settle",
        "cutOwnerFromStore",
        "pauseOwner",
        "takeover",
        "settle",
        "terminateWitnesses",
        "resume",
        "settle",
        "submitOwner",
        "settle",
        "takeover",
        "submitAll",
    ],
    [
        "startHost",
        "settle",
        "outage",
        "leaveOwner",
        "settle",
        "terminateFormer",
        "terminateStandby",
        "settle",
        "leaveOwner",
        "settle",
        "terminateFormer",
        "cutOwnerFromStore",
        "outageEnd",
        "startHost",
        "takeoverFresh",
        "wait",
        "submitAll",
        "wait",
        "submitAll",
    ],
    [
        "startHost",
        "settle",
        "outage",
        "leaveOwner",
        "settle",
        "terminateFormer",
        "submitAll",
        "settle",
        "crashStandby",
        "terminateStandby",
        "restart",
        "cutOwnerFromStore",
        "outageEnd",
        "startHost",
        "acquireFresh",
        "leaveOwner",
        "settle",
        "takeover",
        "submitAll",
    ],
    ["cloudOutage", "terminateOwner", "takeover", "submit", "cloudOutageEnd"],
    ["restart", "pause", "crash", "outage", "restart", "outageEnd", "resume"],
    ["terminateCrashed", "startHost", "outage", "partition", "rejoin", "outageEnd"],
];
