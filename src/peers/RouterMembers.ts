/**
 * Remembers which routers exist, for shares that are computed without messages. A router that is silent may still send requests,
 * as it may only be cut off, so it is remembered for long; one that said that it leaves is forgotten once it has ended.
 */
export interface RouterMembers {
    /**
     * Records a message of a router.
     * @param reportedCount - Number of routers that it knows, itself included; 0 if it doesn't say.
     */
    recordMessage(address: string, reportedCount: number, isLeaving: boolean, now: number): void;
    /** Records that another router has named this address as that of a router. */
    recordMention(address: string, now: number): void;
    /** Lists the addresses of the other routers in a fixed order; the list is the same object until it changes. */
    listAddresses(now: number): readonly string[];
    /** Gets the highest number of routers that another router has lately said it knows; 0 if none did. */
    getReportedCount(now: number): number;
}

interface Member {
    heardAt: number;
    isLeaving: boolean;
}

interface CountReport {
    count: number;
    receivedAt: number;
}

/**
 * Time without any news of a router after which it is forgotten, in milliseconds. It outlasts partitions of the network: routers on
 * both sides of one go on to count each other.
 */
const MEMBER_RETENTION_MS = 3_600_000;
/** Time after which a router that said that it leaves has certainly ended, in milliseconds; longer than any drain. */
const LEAVING_RETENTION_MS = 60_000;
/** Time for which the number of routers that another one has reported holds, in milliseconds. */
const REPORT_EXPIRY_MS = 30_000;

/** Creates the members of a router that has heard of no other. */
export function createRouterMembers(): RouterMembers {
    const members = new Map<string, Member>();
    const reports = new Map<string, CountReport>();
    let cached: readonly string[] | undefined;
    /** Time before which no member is to be forgotten, in milliseconds. */
    let nextExpiryAt = Number.POSITIVE_INFINITY;
    return { recordMessage, recordMention, listAddresses, getReportedCount };

    function recordMessage(address: string, reportedCount: number, isLeaving: boolean, now: number): void {
        reports.set(address, { count: isLeaving ? 0 : reportedCount, receivedAt: now });
        setMember(address, { heardAt: now, isLeaving });
    }

    /** Others name a leaving router until they know that it leaves; this doesn't bring it back. */
    function recordMention(address: string, now: number): void {
        if (members.get(address)?.isLeaving !== true) {
            setMember(address, { heardAt: now, isLeaving: false });
        }
    }

    function setMember(address: string, member: Member): void {
        if (!members.has(address)) {
            cached = undefined;
        }
        members.set(address, member);
        nextExpiryAt = Math.min(nextExpiryAt, computeExpiry(member));
    }

    function listAddresses(now: number): readonly string[] {
        if (now >= nextExpiryAt) {
            expireMembers(now);
        }
        cached ??= [...members.keys()].sort();
        return cached;
    }

    function expireMembers(now: number): void {
        for (const [address, member] of members) {
            if (now >= computeExpiry(member)) {
                members.delete(address);
                cached = undefined;
            }
        }
        nextExpiryAt = Math.min(...[...members.values()].map(computeExpiry));
    }

    function getReportedCount(now: number): number {
        let highest = 0;
        for (const [address, { count, receivedAt }] of reports) {
            if (now - receivedAt >= REPORT_EXPIRY_MS) {
                reports.delete(address);
            } else {
                highest = Math.max(highest, count);
            }
        }
        return highest;
    }
}

function computeExpiry({ heardAt, isLeaving }: Member): number {
    return heardAt + (isLeaving ? LEAVING_RETENTION_MS : MEMBER_RETENTION_MS);
}
