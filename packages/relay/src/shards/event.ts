import { declareEvents } from "@filbertrelay/kernel";

/** Log events of shards. */
export const shardEvents = declareEvents({
    acquired: { number: 3001, level: "info", text: "This host became the owner of a shard.", action: "None." },
    lost: { number: 3002, level: "info", text: "This host is no longer the owner of a shard.", action: "None." },
    witnessMode: {
        number: 3003,
        level: "warn",
        text: "The key-value service can't be reached; a shard's intents are copied to its standbys instead.",
        action: "Restore the key-value service.",
    },
    storeMode: { number: 3004, level: "info", text: "A shard writes to the key-value service again.", action: "None." },
    invalidValue: {
        number: 3005,
        level: "error",
        text: "The value of a shard in the key-value service is invalid.",
        action: "Check that all daemons run compatible versions; the shard is not served until its value is valid.",
    },
    valueTooLarge: {
        number: 3006,
        level: "error",
        text: "The value of a shard is too large for the key-value service.",
        action: "Shorten the retention of results or raise the number of shards.",
    },
    unknownOutcome: {
        number: 3007,
        level: "warn",
        text: "It is not known whether an endpoint ran a request.",
        action: "List it with 'filbertrelay requests --unknown' and ask the service's operator.",
    },
});
