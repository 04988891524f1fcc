import t from "tap";
import { UNKNOWN_DEMAND, createEndpointCandidates } from "../../../src/direct/candidates/index.js";
import { createEndpointMemory, createMemoryRule, createSizeRule } from "../../../src/direct/endpointMemory/index.js";
import { createLoadTracker } from "../../../src/direct/LoadTracker.js";
import type { EndpointRecord } from "../../../src/direct/EndpointRecord.js";
import type { EngineCostModel } from "../../../src/direct/RoutingDocument.js";

const MEMORY = 1_000;
const ENDPOINTS = ["i-1", "i-2"].map(id => ({ id, service: "llm" }) as EndpointRecord);
const [FIRST, SECOND] = ENDPOINTS as [EndpointRecord, EndpointRecord];
const ENGINE = { memoryTokens: MEMORY, usualPromptTokens: 90, usualAnswerTokens: 10 } as EngineCostModel;

/** Creates the memory of two engines of 1,000 tokens, whose requests usually take 100. */
function startMemory(engine: EngineCostModel = ENGINE) {
    const load = createLoadTracker();
    const heldBack: string[] = [];
    const memory = createEndpointMemory({
        load,
        getEngine: service => (service === "llm" ? engine : undefined),
        onHeldBack: service => heldBack.push(service),
    });
    const candidates = createEndpointCandidates({ listServing: () => ENDPOINTS }, [
        createSizeRule(memory),
        createMemoryRule(memory),
    ]);
    return {
        memory,
        load,
        heldBack,
        listOpen: (size: number | undefined) =>
            candidates.listCandidates("llm", buildDemand(size), 0).map(({ id }) => id),
        hasProspect: (size: number) => candidates.hasProspect("llm", buildDemand(size), 0),
        /** Sends a request if there is room; returns what ends it. */
        send(endpoint: EndpointRecord, size: number | undefined) {
            const ticket = memory.takeRoom(endpoint, buildDemand(size).tokens, 0);
            if (ticket === undefined) {
                return undefined;
            }
            load.startRequest(endpoint.id);
            return (now: number): void => {
                load.endRequest(endpoint.id);
                ticket.release(now);
            };
        },
    };
}

function buildDemand(size: number | undefined) {
    return { ...UNKNOWN_DEMAND, tokens: size === undefined ? undefined : { prompt: size - 10, answer: 10 } };
}

// Guards against requests that choose an endpoint in one turn of the event loop and together exceed its memory.
t.test("requests of this router never exceed the memory", t => {
    const { send, heldBack, listOpen } = startMemory();
    const sent = [400, 400, 400, 200].map(size => send(FIRST, size));
    t.strictSame(
        sent.map(end => end !== undefined),
        [true, true, false, true],
        "a smaller request uses the room that is left",
    );
    t.strictSame(heldBack, ["llm"]);
    t.strictSame(listOpen(100), ["i-2"]);
    sent[0]?.(1);
    t.strictSame(listOpen(400), ["i-1", "i-2"], "the end of a send frees its room");
    t.end();
});

// Guards against an engine that holds requests of many routers, each of which sees room for its own.
t.test("requests of other routers count as the mean of this router's", t => {
    const { load, listOpen, send } = startMemory();
    load.setPeerLoad("peer", { "i-1": 8 }, 0);
    t.strictSame(listOpen(200), ["i-1", "i-2"], "the usual lengths of the document");
    t.strictSame(listOpen(201), ["i-2"]);
    for (let count = 0; count < 100; count++) {
        send(SECOND, 50)?.(1_000_000);
    }
    t.strictSame(listOpen(590), ["i-1", "i-2"], "smaller ones");
    send(SECOND, 900)?.(1);
    t.strictSame(listOpen(590), ["i-1", "i-2"], "a short one counts little");
    load.startRequest("i-1");
    t.strictSame(listOpen(590), ["i-2"], "a request of this router without counts");
    t.end();
});

// Guards against a large request that is refused although an engine is empty, and one that waits although it never fits.
t.test("a large request is served while there is room, and one that never fits does not wait", t => {
    const { send, listOpen, hasProspect } = startMemory();
    const end = send(FIRST, 10);
    t.strictSame(listOpen(MEMORY), ["i-2"]);
    send(SECOND, 10);
    t.strictSame(listOpen(MEMORY), []);
    t.ok(hasProspect(MEMORY), "it waits");
    end?.(1);
    t.strictSame(listOpen(MEMORY), ["i-1"]);
    t.strictSame(listOpen(MEMORY + 1), []);
    t.notOk(hasProspect(MEMORY + 1));
    t.end();
});

t.test("without token counts or a known memory, nothing is excluded or held", t => {
    const known = startMemory();
    known.send(FIRST, MEMORY);
    t.strictSame(known.listOpen(undefined), ["i-1", "i-2"]);
    const unknown = startMemory({ ...ENGINE, memoryTokens: undefined });
    unknown.send(FIRST, 10 * MEMORY);
    t.strictSame(unknown.listOpen(10 * MEMORY), ["i-1", "i-2"]);
    t.equal(unknown.memory.countInUse(), 0);
    t.end();
});

// Guards against state that stays behind for each endpoint that ever had a request.
t.test("endpoints without requests in progress leave no state", t => {
    const { send, memory } = startMemory();
    const ends = [...Array(1_000).keys()].map(index => send({ ...FIRST, id: `i-${index}` }, 10));
    t.equal(memory.countInUse(), 1_000);
    ends.forEach(end => end?.(1));
    t.equal(memory.countInUse(), 0);
    t.end();
});
