import net from "node:net";
import { CONNECT_TIMEOUT_MS } from "./EndpointCall.js";

/** What a connection attempt tells of the process at an address. */
export enum ProbeResult {
    Listening = "listening",
    /** The host answers, and nobody listens: the process has ended. */
    Refused = "refused",
    /** No answer, for example because the network or the host is down. */
    Silent = "silent",
}

/**
 * Checks whether a process listens at an address, by opening a connection and closing it at once.
 * @param host - IP address.
 * @param port - Port.
 */
export function probeConnection(host: string, port: number): Promise<ProbeResult> {
    return new Promise(resolve => {
        const socket = net.connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
        socket.once("connect", () => finish(ProbeResult.Listening));
        socket.once("timeout", () => finish(ProbeResult.Silent));
        socket.once("error", (error: NodeJS.ErrnoException) =>
            finish(error.code === "ECONNREFUSED" ? ProbeResult.Refused : ProbeResult.Silent),
        );

        function finish(result: ProbeResult): void {
            socket.destroy();
            resolve(result);
        }
    });
}
