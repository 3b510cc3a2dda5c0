import { declareEvents } from "@filbertrelay/kernel";

/** Log events of the configuration. */
export const configurationEvents = declareEvents({
    applied: { number: 2201, level: "info", text: "A newer configuration took effect.", action: "None." },
    malformed: {
        number: 2202,
        level: "error",
        text: "A configuration head was malformed and is ignored.",
        action: "Resubmit the questionnaire; the configuration in effect stays.",
    },
    unavailable: {
        number: 2203,
        level: "warn",
        text: "A configuration call to the key-value service failed.",
        action: "None; the configuration in effect stays, and newer ones are fetched from peers.",
    },
    available: {
        number: 2204,
        level: "info",
        text: "Configuration calls to the key-value service succeed again.",
        action: "None.",
    },
    conflicting: {
        number: 2205,
        level: "error",
        text: "Two configuration heads have the same version but different contents.",
        action: "Resubmit the questionnaire; this host keeps the head that it received first.",
    },
    callbackFailed: {
        number: 2206,
        level: "error",
        text: "A service failed to apply a new configuration.",
        action: "Report the error; the other services use the new configuration.",
    },
});
