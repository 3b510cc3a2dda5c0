import modernErrors from "modern-errors";

/** The parent of every error class of filbertrelay. */
export const BaseError = modernErrors.subclass("BaseError");

/** A broken invariant; the process stops with exit code 70. */
export const InvariantError = BaseError.subclass("InvariantError");

/** The exit code of a process that found a broken invariant. */
export const invariantExitCode = 70;

/** Throws an `InvariantError` unless the condition holds. */
export function invariant(condition: unknown, message: string): asserts condition {
    if (condition === false || condition === undefined || condition === null) {
        throw new InvariantError(message);
    }
}
