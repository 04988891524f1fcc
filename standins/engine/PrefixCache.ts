import { computeHash32 } from "../../src/utils/digest.js";
import { buildList } from "../../src/utils/list.js";

/** Prefix cache of an engine: a bounded set of prompt blocks, least recently used first out. */
export interface PrefixCache {
    /**
     * Looks a prompt up and keeps its blocks.
     * @returns Characters found, and the blocks that came and went.
     */
    usePrompt(prompt: string): { cachedChars: number; stored: number[]; removed: number[] };
}

/** Characters in a block of a prompt. */
export const BLOCK_CHARS = 64;

/**
 * Creates a prefix cache.
 * @param maxBlocks - Number of blocks that fit.
 */
export function createPrefixCache(maxBlocks: number): PrefixCache {
    const blocks = new Map<number, true>();
    return { usePrompt };

    function usePrompt(prompt: string): { cachedChars: number; stored: number[]; removed: number[] } {
        const hashes = computeBlockHashes(prompt);
        const firstMiss = hashes.findIndex(hash => !blocks.has(hash));
        const hits = firstMiss === -1 ? hashes.length : firstMiss;
        const stored = hashes.slice(hits);
        hashes.forEach(hash => {
            blocks.delete(hash);
            blocks.set(hash, true);
        });
        return { cachedChars: hits * BLOCK_CHARS, stored, removed: evictBlocks() };
    }

    function evictBlocks(): number[] {
        const removed: number[] = [];
        for (const hash of blocks.keys()) {
            if (blocks.size <= maxBlocks) {
                break;
            }
            blocks.delete(hash);
            removed.push(hash);
        }
        return removed;
    }
}

function computeBlockHashes(prompt: string): number[] {
    const count = Math.floor(prompt.length / BLOCK_CHARS);
    return buildList(count, index => computeHash32(prompt.slice(0, (index + 1) * BLOCK_CHARS)));
}
