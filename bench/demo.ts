import { readFileSync } from "node:fs";
import { consola } from "consola";
import type { CollectedSpan } from "../standins/collector/collectorStandin.js";
import { type HttpAnswer, sendHttpCall } from "../src/utils/http.js";
import { buildList } from "../src/utils/list.js";
import { waitFor } from "../src/utils/time.js";
import { readStreamText, sendChat, sendServiceCall } from "./caller.js";
import { type Fleet, startFleet } from "./fleet/Fleet.js";

const ZONES = ["pk-north-1", "pk-north-2", "pk-north-3"];
const FLOOD_REQUESTS = 600;
const SPAN_EXPORT_MS = 1_500;

const isKept = process.argv.includes("--keep");
const fleet = await startFleet({
    zones: ZONES,
    routersPerZone: 1,
    engines: 3,
    model: "assist-lm",
    services: 2,
    serviceName: "swapdesk-app",
    documentText: readFileSync("examples/swapdesk.yaml", "utf8").replace(
        "environment: trial",
        "environment: production",
    ),
    environment: "production",
});
try {
    await fleet.waitUntilReady();
    consola.info(`${fleet.routers.length} routers, ${fleet.endpoints.length} endpoints, ${ZONES.length} zones`);
    await showRanks(fleet);
    await showBooking(fleet);
    await showFlood(fleet);
    if (isKept) {
        await keepFleet(fleet);
    }
} finally {
    await fleet.stop();
}

async function showRanks(running: Fleet): Promise<void> {
    const [first, second, third] = running.routers.map(router => router.url) as [string, string, string];
    const urgent = await sendChat({ url: first, key: "key-of-parents", text: "The wheel is cracked", isStream: true });
    show("urgent answer, streamed", urgent, readStreamText(urgent.body));
    const draft = await sendChat({
        url: second,
        key: "key-of-couriers",
        text: "Courier for Tuesday",
        purpose: "draft",
    });
    show("courier draft", draft);
    const stock = await sendServiceCall({
        url: third,
        key: "key-of-shops",
        method: "GET",
        path: "swapdesk-app/stock/wheel-12",
    });
    show("stock check", stock);
    await showSpans(running, urgent);
}

async function showBooking(running: Fleet): Promise<void> {
    const booking = {
        key: "key-of-couriers",
        method: "POST",
        path: "swapdesk-app/orders",
        idempotencyKey: "order-4711",
        body: '{"wheel":12}',
    };
    const [first, second] = running.routers.map(router => router.url) as [string, string];
    show("booking", await sendServiceCall({ ...booking, url: first }));
    show("same booking at another host", await sendServiceCall({ ...booking, url: second }));
    show("same key, other body", await sendServiceCall({ ...booking, url: first, body: '{"wheel":13}' }));
}

async function showFlood(running: Fleet): Promise<void> {
    const urls = running.routers.map(router => router.url);
    const answers = await Promise.all(
        buildList(FLOOD_REQUESTS, index =>
            sendChat({
                url: urls[index % urls.length] ?? "",
                key: index % 10 === 0 ? "key-of-parents" : "key-of-shops",
                text: `request ${index}`,
                tokens: 32,
                purpose: index % 10 === 0 ? undefined : "stock-check",
            }),
        ),
    );
    const parents: HttpAnswer[] = [];
    const shops: HttpAnswer[] = [];
    answers.forEach((answer, index) => (index % 10 === 0 ? parents : shops).push(answer));
    consola.info(
        `flood: urgent ${countOk(parents)}/${parents.length} answered, stock checks ${countOk(shops)}/${shops.length}`,
    );
    const refused = shops.find(answer => answer.status !== 200);
    if (refused !== undefined) {
        show("a refusal of the flood", refused);
    }
}

async function showSpans(running: Fleet, answer: HttpAnswer): Promise<void> {
    await waitFor(SPAN_EXPORT_MS);
    const spans = await findSpans(running, answer);
    consola.info("spans of the urgent answer:");
    for (const span of spans) {
        consola.log(`    ${span.host.padEnd(10)} ${span.name.padEnd(16)} ${span.durationMs.toFixed(1)} ms`);
    }
}

async function findSpans(running: Fleet, answer: HttpAnswer): Promise<CollectedSpan[]> {
    const trace = String(answer.headers["x-trace-id"] ?? "");
    const url = `${running.collectorUrl}/spans?trace=${trace}`;
    const found = await sendHttpCall({ method: "GET", url, timeoutMs: SPAN_EXPORT_MS });
    return (JSON.parse(found.body.toString("utf8")) as CollectedSpan[]).sort(
        (left, right) => left.startMs - right.startMs,
    );
}

function countOk(answers: HttpAnswer[]): number {
    return answers.filter(answer => answer.status === 200).length;
}

function show(title: string, answer: HttpAnswer, text = answer.body.toString("utf8")): void {
    consola.info(`${title}: ${answer.status} ${text}`);
}

async function keepFleet(running: Fleet): Promise<void> {
    const [router] = running.routers;
    consola.log(`
The fleet stays up until Ctrl-C. Try:

curl -sN ${router?.url}/v1/chat/completions -H 'Authorization: Bearer key-of-parents' -H 'Content-Type: application/json' \\
  -d '{"model":"assist-lm","stream":true,"messages":[{"role":"user","content":"The wheel is cracked"}]}'

curl -si ${router?.url}/services/swapdesk-app/orders -H 'Authorization: Bearer key-of-couriers' -H 'Idempotency-Key: order-1' -d '{"wheel":12}'

curl -s ${router?.metricsUrl}/metrics
`);
    await new Promise(resolve => process.once("SIGINT", resolve));
}
