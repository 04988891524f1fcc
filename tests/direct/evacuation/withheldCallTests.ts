import net from "node:net";
import t from "tap";
import { WIRE_HEADERS } from "../../../platform/wireNames.js";
import { CallFailure, openEndpointCall } from "../../../src/direct/EndpointCall.js";
import { waitFor } from "../../../src/utils/time.js";

const ADDRESS = "127.0.0.1";
const SETTLE_MS = 200;

t.test("nothing is sent if a zone is evacuated while the connection to its endpoint is opened", async t => {
    let received = 0;
    const server = net.createServer(socket => {
        socket.on("data", bytes => (received += bytes.length));
        socket.on("error", () => undefined);
    });
    await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
    t.teardown(() => void server.close());
    const { port } = server.address() as net.AddressInfo;
    const place = { host: ADDRESS, port, zone: "a", slots: 1, isLeaving: false, bornAt: 1, group: undefined };
    const result = await openEndpointCall(
        {
            endpoint: { id: "i-1", service: "app", ...place },
            method: "POST",
            path: "/book/1",
            headers: {},
            body: Buffer.from("order"),
            attemptId: "a-1",
            canSend: () => false,
        },
        WIRE_HEADERS,
        new AbortController().signal,
    );
    await waitFor(SETTLE_MS);
    t.match(result, { failed: { kind: CallFailure.Withheld, mayHaveRun: false } });
    t.equal(received, 0, "the request may be sent elsewhere, as it ran nowhere");
});
