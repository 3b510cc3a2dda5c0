import { Given, Then, When } from "@cucumber/cucumber";
import { createRandom } from "@filbertrelay/emulator";
import type { Random } from "@filbertrelay/emulator";
import { createEventLog, createVirtualClock, declareEvents } from "@filbertrelay/kernel";
import type { EventFields } from "@filbertrelay/kernel";
import { createPlatformDecoder } from "@filbertrelay/platform";
import { validateShape } from "@filbertrelay/wire";
import assert from "node:assert/strict";
import * as z from "zod";
import {
    attachReplySchema,
    attachReportSchema,
    groupReportSchema,
    hostReportSchema,
} from "../../packages/ingress/src/fleet/report.js";

interface CostWorld {
    schemas: readonly z.ZodType[];
    readings: { readonly actual: unknown; readonly expected: unknown; }[];
    lines: { readonly fields: EventFields; readonly line: string; }[];
}

const seed = 40;
const events = declareEvents({
    written: { number: 9_903, level: "info", text: "A \"test\" event.", action: "None." },
});

Given("schemas of messages with optional, nullable, repeated and named parts", function(this: CostWorld) {
    const inner = z.object({ a: z.number(), b: z.string().optional() });
    this.schemas = [
        inner,
        z.strictObject({ a: inner, b: z.number().nullable() }),
        z.record(z.string(), inner),
        z.record(z.string().min(2), z.number()),
        z.array(z.record(z.string(), z.number())),
        z.object({ a: z.unknown(), b: z.array(z.string()).readonly().optional() }),
        z.object({ a: z.int(), b: z.boolean().default(true) }),
        z.object({ a: z.string().max(1), b: z.email().optional() }),
        z.looseObject({ a: z.coerce.number() }),
        z.object({ a: z.number().positive(), b: z.number().min(0.5).lt(1).optional(), c: z.number().multipleOf(0.5).optional() }),
    ];
});

Then("{int} random values are validated as by the schema library", function(this: CostWorld, count: number) {
    const random = createRandom(seed);
    for (let index = 0; index < count; index += 1) {
        const value = drawValue(random, 3);
        for (const schema of this.schemas) {
            const expected = schema.safeParse(value);
            const actual = validateShape(schema, value);
            assert.equal(actual.success, expected.success, JSON.stringify(value));
            assert.deepEqual(actual.data, expected.data);
        }
    }
});

Given("the schemas of reports between hosts", function(this: CostWorld) {
    this.schemas = [hostReportSchema, groupReportSchema, attachReportSchema, attachReplySchema];
});

Then("{int} random reports of each are recognised without the library", function(this: CostWorld, count: number) {
    const random = createRandom(seed);
    for (const schema of this.schemas) {
        let libraryCalls = 0;
        const watched = Object.create(schema, {
            safeParse: {
                value: (value: unknown) => {
                    libraryCalls += 1;
                    return schema.safeParse(value);
                },
            },
        }) as z.ZodType;
        for (let index = 0; index < count; index += 1) {
            const report = drawMatch(random, schema);
            assert.equal(schema.safeParse(report).success, true, JSON.stringify(report));
            assert.equal(validateShape(watched, report).success, true);
        }
        assert.equal(libraryCalls, 0);
    }
});

/** A value that a schema accepts, of the kinds that occur in reports. */
function drawMatch(random: Random, schema: z.core.$ZodType): unknown {
    const { def } = (schema as z.core.$ZodTypes)._zod;
    switch (def.type) {
        case "number":
            return random.integer(1, 1_000) / 4;
        case "string":
            return `name-${random.integer(0, 9)}`;
        case "boolean":
            return random.integer(0, 1) === 1;
        case "optional":
            return random.integer(0, 2) === 0 ? undefined : drawMatch(random, def.innerType);
        case "nullable":
            return random.integer(0, 2) === 0 ? null : drawMatch(random, def.innerType);
        case "readonly":
            return drawMatch(random, def.innerType);
        case "array":
            return Array.from({ length: random.integer(0, 3) }, () => drawMatch(random, def.element));
        case "record":
            return Object.fromEntries(
                Array.from({ length: random.integer(0, 3) }, (_, index) => [`key-${index}`, drawMatch(random, def.valueType)]),
            );
        case "object":
            return Object.fromEntries(
                Object.entries(def.shape).map(([name, part]) => [name, drawMatch(random, part)] as const)
                    .filter(([, value]) => value !== undefined),
            );
        default:
            throw new TypeError(`Reports have no part of the kind '${def.type}'.`);
    }
}

