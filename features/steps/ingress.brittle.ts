import { After, Given, Then, When } from "@cucumber/cucumber";
import type { DataTable } from "@cucumber/cucumber";
import { createPlatformDialect } from "@filbertrelay/platform";
import type { RoomReport } from "@filbertrelay/policy/ingress";
import assert from "node:assert/strict";
import { isDeepStrictEqual } from "node:util";
import { BrittleFleet } from "../support/brittlefleet.js";
import type { FleetAnswer } from "../support/brittlefleet.js";
import { playBrittleDay } from "../support/brittlesimulation.js";
import type { BrittleDay, BrittleResult } from "../support/brittlesimulation.js";
import { countShare, createKnowingHost, endpoint, hostIds } from "../support/knowinghost.js";
import { createRandom } from "../support/random.js";

interface BrittleWorld {
    brittleFleet: BrittleFleet | undefined;
    fleetAnswers: FleetAnswer[];
    pressedMs: number;
    days: { readonly day: BrittleDay; readonly kept: BrittleResult; readonly pressed: BrittleResult | undefined; }[];
    outcomes: { readonly reports: readonly (RoomReport | undefined)[]; readonly shares: readonly number[]; }[];
}

/** Seed of the first random day; the others follow. */
const firstSeed = 20_261_206;
const seedStep = 7_919;
const mostHosts = 24;

/** Draws a day; callers press at 1.3 to 4 times the room. */
function drawDay(seed: number): BrittleDay {
    const draw = createRandom(seed);
    // The first numbers of neighbouring seeds are alike.
    Array.from({ length: 20 }, draw);
    const pick = <T>(...values: readonly T[]): T => values[Math.floor(draw() * values.length)]!;
    const hosts = Math.max(1, Math.round(mostHosts ** draw()));
    const capacity = pick(4, 8, 16);
    return {
        seed,
        hosts,
        endpoints: 2 + Math.floor(draw() * 5),
        capacity,
        statedCapacity: capacity,
        queue: 4,
        brittleQueue: Math.floor(draw() * 3),
        rejections: pick(1, 2, 3, 5, 8, 20),
        press: 1.3 + 2.7 * draw(),
        pressMs: 0,
        moveMs: Infinity,
        holdMs: pick(200, 600, 1_200),
        exchangeMs: hosts > 12 ? 400 + 200 * draw() : 200 + 100 * draw(),
        lostReports: 0,
        starting: 0,
        freezing: 0,
        isKept: true,
        isBrittle: true,
    };
}

function drawTroubledDay(seed: number): BrittleDay {
    const day = drawDay(seed);
    const draw = createRandom(seed + 1);
    Array.from({ length: 20 }, draw);
    const trouble = Math.floor(draw() * 3);
    return {
        ...day,
        lostReports: 0.2 * draw(),
        starting: trouble === 0 ? Math.floor(day.hosts * draw() / 2) : 0,
        freezing: Math.floor(day.hosts * draw() / 3),
        pressMs: trouble === 1 ? 8_000 + 8_000 * draw() : 0,
        moveMs: trouble === 2 && day.hosts > 1 ? 8_000 + 8_000 * draw() : Infinity,
    };
}

function drawSeeds(count: number): readonly number[] {
    return Array.from({ length: count }, (_, index) => firstSeed + index * seedStep);
}

function mostFalls({ endpoints }: BrittleDay): number {
    return 2 + endpoints / 10;
}

When(
    "{int} random days are played on which endpoints are brittle and callers press beyond their room",
    { timeout: 120_000 },
    function(this: BrittleWorld, count: number) {
        this.days = drawSeeds(count).map(drawDay).map(day => ({
            day,
            kept: playBrittleDay(day),
            pressed: playBrittleDay({ ...day, isKept: false }),
        }));
    },
);

When(
    "{int} random days are played on which hosts start and freeze, callers come late or change hosts and reports are lost",
    { timeout: 120_000 },
    function(this: BrittleWorld, count: number) {
        this.days = drawSeeds(count).map(drawTroubledDay).map(day => ({ day, kept: playBrittleDay(day), pressed: undefined }));
    },
);

