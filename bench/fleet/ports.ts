import { createServer } from "node:net";
import { buildList } from "../../src/utils/list.js";

/**
 * Finds free ports on loopback.
 * @param count - Number of ports.
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const servers = await Promise.all(buildList(count, openServer));
    const ports = servers.map(server => (server.address() as { port: number }).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function openServer(): Promise<ReturnType<typeof createServer>> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.on("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}
