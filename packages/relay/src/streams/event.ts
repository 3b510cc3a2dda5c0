import { declareEvents } from "@filbertrelay/kernel";

/** Events of answers and their streams. */
export const streamEvents = declareEvents({
    interrupted: {
        number: 4001,
        level: "info",
        text: "A stream from an engine was interrupted and its answer is being continued.",
        action: "None.",
    },
    failed: {
        number: 4002,
        level: "warn",
        text: "A model request failed permanently.",
        action: "Run 'explain' for the request and check the engines of the model.",
    },
    adopted: { number: 4003, level: "info", text: "This host continues an answer of another host.", action: "None." },
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
        action: "None; callers that reconnect get them from the backup host.",
    },
    engineReclaimed: {
        number: 4006,
        level: "info",
        text: "Streams are moved off an engine whose host is reclaimed.",
        action: "None.",
    },
});