Then(
    "without keeping to the room, endpoints fall more often than 2 and a tenth of their number on at least {int} days",
    function(this: BrittleWorld, least: number) {
        const count = this.days.filter(({ day, pressed }) => (pressed?.falls ?? 0) > mostFalls(day)).length;
        assert.ok(count >= least, `${count} days`);
    },
);

Then("keeping to it, they don't on any day", function(this: BrittleWorld) {
    for (const { day, kept } of this.days) {
        assert.ok(kept.falls <= mostFalls(day), `${JSON.stringify(day)}: ${kept.falls} falls`);
    }
});

Then(
    "at least {int} percent of the room is used on days on which hosts have room for {int} requests and more each, {int} on the others",
    function(this: BrittleWorld, percent: number, requests: number, otherPercent: number) {
        for (const { day, kept } of this.days) {
            const isDivisible = day.endpoints * day.capacity / day.hosts >= requests;
            const least = isDivisible ? percent : otherPercent;
            assert.ok(kept.used * 100 >= least, `${JSON.stringify(day)}: ${kept.used}`);
        }
    },
);

Then(
    "from 2 s after the endpoints are no longer brittle at least {int} percent is used",
    function(this: BrittleWorld, percent: number) {
        for (const { day, kept } of this.days) {
            assert.ok(kept.usedAfter * 100 >= percent, `${JSON.stringify(day)}: ${kept.usedAfter}`);
        }
    },
);

When(
    "days are played on which endpoints aren't brittle, with and without keeping to the room",
    { timeout: 60_000 },
    function(this: BrittleWorld) {
        this.days = drawSeeds(4).map(seed => ({ ...drawDay(seed), isBrittle: false })).map(day => ({
            day,
            kept: playBrittleDay(day),
            pressed: playBrittleDay({ ...day, isKept: false }),
        }));
    },
);

Then("both are the same", function(this: BrittleWorld) {
    for (const { kept, pressed } of this.days) {
        assert.ok(kept.used > 0.5);
        assert.deepEqual(kept, pressed);
    }
});

When(
    "{int} random sequences of answers at 3 hosts are reported in two orders, some twice",
    function(this: BrittleWorld, count: number) {
        this.outcomes = drawSeeds(count).map(seed => {
            const draw = createRandom(seed);
            Array.from({ length: 20 }, draw);
            const sources = hostIds.map(createKnowingHost);
            let nowMs = 0;
            for (let step = 0; step < 12; step += 1) {
                nowMs += Math.ceil(draw() * 300);
                const { rooms } = sources[Math.floor(draw() * sources.length)]!;
                rooms.select(endpoint.service, [endpoint], nowMs);
                const brittleRejections = draw() < 0.8 ? 1 : undefined;
                rooms.recordAnswer(endpoint, { brittleRejections, isFull: draw() < 0.2 }, nowMs);
            }
            const last = sources.flatMap(({ rooms }) => rooms.report(nowMs) ?? []);
            const readers = hostIds.map(createKnowingHost);
            const orders = [last, last.toReversed(), [...last, ...last]];
            readers.forEach(({ rooms }, index) => orders[index]!.forEach(report => rooms.merge(report, nowMs, 0)));
            const known = readers.map(({ rooms }) => rooms.report(nowMs));
            // A brittle service whose hosts all have requests, known for longer than hosts need to hear of each other.
            for (let atMs = nowMs; atMs < nowMs + 2_000; atMs += 200) {
                const used = readers.map(({ rooms }) => {
                    rooms.recordAnswer(endpoint, { brittleRejections: 1, isFull: false }, atMs);
                    rooms.select(endpoint.service, [endpoint], atMs);
                    return rooms.report(atMs);
                });
                readers.forEach(({ rooms }) =>
                    used.forEach(report => report === undefined ? undefined : rooms.merge(report, atMs, 0))
                );
            }
            return { reports: known, shares: readers.map(reader => countShare(reader, nowMs + 2_000)) };
        });
    },
);

