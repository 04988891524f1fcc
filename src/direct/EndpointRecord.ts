/** Registration of an endpoint. */
export interface EndpointRecord {
    /** Unique identifier; most endpoints take a new one each time they start. */
    id: string;
    service: string;
    host: string;
    port: number;
    zone: string;
    /** Number of requests that the endpoint processes concurrently. */
    slots: number;
    /** The endpoint is draining and accepts no new requests. */
    isLeaving: boolean;
    /** Wall-clock start time of the endpoint, in milliseconds; 0 if it is not registered. */
    bornAt: number;
    /** Time for which it is still cold after its start, as its entry says, in milliseconds; absent if it doesn't. */
    coldLeftMs?: number | undefined;
    /** Time since another router read that from the entry, in milliseconds; absent if this router read it from the store. */
    coldAgeMs?: number | undefined;
    /** Position in a group whose ranks run in lock-step; undefined for an endpoint on its own. */
    group: { name: string; rank: number; size: number } | undefined;
}
