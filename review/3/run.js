// Two of four replicas spoil one in 34 of their streams: by turns the digits of the status are zeros, or a letter of a header's
// name is a blank.
import {
    HAS_TROUBLE,
    checkTimeouts,
    describeSeen,
    runCase,
    sendSteadily,
    startDeployment,
} from "../standins/deployment.js";

const TIMEOUT_MS = 8_000;
const DEADLINE_MS = 8_022;
const SPOILED_EVERY = 34;
const routes = [
    {
        name: "fit-advice",
        path_prefix: "/stream/",
        route_kind: "streaming",
        timeout_ms: TIMEOUT_MS,
        max_attempts: 2,
        resumable: true,
        inter_token_ms: 120,
    },
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
                path: `/stream/${number}`,
                method: "POST",
                deadlineMs: DEADLINE_MS,
            }),
        });
        const { unanswered, late, isBroken } = checkTimeouts(seen, TIMEOUT_MS);
        writeLine(`requests: ${seen.length}, answered with success: ${seen.filter(s => s.status === 200).length}`);
        writeLine(`streams spoiled by replicas: ${spoiled.length}`);
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
                const event = `id: 1\ndata: ${attempt}\n\n`;
                const isStatusSpoiled = spoiled.length % 2 === 0;
                response.socket.end(
                    `HTTP/1.1 ${isStatusSpoiled ? "000" : "200"} OK\r\n` +
                        `Attempt-Id: ${attempt}\r\n` +
                        `Server-Stamp: s.${attempt}\r\n` +
                        `${isStatusSpoiled ? "Content-Type" : "Conte t-Type"}: text/event-stream\r\n` +
                        `Content-Length: ${event.length}\r\n\r\n${event}`,
                );
                return true;
            },
        };
    }
});
