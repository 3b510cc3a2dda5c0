import { bucketsOfFactor, countFrom, emptyRouteTally, medianBucket } from "./routetally.js";
import type { RouteTally, VersionTally } from "./routetally.js";

/** What the answers of both versions on the same routes show. */
export type VersionComparison =
    | { readonly type: "worse"; readonly reason: string; }
    | { readonly type: "unproven"; readonly missingRoutes: readonly string[]; }
    | { readonly type: "sound"; };

/** An answer counts as slow from this multiple of the median of the versions that served before. */
const slowFactor = 2.8;
/** Endpoints that must have lost requests before the version is blamed; a single one may have crashed by itself. */
const blamedEndpoints = 3;
/** Answers of the former versions with which a route can be compared. */
const minBaseAnswers = 10;
/** Answers of the target on each route before it can count as sound. */
const minTargetAnswers = 20;
/** Difference of the shares of bad answers that matters to callers. */
const minDifference = 0.05;
/** Fewest bad answers of the target that count as evidence. */
const minBadAnswers = 4;
/** A fault is found when so many bad answers are less likely than this in a version as good as the others. */
const chanceLimit = 1e-5;
/** Without answers to compare with, a version is worse when more than this share of at least `minUncomparedBad` answers failed. */
const uncomparedShare = 0.5;
const minUncomparedBad = 8;

/** Compares the target with the versions that serve beside it, by route. */
export function compareVersions(base: VersionTally, target: VersionTally): VersionComparison {
    const routes = [...new Set([...Object.keys(base), ...Object.keys(target)])].sort();
    for (const route of routes) {
        const reason = findFault(base[route] ?? emptyRouteTally, target[route] ?? emptyRouteTally);
        if (reason !== undefined) {
            return { type: "worse", reason: `route ${route}: ${reason}` };
        }
    }
    const missingRoutes = routes.filter(route =>
        (base[route]?.answers ?? 0) >= minBaseAnswers && (target[route]?.answers ?? 0) < minTargetAnswers
    );
    const hasProof = routes.some(route => (target[route]?.answers ?? 0) >= minTargetAnswers);
    return missingRoutes.length > 0 || !hasProof ? { type: "unproven", missingRoutes } : { type: "sound" };
}

function findFault(base: RouteTally, target: RouteTally): string | undefined {
    const median = medianBucket(base);
    const found = countBad(target, median);
    if (base.answers < minBaseAnswers || median === undefined) {
        return found.bad >= minUncomparedBad && found.bad > found.total * uncomparedShare ? describe(found) : undefined;
    }
    const expected = countBad(base, median);
    const expectedShare = expected.bad / expected.total;
    const isClear = found.bad >= minBadAnswers && found.bad / found.total - expectedShare >= minDifference;
    const isFault = isClear && chanceOfAtLeast(found.bad, found.total, upperBound(expected)) < chanceLimit;
    return isFault ? `${describe(found)}, before ${describe(expected)}` : undefined;
}

/** An upper bound of the share of bad answers that a count stands for. */
function upperBound({ bad, total }: BadCount): number {
    const share = bad / total;
    return Math.min(1, share + (2 * Math.sqrt(total * share * (1 - share)) + 1) / total);
}

/** The probability of at least `count` of `total` independent answers being bad. */
function chanceOfAtLeast(count: number, total: number, share: number): number {
    if (share >= 1) {
        return 1;
    }
    let logTerm = total * Math.log1p(-share);
    let sum = 0;
    for (let bad = 0; bad <= total; bad += 1) {
        sum += bad >= count ? Math.exp(logTerm) : 0;
        logTerm += Math.log((total - bad) / (bad + 1)) + Math.log(share / (1 - share));
    }
    return sum;
}

interface BadCount {
    readonly bad: number;
    readonly total: number;
}

function countBad(tally: RouteTally, median: number | undefined): BadCount {
    const slow = median === undefined ? 0 : countFrom(tally, median + bucketsOfFactor(slowFactor));
    const lost = tally.lostEndpoints.length >= blamedEndpoints ? tally.lost : 0;
    // An answer may have failed and be slow.
    return { bad: Math.min(tally.answers, tally.failures + slow) + lost, total: tally.answers + lost };
}

function describe({ bad, total }: BadCount): string {
    return `${bad} of ${total} answers bad`;
}
