import VError from "verror";
import { ErrorCode } from "./ErrorCode.js";

/** What a failure says: what was expected, and what was got instead. */
export interface ErrorStructure {
    code: ErrorCode;
    expected: string;
    got: string;
    cause?: unknown;
    info?: Record<string, unknown>;
}

/**
 * Creates an error that names its code, what was expected and what was got.
 * @param structure - Parts of the error.
 */
export function createError(structure: ErrorStructure): VError {
    const cause = structure.cause instanceof Error ? structure.cause : undefined;
    return new VError(
        { name: structure.code, cause, info: structure.info ?? {} },
        "Expected %s, but got %s",
        structure.expected,
        structure.got,
    );
}

/**
 * Tells whether a thrown value was created with the given code.
 * @param error - Thrown value.
 * @param code - Code to look for, also in the causes.
 */
export function hasErrorCode(error: unknown, code: ErrorCode): boolean {
    return error instanceof Error && VError.hasCauseWithName(error, code);
}
