/** The size that the design has to reach, as the users state it. */
export const target = {
    nodes: 360,
    engines: 7_700,
    accelerators: 15_000,
    requestsPerSecond: 16_000,
    tokensPerSecond: 3_400_000,
    firstTokenSeconds: 0.88,
    betweenTokensMs: 60,
    reclaimableShare: 0.52,
    regions: 3,
    failureDomains: 10,
    configurationsPerDay: 24_000,
    configurationSeconds: 5,
    controlCoreShare: 0.024,
    controlMegabytes: 256,
    controlKilobytesPerSecond: 7,
    failuresPerDay: 160,
    replacementsPerDay: 440,
} as const;

/** Figures that the target does not state and that the page assumes. */
export const assumption = {
    /** Time between two tokens of one stream. */
    tokenMs: 30,
    promptCharacters: 8_000,
    customers: 200,
    /** Part of the requests that are non-idempotent. */
    nonIdempotentShare: 0.02,
    shards: 64,
    batchSeconds: 0.2,
    enginesPerHost: 32,
    bytesPerLoadRead: 450,
    loadReadSeconds: 8,
    watchSeconds: 20,
    watchersPerFailureDomain: 2,
} as const;
