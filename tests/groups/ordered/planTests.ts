import t from "tap";
import { createRandom } from "../../../bench/scheduling/Random.js";
import { computeSetRatio, planSet } from "../../../src/groups/ordered/planMap.js";
import { buildList } from "../../../src/utils/list.js";

interface GroupSize {
    ranks: number;
    experts: number;
    placements: number;
}

const RESERVE = 2;
/** Gains that a copy must bring in a busy and in an idle group, in rank's mean shares of the objective. */
const LEAST_GAIN_PER_COPY = 0.24;
const LEAST_GAIN_PER_COPY_IDLE = 0.64;
const SKEW = 1.1;
const JUMPS = 20;
/** Target of the project: load of the most loaded rank over the mean, on average while demand shifts. */
const TARGET_RATIO = 1.3;
const FLOOR = 0.02;

/** Draws Zipf-distributed loads in random order. */
function drawLoads(random: ReturnType<typeof createRandom>, experts: number): number[] {
    const order = buildList(experts, expert => ({ expert, key: random.draw() }));
    order.sort((left, right) => left.key - right.key);
    const loads = new Array<number>(experts).fill(0);
    order.forEach(({ expert }, place) => (loads[expert] = 1 / (place + 1) ** SKEW + FLOOR));
    return loads;
}

function buildStart(size: GroupSize): number[][] {
    const all = buildList(size.experts, expert => expert);
    return buildList(size.ranks, rank => all.filter(expert => expert % size.ranks === rank));
}

const SIZES: GroupSize[] = [
    { ranks: 16, experts: 64, placements: 5 },
    { ranks: 72, experts: 144, placements: 3 },
];

for (const size of SIZES) {
    t.test(`plans for ${size.ranks} ranks keep the limits and follow jumps of demand`, t => {
        const random = createRandom(1);
        let current = buildStart(size);
        let sum = 0;
        for (let jump = 0; jump < JUMPS; jump++) {
            const loads = drawLoads(random, size.experts);
            const limits = { placements: size.placements, reserve: RESERVE, leastGainPerCopy: LEAST_GAIN_PER_COPY };
            const plan = planSet(current, loads, limits);
            const held = new Set(plan.experts.flat());
            t.equal(held.size, size.experts, "each expert is held by a rank");
            t.ok(plan.experts.every(ofRank => ofRank.length <= size.placements));
            t.ok(plan.experts.every(ofRank => new Set(ofRank).size === ofRank.length));
            const added = plan.experts.map((ofRank, rank) => ofRank.filter(expert => !current[rank]?.includes(expert)));
            t.ok(added.every(ofRank => ofRank.length <= RESERVE));
            t.equal(plan.copies, added.flat().length);
            t.ok(Math.abs(plan.after - computeSetRatio(plan.experts, loads)) < 1e-6, "the ratio is the real one");
            sum += plan.after;
            current = plan.experts;
        }
        t.ok(sum / JUMPS <= TARGET_RATIO, `${(sum / JUMPS).toFixed(3)} on average`);
        t.end();
    });
}

t.test(
    "an idle group of 192 ranks is balanced as well as a small one, as what a copy must bring does not grow with the ranks",
    t => {
        const ratios = [
            { ranks: 16, experts: 32, placements: 3 },
            { ranks: 192, experts: 384, placements: 3 },
        ].map(size => {
            const random = createRandom(4);
            const limits = {
                placements: size.placements,
                reserve: RESERVE,
                leastGainPerCopy: LEAST_GAIN_PER_COPY_IDLE,
            };
            const plans = buildList(JUMPS, () => {
                const loads = buildList(size.experts, () => 1 / (0.02 + random.draw()));
                return planSet(buildStart(size), loads, limits).after;
            });
            return plans.reduce((sum, after) => sum + after, 0) / JUMPS;
        });
        t.ok(Math.max(...ratios) <= TARGET_RATIO, ratios.map(ratio => ratio.toFixed(3)).join(" and "));
        t.end();
    },
);

t.test("a higher minimum gain per copy means fewer copies", t => {
    const random = createRandom(2);
    const size = { ranks: 16, experts: 64, placements: 5 };
    const loads = drawLoads(random, size.experts);
    const copies = [0.048, 0.64, 8].map(
        leastGainPerCopy =>
            planSet(buildStart(size), loads, { placements: size.placements, reserve: RESERVE, leastGainPerCopy })
                .copies,
    );
    t.ok((copies[0] ?? 0) >= (copies[1] ?? 0) && (copies[1] ?? 0) > (copies[2] ?? 0), copies.join(" "));
    t.end();
});

t.test("load is moved away from a slow rank", t => {
    const size = { ranks: 16, experts: 64, placements: 5 };
    const loads = drawLoads(createRandom(3), size.experts);
    const paces = buildList(size.ranks, rank => (rank === 5 ? 12 : 1));
    const limits = { placements: size.placements, reserve: RESERVE, leastGainPerCopy: LEAST_GAIN_PER_COPY, paces };
    let current = buildStart(size);
    for (let change = 0; change < 3; change++) {
        current = planSet(current, loads, limits).experts;
    }
    const slow = planSet(buildStart(size), loads, { ...limits, paces: undefined }).experts;
    const [ratio, ratioUnaware] = [current, slow].map(experts => computeSetRatio(experts, loads, paces));
    t.ok((ratio ?? 0) < (ratioUnaware ?? 0) / 4, `${ratio} in place of ${ratioUnaware} times the mean`);
    t.end();
});

t.test("without load nothing is planned", t => {
    const plan = planSet([[0], [1]], [0, 0], { placements: 2, reserve: 1, leastGainPerCopy: 0 });
    t.match(plan, { experts: [[0], [1]], before: 1, after: 1, copies: 0 });
    t.end();
});
