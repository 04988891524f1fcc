/** Values of the labels of a metric. */
export type Labels = Readonly<Record<string, string>>;

/** Sum under one combination of label values. */
export interface Series {
    labels: Labels;
    value: number;
}

/** Sums by label values. */
export interface SeriesTally {
    addAmount(labels: Labels, amount?: number): void;
    listSeries(): Series[];
}

/** Combinations of label values that one metric keeps; the memory of a process with thousands of routes stays bounded. */
export const MAX_SERIES = 500;
/** Value of each label under which combinations beyond the bound are summed. */
export const OTHER_LABEL = "other";

/**
 * Creates an empty tally.
 * @param maxSeries - Combinations that are kept apart.
 */
export function createSeriesTally(maxSeries = MAX_SERIES): SeriesTally {
    const series = new Map<string, Series>();
    return { addAmount, listSeries: () => [...series.values()] };

    function addAmount(labels: Labels, amount = 1): void {
        const known = series.get(getKey(labels)) ?? openSeries(labels);
        known.value += amount;
    }

    function openSeries(labels: Labels): Series {
        const isFull = series.size >= maxSeries;
        const kept = isFull ? Object.fromEntries(Object.keys(labels).map(label => [label, OTHER_LABEL])) : labels;
        const key = getKey(kept);
        const opened = series.get(key) ?? { labels: { ...kept }, value: 0 };
        series.set(key, opened);
        return opened;
    }
}

function getKey(labels: Labels): string {
    return Object.values(labels).join("\u0000");
}
