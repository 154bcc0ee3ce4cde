import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { Simulation } from "./simulation";

const seeds = [101, 202, 303, 404];
const runsPerSeed = 500;
const stepsPerRun = 120;

enum StepKind {
    Accept,
    AcceptInvalid,
    ReadStore,
    ReadStoreLate,
    Restart,
    RestartWithNewerVersion,
    StoreDown,
    StoreUp,
    Exchange,
    Deliver,
    Duplicate,
    Lose,
    Corrupt,
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
    StepKind.Duplicate,
    StepKind.Restart,
    StepKind.RestartWithNewerVersion,
    StepKind.StoreDown,
    StepKind.ReadStoreLate,
];
const rareKinds = [
    StepKind.AcceptInvalid,
    StepKind.ReadStore,
    StepKind.StoreDown,
    StepKind.StoreUp,
    StepKind.Lose,
    StepKind.Corrupt,
    StepKind.Tick,
];

const choice = fc.nat({ max: 10_000 });
const step: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom(...frequentKinds, ...rareKinds),
    first: choice,
    second: choice,
});

function applyStep(simulation: Simulation, { kind, first, second }: Step): void {
    switch (kind) {
        case StepKind.Accept:
            return simulation.accept(false);
        case StepKind.AcceptInvalid:
            return simulation.accept(true);
        case StepKind.ReadStore:
            return simulation.readStore(simulation.hostAt(first));
        case StepKind.ReadStoreLate:
            return simulation.readStoreLate(simulation.hostAt(first));
        case StepKind.Restart:
            return simulation.restart(simulation.hostAt(first));
        case StepKind.RestartWithNewerVersion:
            return simulation.restartWithNewerVersion(simulation.hostAt(first));
        case StepKind.StoreDown:
            simulation.isStoreUp = false;
            return;
        case StepKind.StoreUp:
            simulation.isStoreUp = true;
            return;
        case StepKind.Exchange:
            return simulation.exchange(simulation.hostAt(first), simulation.hostAt(second));
        case StepKind.Deliver:
            return simulation.deliverAt(first);
        case StepKind.Duplicate:
            return simulation.duplicateAt(first);
        case StepKind.Lose:
            return simulation.loseAt(first);
        case StepKind.Corrupt:
            return simulation.corruptAt(first);
        case StepKind.Tick:
            return simulation.tick(first % 3_000);
    }
}

describe("dissemination under faults", () => {
    it.each(seeds)("never lowers the version, activates only complete verified versions and converges, seed %i", seed => {
        const steps = fc.array(step, { minLength: stepsPerRun / 4, maxLength: stepsPerRun, size: "max" });
        fc.assert(fc.property(steps, generated => {
            const simulation = new Simulation();
            generated.forEach(next => applyStep(simulation, next));
            simulation.settle();
            const newest = simulation.accepted.length;
            expect(simulation.hosts().map(host => simulation.versionOf(host)))
                .toEqual(simulation.hosts().map(() => newest));
        }), { seed, numRuns: runsPerSeed });
    });
});
