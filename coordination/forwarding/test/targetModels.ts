/**
 * Targets whose run times depend on their speed, the calls that run in them, and the time.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";

/** Multiple of the usual run time that a run takes which starts now. */
export type RunTimeFactor = (target: number, running: number, at: Milliseconds) => number;

/** The slowest target takes this many times as long as usual; others are even. */
export function createSlowTargets(slowTargets: number, factor: number): RunTimeFactor {
    return target => target < slowTargets ? factor : 1;
}

/** Run times rise with each running call beyond the knee. */
export function createKnee(knee: number, risePerCall: number, slowTargets = Number.POSITIVE_INFINITY): RunTimeFactor {
    return (target, running) => target < slowTargets ? 1 + risePerCall * Math.max(0, running - knee) : 1;
}

/** Runs take 2.5 times as long for 15 % of the time, in spells of 600 ms on average. */
export function createNoise(seed: number): RunTimeFactor {
    const factor = 2.5;
    const noisyMs = 600;
    const quietMs = noisyMs / 0.15 - noisyMs;
    const changes: Milliseconds[][] = [];
    return (target, _, at) => {
        const random = createSeededRandom(seed * 100 + target);
        const times = changes[target] ??= createChanges(random, quietMs, noisyMs);
        const index = times.findIndex(time => time > at);
        return index % 2 === 1 ? factor : 1;
    };
}

function createChanges(random: { nextFraction(): number }, quietMs: number, noisyMs: number): Milliseconds[] {
    const lastMs = 600_000;
    const times: Milliseconds[] = [];
    for (let at = 0; at < lastMs;) {
        at -= Math.log(1 - random.nextFraction()) * (times.length % 2 === 0 ? quietMs : noisyMs);
        times.push(at);
    }
    return times;
}

/** Runs take twice as long in the first seconds. */
export function createColdStart(coldMs: Milliseconds): RunTimeFactor {
    return (_target, _running, at) => at < coldMs ? 2 : 1;
}

export function combine(...factors: readonly RunTimeFactor[]): RunTimeFactor {
    return (target, running, at) => factors.reduce((product, factor) => product * factor(target, running, at), 1);
}
