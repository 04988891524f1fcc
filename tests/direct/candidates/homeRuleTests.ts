import t from "tap";
import {
    ExclusionReason,
    UNKNOWN_DEMAND,
    createEndpointCandidates,
    createHomeRule,
} from "../../../src/direct/candidates/index.js";
import type { EndpointRecord } from "../../../src/direct/EndpointRecord.js";

const NOW = 0;

/** Lists the zones in which a request with the given homes may run; the zone `x` has no region. */
function startCandidates() {
    const serving = ["a", "b", "c", "x"].map(zone => ({ id: zone, zone }) as EndpointRecord);
    const unknown: string[] = [];
    const rule = createHomeRule({ a: "north", b: "north", c: "south" }, zone => unknown.push(zone));
    const candidates = createEndpointCandidates({ listServing: () => serving }, [rule]);
    return { candidates, unknown };
}

t.test("a request runs only in the homes of its route and of its team", async t => {
    const { candidates, unknown } = startCandidates();
    const listZones = (...homes: string[][]): string[] =>
        candidates.listCandidates("app", { ...UNKNOWN_DEMAND, homes }, NOW).map(({ zone }) => zone);
    t.strictSame(listZones(), ["a", "b", "c", "x"], "no homes, no restriction");
    t.strictSame(unknown, []);
    t.strictSame(listZones(["north"]), ["a", "b"]);
    t.strictSame(listZones(["north", "south"]), ["a", "b", "c"], "a zone without a region is outside all homes");
    t.strictSame(listZones(["north", "south"], ["south"]), ["c"], "both apply");
    t.strictSame(listZones(["north"], ["south"]), []);
    t.strictSame(unknown, ["x"], "one line, whatever the number of requests");
});

t.test("a request that its homes leave no endpoint does not wait for one", async t => {
    const { candidates } = startCandidates();
    const away = { ...UNKNOWN_DEMAND, homes: [["east"]] };
    t.equal(candidates.hasProspect("app", away, NOW), false);
    t.equal(candidates.hasProspect("app", { ...UNKNOWN_DEMAND, homes: [["south"]] }, NOW), true);
    t.ok(
        candidates
            .assessEndpoints("app", away, NOW)
            .every(({ reasons }) => reasons[0] === ExclusionReason.OutsideHomes),
    );
});
