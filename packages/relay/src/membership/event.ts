import { declareEvents } from "@filbertrelay/kernel";

/** Log events of membership. */
export const membershipEvents = declareEvents({
    memberChanged: { number: 2101, level: "info", text: "The state of a member changed.", action: "None." },
    superseded: {
        number: 2102,
        level: "error",
        text: "Another process uses this host id under a newer incarnation.",
        action: "Stop one of the two processes or correct the host ids in their settings.",
    },
    noPeers: {
        number: 2103,
        level: "warn",
        text: "Neither a seed nor a listed host responded; this host has no peers until one does.",
        action: "Check the seeds and the cluster keys, unless this is the first host.",
    },
    hostListUnavailable: {
        number: 2104,
        level: "warn",
        text: "The host list could not be read.",
        action: "None; seeds and known members are used until it can be read.",
    },
});
