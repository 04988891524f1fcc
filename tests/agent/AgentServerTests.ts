import net from "node:net";
import t from "tap";
import type { AgentCore } from "../../src/agent/AgentCore.js";
import type { AttemptRecord } from "../../src/agent/AttemptLedger.js";
import { AnswerEnd, createKeptAnswer } from "../../src/agent/KeptAnswer.js";
import { createAgentServer } from "../../src/agent/AgentServer.js";
import { HopHeader } from "../../src/protocol/index.js";
import { createTracing } from "../../src/telemetry/index.js";
import { listenOn } from "../../src/utils/http.js";
import { waitFor } from "../../src/utils/time.js";

const PROCESS_KEY = "key";
const POLL_INTERVAL_MS = 10;
const MAX_POLLS = 50;

function buildAttempt(id: string): string {
    const headers: [HopHeader, string][] = [
        [HopHeader.ProcessKey, PROCESS_KEY],
        [HopHeader.Team, "one"],
        [HopHeader.Weight, "1"],
        [HopHeader.Rank, "urgent"],
        [HopHeader.Budget, "1000"],
        [HopHeader.Cost, "1"],
        [HopHeader.Idempotent, "1"],
    ];
    const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `GET /attempts/${id}/work HTTP/1.1\r\nhost: agent\r\n${lines}\r\n`;
}

t.test("an agent releases pipelined attempts whose router has closed the connection", async t => {
    const accepted: string[] = [];
    const released = new Set<string>();
    const core = {
        acceptAttempt: request => void accepted.push(request.id),
        releaseAttempt: id => void released.add(id),
    } as Partial<AgentCore> as AgentCore;
    const tracing = createTracing({ program: "test", host: "h1", zone: "a", collector: undefined });
    const server = createAgentServer({ core, tracing, processKeys: [PROCESS_KEY], maxBodyBytes: 1_000 });
    const port = await listenOn(server, 0, "127.0.0.1");
    t.teardown(async () => {
        server.closeAllConnections();
        server.close();
        await tracing.stop();
    });
    const router = net.connect(port, "127.0.0.1");
    router.write(["a-1", "a-2", "a-3"].map(buildAttempt).join(""));
    await waitUntil(() => accepted.length === 3);
    t.strictSame(accepted, ["a-1", "a-2", "a-3"]);
    router.destroy();
    await waitUntil(() => released.size === 3);
    t.strictSame([...released].sort(), accepted);
});

async function waitUntil(isMet: () => boolean): Promise<void> {
    for (let poll = 0; poll < MAX_POLLS && !isMet(); poll++) {
        await waitFor(POLL_INTERVAL_MS);
    }
}

t.test(
    "an answer without a body, with status 204, reaches the router complete instead of failing in the server",
    async t => {
        const answer = createKeptAnswer();
        const core = {
            acceptAttempt: (request, listener) =>
                listener.onAccepted({ id: request.id, answer, queueMs: 0 } as AttemptRecord),
            releaseAttempt: () => undefined,
            getLoad: () => ({
                queued: 0,
                running: 0,
                waitMs: 0,
                isDraining: false,
                ahead: { urgent: 0, standard: 0, deferrable: 0 },
            }),
        } as Partial<AgentCore> as AgentCore;
        const tracing = createTracing({ program: "test", host: "h1", zone: "a", collector: undefined });
        const server = createAgentServer({ core, tracing, processKeys: [PROCESS_KEY], maxBodyBytes: 1_000 });
        const port = await listenOn(server, 0, "127.0.0.1");
        t.teardown(async () => {
            server.closeAllConnections();
            server.close();
            await tracing.stop();
        });
        let received = "";
        const router = net.connect(port, "127.0.0.1");
        router.on("data", chunk => (received += chunk.toString()));
        router.write(buildAttempt("a-1"));
        await waitFor(POLL_INTERVAL_MS * 3);
        t.doesNotThrow(() => answer.setHead({ status: 204, headers: {} }));
        answer.finish(AnswerEnd.Whole);
        await waitUntil(() => received.includes("\r\n\r\n"));
        t.match(received, /^HTTP\/1\.1 204 /);
        router.destroy();
    },
);
