import { isContentTrait, listTraits, matchesCause } from "./crash.js";
import type { CrashCause, EndpointCrash, InterruptedRequest, RequestTrait } from "./crash.js";

/** Input of `attributeCrashes`. All times are on the same clock. */
export interface AttributionInput {
    readonly crashes: readonly EndpointCrash[];
    /** When a request with the trait last made progress at any endpoint; `undefined` if never. */
    readonly lastProgressMs: (trait: RequestTrait) => number | undefined;
    /** When any request last made progress; while none does, no trait can clear itself. */
    readonly lastAnyProgressMs: number;
    readonly knownCauses: readonly CrashCause[];
    readonly nowMs: number;
}

/** Crashes in sequence after which a trait is held responsible. */
const requiredCrashes = 3;
/** The same for a trait with which requests have made progress before the crashes. */
const requiredCrashesAfterProgress = 4;
/** Reports of other hosts about the same crashes, and progress that clears a trait, arrive within this time. */
const settleMs = 1_000;

/** A trait that may be responsible, with the crashes that no known cause explains. */
interface Suspicion {
    readonly trait: RequestTrait;
    /** Earliest first, each with the latest time at which a request with the trait was sent. */
    readonly crashes: { readonly crashedMs: number; sentMs: number; }[];
    /** In how many of the crashes each content was in progress. */
    readonly contents: Map<RequestTrait, number>;
    readonly requests: InterruptedRequest[];
    readonly hasProgressed: boolean;
}

interface Assessment {
    readonly suspicion: Suspicion;
    /** The most crashes at which a request with the trait broke off that was sent after the crash before. */
    readonly inSequence: number;
    /** Time of the crash that made these sufficient. */
    readonly sinceMs: number | undefined;
}

/**
 * Returns what crashes endpoints and is not among the known causes. A trait is responsible for crashes if requests with it, each sent
 * after the previous crash, broke off at every one, if none of them has made progress since, and if no other trait explains more
 * crashes. Traits that all of these requests share can't be told apart and are a cause together.
 */
export function attributeCrashes(input: AttributionInput): readonly CrashCause[] {
    // A part is looked for first, since it also explains the crashes of each content that has it.
    const parts = attribute(input, trait => !isContentTrait(trait));
    return [...parts, ...attribute({ ...input, knownCauses: [...input.knownCauses, ...parts] }, isContentTrait)];
}

function attribute(input: AttributionInput, isCandidate: (trait: RequestTrait) => boolean): readonly CrashCause[] {
    const causes = [...input.knownCauses];
    for (;;) {
        const found = findLeading(listSuspicions({ ...input, knownCauses: causes }, isCandidate), input);
        if (found === undefined || causes.some(cause => cause.join() === found.join())) {
            return causes.slice(input.knownCauses.length);
        }
        causes.push(found);
    }
}

/** Whether a known cause other than the trait, or than a combination with it, explains the crash. */
function isExplained({ interrupted }: EndpointCrash, trait: RequestTrait, causes: readonly CrashCause[]): boolean {
    return causes.some(cause =>
        !cause.includes(trait) &&
        interrupted.some(request =>
            matchesCause(request, cause) && !(cause.every(isContentTrait) && listTraits(request).includes(trait))
        )
    );
}

function listSuspicions(
    { crashes, knownCauses, lastProgressMs }: AttributionInput,
    isCandidate: (trait: RequestTrait) => boolean,
): readonly Suspicion[] {
    const suspicions = new Map<RequestTrait, Suspicion>();
    for (const crash of [...crashes].sort((left, right) => left.crashedMs - right.crashedMs)) {
        for (const trait of new Set(crash.interrupted.flatMap(listTraits).filter(isCandidate))) {
            const progressMs = lastProgressMs(trait);
            const isCleared = progressMs !== undefined && progressMs >= crash.crashedMs;
            if (!isCleared && !isExplained(crash, trait, knownCauses)) {
                const known = suspicions.get(trait) ??
                    { trait, crashes: [], contents: new Map(), requests: [], hasProgressed: progressMs !== undefined };
                suspicions.set(trait, known);
                addCrash(known, crash);
            }
        }
    }
    return [...suspicions.values()];
}

function addCrash({ trait, crashes, contents, requests }: Suspicion, { crashedMs, interrupted }: EndpointCrash): void {
    const carriers = interrupted.filter(request => listTraits(request).includes(trait));
    crashes.push({ crashedMs, sentMs: Math.max(...carriers.map(({ sentMs }) => sentMs)) });
    requests.push(...carriers);
    for (const content of new Set(carriers.map(request => request.content))) {
        contents.set(content, (contents.get(content) ?? 0) + 1);
    }
}

/** The cause of the most crashes; none while traits of different requests explain as many. */
function findLeading(suspicions: readonly Suspicion[], input: AttributionInput): CrashCause | undefined {
    const assessed = suspicions.filter(isDistinct).map(assess);
    const [first, ...others] = assessed.filter(assessment => isSettled(assessment, input)).sort(compare);
    if (first === undefined) {
        return undefined;
    }
    const equal = others.filter(other => compare(first, other) === 0);
    const cause = [first, ...equal].map(({ suspicion: { trait } }) => trait).sort();
    return [first, ...equal].every(({ suspicion }) => suspicion.requests.every(request => matchesCause(request, cause))) ?
        cause :
        undefined;
}

/** Whether the trait can be told from a content that was in progress at all of its crashes. */
function isDistinct({ trait, crashes, contents }: Suspicion): boolean {
    return isContentTrait(trait) || [...contents.values()].every(count => count < crashes.length);
}

/** Whether the trait had the time to make progress, if it can. */
function isSettled({ sinceMs, suspicion }: Assessment, { nowMs, lastAnyProgressMs }: AttributionInput): boolean {
    const observedMs = suspicion.hasProgressed ? lastAnyProgressMs : nowMs;
    return sinceMs !== undefined && observedMs - sinceMs >= settleMs;
}

function assess(suspicion: Suspicion): Assessment {
    const required = suspicion.hasProgressed ? requiredCrashesAfterProgress : requiredCrashes;
    let inSequence = 0;
    let lastCrashedMs = -Infinity;
    let sinceMs: number | undefined;
    for (const { crashedMs, sentMs } of suspicion.crashes) {
        // Requests that were in progress at the same time break off together when many endpoints stop at once.
        if (sentMs >= lastCrashedMs) {
            inSequence += 1;
            lastCrashedMs = crashedMs;
            sinceMs = inSequence === required ? crashedMs : sinceMs;
        }
    }
    return { suspicion, inSequence, sinceMs };
}

function compare({ suspicion: left, ...first }: Assessment, { suspicion: right, ...second }: Assessment): number {
    return second.inSequence - first.inSequence || Number(left.hasProgressed) - Number(right.hasProgressed) ||
        right.crashes.length - left.crashes.length;
}
