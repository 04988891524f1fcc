/** Roles of a host. */
export enum HostRole {
    Router = "router",
    Endpoint = "endpoint",
}

/** States in the platform's list of hosts. */
export enum HostState {
    Live = "live",
    Leaving = "leaving",
}

/** An entry of the platform's host list, which is updated with a delay. */
export interface HostEntry {
    host: string;
    role: HostRole;
    zone: string;
    address: string;
    /** Port on which the process serves the other processes of the system. */
    port: number;
    state: HostState;
}

/** The platform's list of hosts. */
export abstract class HostList {
    /** Lists the hosts; rejects with `PlatformUnavailable` when the list can't be read. */
    abstract listHosts(): Promise<HostEntry[]>;
}
