import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { World } from "./world";

const seeds = [101, 202, 303, 404];
const runsPerSeed = 500;
const stepsPerRun = 120;

/** What happens next in a run. */
enum StepKind {
    Accept,
    AcceptBad,
    ReadStore,
    ReadStoreLate,
    Restart,
    RestartAhead,
    StoreDown,
    StoreUp,
    Exchange,
    Deliver,
    Repeat,
    Lose,
    Damage,
    Tick,
}

interface Step {
    readonly kind: StepKind;
    readonly first: number;
    readonly second: number;
}

const frequentKinds = [
    StepKind.Accept,
    StepKind.Exchange,
    StepKind.Exchange,
    StepKind.Exchange,
    StepKind.Deliver,
    StepKind.Deliver,
    StepKind.Deliver,
    StepKind.Deliver,
    StepKind.Repeat,
    StepKind.Restart,
    StepKind.RestartAhead,
    StepKind.StoreDown,
    StepKind.ReadStoreLate,
];
const rareKinds = [
    StepKind.AcceptBad,
    StepKind.ReadStore,
    StepKind.StoreDown,
    StepKind.StoreUp,
    StepKind.Lose,
    StepKind.Damage,
    StepKind.Tick,
];

const choice = fc.nat({ max: 10_000 });
const step: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom(...frequentKinds, ...rareKinds),
    first: choice,
    second: choice,
});

function take(world: World, { kind, first, second }: Step): void {
    switch (kind) {
        case StepKind.Accept:
            return world.accept(false);
        case StepKind.AcceptBad:
            return world.accept(true);
        case StepKind.ReadStore:
            return world.readStore(world.hostAt(first));
        case StepKind.ReadStoreLate:
            return world.readStoreLate(world.hostAt(first));
        case StepKind.Restart:
            return world.restart(world.hostAt(first));
        case StepKind.RestartAhead:
            return world.restartAhead(world.hostAt(first));
        case StepKind.StoreDown:
            world.storeUp = false;
            return;
        case StepKind.StoreUp:
            world.storeUp = true;
            return;
        case StepKind.Exchange:
            return world.exchange(world.hostAt(first), world.hostAt(second));
        case StepKind.Deliver:
            return world.deliverAt(first);
        case StepKind.Repeat:
            return world.repeatAt(first);
        case StepKind.Lose:
            return world.loseAt(first);
        case StepKind.Damage:
            return world.damageAt(first);
        case StepKind.Tick:
            return world.tick(first % 3_000);
    }
}

describe("dissemination under faults", () => {
    it.each(seeds)("never steps back, activates only whole verified versions and converges, seed %i", seed => {
        const steps = fc.array(step, { minLength: stepsPerRun / 4, maxLength: stepsPerRun, size: "max" });
        fc.assert(fc.property(steps, taken => {
            const world = new World();
            taken.forEach(next => take(world, next));
            world.settle();
            const newest = world.accepted.length;
            expect(world.hosts().map(host => world.versionOf(host))).toEqual(world.hosts().map(() => newest));
        }), { seed, numRuns: runsPerSeed });
    });
});
