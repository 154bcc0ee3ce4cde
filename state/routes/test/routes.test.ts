import { findConfigurationProblems, type MeshConfiguration, type Route, RouteTable } from "@bilberrycroft/state.routes";
import { describe, expect, it } from "vitest";

const createRoute = (changes: Partial<Route> = {}): Route => ({
    name: "r",
    host: "shop.example",
    pathPrefix: "/a/",
    services: [{ service: "s", weight: 1 }],
    timeoutMs: 1_000,
    latencyObjectiveMs: 300,
    maxTargets: 2,
    priority: 1,
    repeatable: true,
    ...changes,
});
const createConfiguration = (routes: readonly Route[], version = 1): MeshConfiguration => ({
    version,
    routes,
    services: [{ name: "s", maxConnections: 10 }],
    callerLimits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

describe("RouteTable", () => {
    const table = new RouteTable(createConfiguration([
        createRoute({ name: "root", pathPrefix: "/" }),
        createRoute({ name: "a" }),
        createRoute({ name: "a-b", pathPrefix: "/a/b/" }),
        createRoute({ name: "other", host: "else.example" }),
    ]));
    const found = [
        { host: "shop.example", path: "/a/1", name: "a" },
        { host: "SHOP.example", path: "/a/", name: "a" },
        { host: "shop.example", path: "/a/b/c/d", name: "a-b" },
        { host: "shop.example", path: "/ab/1", name: "root" },
        { host: "shop.example", path: "/a", name: "root" },
        { host: "else.example", path: "/a/1", name: "other" },
    ];
    it.each(found)("sends $host$path to $name, the longest prefix", ({ host, path, name }) => {
        expect(table.find(host, path)?.name).toBe(name);
    });

    it("finds nothing for another host or prefix", () => {
        expect(table.find("none.example", "/a/1")).toBeUndefined();
        expect(table.find("else.example", "/b/1")).toBeUndefined();
    });
});

describe("findConfigurationProblems", () => {
    it("finds none in a sound configuration", () => {
        expect(findConfigurationProblems(createConfiguration([createRoute()]))).toEqual([]);
    });

    const wrong: readonly (readonly [string, Partial<Route>])[] = [
        ["unknown service", { services: [{ service: "none", weight: 1 }] }],
        ["no service", { services: [] }],
        ["no weight", { services: [{ service: "s", weight: 0 }] }],
        ["bad weight", { services: [{ service: "s", weight: Number.NaN }] }],
        ["bare prefix", { pathPrefix: "/a" }],
        ["no timeout", { timeoutMs: 0 }],
        ["no objective", { latencyObjectiveMs: 0 }],
        ["no attempts", { maxTargets: 0 }],
    ];
    it.each(wrong)("refuses the whole for one route with %s", (_name, changes) => {
        const problems = findConfigurationProblems(createConfiguration([createRoute({ name: "good" }), createRoute({ name: "bad", host: "h", ...changes })]));
        expect(problems.map(({ part }) => part)).toEqual(["bad"]);
    });

    it("refuses two routes in one place, and a version that is no number", () => {
        expect(findConfigurationProblems(createConfiguration([createRoute(), createRoute({ name: "twin" })]))).toHaveLength(1);
        expect(findConfigurationProblems(createConfiguration([], 0))).toHaveLength(1);
    });
});
