import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded random numbers. */
export interface Random {
    /** Draws a number from 0 to 1. */
    draw(): number;
    /** Draws from an exponential distribution with a mean. */
    drawExponential(mean: number): number;
    /** Draws an index by weights. */
    drawIndex(weights: readonly number[]): number;
}

/**
 * Creates seeded random numbers.
 * @param seed - Seed.
 */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return { draw, drawExponential, drawIndex };

    function draw(): number {
        return uniformFloat64(generator);
    }

    function drawExponential(mean: number): number {
        return -Math.log(1 - draw()) * mean;
    }

    function drawIndex(weights: readonly number[]): number {
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        let rest = draw() * total;
        for (const [index, weight] of weights.entries()) {
            rest -= weight;
            if (rest < 0) {
                return index;
            }
        }
        return weights.length - 1;
    }
}
