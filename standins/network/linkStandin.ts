import net from "node:net";
import { MS_PER_SECOND } from "../../src/utils/time.js";

/** Faults of a link. */
export interface LinkFaults {
    /** Connections are ended, and new ones are ended at once. */
    isCut: boolean;
    /** Delay of each piece of data, in milliseconds. */
    delayMs: number;
    /** Rate at which all connections together get the server's data, in bytes a second; undefined if it has no bound. */
    bytesPerSecond: number | undefined;
}

/** Where a link listens, and where its server is. */
export interface LinkPlaces {
    address?: string;
    /** By default any free port. */
    port?: number;
    targetAddress?: string;
}

/** A network link between a process and the server that it speaks to. */
export interface LinkStandin {
    port: number;
    faults: LinkFaults;
    /** Counts the bytes that the server has sent. */
    countServerBytes(): number;
    /** Loses all data of the connections that are open now; new ones work. */
    silenceOpen(): void;
    cut(): void;
    restore(): void;
    close(): Promise<void>;
}

interface Connection {
    near: net.Socket;
    far: net.Socket;
    isSilent: boolean;
}

const LOOPBACK = "127.0.0.1";

/**
 * Starts a link on loopback.
 * @param targetPort - Port of the server behind the link.
 * @param places - Addresses of both ends, if they are others than 127.0.0.1.
 */
export async function startLinkStandin(targetPort: number, places: LinkPlaces = {}): Promise<LinkStandin> {
    const faults: LinkFaults = { isCut: false, delayMs: 0, bytesPerSecond: undefined };
    const connections = new Set<Connection>();
    /** Monotonic time until which the link is busy with the server's data, in milliseconds. */
    let busyUntil = 0;
    let serverBytes = 0;
    const server = net.createServer(near => openConnection(near));
    await new Promise<void>(resolve => server.listen(places.port ?? 0, places.address ?? LOOPBACK, resolve));
    return {
        port: (server.address() as net.AddressInfo).port,
        faults,
        countServerBytes: () => serverBytes,
        silenceOpen() {
            connections.forEach(connection => {
                connection.isSilent = true;
            });
        },
        cut() {
            faults.isCut = true;
            connections.forEach(endConnection);
        },
        restore() {
            faults.isCut = false;
            faults.delayMs = 0;
            faults.bytesPerSecond = undefined;
        },
        close() {
            // A peer may connect again before the server is closed.
            faults.isCut = true;
            connections.forEach(endConnection);
            return new Promise(resolve => server.close(() => resolve()));
        },
    };

    function openConnection(near: net.Socket): void {
        if (faults.isCut) {
            near.destroy();
            return;
        }
        const far = net.connect(targetPort, places.targetAddress ?? LOOPBACK);
        const connection: Connection = { near, far, isSilent: false };
        connections.add(connection);
        forward(connection, near, far);
        forward(connection, far, near);
    }

    function forward(connection: Connection, from: net.Socket, to: net.Socket): void {
        /** Pieces on their way, in order; a later one never overtakes an earlier one, also when a delay ends. */
        const pieces: { dueAt: number; run: () => void }[] = [];
        from.setNoDelay(true);
        from.on("data", (chunk: Buffer) => {
            serverBytes += from === connection.far ? chunk.length : 0;
            if (faults.bytesPerSecond === undefined || from === connection.near) {
                send(() => to.write(chunk));
            } else {
                sendInTurn(chunk, faults.bytesPerSecond);
            }
        });
        from.on("end", () => send(() => to.end()));
        from.on("error", () => undefined);
        from.on("close", () => {
            if (!connection.isSilent) {
                send(() => to.destroy());
                connections.delete(connection);
            }
        });

        /** Each connection has one piece under way, so that all of them get equal shares of the rate. */
        function sendInTurn(chunk: Buffer, bytesPerSecond: number): void {
            from.pause();
            const now = performance.now();
            busyUntil = Math.max(now, busyUntil) + (chunk.length / bytesPerSecond) * MS_PER_SECOND;
            setTimeout(() => {
                send(() => to.write(chunk));
                from.resume();
            }, busyUntil - now);
        }

        function send(run: () => void): void {
            if (faults.delayMs === 0 && pieces.length === 0) {
                runUnlessSilent(run);
                return;
            }
            pieces.push({ dueAt: performance.now() + faults.delayMs, run });
            setTimeout(sendDue, faults.delayMs);
        }

        function sendDue(): void {
            for (let next = pieces[0]; next !== undefined && next.dueAt <= performance.now(); next = pieces[0]) {
                pieces.shift();
                runUnlessSilent(next.run);
            }
            if (pieces.length > 0) {
                setTimeout(sendDue, Math.max(1, (pieces[0]?.dueAt ?? 0) - performance.now()));
            }
        }

        function runUnlessSilent(run: () => void): void {
            if (!connection.isSilent) {
                run();
            }
        }
    }

    function endConnection(connection: Connection): void {
        connection.near.destroy();
        connection.far.destroy();
        connections.delete(connection);
    }
}
