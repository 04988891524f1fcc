import net from "node:net";
import t from "tap";
import { waitFor } from "../../src/utils/time.js";
import { startLinkStandin } from "../../standins/network/linkStandin.js";

t.test("data stays in order when a delay ends", async t => {
    let received = "";
    const server = net.createServer(socket => socket.on("data", chunk => (received += chunk.toString())));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const link = await startLinkStandin((server.address() as net.AddressInfo).port);
    const socket = net.connect(link.port, "127.0.0.1");
    t.teardown(async () => {
        socket.destroy();
        await link.close();
        server.close();
    });
    link.faults.delayMs = 100;
    for (let piece = 0; piece < 8; piece++) {
        socket.write(String(piece));
        await waitFor(10);
        if (piece === 4) {
            link.restore();
        }
    }
    await waitFor(200);
    t.equal(received, "01234567");
});