function drawValue(random: Random, depth: number): unknown {
    const kind = random.integer(0, depth > 0 ? 11 : 7);
    if (kind <= 7) {
        return [1, 0.5, Number.NaN, Infinity, "x", "long", undefined, null][kind];
    }
    if (kind === 8) {
        return Array.from({ length: random.integer(0, 2) }, () => drawValue(random, depth - 1));
    }
    const names = ["a", "b", "c", "__proto__"].filter(() => random.integer(0, 2) > 0);
    const entries = names.map(name => [name, random.integer(0, 1) === 0 ? 1 : drawValue(random, depth - 1)] as const);
    return Object.fromEntries(entries);
}

Given("a decoder that has read entries of one endpoint in {int} random orders", function(this: CostWorld, orders: number) {
    const random = createRandom(seed);
    const entry = {
        backend: "records",
        address: "10.0.0.1:80",
        zone: "a",
        capacity: 4,
        state: "ready",
        born: 7,
        modelList: [],
        sequence: 5,
    };
    const text = JSON.stringify(entry);
    const withSequence = (digits: string): string => text.replace("\"sequence\":5", `"sequence":${digits}`);
    const entries = [
        ...["5", "6", "123456", "007", "-1", "1.5", "1e3", "\"5\"", "99999999999999999999", ""].map(withSequence),
        text.replace("\"a\"", "\"b\""),
        text.replace("[]", "[{\"sequence\":5}]"),
        text.replace("[]", "[{\"sequence\":6}]"),
        text.replace("\"sequence\":5", "\"other\":{\"sequence\":5}"),
        text.replace("\"sequence\":5", "\"other\":{\"sequence\":6}"),
        text.replace("\"sequence\"", "\"\\u0073equence\""),
        text.replace("{", "{\"sequence\":1,"),
        text.replace("{", "{\"\\u0073equence\":1,"),
        `${withSequence("6")} `,
        text.slice(0, -1),
        text.replace("ready", "draining"),
        "",
    ];
    this.readings = [];
    for (let order = 0; order < orders; order += 1) {
        const decoder = createPlatformDecoder();
        for (let step = 0; step < 6; step += 1) {
            const value = random.pick(entries);
            const fresh = createPlatformDecoder();
            this.readings.push({
                actual: [decoder.readEndpoint("servers/e", value), decoder.readEndpointSequence("servers/e", value)],
                expected: [fresh.readEndpoint("servers/e", value), fresh.readEndpointSequence("servers/e", value)],
            });
        }
    }
});

Then("each entry gave the same record and sequence as with a new decoder", function(this: CostWorld) {
    this.readings.forEach(({ actual, expected }) => assert.deepEqual(actual, expected));
});

When("lines are written with no fields, with fields, and with fields named like those of the log", function(this: CostWorld) {
    this.lines = [];
    const written: string[] = [];
    const log = createEventLog({
        clock: createVirtualClock(),
        format: "json",
        level: "info",
        context: { host: "alder" },
        write: line => void written.push(line),
    });
    const calls: readonly EventFields[] = [
        {},
        { absent: undefined },
        { requestId: "r\"1", count: 2, isFinal: false, parts: ["p", "q"], absent: undefined },
        { text: "other", host: "birch", requestId: "r2" },
    ];
    calls.forEach(fields => log.write(events.written, fields));
    this.lines = calls.map((fields, index) => ({ fields, line: written[index] ?? "" }));
});

Then("each line is the JSON of all its fields, of which those of the call take precedence", function(this: CostWorld) {
    const { number, level, text } = events.written;
    for (const { fields, line } of this.lines) {
        const time = new Date(0).toISOString();
        assert.equal(line, JSON.stringify({ time, level, event: number, text, host: "alder", ...fields }));
    }
});
