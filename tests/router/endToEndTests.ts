import t from "tap";
import { readStreamText, sendChat, sendServiceCall } from "../../bench/caller.js";
import { computeAnswer } from "../../standins/engine/tokens.js";
import { startSmallSystem } from "../fixtures.js";

t.test("a request of each rank passes through router and agent to the endpoint and back", async t => {
    const system = await startSmallSystem(t, { engines: 2, services: 1, routers: 2 });
    const [url, otherUrl] = system.urls as [string, string];
    const urgent = await sendChat({ url, key: "key-of-parents", text: "cracked wheel", isStream: true });
    t.equal(urgent.status, 200);
    t.equal(readStreamText(urgent.body), computeAnswer("user:cracked wheel", 8));
    t.match(urgent.body.toString("utf8"), /data: \[DONE\]\n\n$/);
    t.notMatch(urgent.body.toString("utf8"), /"usage"/, "the usage event is sent only to callers that requested it");
    const draft = await sendChat({ url: otherUrl, key: "key-of-couriers", text: "courier", purpose: "draft" });
    t.equal(draft.status, 200);
    const stock = await sendServiceCall({ url, key: "key-of-shops", method: "GET", path: "swapdesk-app/stock/w" });
    t.equal(stock.status, 200);
    const booking = { key: "key-of-couriers", method: "POST", path: "swapdesk-app/orders", idempotencyKey: "k-1" };
    const first = await sendServiceCall({ ...booking, url, body: "{}" });
    const again = await sendServiceCall({ ...booking, url: otherUrl, body: "{}" });
    t.equal(first.status, 201);
    t.equal(again.body.toString("utf8"), first.body.toString("utf8"), "the stored answer is returned byte for byte");
    t.equal(system.services[0]?.runs.filter(run => run.method === "POST").length, 1);
});
