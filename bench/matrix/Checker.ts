import { Outcome } from "../../src/protocol/index.js";
import type { HttpAnswer } from "../../src/utils/http.js";
import { computeAnswer } from "../../standins/engine/tokens.js";
import { readStreamText } from "../caller.js";
import type { Recorder } from "./Recorder.js";

/** Checks what callers received against what the services really ran. */
export interface Checker {
    /** Checks an answer to a booking, at the time at which the caller gets it. */
    checkBooking(key: string, answer: HttpAnswer, isOnlyCopy: boolean): void;
    /** Checks a streamed answer. */
    checkStream(prompt: string, tokens: number, answer: HttpAnswer | undefined): void;
    /** Checks the runs of all keys, once no request is in flight. */
    checkRuns(keys: Iterable<string>): void;
    /** Broken invariants. */
    readonly violations: string[];
    readonly counts: CheckerCounts;
}

/** Numbers of what was seen. */
export interface CheckerCounts {
    answered: number;
    notRun: number;
    ran: number;
    unknown: number;
    wholeStreams: number;
    failedStreams: number;
}

const SUCCESS = 300;

/**
 * Creates a checker.
 * @param recorder - Record of what was run.
 */
export function createChecker(recorder: Recorder): Checker {
    const violations: string[] = [];
    const bodies = new Map<string, string>();
    const counts = { answered: 0, notRun: 0, ran: 0, unknown: 0, wholeStreams: 0, failedStreams: 0 };
    return { checkBooking, checkStream, checkRuns, violations, counts };

    function checkBooking(key: string, answer: HttpAnswer, isOnlyCopy: boolean): void {
        if (answer.status < SUCCESS) {
            checkAnswered(key, answer);
            return;
        }
        const outcome = answer.headers["auburnpass-outcome"];
        const runs = recorder.countRuns(key);
        if (outcome === Outcome.NotRun) {
            counts.notRun++;
            if (isOnlyCopy && runs > 0) {
                violations.push(
                    `${key}: told "not run" (${answer.headers["auburnpass-cause"]}), but it ran ${runs} times`,
                );
            }
        } else if (outcome === Outcome.Ran) {
            counts.ran++;
            if (runs === 0) {
                violations.push(`${key}: told "ran", but it did not run`);
            }
        } else {
            counts.unknown++;
        }
    }

    function checkAnswered(key: string, answer: HttpAnswer): void {
        counts.answered++;
        const body = answer.body.toString("utf8");
        const known = bodies.get(key);
        if (recorder.countRuns(key) === 0) {
            violations.push(`${key}: answered, but it did not run`);
        }
        if (!body.includes(`"key":"${key}"`)) {
            violations.push(`${key}: got the answer of another request`);
        }
        if (known !== undefined && known !== body) {
            violations.push(`${key}: got two different answers`);
        }
        bodies.set(key, body);
    }

    function checkStream(prompt: string, tokens: number, answer: HttpAnswer | undefined): void {
        const body = answer?.body.toString("utf8") ?? "";
        if (answer?.status !== 200 || !body.endsWith("data: [DONE]\n\n")) {
            counts.failedStreams++;
            return;
        }
        counts.wholeStreams++;
        if (readStreamText(answer.body) !== computeAnswer(`user:${prompt}`, tokens)) {
            violations.push(`${prompt}: a stream that is not the whole answer ended as whole`);
        }
    }

    function checkRuns(keys: Iterable<string>): void {
        for (const key of keys) {
            const runs = recorder.countRuns(key);
            if (runs > 1) {
                violations.push(`${key}: ran ${runs} times`);
            }
        }
    }
}
