import t from "tap";
import { createDocumentFetcher, FetchResult } from "../../src/direct/DocumentFetcher.js";
import { type DocumentReply, createDocumentServer } from "../../src/direct/DocumentServer.js";
import { createRouteIndexHolder } from "../../src/direct/RouteIndexHolder.js";
import type { RouteDefinition, RoutingDocument } from "../../src/direct/RoutingDocument.js";
import { joinParts, splitDocument } from "../../src/direct/documentParts.js";
import { decodeConfiguration } from "../../platform/decodeConfiguration.js";
import { buildList } from "../../src/utils/list.js";
import { buildDocument } from "./fixtures.js";

const MANY_ROUTES = 2_000;

/** Builds a document as a router decodes it, with a number of routes. */
function buildRoutingDocument(version: number, routes: number, change?: (routes: RouteDefinition[]) => void) {
    const wire = buildDocument(version);
    const [base] = wire.routes;
    wire.routes = buildList(routes, index => ({ ...base, name: `r-${index}`, path_prefix: `/r-${index}/` }));
    wire["tenants"] = buildList(30, index => ({ name: `team-${index}`, api_keys: [`key-${index}`] }));
    const decoded = decodeConfiguration(JSON.stringify(wire), () => undefined);
    if ("problem" in decoded) {
        throw new Error(decoded.problem);
    }
    const list = [...decoded.value.routes];
    change?.(list);
    return { ...decoded.value, routes: list };
}

function buildSorted(document: RoutingDocument | undefined): RoutingDocument | undefined {
    return (
        document && {
            ...document,
            routes: [...document.routes].sort((left, right) => left.name.localeCompare(right.name)),
            teams: document.teams && [...document.teams].sort((left, right) => left.name.localeCompare(right.name)),
        }
    );
}

/** Sends a value as control calls do. */
function sendOverWire<T>(value: T): T {
    return value === undefined ? value : (JSON.parse(JSON.stringify(value)) as T);
}

t.test("a document is the same after it was split, sent and joined, and splits into the same parts again", t => {
    for (const routes of [0, 1, MANY_ROUTES]) {
        const document = buildRoutingDocument(7, routes);
        const parts = [...splitDocument(document).values()].map(({ part }) => sendOverWire(part));
        const joined = joinParts(7, parts);
        t.strictSame(sendOverWire(buildSorted(joined)), sendOverWire(buildSorted(document)));
        t.strictSame([...splitDocument(joined ?? document).keys()], [...splitDocument(document).keys()]);
    }
    const open = { ...buildRoutingDocument(7, 1), teams: undefined };
    const parts = [...splitDocument(open).values()].map(({ part }) => part);
    t.equal(joinParts(7, parts)?.teams, undefined, "no teams are not the same as an empty list of them");
    t.equal(joinParts(7, []), undefined);
    t.end();
});

t.test("of two routes with the same host and prefix, the same one holds after a transfer", t => {
    const document = buildRoutingDocument(7, 5, routes => {
        const [first] = routes;
        if (first !== undefined) {
            routes.push({ ...first, name: "later" });
        }
    });
    const joined = joinParts(
        7,
        [...splitDocument(document).values()].map(({ part }) => part),
    );
    const names = (joined?.routes ?? []).filter(({ pathPrefix }) => pathPrefix === "/r-0/").map(({ name }) => name);
    t.strictSame(names, ["r-0", "later"]);
    t.end();
});

t.test("one changed route sends one part and the frame, and a removed one is gone", async t => {
    const holder = createRouteIndexHolder(() => undefined);
    holder.applyDocument(buildRoutingDocument(1, MANY_ROUTES), "test");
    const changed = buildRoutingDocument(2, MANY_ROUTES, routes => {
        routes.splice(3, 1);
    });
    const server = createDocumentServer(() => changed);
    let sentParts = 0;
    const result = await createDocumentFetcher(holder).fetchDocument("peer", async digests => {
        const reply = sendOverWire(server.answerRequest({ address: "10.0.0.1", digests }));
        sentParts += Object.keys(reply?.parts ?? {}).length;
        return reply;
    });
    t.equal(result, FetchResult.Applied);
    t.equal(sentParts, 1);
    t.equal(holder.getIndex()?.findRoute("shop.example", "/r-3/1"), undefined);
    t.equal(holder.getIndex()?.findRoute("shop.example", "/r-4/1")?.name, "r-4");
    t.strictSame(sendOverWire(buildSorted(holder.getIndex()?.document)), sendOverWire(buildSorted(changed)));
});

t.test("a router sends large documents to two others at a time, and small changes to all", t => {
    t.clock.enter();
    const document = buildRoutingDocument(2, MANY_ROUTES);
    const server = createDocumentServer(() => document);
    const ask = (address: string, digests: readonly string[] = []): DocumentReply | undefined =>
        server.answerRequest({ address, digests });
    t.equal(ask("10.0.0.1")?.isBusy, false);
    t.equal(ask("10.0.0.2")?.isBusy, false);
    t.equal(ask("10.0.0.3")?.isBusy, true);
    t.equal(ask("10.0.0.1")?.isBusy, false, "goes on");
    const all = [...splitDocument(document).keys()];
    t.equal(ask("10.0.0.4", all.slice(1))?.isBusy, false, "small");
    t.strictSame(Object.keys(ask("10.0.0.4", all.slice(1))?.parts ?? {}), all.slice(0, 1));
    ask("10.0.0.1", all.slice(1));
    t.equal(ask("10.0.0.3")?.isBusy, false, "the first one has all parts");
    t.equal(ask("10.0.0.5")?.isBusy, true);
    t.clock.advance(300);
    t.equal(ask("10.0.0.5")?.isBusy, false, "the others have given up");
    t.clock.exit();
    t.end();
});

t.test(
    "a transfer that broke off, or whose version changed meanwhile, goes on at another router with what came",
    async t => {
        const holder = createRouteIndexHolder(() => undefined);
        const fetcher = createDocumentFetcher(holder);
        const first = createDocumentServer(() => buildFirst);
        const buildFirst = buildRoutingDocument(2, MANY_ROUTES);
        let replies = 0;
        const failing = fetcher.fetchDocument("peer-1", async digests => {
            replies++;
            if (replies > 4) {
                throw new Error("cut");
            }
            return sendOverWire(first.answerRequest({ address: "10.0.0.1", digests }));
        });
        await t.rejects(failing);
        t.equal(holder.getVersion(), 0);
        const next = buildRoutingDocument(3, MANY_ROUTES + 1);
        const second = createDocumentServer(() => next);
        let sentParts = 0;
        const result = await fetcher.fetchDocument("peer-2", async digests => {
            const reply = sendOverWire(second.answerRequest({ address: "10.0.0.1", digests }));
            sentParts += Object.keys(reply?.parts ?? {}).length;
            return reply;
        });
        t.equal(result, FetchResult.Applied);
        t.equal(holder.getVersion(), 3);
        t.ok(sentParts < splitDocument(next).size, `${sentParts} parts came from the second router`);
        t.strictSame(sendOverWire(buildSorted(holder.getIndex()?.document)), sendOverWire(buildSorted(next)));
    },
);
