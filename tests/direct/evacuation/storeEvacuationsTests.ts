import t from "tap";
import { createPlatformCodec } from "../../../platform/PlatformCodec.js";
import { createEvacuations, createStoreEvacuations } from "../../../src/direct/evacuation/index.js";
import type { KeyValueEntry } from "../../../src/platform/index.js";
import { createLogger } from "../../../src/telemetry/logger.js";

function buildEntry(zone: string, revision: number, value = "{}"): KeyValueEntry {
    return { key: `op/evacuate/${zone}`, value, revision };
}

function startEvacuations(evacuateMs: number | undefined = 5_000) {
    const lines: string[] = [];
    const withdrawn: string[] = [];
    const logger = createLogger("r1", { writeLine: line => lines.push(line), flush: () => Promise.resolve() });
    const evacuations = createEvacuations({
        settings: { evacuateMs, zoneRegions: { a: "r", b: "r" } },
        hasEndpoint: () => false,
        announce: () => undefined,
        onWithdrawn: zone => withdrawn.push(zone),
        logger,
    });
    const store = createStoreEvacuations(createPlatformCodec(logger), evacuations, logger);
    const listEvents = (): string[] => lines.map(line => (JSON.parse(line) as { name: string }).name);
    return { evacuations, store, listEvents, withdrawn };
}

t.test("any value of the key evacuates the zone, and each irregular key gives one line", async t => {
    const { evacuations, store, listEvents } = startEvacuations();
    const entries = [
        buildEntry("a", 3, "\u0000\ufffd{"),
        buildEntry("no-such-zone", 4),
        buildEntry("", 5),
        buildEntry("x".repeat(200), 6),
        { key: "op/config", value: "{}", revision: 2 },
    ];
    for (const revision of [6, 7]) {
        store.applyListing(entries);
        store.confirm({ era: 0, revision }, 1);
    }
    t.strictSame(evacuations.listZones(), ["a", "no-such-zone"]);
    t.strictSame(listEvents(), [
        "EvacuationRejected",
        "EvacuationRejected",
        "EvacuationStarted",
        "EvacuatedZoneUnknown",
    ]);
});

t.test("two zones at once, one of them twice, are evacuated and end one by one", async t => {
    const { evacuations, store, listEvents, withdrawn } = startEvacuations();
    store.applyListing([]);
    store.confirm({ era: 0, revision: 1 }, 1);
    store.applyEntry(buildEntry("a", 2));
    store.applyEntry(buildEntry("b", 3));
    store.confirm({ era: 0, revision: 3 }, 1);
    store.applyEntry(buildEntry("a", 4));
    store.confirm({ era: 0, revision: 4 }, 1);
    store.removeKey("op/evacuate/a");
    store.confirm({ era: 0, revision: 5 }, 1);
    t.strictSame(evacuations.listZones(), ["b"]);
    t.strictSame(withdrawn, ["a"], "its endpoints count as cold from now on");
    t.strictSame(listEvents(), ["EvacuationStarted", "EvacuationStarted", "EvacuationRepeated", "EvacuationWithdrawn"]);
});

t.test("a listing after lost history ends what was withdrawn meanwhile", async t => {
    const { evacuations, store } = startEvacuations();
    store.applyListing([buildEntry("a", 2), buildEntry("b", 3)]);
    store.confirm({ era: 0, revision: 3 }, 1);
    store.applyListing([buildEntry("b", 3)]);
    store.confirm({ era: 0, revision: 400 }, 1);
    t.strictSame(evacuations.listZones(), ["b"]);
});

t.test("without the bound in the settings, nothing is evacuated and nothing is told to others", async t => {
    const logger = createLogger("r1", { writeLine: () => undefined, flush: () => Promise.resolve() });
    const options = { settings: {}, hasEndpoint: () => true, announce: () => undefined, logger };
    const evacuations = createEvacuations(options);
    const store = createStoreEvacuations(createPlatformCodec(logger), evacuations, logger);
    store.applyListing([buildEntry("a", 2)]);
    store.confirm({ era: 0, revision: 3 }, 1);
    t.equal(evacuations.isEvacuated("a"), false);
    t.equal(evacuations.buildReport(), undefined);
    t.equal(evacuations.isKnown(), true);
});
