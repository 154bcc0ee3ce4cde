import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import fc from "fast-check";
import { beforeAll, describe, expect, it } from "vitest";
import { ExperimentArgumentsKind, ExperimentCommand, parseExperimentArguments } from "../src/loadModel/arguments";
import { comparePlays } from "../src/loadModel/comparison";
import { compareStrategies, type PlaysByStrategy, playStrategies, scale } from "../src/loadModel/experiment";
import { MeshModel } from "../src/loadModel/meshModel";
import { plotOutcomes, plotWorth } from "../src/loadModel/plots";
import type { PlayResult } from "../src/loadModel/results";
import { parseScenario, type Scenario, ScenarioOutcomeKind, type ScenarioProblem } from "../src/loadModel/scenario";
import { Strategy } from "../src/loadModel/strategies";
import { VirtualTime } from "../src/loadModel/virtualTime";

const folder = join(import.meta.dirname, "../scenarios");
const seeds = [1, 2, 3];
/** Share of the possible calls that overloaded targets are to answer in time, as in the tests of the queue. */
const usedCapacity = 0.8;
/** A class starves if it is served less than this share as often as others, by the platform's pages. */
const starvingShare = 0.25;
/** Differences that the users call noise. */
const worthNoise = 0.03;
const readScenario = (name: string, changes: Partial<Scenario> = {}): Scenario => {
    const outcome = parseScenario(readFileSync(join(folder, `${name}.yaml`), "utf8"));
    if (outcome.kind !== ScenarioOutcomeKind.Accepted) {
        throw new Error(JSON.stringify(outcome.problems));
    }
    return { ...outcome.scenario, ...changes };
};
const playAll = (scenario: Scenario, strategies: readonly Strategy[]): PlaysByStrategy =>
    playStrategies({ scenario, strategies, seeds, handleProgress: () => undefined });
const inTimeShare = ({ classes }: PlayResult, name: string): number => {
    const result = classes.find(other => other.name === name);
    return result === undefined ? 0 : result.inTime / result.asked;
};

describe("a scenario file", () => {
    const problemsOf = (text: string): readonly ScenarioProblem[] => {
        const outcome = parseScenario(text);
        return outcome.kind === ScenarioOutcomeKind.Refused ? outcome.problems : [];
    };
    const text = readFileSync(join(folder, "held-slots.yaml"), "utf8");
    const lineOf = (part: string): number => text.split("\n").findIndex(line => line.includes(part)) + 1;

    it.each(readdirSync(folder))("%s is accepted", file => {
        expect(problemsOf(readFileSync(join(folder, file), "utf8"))).toEqual([]);
    });

    it("is refused with line and key for a value of the wrong type, an unknown key and a name that is not defined", () => {
        expect(problemsOf(text.replace("targets: 5", "targets: few")))
            .toMatchObject([{ line: lineOf("desk: {"), key: "services.desk.targets" }]);
        expect(problemsOf(text.replace("    lookup:", "    lookup:\n        colour: red")))
            .toMatchObject([{ key: "classes.lookup", reason: expect.stringContaining("colour") as string }]);
        expect(problemsOf(text.replace("service: desk", "service: hall")))
            .toMatchObject([{ line: lineOf("service: desk"), key: "classes.lookup.service" }]);
        expect(problemsOf("name: [")).toMatchObject([{ line: 1, key: "" }]);
    });

    it("is refused if inner calls lead back to their class", () => {
        expect(problemsOf(text.replace("class: tally", "class: entry"))).toMatchObject([{ reason: "there is no \"entry\"" }]);
    });
});

describe("virtual time", () => {
    it("runs events by time, and by scheduling if their times are equal", () => {
        fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 20 })), times => {
            const time = new VirtualTime();
            const ran: [number, number][] = [];
            times.forEach((at, index) => time.schedule(at, () => ran.push([time.clock.now(), index])));
            time.run();
            const expected = times.map((at, index): [number, number] => [at, index]);
            expect(ran).toEqual(expected.sort(([one, first], [other, second]) => one - other || first - second));
        }));
    });
});

describe("the load model", () => {
    const scenario = readScenario("limits", { durationMs: 4_000 });

    it("gives the same result for the same seed, and another one for another seed", () => {
        const play = (seed: number): PlayResult => new MeshModel({ scenario, strategy: Strategy.Product, seed }).run();
        expect(play(1)).toEqual(play(1));
        expect(play(1)).not.toEqual({ ...play(2), seed: 1 });
    });

    it("counts every call once", () => {
        const { classes, windows } = new MeshModel({ scenario, strategy: Strategy.Product, seed: 1 }).run();
        classes.forEach(({ asked, inTime, late, refused, failed }) =>
            expect(inTime + late + refused + failed).toBe(asked));
        expect(windows.reduce((sum, { asked }) => sum + asked, 0))
            .toBe(classes.reduce((sum, { asked }) => sum + asked, 0));
    });

    it("serves a multiple of the scenario as well as the scenario", () => {
        const [small, large] = [1, 6].map(size =>
            new MeshModel({ scenario: scale(scenario, size), strategy: Strategy.Product, seed: 1 }).run());
        expect(large?.classes[0]?.asked).toBeGreaterThan(small?.classes[0]?.asked ?? 0);
        expect(large?.worth).toBeGreaterThan((small?.worth ?? 1) - worthNoise);
    });
});

