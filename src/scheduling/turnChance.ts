/**
 * Computes the chance that a request gets its turn in time, in a queue whose turns come at random moments. Answers loads where
 * all endpoints of a service are at the rates that they have named: a request that waits without a chance only learns later
 * that it is refused.
 * @param turns - Expected number of turns until the request is too late.
 * @param ahead - Number of requests that go before it.
 * @returns From 0 to 1.
 */
export function computeTurnChance(turns: number, ahead: number): number {
    if (turns === Number.POSITIVE_INFINITY) {
        return 1;
    }
    let term = Math.exp(-turns);
    let chance = 1 - term;
    for (let turn = 1; turn <= ahead; turn++) {
        term *= turns / turn;
        chance -= term;
    }
    return Math.max(0, chance);
}
