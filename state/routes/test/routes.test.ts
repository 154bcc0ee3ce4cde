import {
    applyConfigurationPatch,
    type ConfigurationPatch,
    createConfigurationPatch,
    createRouteKey,
    findConfigurationProblems,
    type MeshConfiguration,
    type Organisation,
    parseConfigurationPatch,
    type Route,
    RouteTable,
} from "@bilberrycroft/state.routes";
import fc from "fast-check";
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
    allowsAnonymous: false,
    ...changes,
});
const createOrganisation = (changes: Partial<Organisation> = {}): Organisation => ({
    name: "o",
    keys: ["digest"],
    priority: undefined,
    callsPerSecond: undefined,
    burst: 0,
    ...changes,
});
const createConfiguration = (
    routes: readonly Route[],
    version = 1,
    organisations: readonly Organisation[] = [],
): MeshConfiguration => ({
    version,
    routes,
    services: [{ name: "s", maxConnections: 10 }],
    callerLimits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    organisations,
});

describe("RouteTable", () => {
    const table = new RouteTable(createConfiguration([
        createRoute({ name: "root", pathPrefix: "/" }),
        createRoute({ name: "a" }),
        createRoute({ name: "a-b", pathPrefix: "/a/b/" }),
        createRoute({ name: "other", host: "else.example" }),
    ]));
    const lookups = [
        { host: "shop.example", path: "/a/1", name: "a" },
        { host: "SHOP.example", path: "/a/", name: "a" },
        { host: "shop.example", path: "/a/b/c/d", name: "a-b" },
        { host: "shop.example", path: "/ab/1", name: "root" },
        { host: "shop.example", path: "/a", name: "root" },
        { host: "else.example", path: "/a/1", name: "other" },
    ];
    it.each(lookups)("finds $name, the longest prefix, for $host$path", ({ host, path, name }) => {
        expect(table.find(host, path)?.name).toBe(name);
    });

    it("finds nothing for another host or prefix", () => {
        expect(table.find("none.example", "/a/1")).toBeUndefined();
        expect(table.find("else.example", "/b/1")).toBeUndefined();
    });
});

describe("findConfigurationProblems", () => {
    it("returns no problems for a valid configuration", () => {
        expect(findConfigurationProblems(createConfiguration([createRoute()]))).toEqual([]);
    });

    const invalidRoutes: readonly (readonly [string, Partial<Route>])[] = [
        ["unknown service", { services: [{ service: "none", weight: 1 }] }],
        ["no service", { services: [] }],
        ["no weight", { services: [{ service: "s", weight: 0 }] }],
        ["bad weight", { services: [{ service: "s", weight: Number.NaN }] }],
        ["prefix without trailing slash", { pathPrefix: "/a" }],
        ["no timeout", { timeoutMs: 0 }],
        ["no objective", { latencyObjectiveMs: 0 }],
        ["target limit 0", { maxTargets: 0 }],
    ];
    it.each(invalidRoutes)("refuses the complete configuration for one route with %s", (_name, changes) => {
        const problems = findConfigurationProblems(createConfiguration([createRoute({ name: "good" }), createRoute({ name: "bad", host: "h", ...changes })]));
        expect(problems.map(({ part }) => part)).toEqual(["bad"]);
    });

    it("refuses two routes with the same host and prefix, and a version below 1", () => {
        expect(findConfigurationProblems(createConfiguration([createRoute(), createRoute({ name: "duplicate" })]))).toHaveLength(1);
        expect(findConfigurationProblems(createConfiguration([], 0))).toHaveLength(1);
    });
});

