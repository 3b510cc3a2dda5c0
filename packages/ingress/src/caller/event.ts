import { declareEvents } from "@filbertrelay/kernel";

/** Log events of the limits for callers' connections. */
export const callerEvents = declareEvents({
    transferEnded: {
        number: 4340,
        level: "warn",
        text: "A request was refused or an answer ended, since the memory for callers is used up.",
        action: "If callers behave, give the host more memory; `phase` says whether a body or an answer was ended.",
    },
    transferStalled: {
        number: 4341,
        level: "warn",
        text: "A connection was closed, since a body or an answer made no progress.",
        action: "None; look at the caller if it happens often.",
    },
    requestsAhead: {
        number: 4342,
        level: "warn",
        text: "A connection is closed after its answers, since more requests than allowed were sent ahead of them.",
        action: "Find the client; it should wait for answers.",
    },
    connectionEvicted: {
        number: 4343,
        level: "warn",
        text: "A connection was closed to make room for another one.",
        action: "If callers behave, give the host more descriptors.",
    },
    bodyTooLarge: {
        number: 4344,
        level: "info",
        text: "A request was refused, since its body is longer than the limit.",
        action: "None.",
    },
});
