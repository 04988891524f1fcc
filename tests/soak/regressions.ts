/** Seeds of soaks that once failed, with what the failure was traced to. */
export const REGRESSIONS: readonly { seed: number; faultsMs: number; cause: string }[] = [];