Then("hosts know the same after both", function(this: BrittleWorld) {
    assert.ok(this.outcomes.some(({ reports }) => reports[0] !== undefined));
    for (const { reports } of this.outcomes) {
        assert.ok(reports.every(report => isDeepStrictEqual(sortKeys(report), sortKeys(reports[0]))), JSON.stringify(reports));
    }
});

function sortKeys(value: unknown): unknown {
    return typeof value !== "object" || value === null ?
        value :
        Object.fromEntries(
            Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1).map(([key, part]) => [key, sortKeys(part)]),
        );
}

Then("their shares of an endpoint add up to its capacity at most", function(this: BrittleWorld) {
    for (const { shares, reports } of this.outcomes) {
        const sum = shares.reduce((total, share) => total + share, 0);
        const isCut = Object.keys(reports[0]?.cuts ?? {}).length > 0;
        assert.ok(isCut ? sum > 0 && sum <= endpoint.capacity : sum === endpoint.capacity, String(shares));
    }
});

Then(
    "{string} of {string} names {int} rejections, and {string}, {string}, {string} and {string} can't be used",
    (name: string, valid: string, rejections: number, zero: string, negative: string, word: string, empty: string) => {
        const dialect = createPlatformDialect();
        assert.equal(dialect.describeResponse(200, [[name, valid]]).brittleRejections, rejections);
        for (const value of [zero, negative, word, empty]) {
            const described = dialect.describeResponse(200, [[name, value]]);
            assert.deepEqual([described.brittleRejections, described.invalid], [undefined, [`${name}: ${value}`]]);
        }
    },
);

Then("these answers say that the endpoint is full:", (table: DataTable) => {
    for (const { status, headers, isFull } of table.hashes()) {
        const list = (headers ?? "").split(", ").filter(header => header !== "").map(header =>
            header.split(": ") as [string, string]
        );
        assert.equal(
            createPlatformDialect().describeResponse(Number(status), list).isFull,
            isFull === "yes",
            `${status} ${headers}`,
        );
    }
});

/** From then on the engines of the fleet fall over. */
const fragileMs = 3_000;

Given(
    "three hosts and two brittle engines with room for {int} requests each, of which {int} may be rejected within a second",
    { timeout: 30_000 },
    async function(this: BrittleWorld, capacity: number, rejections: number) {
        this.brittleFleet = new BrittleFleet(capacity, rejections);
        await this.brittleFleet.start();
    },
);

After(async function(this: Partial<BrittleWorld>) {
    await this.brittleFleet?.stop();
});

When(
    "callers press at {int} times the room for {int} s",
    { timeout: 30_000 },
    async function(this: BrittleWorld, times: number, seconds: number) {
        this.pressedMs = seconds * 1_000;
        this.fleetAnswers = await this.brittleFleet!.press(this.brittleFleet!.roomPerSecond * times, seconds);
    },
);

Then(
    "the engines fall at most {int} times from 3 s on, and at least {int} percent of their room is used",
    function(this: BrittleWorld, most: number, percent: number) {
        const { falls, busyMs } = this.brittleFleet!;
        const used = 100 * busyMs / this.brittleFleet!.roomMs(this.pressedMs - fragileMs);
        assert.ok(falls <= most && used >= percent, `${falls} falls, ${used} % used`);
    },
);

Then("refused callers get 503 as not run at once, with different times to come back", function(this: BrittleWorld) {
    const refused = this.fleetAnswers.filter(({ status }) => status !== 200);
    assert.ok(refused.length > 20);
    for (const answer of refused) {
        assert.ok(answer.status === 503 && answer.elapsedMs < 500, JSON.stringify(answer));
    }
    assert.ok(new Set(refused.map(({ retryAfter }) => retryAfter)).size > refused.length / 20);
});
