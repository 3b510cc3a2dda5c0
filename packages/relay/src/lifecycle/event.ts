import { declareEvents } from "@filbertrelay/kernel";

/** Events of the daemon's start and stop. */
export const lifecycleEvents = declareEvents({
    draining: { number: 1010, level: "info", text: "This host is leaving the fleet and is draining.", action: "None." },
    shardsReleased: { number: 1011, level: "info", text: "All shards owned by this host were handed over.", action: "None." },
    shardsNotReleased: {
        number: 1012,
        level: "warn",
        text: "Some shards were not handed over before the deadline.",
        action: "None; other hosts take them over with the standbys' promises.",
    },
    streamsDrained: { number: 1013, level: "info", text: "All open streams ended or were handed over.", action: "None." },
    drained: { number: 1014, level: "info", text: "This host has drained and is stopping.", action: "None." },
    started: { number: 1020, level: "info", text: "The daemon started.", action: "None." },
    startFailed: {
        number: 1021,
        level: "error",
        text: "The daemon could not start.",
        action: "Check that the addresses in the settings belong to this host and are free.",
    },
    defect: {
        number: 1022,
        level: "error",
        text: "The daemon is stopping because an invariant was violated or an error was not caught.",
        action: "Report the error; other hosts take over.",
    },
});
