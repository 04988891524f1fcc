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
        /** Pieces on their way, in order; a later one never overtakes an earlier one, also when a delay ends. */
        const pieces: { dueAt: number; run: () => void }[] = [];
        from.setNoDelay(true);
        from.on("data", (chunk: Buffer) => send(() => to.write(chunk)));
        from.on("end", () => send(() => to.end()));
        from.on("error", () => undefined);
        from.on("close", () => {
            if (!connection.isSilent) {
                send(() => to.destroy());
                connections.delete(connection);
            }
        });

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
