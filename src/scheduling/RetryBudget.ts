/** Bounds the retries of a process to a share of its first attempts. */
export interface RetryBudget {
    recordFirstAttempt(): void;
    /** Takes a retry from the budget; false if it is spent. */
    takeRetry(): boolean;
}

/** Options of the budget. */
export interface RetryBudgetOptions {
    /** Retries for each first attempt. */
    share: number;
    /** Most retries that can be saved up. */
    maxSaved: number;
}

/**
 * Creates a budget that starts full.
 * @param options - Share and bound.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    let saved = options.maxSaved;
    return {
        recordFirstAttempt() {
            saved = Math.min(options.maxSaved, saved + options.share);
        },
        takeRetry() {
            if (saved < 1) {
                return false;
            }
            saved -= 1;
            return true;
        },
    };
}
