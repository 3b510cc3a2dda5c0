import modernErrors from "modern-errors";

/** The base class of all filbertrelay errors. */
export const BaseError = modernErrors.subclass("BaseError");

/** Thrown when an invariant is violated; the process exits with code 70. */
export const InvariantError = BaseError.subclass("InvariantError");

/** The exit code after an invariant violation. */
export const invariantExitCode = 70;

/** Throws an `InvariantError` unless the condition holds. */
export function invariant(condition: unknown, message: string): asserts condition {
    if (condition === false || condition === undefined || condition === null) {
        throw new InvariantError(message);
    }
}
