import net from "node:net";
import t from "tap";
import { buildList } from "../../src/utils/list.js";
import { waitFor } from "../../src/utils/time.js";
import { type SmallSystem, startSmallSystem } from "../fixtures.js";

const PARENT = "key-of-parents";
const TOKENS = 400;
const POLL_INTERVAL_MS = 20;
const MAX_POLLS = 100;
/** Time within which the work for a caller that has left must end, in milliseconds. */
const ABORT_BOUND_MS = 500;

function buildChat(system: SmallSystem, text: string): string {
    const model = "assist-lm";
    const body = JSON.stringify({ model, messages: [{ role: "user", content: text }], max_tokens: TOKENS });
    const { host } = new URL(system.urls[0] ?? "");
    return (
        `POST /v1/chat/completions HTTP/1.1\r\nhost: ${host}\r\nauthorization: Bearer ${PARENT}\r\n` +
        `content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`
    );
}

for (const leave of ["end", "destroy"] as const) {
    t.test(`a router ends the work on pipelined requests after their caller has left (${leave})`, async t => {
        const system = await startSmallSystem(t, { engines: 2, services: 0 });
        const { hostname, port } = new URL(system.urls[0] ?? "");
        const countRunning = (): number =>
            system.engines.flatMap(({ runs }) => runs).filter(run => !run.ended && !run.cancelled).length;
        const caller = net.connect({ host: hostname, port: Number(port) });
        caller.on("error", () => undefined);
        t.teardown(() => Promise.resolve(void caller.destroy()));
        caller.write(buildList(3, index => buildChat(system, `pipelined ${index}`)).join(""));
        for (let poll = 0; poll < MAX_POLLS && countRunning() === 0; poll++) {
            await waitFor(POLL_INTERVAL_MS);
        }
        t.ok(countRunning() > 0, "an engine works on the first one");
        await waitFor(POLL_INTERVAL_MS);
        caller[leave]();
        await waitFor(ABORT_BOUND_MS);
        t.equal(countRunning(), 0);
        await waitFor(ABORT_BOUND_MS);
        t.equal(countRunning(), 0, "and none starts later");
    });
}
