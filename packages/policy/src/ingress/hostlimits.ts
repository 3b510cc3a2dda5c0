/** Resident memory of a host without requests, in MB. */
const restMb = 90;
/** Share of the remaining memory that is planned with; the rest is for what was released but not collected yet. */
const plannedRatio = 0.7;
/** Two bodies and answers of the greatest size fit however small the host is. */
const smallestBytes = 16_777_216;
/** Upper bound of the memory for endpoints' answers, and the share of one endpoint, in which two answers of the greatest length fit. */
const greatestAnswerBytes = 50_331_648;
const greatestEndpointBytes = 16_777_216;
/** Descriptors for files, which are not available to connections. */
const fileDescriptors = 200;
/** Fewest descriptors for connections that are planned with. */
const smallestSockets = 128;
const bytesPerMb = 1_048_576;

/** How the memory of a host is divided, in bytes. */
export interface MemoryShares {
    /** For callers' requests and the answers that their callers have not taken. */
    readonly callerBytes: number;
    /** For answers that are buffered until they are complete, of all endpoints and of one. */
    readonly answerBytes: number;
    readonly endpointAnswerBytes: number;
}

/** Divides the memory limit of a host. */
export function divideMemory(memoryMb: number): MemoryShares {
    const plannedBytes = Math.max(0, memoryMb - restMb) * plannedRatio * bytesPerMb;
    const answerBytes = Math.min(greatestAnswerBytes, Math.max(smallestBytes, plannedBytes * 0.4));
    return {
        callerBytes: Math.max(smallestBytes, plannedBytes - answerBytes),
        answerBytes,
        endpointAnswerBytes: Math.min(greatestEndpointBytes, answerBytes),
    };
}

/** Most connections at each address of a host; what is left is for endpoints, other hosts and the store. */
export interface ConnectionShares {
    readonly callers: number;
    readonly directory: number;
    readonly readiness: number;
    readonly metrics: number;
}

/** Divides the descriptors of a host. A request in progress needs a connection of its caller and one to an endpoint. */
export function divideDescriptors(descriptors: number): ConnectionShares {
    const sockets = Math.max(smallestSockets, descriptors - fileDescriptors);
    return {
        callers: Math.floor(sockets * 0.45),
        directory: Math.floor(sockets * 0.08),
        readiness: Math.floor(sockets * 0.03),
        metrics: Math.floor(sockets * 0.03),
    };
}
