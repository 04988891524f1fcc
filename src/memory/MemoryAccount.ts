/** Bytes that one connection makes the process hold. */
export interface MemoryHold {
    /**
     * Adds bytes. If the account is full, it first asks the holds without progress to give theirs up, the one without
     * progress for the longest time first.
     * @returns False if there is no room; nothing is added.
     */
    reserve(bytes: number): boolean;
    /** Takes bytes off. */
    release(bytes: number): void;
    /** Records that the caller has sent or taken something. */
    recordProgress(): void;
    /** Takes all bytes off, for good. */
    close(): void;
}

/** Options of an account. */
export interface MemoryAccountOptions {
    boundBytes: number;
    getNow: () => number;
    /** Called when a hold has given up its bytes. */
    onEvicted: () => void;
    /** Called when there was no room. */
    onRefused: () => void;
}

/** Account of the bytes that a process holds for its callers. */
export interface MemoryAccount {
    /**
     * Opens a hold.
     * @param evict - Gives up what the hold has, if its owner doesn't need it for work that has begun; returns false if not.
     */
    openHold(evict: () => boolean): MemoryHold;
    getHeldBytes(): number;
    /** Sets the room that one request inside the limits needs; the bound is never lower. */
    setLargestRequest(bytes: number): void;
}

/** Holds up to this size may also use the reserve, so that small requests are still served when large ones fill the account. */
const SMALL_HOLD_BYTES = 65_536;
/** Share of the bound that is kept for small holds. */
const SMALL_RESERVE_SHARE = 0.125;
/**
 * Time without progress after which bytes may be taken from a hold, in milliseconds. Callers that send all the time would
 * otherwise take the memory from each other, and none would complete.
 */
const MIN_STALL_MS = 500;

interface HoldState {
    bytes: number;
    progressAt: number;
    evict: () => boolean;
}

/**
 * Creates an empty account.
 * @param options - Bound, clock and callbacks.
 */
export function createMemoryAccount(options: MemoryAccountOptions): MemoryAccount {
    /** In the order of their last progress. */
    const holds = new Set<HoldState>();
    let heldBytes = 0;
    let boundBytes = options.boundBytes;
    return {
        openHold,
        getHeldBytes: () => heldBytes,
        setLargestRequest(bytes) {
            boundBytes = Math.max(options.boundBytes, bytes / (1 - SMALL_RESERVE_SHARE));
        },
    };

    function openHold(evict: () => boolean): MemoryHold {
        const state: HoldState = { bytes: 0, progressAt: options.getNow(), evict };
        let isOpen = true;
        holds.add(state);
        return {
            reserve(bytes) {
                if (isOpen && reserveRoom(state, bytes) && isOpen) {
                    state.bytes += bytes;
                    heldBytes += bytes;
                    return true;
                }
                return false;
            },
            release(bytes) {
                const released = Math.min(bytes, state.bytes);
                state.bytes -= released;
                heldBytes -= released;
            },
            recordProgress() {
                if (isOpen) {
                    state.progressAt = options.getNow();
                    holds.delete(state);
                    holds.add(state);
                }
            },
            close() {
                isOpen = false;
                holds.delete(state);
                heldBytes -= state.bytes;
                state.bytes = 0;
            },
        };
    }

    function reserveRoom(state: HoldState, bytes: number): boolean {
        const isSmall = state.bytes + bytes <= SMALL_HOLD_BYTES;
        const limit = isSmall ? boundBytes : boundBytes * (1 - SMALL_RESERVE_SHARE);
        if (heldBytes + bytes <= limit) {
            return true;
        }
        const stalledBefore = options.getNow() - MIN_STALL_MS;
        for (const other of [...holds]) {
            if (other.progressAt > stalledBefore) {
                break;
            }
            if (other !== state && other.bytes > 0 && other.evict()) {
                options.onEvicted();
                if (heldBytes + bytes <= limit) {
                    return true;
                }
            }
        }
        options.onRefused();
        return false;
    }
}
