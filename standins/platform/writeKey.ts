import type { KeyValueService } from "../../src/platform/index.js";

/**
 * Writes a key whatever its revision is, as an operator or an endpoint does.
 * @param store - Store.
 * @param key - Key.
 * @param value - Value; undefined removes the key.
 */
export async function writeKey(store: KeyValueService, key: string, value: string | undefined): Promise<void> {
    const current = await store.getEntry(key);
    await store.swapEntry({ key, expectedRevision: current?.revision ?? 0, value });
}
