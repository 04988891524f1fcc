/** A soak that once failed. */
export interface Regression {
    seed: number;
    faultsMs: number;
    /** What the failure was traced to. */
    cause: string;
}

/** Soaks that once failed; times of a run vary, so the causes have tests of their own too. */
export const REGRESSIONS: readonly Regression[] = [
    {
        seed: 4,
        faultsMs: 10_000,
        cause: "the stand-in of a link let later data overtake earlier data when a delay ended (linkTests)",
    },
    {
        seed: 4004,
        faultsMs: 6_000,
        cause: "a request ran after its connection had got a 408, at a router that had stood still (CallerServerTests)",
    },
];
