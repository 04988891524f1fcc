import t from "tap";
import { type PlacementLoad, runPlacementSimulation } from "../../bench/scheduling/placementSimulation.js";

/** Each fleet sends load updates at the interval that routers of a fleet of its size use. */
const FLEETS = {
    "8 routers, 16 endpoints": { routers: 8, endpoints: 16, slots: 8, loadReportMs: 50, otherZonePeriods: 2 },
    "33 routers, 72 endpoints": { routers: 33, endpoints: 72, slots: 7, loadReportMs: 55, otherZonePeriods: 7 },
};
/** Largest share of requests that may wait for a slot: 10% when five sixths of the slots are taken, 2% at two thirds. */
const TARGETS = [
    { occupancy: 0.67, waitedPart: 0.02 },
    { occupancy: 0.83, waitedPart: 0.1 },
];
const SEEDS = [1, 2, 3];

for (const [name, fleet] of Object.entries(FLEETS)) {
    for (const { occupancy, waitedPart } of TARGETS) {
        t.test(`${name}: requests find a free slot at occupancy ${occupancy}`, t => {
            const results = SEEDS.map(seed => {
                const load: PlacementLoad = {
                    ...fleet,
                    seed,
                    occupancy,
                    zones: 3,
                    serviceMs: 2_000,
                    durationMs: 30_000,
                };
                return runPlacementSimulation(load);
            });
            const mean = results.reduce((sum, result) => sum + result.waitedPart, 0) / results.length;
            t.ok(mean <= waitedPart, `${mean.toFixed(3)} of the requests waited`);
            t.end();
        });
    }
}
