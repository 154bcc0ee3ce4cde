/**
 * Seeded pseudo-random number generator (xoroshiro128+). A seed gives the same sequence on every machine.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export interface Random {
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    nextFraction(): number;
    /** Returns an integer from 0 (inclusive) to `maxExclusive` (exclusive). */
    nextInteger(maxExclusive: number): number;
    /** Returns a shuffled copy. */
    shuffle<Item>(items: readonly Item[]): Item[];
}

// The first outputs of xoroshiro128+ depend on few bits of its state.
const warmupDraws = 16;
const mixRounds = 2;
// Odd constant with which each bit of the seed affects about half of the result bits after two rounds.
const mixMultiplier = 0x45d9f3b;

/** Creates a generator from an integer seed. */
export function createSeededRandom(seed: number): Random {
    const generator = xoroshiro128plus(mixSeed(seed));
    for (let skipped = 0; skipped < warmupDraws; skipped++) {
        generator.next();
    }
    const nextInteger = (maxExclusive: number): number => uniformInt(generator, 0, maxExclusive - 1);
    return {
        nextFraction: () => uniformFloat64(generator),
        nextInteger,
        shuffle: items => shuffleWith(items, nextInteger),
    };
}

/** Spreads consecutive seeds over all 32 bits. Without it, nodes with consecutive seeds draw the same jitter. */
function mixSeed(seed: number): number {
    let mixed = seed | 0;
    for (let round = 0; round < mixRounds; round++) {
        mixed = Math.imul(mixed ^ (mixed >>> 16), mixMultiplier);
    }
    return mixed ^ (mixed >>> 16);
}

/** Fisher-Yates shuffle of a copy. */
function shuffleWith<Item>(items: readonly Item[], nextInteger: (maxExclusive: number) => number): Item[] {
    const shuffled = [...items];
    for (let last = shuffled.length - 1; last > 0; last--) {
        const other = nextInteger(last + 1);
        const moved = shuffled[last] as Item;
        shuffled[last] = shuffled[other] as Item;
        shuffled[other] = moved;
    }
    return shuffled;
}