describe("organisations", () => {
    const findProblems = (...organisations: readonly Organisation[]): readonly string[] =>
        findConfigurationProblems(createConfiguration([], 1, organisations)).map(({ part }) => part);
    const invalidOrganisations: readonly (readonly [string, Partial<Organisation>])[] = [
        ["empty key", { keys: [""] }],
        ["name with a line break", { name: "a\nb" }],
        ["name with a space at its end", { name: "a " }],
        ["name with half of a character", { name: "a\ud800" }],
        ["negative rate", { callsPerSecond: -1 }],
        ["infinite rate", { callsPerSecond: Number.POSITIVE_INFINITY }],
        ["negative burst", { burst: -1 }],
        ["fractional priority", { priority: 0.5 }],
    ];
    it.each(invalidOrganisations)("make the configuration invalid with %s", (_name, changes) => {
        const invalid = createOrganisation({ name: "bad", ...changes });
        expect(findProblems(createOrganisation({ keys: ["else"] }), invalid)).toEqual([`organisation ${invalid.name}`]);
    });

    it("make the configuration invalid with a duplicate or an empty name, or a key that two of them hold", () => {
        expect(findProblems(createOrganisation(), createOrganisation({ keys: [] }))).toEqual(["organisation o"]);
        expect(findProblems(createOrganisation({ name: "" }))).toEqual(["organisation number 1"]);
        expect(findProblems(createOrganisation(), createOrganisation({ name: "p" }))).toEqual(["organisation p"]);
        expect(findProblems(createOrganisation({ keys: ["a", "a"] }), createOrganisation({ name: "p \u0142" }))).toEqual([]);
    });

    const create = createConfigurationPatch;
    const relay = (patch: ConfigurationPatch): unknown => JSON.parse(JSON.stringify(patch));
    const first = createConfiguration([createRoute()], 1, [createOrganisation()]);

    it("are part of a patch only if they changed", () => {
        const same = createConfiguration([createRoute()], 2, [createOrganisation({ keys: ["digest"] })]);
        expect(create(first, same)).not.toHaveProperty("organisations");
        expect(create(undefined, createConfiguration([]))).not.toHaveProperty("organisations");
        const changes: readonly Partial<Organisation>[]
            = [{ keys: ["other"] }, { keys: [] }, { priority: 0 }, { callsPerSecond: 1 }, { burst: 1 }, { name: "p" }];
        changes.forEach(change => {
            const after = createConfiguration([createRoute()], 2, [createOrganisation(change)]);
            const patch = parseConfigurationPatch(relay(create(first, after))) as ConfigurationPatch;
            expect(applyConfigurationPatch(first, patch)?.organisations).toEqual(after.organisations);
        });
        const removed = parseConfigurationPatch(relay(create(first, createConfiguration([], 2)))) as ConfigurationPatch;
        expect(applyConfigurationPatch(first, removed)?.organisations).toEqual([]);
    });

    it("stay as they are under a patch without them, and are none in a complete one without them", () => {
        const withoutThem = { ...create(first, createConfiguration([], 2)), organisations: undefined };
        const patch = parseConfigurationPatch(relay(withoutThem));
        expect(applyConfigurationPatch(first, patch as ConfigurationPatch)?.organisations).toEqual(first.organisations);
        const complete = parseConfigurationPatch(relay(create(undefined, createConfiguration([], 2))));
        expect(applyConfigurationPatch(first, complete as ConfigurationPatch)?.organisations).toEqual([]);
    });

    it("make a patch malformed as a whole if a part of them has the wrong type", () => {
        const valid = relay(create(undefined, first)) as Record<string, unknown>;
        expect(parseConfigurationPatch(valid)).toEqual(valid);
        const damagedFields = [{ keys: [1] }, { burst: "1" }, { priority: "1" }, { callsPerSecond: {} }, { name: undefined }];
        const damaged = [{}, "text", false, [1], ...damagedFields.map(fields => [{ ...createOrganisation(), ...fields }])];
        damaged.forEach(organisations => expect(parseConfigurationPatch({ ...valid, organisations })).toBeUndefined());
    });

    it("differ in nothing else: a route that begins to allow anonymous calls is part of the patch", () => {
        const after = createConfiguration([createRoute({ allowsAnonymous: true })], 2, first.organisations);
        expect(create(first, after).routes.map(({ allowsAnonymous }) => allowsAnonymous)).toEqual([true]);
    });
});

describe("patches", () => {
    const anyRoute = fc.record({
        pathPrefix: fc.constantFrom("/a/", "/b/", "/c/", "/d/"),
        timeoutMs: fc.integer({ min: 1, max: 3 }),
        maxTargets: fc.integer({ min: 1, max: 2 }),
    }).map(changes => createRoute(changes));
    const anyRoutes = fc.uniqueArray(anyRoute, { selector: createRouteKey, maxLength: 4 });
    const sortedRoutes = (configuration: MeshConfiguration | undefined): string[] =>
        (configuration?.routes ?? []).map(route => JSON.stringify(route)).sort();

    it("turn one version into the next, also after serialization as JSON", () => {
        fc.assert(fc.property(anyRoutes, anyRoutes, (before, after) => {
            const first = createConfiguration(before, 1);
            const second = createConfiguration(after, 2);
            const patch = parseConfigurationPatch(JSON.parse(JSON.stringify(createConfigurationPatch(first, second))));
            expect(patch).toBeDefined();
            const patched = applyConfigurationPatch(first, patch as ConfigurationPatch);
            expect(patched?.version).toBe(2);
            expect(sortedRoutes(patched)).toEqual(sortedRoutes(second));
        }), { seed: 17, numRuns: 300 });
    });

    it("contain only the routes that changed", () => {
        const unchanged = createRoute();
        const patch = createConfigurationPatch(
            createConfiguration([unchanged, createRoute({ pathPrefix: "/gone/" })], 1),
            createConfiguration([unchanged, createRoute({ pathPrefix: "/new/" })], 2),
        );
        expect(patch.routes.map(({ pathPrefix }) => pathPrefix)).toEqual(["/new/"]);
        expect(patch.removed).toEqual(["shop.example /gone/"]);
    });

    it("do not apply to a version other than their base", () => {
        const patch = createConfigurationPatch(createConfiguration([], 1), createConfiguration([], 3));
        expect(applyConfigurationPatch(createConfiguration([], 2), patch)).toBeUndefined();
        expect(applyConfigurationPatch(undefined, patch)).toBeUndefined();
    });

    it("contain the complete configuration for a node without one", () => {
        const completePatch = createConfigurationPatch(undefined, createConfiguration([createRoute()], 4));
        expect(applyConfigurationPatch(undefined, completePatch)?.routes).toHaveLength(1);
    });

    it("are refused completely if any part is malformed", () => {
        const completePatch = createConfigurationPatch(undefined, createConfiguration([createRoute()]));
        const valid = JSON.parse(JSON.stringify(completePatch));
        expect(parseConfigurationPatch(valid)).toEqual(valid);
        const [route] = valid.routes;
        const damaged: unknown[] = [
            undefined,
            "text",
            ...Object.keys(valid).map(key => ({ ...valid, [key]: undefined })),
            ...Object.keys(route).map(key => ({ ...valid, routes: [{ ...route, [key]: undefined }] })),
            { ...valid, services: [{ name: "s" }] },
            { ...valid, removed: [1] },
        ];
        damaged.forEach(value => expect(parseConfigurationPatch(value)).toBeUndefined());
    });
});
