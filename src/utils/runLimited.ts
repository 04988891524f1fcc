/**
 * Runs a task for each item, some at a time, and waits for all of them, also when one fails.
 * @param items - Items.
 * @param limit - Tasks that run at the same time.
 * @param run - Task of an item.
 * @returns Results in the order of the items; rejects with the first failure.
 */
export async function runLimited<T, R>(
    items: readonly T[],
    limit: number,
    run: (item: T, index: number) => Promise<R>,
): Promise<R[]> {
    const results: R[] = [];
    const failures: unknown[] = [];
    let next = 0;
    await Promise.all(Array.from({ length: Math.min(limit, items.length) }, runNext));
    if (failures.length > 0) {
        throw failures[0];
    }
    return results;

    async function runNext(): Promise<void> {
        while (next < items.length) {
            const index = next++;
            try {
                results[index] = await run(items[index] as T, index);
            } catch (error) {
                failures.push(error);
            }
        }
    }
}
