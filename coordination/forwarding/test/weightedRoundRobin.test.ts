import { createSeededRandom } from "@bilberrycroft/core.random";
import { WeightedRoundRobin } from "@bilberrycroft/coordination.forwarding";
import type { Route } from "@bilberrycroft/state.routes";
import { describe, expect, it } from "vitest";
import { repeatableRoute } from "./fixtures";

const createRoute = (weights: readonly number[]): Route => ({
    ...repeatableRoute,
    services: weights.map((weight, index) => ({ service: `s${index}`, weight })),
});
const count = (rotation: WeightedRoundRobin, route: Route, calls: number): number[] => {
    const counts = route.services.map(() => 0);
    for (let call = 0; call < calls; call++) {
        const picked = rotation.nextService(route);
        const index = route.services.findIndex(({ service }) => service === picked);
        counts[index] = (counts[index] ?? 0) + 1;
    }
    return counts;
};

describe("weighted round robin", () => {
    it.each([[[90, 10]], [[1, 1, 2]], [[70, 0, 30]], [[0.5, 0.25]]])("follows the weights %s", weights => {
        const calls = 1_000;
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        count(new WeightedRoundRobin(createSeededRandom(1)), createRoute(weights), calls).forEach((share, index) => {
            expect(Math.abs(share / calls - (weights[index] ?? 0) / total)).toBeLessThan(0.01);
        });
    });

    it("follows the weights over many nodes with few calls each", () => {
        const route = createRoute([90, 10]);
        const seeds = createSeededRandom(3);
        let small = 0;
        for (let node = 0; node < 200; node++) {
            small += count(new WeightedRoundRobin(createSeededRandom(seeds.nextInteger(1_000_000))), route, 3)[1] ?? 0;
        }
        expect(Math.abs(small / 600 - 0.1)).toBeLessThan(0.03);
    });

    it("keeps its position in the rotation when a new version has the same weights", () => {
        const rotation = new WeightedRoundRobin(createSeededRandom(1));
        const picked: string[] = [];
        for (let call = 0; call < 100; call++) {
            picked.push(rotation.nextService(createRoute([75, 25])));
        }
        expect(picked.filter(service => service === "s1")).toHaveLength(25);
    });
});
