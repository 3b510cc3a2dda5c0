import { declareEvents } from "@filbertrelay/kernel";

/** Events of answers and their streams. */
export const streamEvents = declareEvents({
    interrupted: { number: 4001, level: "info", text: "A stream from an engine was interrupted and goes on.", action: "None." },
    failed: {
        number: 4002,
        level: "warn",
        text: "A model request failed for good.",
        action: "Look at 'explain' for the request; check the engines of the model.",
    },
    adopted: { number: 4003, level: "info", text: "This host continues answers of another host.", action: "None." },
    handedOver: {
        number: 4004,
        level: "info",
        text: "Answers in progress were handed over to their backup hosts.",
        action: "None.",
    },
    notHandedOver: {
        number: 4005,
        level: "warn",
        text: "Some answers in progress could not be handed over before the deadline.",
        action: "None; callers that come back get them from the backup host.",
    },
    engineReclaimed: { number: 4006, level: "info", text: "Streams leave an engine whose host is reclaimed.", action: "None." },
});
