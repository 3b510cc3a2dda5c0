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
        text: "The key-value service did not answer a configuration call.",
        action: "None; the configuration in effect stays, and peers are asked for newer ones.",
    },
    available: { number: 2204, level: "info", text: "The key-value service answers configuration calls again.", action: "None." },
    conflicting: {
        number: 2205,
        level: "error",
        text: "Two configuration heads have the same version but different contents.",
        action: "Resubmit the questionnaire; this host keeps the head that it saw first.",
    },
    callbackFailed: {
        number: 2206,
        level: "error",
        text: "A service failed while it took over a new configuration.",
        action: "Report the error; the other services have the new configuration.",
    },
});
