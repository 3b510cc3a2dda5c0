import type * as z from "zod";

type Shape = (value: unknown) => boolean;

const shapes = new WeakMap<z.ZodType, Shape>();

/**
 * Validates a decoded value as `schema.safeParse` does. A value that has exactly the shape of a schema without checks of its own is
 * recognised without the library, which takes several times as long on a host that runs little code more than once.
 */
export function validateShape<Schema extends z.ZodType>(schema: Schema, value: unknown): z.ZodSafeParseResult<z.output<Schema>> {
    let matches = shapes.get(schema);
    if (matches === undefined) {
        matches = createShape(schema);
        shapes.set(schema, matches);
    }
    return matches(value) ? { success: true, data: value as z.output<Schema> } : schema.safeParse(value);
}

/** Returns whether validation of a value succeeds without changing it; false where only the library can tell. */
function createShape(schema: z.core.$ZodType): Shape {
    const { def } = (schema as z.core.$ZodTypes)._zod;
    if (def.type === "number" && def.coerce !== true && !("format" in def)) {
        return createNumber(def.checks ?? []);
    }
    if (def.checks !== undefined && def.checks.length > 0) {
        return () => false;
    }
    switch (def.type) {
        case "unknown":
            return () => true;
        case "boolean":
            return def.coerce === true ? () => false : value => typeof value === "boolean";
        case "string":
            return def.coerce === true || "format" in def ? () => false : value => typeof value === "string";
        case "optional":
            return createOptional(createShape(def.innerType));
        case "nullable":
            return createNullable(createShape(def.innerType));
        case "readonly":
            // The library freezes the value, which its type says already.
            return createShape(def.innerType);
        case "array":
            return createArray(createShape(def.element));
        case "record":
            return isAnyString(def.keyType) ? createRecord(createShape(def.valueType)) : () => false;
        case "object":
            return createObject(def.shape);
        default:
            return () => false;
    }
}

/** Numbers within bounds; other checks are left to the library. */
function createNumber(checks: readonly z.core.$ZodCheck<never>[]): Shape {
    const bounds = checks.map(({ _zod: { def } }) => createBound(def as z.core.$ZodChecks["_zod"]["def"]));
    return value => typeof value === "number" && Number.isFinite(value) && bounds.every(isWithin => isWithin(value));
}

function createBound(def: z.core.$ZodChecks["_zod"]["def"]): (value: number) => boolean {
    if (def.check !== "greater_than" && def.check !== "less_than") {
        return () => false;
    }
    const { check, value: bound, inclusive } = def;
    if (typeof bound !== "number") {
        return () => false;
    }
    return check === "greater_than" ?
        value => inclusive ? value >= bound : value > bound :
        value => inclusive ? value <= bound : value < bound;
}

function isAnyString(schema: z.core.$ZodType): boolean {
    const { def } = (schema as z.core.$ZodTypes)._zod;
    return def.type === "string" && createShape(schema)("");
}

function createOptional(inner: Shape): Shape {
    return value => value === undefined || inner(value);
}

function createNullable(inner: Shape): Shape {
    return value => value === null || inner(value);
}

function createArray(element: Shape): Shape {
    return value => {
        if (!Array.isArray(value)) {
            return false;
        }
        const elements: readonly unknown[] = value;
        return elements.every(element);
    };
}

function createRecord(entry: Shape): Shape {
    return value => {
        if (!isPlain(value)) {
            return false;
        }
        for (const name in value) {
            // The library leaves this name out.
            if (name === "__proto__" || !entry(value[name])) {
                return false;
            }
        }
        return true;
    };
}

function createObject(shape: Readonly<Record<string, z.core.$ZodType>>): Shape {
    const properties = Object.entries(shape).map(([name, schema]) => ({
        name,
        matches: createShape(schema),
        mayLack: (schema as z.core.$ZodTypes)._zod.def.type === "optional",
    }));
    return value => {
        if (!isPlain(value)) {
            return false;
        }
        let known = 0;
        for (const { name, matches, mayLack } of properties) {
            if (Object.hasOwn(value, name)) {
                known += 1;
                if (!matches(value[name])) {
                    return false;
                }
            }
            else if (!mayLack) {
                return false;
            }
        }
        // The library removes unknown properties or rejects them.
        return known === Object.keys(value).length;
    };
}

function isPlain(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null && Object.getPrototypeOf(value) === Object.prototype;
}
