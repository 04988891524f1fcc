/** A request as an endpoint got it. */
export interface EndpointRun {
    attempt: string;
    endpoint: string;
    /** The endpoint began to work on it; false if it turned it away. */
    hasRun: boolean;
    /** Team that the router named. */
    team: string;
    /** Monotonic time, in milliseconds. */
    at: number;
}

/** What all endpoints got, whatever becomes of them. */
export interface RunRecord {
    addRun(run: EndpointRun): void;
    listRuns(attempt: string): EndpointRun[];
    listAll(): EndpointRun[];
}

/** Creates an empty record. */
export function createRunRecord(): RunRecord {
    const byAttempt = new Map<string, EndpointRun[]>();
    return {
        addRun(run) {
            byAttempt.set(run.attempt, [...(byAttempt.get(run.attempt) ?? []), run]);
        },
        listRuns: attempt => byAttempt.get(attempt) ?? [],
        listAll: () => [...byAttempt.values()].flat(),
    };
}
