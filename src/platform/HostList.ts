/** Parts that a host plays. */
export enum HostRole {
    Router = "router",
    Endpoint = "endpoint",
}

/** States in the platform's list of hosts. */
export enum HostState {
    Live = "live",
    Leaving = "leaving",
}

/** A host of the platform's list, which lags behind reality. */
export interface HostEntry {
    host: string;
    role: HostRole;
    zone: string;
    address: string;
    /** Port of the process for the other processes of the system. */
    port: number;
    state: HostState;
}

/** The platform's list of hosts. */
export abstract class HostList {
    /** Lists the hosts; rejects with `PlatformUnavailable` when the list can't be read. */
    abstract listHosts(): Promise<HostEntry[]>;
}
