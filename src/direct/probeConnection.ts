import net from "node:net";
import { CONNECT_TIMEOUT_MS } from "./EndpointCall.js";

/**
 * Checks whether a process listens at an address, by opening a connection and closing it at once.
 * @param host - IP address.
 * @param port - Port.
 */
export function probeConnection(host: string, port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = net.connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
        socket.once("connect", () => finish(true));
        socket.once("timeout", () => finish(false));
        socket.once("error", () => finish(false));

        function finish(isListening: boolean): void {
            socket.destroy();
            resolve(isListening);
        }
    });
}
