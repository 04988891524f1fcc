import net from "node:net";

/** Faults of a link. */
export interface LinkFaults {
    /** Connections are ended, and new ones are ended at once. */
    isCut: boolean;
    /** Delay of each piece of data, in milliseconds. */
    delayMs: number;
}

/** A network link between a process and the server that it speaks to. */
export interface LinkStandin {
    port: number;
    faults: LinkFaults;
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

/**
 * Starts a link on loopback.
 * @param targetPort - Port of the server behind the link.
 */
export async function startLinkStandin(targetPort: number): Promise<LinkStandin> {
    const faults: LinkFaults = { isCut: false, delayMs: 0 };
    const connections = new Set<Connection>();
    const server = net.createServer(near => openConnection(near));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        port: (server.address() as net.AddressInfo).port,
        faults,
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
        },
        close() {
            connections.forEach(endConnection);
            return new Promise(resolve => server.close(() => resolve()));
        },
    };

    function openConnection(near: net.Socket): void {
        if (faults.isCut) {
            near.destroy();
            return;
        }
        const far = net.connect(targetPort, "127.0.0.1");
        const connection: Connection = { near, far, isSilent: false };
        connections.add(connection);
        forward(connection, near, far);
        forward(connection, far, near);
    }

    function forward(connection: Connection, from: net.Socket, to: net.Socket): void {
        from.setNoDelay(true);
        from.on("data", (chunk: Buffer) => send(connection, () => to.write(chunk)));
        from.on("end", () => send(connection, () => to.end()));
        from.on("error", () => undefined);
        from.on("close", () => {
            if (!connection.isSilent) {
                send(connection, () => to.destroy());
                connections.delete(connection);
            }
        });
    }

    function send(connection: Connection, run: () => void): void {
        if (connection.isSilent) {
            return;
        }
        if (faults.delayMs === 0) {
            run();
            return;
        }
        setTimeout(() => {
            if (!connection.isSilent) {
                run();
            }
        }, faults.delayMs);
    }

    function endConnection(connection: Connection): void {
        connection.near.destroy();
        connection.far.destroy();
        connections.delete(connection);
    }
}
