/** Learns how a positive quantity, such as the work of requests of one kind, is distributed. */
export interface WorkDistribution {
    recordWork(work: number): void;
    /**
     * Estimates the share of requests with less work than one.
     * @param draw - Random number from 0 to 1 that orders requests of about the same work.
     * @returns From 0 to 1; undefined while too few requests are known.
     */
    estimateQuantile(work: number, draw: number): number | undefined;
    /** Estimates the work that a share of the requests doesn't exceed; undefined while too few requests are known. */
    estimateWork(quantile: number): number | undefined;
}

/** Buckets per doubling of the work; each spans about a fifth of its value. */
const BUCKETS_PER_DOUBLING = 4;
/** Number of buckets, up to a work of 2^32. */
const BUCKET_COUNT = 128;
/** Fewest requests from which shares are estimated; with fewer, the largest tenth is two requests or less. */
const MIN_RECORDED = 20;
/** Number of recorded requests at which all counts are halved, so that a change of the sizes is learned. */
const MAX_RECORDED = 2_000;

/** Creates a distribution without data. */
export function createWorkDistribution(): WorkDistribution {
    const counts = new Array<number>(BUCKET_COUNT).fill(0);
    let recorded = 0;
    return { recordWork, estimateQuantile, estimateWork };

    function recordWork(work: number): void {
        const bucket = getBucket(work);
        counts[bucket] = (counts[bucket] ?? 0) + 1;
        recorded++;
        if (recorded >= MAX_RECORDED) {
            recorded /= 2;
            counts.forEach((count, index) => (counts[index] = count / 2));
        }
    }

    function estimateQuantile(work: number, draw: number): number | undefined {
        if (recorded < MIN_RECORDED) {
            return undefined;
        }
        const bucket = getBucket(work);
        const below = counts.slice(0, bucket).reduce((sum, count) => sum + count, 0);
        return (below + draw * (counts[bucket] ?? 0)) / recorded;
    }

    function estimateWork(quantile: number): number | undefined {
        if (recorded < MIN_RECORDED) {
            return undefined;
        }
        let rest = quantile * recorded;
        const bucket = counts.findIndex(count => {
            rest -= count;
            return rest < 0;
        });
        return 2 ** ((bucket === -1 ? BUCKET_COUNT : bucket) / BUCKETS_PER_DOUBLING);
    }
}

function getBucket(work: number): number {
    const bucket = Math.floor(Math.log2(Math.max(1, work)) * BUCKETS_PER_DOUBLING);
    return Math.min(BUCKET_COUNT - 1, bucket);
}
