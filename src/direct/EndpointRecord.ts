/** An endpoint as it registered itself. */
export interface EndpointRecord {
    /** New with each start of most endpoints. */
    id: string;
    service: string;
    host: string;
    port: number;
    zone: string;
    /** Requests that the endpoint works on at the same time. */
    slots: number;
    /** Takes no new work. */
    isLeaving: boolean;
    /** Wall-clock time of the endpoint's start in milliseconds; 0 if it isn't told. */
    bornAt: number;
    /** Place in a group whose ranks run in lock-step. */
    group: { name: string; rank: number; size: number } | undefined;
}
