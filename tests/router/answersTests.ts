import t from "tap";
import { readStreamText, sendChat, sendServiceCall } from "../../bench/caller.js";
import { sendHttpCall } from "../../src/utils/http.js";
import { buildList } from "../../src/utils/list.js";
import { waitFor } from "../../src/utils/time.js";
import { computeAnswer } from "../../standins/engine/tokens.js";
import { startSmallSystem } from "../fixtures.js";

const PARENT = "key-of-parents";
const COURIER = { key: "key-of-couriers", method: "POST", path: "swapdesk-app/orders" };

t.test("a stream interrupted by its engine resumes on another replica without lost or duplicated tokens", async t => {
    const system = await startSmallSystem(t, { engines: 2, services: 0 });
    system.engines.forEach(engine => (engine.faults.truncateAfter = 5));
    const sending = sendChat({ url: system.urls[0] ?? "", key: PARENT, text: "long", tokens: 12, isStream: true });
    const answer = await sending.catch(() => undefined);
    t.equal(answer, undefined, "the call fails when every replica truncates the stream");
    const [first] = system.engines;
    system.engines.forEach(engine => (engine.faults.truncateAfter = 0));
    if (first !== undefined) {
        first.faults.truncateAfter = 5;
    }
    const answers = await Promise.all(
        buildList(6, index =>
            sendChat({ url: system.urls[0] ?? "", key: PARENT, text: `p${index}`, tokens: 12, isStream: true }),
        ),
    );
    answers.forEach((resumed, index) => {
        t.equal(readStreamText(resumed.body), computeAnswer(`user:p${index}`, 12));
        const ids = new Set(resumed.body.toString("utf8").match(/"id":"[^"]*"/g));
        t.equal(ids.size, 1, "all events of the stream have the same id");
    });
    t.ok((first?.runs.length ?? 0) > 0, "the faulty replica was used");
});

t.test("answers to other requests and duplicated answers are never delivered as complete", async t => {
    const system = await startSmallSystem(t, { engines: 1, services: 0 });
    const [engine] = system.engines;
    const url = system.urls[0] ?? "";
    for (const fault of ["isCrossed", "isDoubled"] as const) {
        if (engine !== undefined) {
            engine.faults[fault] = true;
        }
        const answers = await Promise.all(
            buildList(4, index =>
                sendChat({ url, key: PARENT, text: `${fault}${index}`, tokens: 20, isStream: true }).catch(
                    () => undefined,
                ),
            ),
        );
        answers.forEach((answer, index) => {
            const isComplete = answer?.status === 200 && answer.body.toString("utf8").endsWith("data: [DONE]\n\n");
            const isCorrect = isComplete && readStreamText(answer.body) === computeAnswer(`user:${fault}${index}`, 20);
            t.ok(!isComplete || isCorrect, `${fault} ${index}`);
        });
        if (engine !== undefined) {
            engine.faults[fault] = false;
        }
    }
});

t.test("a stream that lacks events sent to another caller is not completed, also by another replica", async t => {
    const system = await startSmallSystem(t, { engines: 2, services: 0 });
    const url = system.urls[0] ?? "";
    system.engines.forEach(engine => (engine.faults.isCrossed = true));
    for (const spacingMs of [0, 5, 20, 40, 80, 120]) {
        const answers = await Promise.all(
            buildList(6, async index => {
                await waitFor(spacingMs * index);
                const text = `apart${spacingMs}-${index}`;
                return sendChat({ url, key: PARENT, text, tokens: 20, isStream: true }).catch(() => undefined);
            }),
        );
        answers.forEach((answer, index) => {
            const isComplete = answer?.body.toString("utf8").includes("data: [DONE]") === true;
            const expected = computeAnswer(`user:apart${spacingMs}-${index}`, 20);
            t.ok(!isComplete || readStreamText(answer.body) === expected, `${spacingMs} ms apart, ${index}`);
        });
    }
});

t.test("a stream whose events come twice is not completed by another replica", async t => {
    const system = await startSmallSystem(t, { engines: 2, services: 0 });
    const url = system.urls[0] ?? "";
    system.engines.forEach(engine => (engine.faults.isDoubled = true));
    const sending = sendChat({ url, key: PARENT, text: "twice", tokens: 20, isStream: true });
    const answer = await sending.catch(() => undefined);
    t.notMatch(answer?.body.toString("utf8") ?? "", /data: \[DONE\]/);
});

t.test("fields of events that the router adds for its checks reach only callers that asked for them", async t => {
    const system = await startSmallSystem(t, { engines: 1, services: 0 });
    const body = { model: "assist-lm", messages: [{ role: "user", content: "fields" }], max_tokens: 3, stream: true };
    const asking = { ...body, stream_options: { include_usage: true }, return_token_ids: true };
    const answers = await Promise.all(
        [body, asking].map(value =>
            sendHttpCall({
                method: "POST",
                url: `${system.urls[0] ?? ""}/v1/chat/completions`,
                headers: { authorization: `Bearer ${PARENT}`, "content-type": "application/json" },
                body: JSON.stringify(value),
                timeoutMs: 5_000,
            }),
        ),
    );
    const texts = answers.map(answer => answer.body.toString("utf8"));
    t.notMatch(texts[0], /token_ids|usage/);
    t.match(texts[1], /"token_ids":\[3\][^]*"completion_tokens":3/);
    texts.forEach(text => t.equal(readStreamText(Buffer.from(text)), computeAnswer("user:fields", 3)));
});

t.test("concurrent duplicates of a booking at two routers run once and get the same answer", async t => {
    const system = await startSmallSystem(t, { engines: 0, services: 2, routers: 2 });
    system.services.forEach(service => (service.faults.delayMs = 60));
    for (let round = 0; round < 5; round++) {
        const idempotencyKey = `twice-${round}`;
        const answers = await Promise.all(
            system.urls.map(url => sendServiceCall({ ...COURIER, url, idempotencyKey, body: "{}" })),
        );
        t.strictSame(
            answers.map(answer => answer.status),
            [201, 201],
        );
        t.equal(answers[0]?.body.toString("utf8"), answers[1]?.body.toString("utf8"));
        const runs = system.services
            .flatMap(service => service.runs)
            .filter(run => run.idempotencyKey === idempotencyKey);
        t.equal(runs.length, 1);
    }
});

t.test("a lost service answer has the outcome unknown, and a retry with the same key is not run", async t => {
    const system = await startSmallSystem(t, { engines: 0, services: 1 });
    const [service] = system.services;
    if (service !== undefined) {
        service.faults.lostAnswers = 1;
    }
    const call = { ...COURIER, url: system.urls[0] ?? "", idempotencyKey: "lost", body: "{}" };
    const first = await sendServiceCall(call);
    const again = await sendServiceCall(call);
    t.strictSame([first.status, first.headers["auburnpass-outcome"]], [503, "unknown"]);
    t.strictSame([again.status, again.headers["auburnpass-outcome"]], [503, "unknown"]);
    t.equal(service?.runs.length, 1);
});

t.test("with the platform down, idempotent requests are served and bookings are refused immediately", async t => {
    const system = await startSmallSystem(t, { engines: 1, services: 1 });
    system.platform.faults.isDown = true;
    const url = system.urls[0] ?? "";
    const answer = await sendChat({ url, key: PARENT, text: "still here" });
    t.equal(answer.status, 200);
    const booking = await sendServiceCall({ ...COURIER, url, idempotencyKey: "down", body: "{}" });
    t.equal(booking.status, 503);
    t.ok(Number(booking.headers["retry-after"]) > 0, "the retry-after header is set");
    t.not(booking.headers["auburnpass-outcome"], "ran");
    t.equal(system.services[0]?.runs.length, 0);
    system.platform.faults.isDown = false;
    const later = await sendServiceCall({ ...COURIER, url, idempotencyKey: "later", body: "{}" });
    t.equal(later.status, 201);
});

t.test(
    "an agent that shuts down gracefully accepts no new work, finishes its streams and hands over its answers",
    async t => {
        const system = await startSmallSystem(t, { engines: 2, services: 1, engine: { stepMs: 10 } });
        const url = system.urls[0] ?? "";
        const booking = { ...COURIER, url, idempotencyKey: "kept", body: "{}" };
        const first = await sendServiceCall(booking);
        const streams = buildList(4, index =>
            sendChat({ url, key: PARENT, text: `drain${index}`, tokens: 60, isStream: true }),
        );
        await waitFor(100);
        const stopping = system.agents.map(agent => agent.stop());
        const answers = await Promise.all(streams);
        answers.forEach((answer, index) =>
            t.equal(readStreamText(answer.body), computeAnswer(`user:drain${index}`, 60)),
        );
        await Promise.all(stopping);
        const again = await sendServiceCall(booking);
        t.equal(
            again.body.toString("utf8"),
            first.body.toString("utf8"),
            "the answer is available after its agent has stopped",
        );
        const refused = await sendChat({ url, key: PARENT, text: "too late" });
        t.equal(refused.headers["auburnpass-outcome"], "not-run");
    },
);

t.test("malformed input is refused with a specific reason, and nothing is run", async t => {
    const system = await startSmallSystem(t, { engines: 1, services: 1, bodyMs: 300 });
    const url = system.urls[0] ?? "";
    const headers = { authorization: `Bearer ${PARENT}` };
    const chat = `${url}/v1/chat/completions`;
    const cases = [
        { method: "POST", url: chat, headers: {}, body: "{}" },
        { method: "POST", url: chat, headers, body: "not json" },
        { method: "POST", url: chat, headers, body: '{"model":"nobody"}' },
        { method: "POST", url: chat, headers, body: '{"model":7}' },
        { method: "POST", url: chat, headers, body: "x".repeat(70_000) },
        { method: "GET", url: chat, headers, body: undefined },
        { method: "POST", url: `${url}/services/swapdesk-app/orders`, headers, body: "{}" },
        { method: "DELETE", url: `${url}/services/swapdesk-app/orders`, headers, body: undefined },
        { method: "POST", url: chat, headers: { ...headers, "content-length": "50" }, body: "{" },
    ];
    const answers = [];
    for (const call of cases) {
        const answer = await sendHttpCall({ ...call, timeoutMs: 3_000 });
        const problem = JSON.parse(answer.body.toString("utf8")) as Record<string, unknown>;
        answers.push({ status: answer.status, outcome: problem.outcome, cause: problem.cause, detail: problem.detail });
    }
    t.matchSnapshot(answers);
    t.equal(system.engines[0]?.runs.length, 0);
});
