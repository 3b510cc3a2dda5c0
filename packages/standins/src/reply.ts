import type { Context } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import type * as z from "zod";

/** The error body of every stand-in. */
export function errorBody(
    code: string,
    message: string,
): { readonly error: { readonly code: string; readonly message: string; }; } {
    return { error: { code, message } };
}

/** Answers with an error; `executed` states whether the request was run. */
export function refuse(
    context: Context,
    status: ContentfulStatusCode,
    code: string,
    message: string,
    executed?: "no",
): Response {
    return context.json(errorBody(code, message), status, executed === undefined ? {} : { "x-filbertrelay-executed": executed });
}

/** Reads and checks a JSON body; gives the fault as text when it is not as expected. */
export async function readJson<T>(context: Context, schema: z.ZodType<T>): Promise<{ value: T; } | { fault: string; }> {
    let body: unknown;
    try {
        const text = await context.req.text();
        body = text === "" ? {} : JSON.parse(text);
    }
    catch {
        return { fault: "The body is not JSON." };
    }
    return check(body, schema);
}

/** Checks a value; gives the first fault with its path. */
export function check<T>(value: unknown, schema: z.ZodType<T>): { value: T; } | { fault: string; } {
    const checked = schema.safeParse(value);
    if (checked.success) {
        return { value: checked.data };
    }
    const first = checked.error.issues[0];
    return { fault: `'${first?.path.join(".") ?? ""}': ${first?.message ?? "The value is invalid."}` };
}

/** Reads a whole number from the query; the fallback is used when it is absent or not a whole number. */
export function queryNumber(context: Context, name: string, fallback: number): number {
    const text = context.req.query(name);
    const value = Number(text);
    return text === undefined || text === "" || !Number.isSafeInteger(value) || value < 0 ? fallback : value;
}