describe("the product's decisions", () => {
    describe("with 1.6 times the calls that the targets can run", () => {
        let plays: PlaysByStrategy;
        beforeAll(() => {
            plays = playAll(readScenario("overload"), [Strategy.Product, Strategy.Fifo]);
        });

        it("answer more calls in time than a queue in the order of arrival", () => {
            const plain = plays.get(Strategy.Fifo) ?? [];
            plays.get(Strategy.Product)?.forEach((play, index) =>
                expect(inTimeShare(play, "reading")).toBeGreaterThan(inTimeShare(plain[index] as PlayResult, "reading")));
        });
    });

    describe("when urgent calls hold slots while they wait for inner calls", () => {
        it("answer more of the urgent calls in time than a queue in the order of arrival, and starve no other class", () => {
            const scenario = readScenario("held-slots", { durationMs: 16_000 });
            const plays = playAll(scenario, [Strategy.Product, Strategy.Fifo]);
            const plain = plays.get(Strategy.Fifo) ?? [];
            plays.get(Strategy.Product)?.forEach((play, index) => {
                expect(inTimeShare(play, "lookup")).toBeGreaterThan(inTimeShare(plain[index] as PlayResult, "lookup"));
                const served = play.classes.map(({ inTime, late, asked }) => (inTime + late) / asked);
                expect(Math.min(...served)).toBeGreaterThan(starvingShare * Math.max(...served));
            });
        });
    });

    describe("when most targets of a service name a limit", () => {
        it("refuse what the limits and the other targets cannot take, and answer the rest in time", () => {
            const plays = playAll(readScenario("limits"), [Strategy.Product]);
            // For 12 of 25 s, 243 calls a second meet limits of 100 together and a target that can run 85.
            const servable = 1 - 12 / 25 * (1 - 185 / 243);
            plays.get(Strategy.Product)?.forEach(({ classes: [lookup] }) => {
                expect((lookup?.inTime ?? 0) / (lookup?.asked ?? 1)).toBeGreaterThan(usedCapacity * servable);
                expect(lookup?.failed).toBe(0);
            });
        });
    });
});

describe("an experiment", () => {
    const plays = playAll(readScenario("limits", { durationMs: 3_000 }), [Strategy.Product, Strategy.Random]);

    it("compares plays paired by seed", () => {
        const product = plays.get(Strategy.Product) ?? [];
        comparePlays(product, product).forEach(({ difference, margin }) => {
            expect(difference).toBe(0);
            expect(margin).toBe(0);
        });
        const better = product.map(play => ({ ...play, worth: play.worth + 0.25 }));
        const [worth] = comparePlays(product, better);
        expect(worth?.figure).toBe("worth");
        expect(worth?.difference).toBeCloseTo(0.25);
        expect(worth?.margin).toBeCloseTo(0);
        expect([...compareStrategies(plays).keys()]).toEqual([Strategy.Random]);
    });

    it("is drawn as SVG", async () => {
        for (const svg of [await plotWorth("title", plays), await plotOutcomes("title", plays)]) {
            expect(svg).toMatch(/^<svg /);
            expect(svg).toContain("product");
            expect(svg).toContain("random");
        }
    });

    it("is told by its command line what to play", () => {
        const parse = (...words: string[]): ReturnType<typeof parseExperimentArguments> =>
            parseExperimentArguments(["node", "experiment", ...words]);
        const settings = { command: ExperimentCommand.Compare, files: ["a.yaml"], strategies: Object.values(Strategy), seeds: 7 };
        expect(parse("compare", "a.yaml", "--seeds", "7")).toMatchObject({ kind: ExperimentArgumentsKind.Run, settings });
        expect(parse("run", "a.yaml")).toMatchObject({ settings: { strategies: [Strategy.Product] } });
        expect(parse("run", "a.yaml", "--strategies", "best")).toMatchObject({ problem: expect.stringContaining("best") as string });
        expect(parse("diff", "a.json")).toMatchObject({ kind: ExperimentArgumentsKind.Invalid });
        expect(parse("sweep", "a.yaml", "--sizes", "0")).toMatchObject({ kind: ExperimentArgumentsKind.Invalid });
    });
});
