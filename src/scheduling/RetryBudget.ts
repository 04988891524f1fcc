/** Token bucket that limits the retries of a process to a share of its first attempts. */
export interface RetryBudget {
    recordFirstAttempt(): void;
    /** Takes a token for a retry; false if the budget is spent. */
    takeRetry(): boolean;
}

/** Options of the budget. */
export interface RetryBudgetOptions {
    /** Tokens added for each first attempt. */
    share: number;
    /** Capacity of the bucket. */
    maxTokens: number;
}

/**
 * Creates a budget that starts full.
 * @param options - Refill rate and capacity.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    let tokens = options.maxTokens;
    return {
        recordFirstAttempt() {
            tokens = Math.min(options.maxTokens, tokens + options.share);
        },
        takeRetry() {
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        },
    };
}
