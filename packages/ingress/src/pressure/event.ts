import { declareEvents } from "@filbertrelay/kernel";

/** Log events of a host under more load than it carries. */
export const pressureEvents = declareEvents({
    pressureStarted: {
        number: 2340,
        level: "warn",
        text: "This host has more requests than it can answer in time and refuses some of them.",
        action: "None if it is short; otherwise add hosts or stronger ones. See \"Callers are refused\" in docs/OPERATIONS.md.",
    },
    pressureEnded: {
        number: 2341,
        level: "info",
        text: "This host no longer refuses requests for its own sake.",
        action: "None.",
    },
    requestsShed: {
        number: 2342,
        level: "info",
        text: "Requests were refused for the host's own sake since the last such line.",
        action: "None; `byPriority` and `byReason` say which ones.",
    },
});
