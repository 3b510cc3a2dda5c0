/** An expected failure with a code; `path` locates it in the input where applicable. */
export interface Issue {
    readonly code: string;
    readonly message: string;
    readonly path?: readonly (string | number)[];
}

/** The result of an operation that can fail in an expected way. */
export type Outcome<T, I extends Issue = Issue> =
    | { readonly ok: true; readonly value: T; }
    | { readonly ok: false; readonly issue: I; };

/** Wraps a value as a successful outcome. */
export function success<T>(value: T): { readonly ok: true; readonly value: T; } {
    return { ok: true, value };
}

/** Wraps an issue as a failed outcome. */
export function failure<I extends Issue>(issue: I): { readonly ok: false; readonly issue: I; } {
    return { ok: false, issue };
}
