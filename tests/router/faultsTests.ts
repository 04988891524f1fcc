import t from "tap";
import { readStreamText, sendChat, sendServiceCall } from "../../bench/caller.js";
import { buildList } from "../../src/utils/list.js";
import { waitFor } from "../../src/utils/time.js";
import { computeAnswer } from "../../standins/engine/tokens.js";
import { startSmallSystem } from "../fixtures.js";

t.test("a request that crashes endpoints crashes at most two, and concurrent requests are served", async t => {
    const crashed: number[] = [];
    const system = await startSmallSystem(t, {
        engines: 4,
        services: 0,
        routers: 2,
        engine: { stepMs: 5 },
    });
    system.engines.forEach((engine, engineIndex) => {
        engine.faults.crashText = "poison";
        engine.faults.onCrash = () => {
            crashed.push(engineIndex);
            void engine.close();
        };
    });
    const concurrentStreams = buildList(8, index =>
        sendChat({
            url: system.urls[index % 2] ?? "",
            key: "key-of-parents",
            text: `good${index}`,
            tokens: 60,
            isStream: true,
        }),
    );
    await waitFor(100);
    const statuses: (number | undefined)[] = [];
    for (let attempt = 0; attempt < 6; attempt++) {
        const url = system.urls[attempt % 2] ?? "";
        const answer = await sendChat({ url, key: "key-of-shops", text: "poison" }).catch(() => undefined);
        statuses.push(answer?.status);
    }
    t.ok(crashed.length <= 2, `${crashed.length} endpoints crashed`);
    t.strictSame(statuses.slice(1), [422, 422, 422, 422, 422], "later copies are refused by every router");
    const answers = await Promise.all(concurrentStreams);
    answers.forEach((answer, index) => t.equal(readStreamText(answer.body), computeAnswer(`user:good${index}`, 60)));
});

t.test("messages that crash engines crash at most two, in requests of which no two are alike", async t => {
    let crashes = 0;
    const system = await startSmallSystem(t, { engines: 4, services: 0, routers: 2, engine: { stepMs: 5 } });
    for (const engine of system.engines) {
        engine.faults.crashText = "poison";
        engine.faults.onCrash = () => {
            crashes++;
            void engine.close();
        };
    }
    const url = (index: number): string => system.urls[index % 2] ?? "";
    const statuses: (number | undefined)[] = [];
    const isServed: boolean[] = [];
    for (let index = 0; index < 8; index++) {
        const sound = { url: url(index), key: "key-of-shops", system: "sound", text: `s${index}` };
        isServed.push((await sendChat(sound)).status === 200);
        const crashing = { url: url(index), key: "key-of-shops", system: "poison", text: `p${index}` };
        statuses.push((await sendChat({ ...crashing, isStream: index % 2 === 0 }).catch(() => undefined))?.status);
    }
    t.ok(crashes <= 2, `${crashes} engines crashed`);
    t.notOk(isServed.includes(false), "requests of the same team are served");
    t.notOk(statuses.includes(200));
});

t.test(
    "a stalled connection is detected, and the router reattaches to the attempt instead of repeating it",
    async t => {
        const system = await startSmallSystem(t, { engines: 1, services: 1, hasLinks: true, engine: { stepMs: 10 } });
        const url = system.urls[0] ?? "";
        const [engineLink, serviceLink] = system.links;
        const streaming = sendChat({ url, key: "key-of-parents", text: "silent", tokens: 100, isStream: true });
        await waitFor(300);
        engineLink?.silenceOpen();
        const stream = await streaming;
        t.equal(readStreamText(stream.body), computeAnswer("user:silent", 100));
        t.equal(system.engines[0]?.runs.length, 1, "one run, reattached over a new connection");
        const [service] = system.services;
        if (service !== undefined) {
            service.faults.delayMs = 300;
        }
        const booking = {
            key: "key-of-couriers",
            method: "POST",
            path: "swapdesk-app/orders",
            idempotencyKey: "silent",
        };
        const sending = sendServiceCall({ ...booking, url, body: "{}" });
        await waitFor(100);
        serviceLink?.silenceOpen();
        const answer = await sending;
        t.equal(answer.status, 201);
        t.equal(service?.runs.length, 1);
    },
);
