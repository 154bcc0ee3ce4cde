import { describe, expect, it } from "vitest";
import { AnnouncedSlots, type SlotLimit } from "@bilberrycroft/coordination.forwarding";
import { repeatableRoute } from "./fixtures";
import { LoadPlay, type PlayedLoad, type PlayedResult } from "./loadPlay";
import { combine, createColdStart, createKnee, createNoise, createSlowTargets } from "./targetModels";

const seeds = Array.from({ length: 30 }, (_, index) => index + 1);
const slots = 16;
/** Many plays in virtual time: what a busy machine takes for them says nothing about the limit. */
const computationTimeoutMs = 600_000;
const baseLoad: Omit<PlayedLoad, "seed"> = {
    callerNodes: 2,
    targets: 1,
    slots,
    runMs: 100,
    durationMs: 45_000,
    loadFactor: 0.8,
    // Waves as on the platform, of plus and minus 55 %.
    loadAt: at => 1 + 0.55 * Math.sin(2 * Math.PI * at / 12_000),
    route: { ...repeatableRoute, latencyObjectiveMs: 250, timeoutMs: 1_000 },
    deadlineMs: 1_000,
    tracksAges: true,
    learnsCapacity: true,
};
const createFixedSlots = (): SlotLimit => new AnnouncedSlots();

type Changes = (seed: number) => Partial<PlayedLoad>;

const play = (seed: number, changes: Changes): PlayedResult =>
    new LoadPlay({ ...baseLoad, seed, ...changes(seed) }).run();
const inTimeShare = ({ inTime, asked }: PlayedResult): number => inTime / asked;
/** Mean gain in the share of calls in time over fixed slots, and twice its standard error. */
const compareWithFixedSlots = (changes: Changes): { readonly mean: number; readonly margin: number } => {
    const gains = seeds.map(seed => inTimeShare(play(seed, changes))
        - inTimeShare(play(seed, value => ({ ...changes(value), createSlotLimit: createFixedSlots }))));
    const mean = gains.reduce((sum, gain) => sum + gain, 0) / gains.length;
    const variance = gains.reduce((sum, gain) => sum + (gain - mean) ** 2, 0) / (gains.length - 1);
    return { mean, margin: 2 * Math.sqrt(variance / gains.length) };
};

describe("the learned limit of a target", { timeout: computationTimeoutMs }, () => {
    // Existing deployments have to be served as before.
    const even: readonly (readonly [string, Changes])[] = [
        ["that keeps its speed", () => ({})],
        ["that keeps its speed and is overloaded", () => ({ loadFactor: 1.3 })],
        ["that is 1.8 times as slow as usual", () => ({ runTimeFactor: createSlowTargets(1, 1.8) })],
        ["with a heavy mix of routes", () => ({ heavyShare: 0.1 })],
        ["whose calls wait for inner calls elsewhere", () => ({ innerWaitMsAt: at => at % 10_000 < 4_000 ? 120 : 30 })],
    ];
    it.each(even)("%s stays at its slots", (_, changes) => {
        const load: Changes = seed => ({ durationMs: 24_000, ...changes(seed) });
        seeds.forEach(seed => expect(play(seed, load).lowestSlots).toEqual([slots]));
    });

    const disturbed: readonly (readonly [string, Changes])[] = [
        ["that is noisy", seed => ({ runTimeFactor: createNoise(seed) })],
        ["that is cold for 8 s", () => ({ runTimeFactor: createColdStart(8_000) })],
    ];
    it.each(disturbed)("%s serves as many calls in time as with all slots, within 0.01", (_, changes) => {
        expect(compareWithFixedSlots(changes).mean).toBeGreaterThan(-0.01);
    });

    const uneven: readonly (readonly [string, Changes])[] = [
        ["that slows down beyond 6 calls", () => ({ loadFactor: 0.5, runTimeFactor: createKnee(6, 0.3) })],
        ["that slows down beyond 6 calls and is noisy", seed =>
            ({ loadFactor: 0.45, runTimeFactor: combine(createNoise(seed), createKnee(6, 0.3)) })],
    ];
    it.each(uneven)("%s serves more calls in time than with all slots", (_, changes) => {
        const { mean, margin } = compareWithFixedSlots(changes);
        expect(mean).toBeGreaterThan(margin);
        expect(mean).toBeGreaterThan(0.05);
    });

    it("grows again to the slots when the target no longer slows down, and never leaves its bounds", () => {
        const knee = createKnee(6, 0.3);
        const endsAt = 60_000;
        // Growth takes some minutes, as each step is tried; a seed may need longer.
        const recovered = seeds.slice(0, 10).filter(seed => {
            const { lastSlots, lowestSlots } = play(seed, () => ({
                durationMs: 400_000,
                loadFactor: 0.5,
                runTimeFactor: (target, running, at) => at < endsAt ? knee(target, running, at) : 1,
            }));
            expect(lowestSlots[0]).toBeGreaterThanOrEqual(1);
            return lastSlots[0] === slots;
        });
        expect(recovered.length).toBeGreaterThanOrEqual(8);
    });
});
