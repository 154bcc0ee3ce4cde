import { ManualClock } from "@bilberrycroft/core.clock";
import { TargetState } from "@bilberrycroft/coordination.membership";
import { CommandLineKind } from "@bilberrycroft/standins.store";
import { describe, expect, it } from "vitest";
import { parseTargetCommand, targetSettingsSchema } from "../src";
import { Lifecycle } from "../src/lifecycle";
import { RunTimes } from "../src/runTimes";

describe("target model", () => {
    it("draws the same short and long run times for the same seed, so that benchmarks of versions are comparable", () => {
        const settings = targetSettingsSchema.parse({ id: "r1", service: "readings", seed: 4 });
        const drawDurations = (): number[] => {
            const runTimes = new RunTimes(settings);
            return ["/now", "/now", "/history/may"].map(path => runTimes.plan(path, 1).durationMs);
        };
        const [first = 0, second = 0, long = 0] = drawDurations();
        expect(drawDurations()).toEqual([first, second, long]);
        expect(first).not.toBe(second);
        expect(Math.max(first, second)).toBeLessThanOrEqual(settings.shortMs * (1 + settings.jitter));
        expect(long).toBeGreaterThanOrEqual(settings.longMs * (1 - settings.jitter));
    });

    it("warms up linearly and is cold again after a restart, so that tests show the effect of full load on a cold target", () => {
        const clock = new ManualClock();
        const lifecycle = new Lifecycle(clock, { coldStartMs: 1_000, coldFactor: 5 });
        expect([lifecycle.state, lifecycle.runTimeFactor]).toEqual([TargetState.Warming, 5]);
        clock.advance(500);
        expect(lifecycle.runTimeFactor).toBe(3);
        clock.advance(500);
        expect([lifecycle.state, lifecycle.runTimeFactor]).toEqual([TargetState.Ready, 1]);
        lifecycle.restart();
        expect(lifecycle.state).toBe(TargetState.Warming);
    });

    it("reads flags, requires an id and refuses a malformed address", () => {
        const parse = (...flags: string[]): ReturnType<typeof parseTargetCommand> =>
            parseTargetCommand(["node", "bilberrycroft-target", ...flags]);
        expect(parse("--id", "7", "--service", "fans", "--node-control", "127.0.0.1:7000")).toMatchObject({
            kind: CommandLineKind.Run,
            settings: { id: "7", service: "fans", nodeControl: "127.0.0.1:7000", slots: 6 },
        });
        expect(parse("--service", "fans").kind).toBe(CommandLineKind.Refused);
        expect(parse("--id", "7", "--service", "fans", "--node-calls", "nowhere").kind).toBe(CommandLineKind.Refused);
    });
});
