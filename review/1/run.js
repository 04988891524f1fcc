// Two of four replicas spoil one in 34 of their answers: in place of the answer comes a switch to another protocol.
import {
    HAS_TROUBLE,
    checkTimeouts,
    describeSeen,
    runCase,
    sendSteadily,
    startDeployment,
} from "../standins/deployment.js";

const TIMEOUT_MS = 2_000;
const DEADLINE_MS = 4_012;
const SPOILED_EVERY = 34;
const routes = [
    { name: "swap-book", path_prefix: "/book/", route_kind: "unsafe", timeout_ms: TIMEOUT_MS, max_attempts: 1 },
    { name: "stock-check", path_prefix: "/stock/", route_kind: "safe", timeout_ms: TIMEOUT_MS, max_attempts: 2 },
];

await runCase(import.meta.url, async writeLine => {
    const spoiled = [];
    const deployment = await startDeployment({ routes, replicaCount: 4, buildReplicaOptions });
    try {
        const seen = await sendSteadily({
            routers: deployment.fleet.routers,
            perSecond: 240,
            seconds: 5,
            buildRequest: number => ({
                attempt: `attempt-${number}`,
                path: number % 2 === 0 ? `/book/${number}` : `/stock/${number}`,
                method: number % 2 === 0 ? "POST" : "GET",
                deadlineMs: DEADLINE_MS,
            }),
        });
        const { unanswered, late, isBroken } = checkTimeouts(seen, TIMEOUT_MS);
        writeLine(`requests: ${seen.length}, answered with success: ${seen.filter(s => s.status === 200).length}`);
        writeLine(`answers spoiled by replicas: ${spoiled.length}`);
        writeLine(`unanswered at their timeout of ${TIMEOUT_MS} ms: ${unanswered.length}`);
        writeLine(`of these without an answer 500 ms later: ${late.length}`);
        writeLine("sent and answered:");
        seen.forEach(request => writeLine(describeSeen(request)));
        writeLine("run:");
        deployment.replicas.flatMap(({ runs }) => runs).forEach(run => writeLine(`  ${JSON.stringify(run)}`));
        return isBroken;
    } finally {
        await deployment.close();
    }

    function buildReplicaOptions(index) {
        let answers = 0;
        return {
            answer({ response, attempt }) {
                answers += 1;
                if (!HAS_TROUBLE || index >= 2 || answers % SPOILED_EVERY !== 0) {
                    return false;
                }
                spoiled.push(attempt);
                response.socket.end(
                    "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
                );
                return true;
            },
        };
    }
});
