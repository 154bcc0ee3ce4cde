import { CallExplanationKind } from "@bilberrycroft/protocol.forwarding";
import { type MeshConfiguration, RouteTable } from "@bilberrycroft/state.routes";
import { describe, expect, it } from "vitest";
import { type CallKnowledge, explainCall } from "../src/callExplanation";

const configuration: MeshConfiguration = {
    version: 7,
    routes: [{
        name: "r",
        host: "shop.example",
        pathPrefix: "/read/",
        services: [{ service: "old", weight: 3 }, { service: "new", weight: 1 }],
        timeoutMs: 1_000,
        latencyObjectiveMs: 400,
        maxTargets: 3,
        priority: 2,
        repeatable: true,
        allowsAnonymous: false,
    }],
    services: [{ name: "old", maxConnections: 10 }, { name: "new", maxConnections: 10 }],
    callerLimits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    organisations: [{ name: "urgent", keys: [], priority: 0, callsPerSecond: undefined, burst: 0 }],
};
const knowledge: CallKnowledge = {
    table: new RouteTable(configuration),
    directory: { explain: ({ service, priority }) => ({ service, chosen: `${service} at ${priority}`, targets: [] }) },
    meanBytes: () => 100,
};

describe("the explanation of a call", () => {
    it("names the route of the version in force and all services of its split", () => {
        expect(explainCall({ host: "Shop.example", path: "/read/1?x=/else/" }, knowledge)).toEqual({
            kind: CallExplanationKind.Routed,
            version: 7,
            route: "r",
            priority: 2,
            latencyObjectiveMs: 400,
            timeoutMs: 1_000,
            repeatable: true,
            needsKey: true,
            services: [
                { service: "old", share: 0.75, chosen: "old at 2", targets: [] },
                { service: "new", share: 0.25, chosen: "new at 2", targets: [] },
            ],
        });
    });

    it("takes the priority of an organisation before that of the route", () => {
        expect(explainCall({ host: "shop.example", path: "/read/1", organisation: "urgent" }, knowledge))
            .toMatchObject({ priority: 0, services: [{ chosen: "old at 0" }, { chosen: "new at 0" }] });
    });

    it("says what is missing", () => {
        const question = { host: "shop.example", path: "/read/1" };
        expect(explainCall(question, { ...knowledge, table: undefined }))
            .toEqual({ kind: CallExplanationKind.NoConfiguration });
        expect(explainCall({ ...question, path: "/write/1" }, knowledge))
            .toEqual({ kind: CallExplanationKind.NoRoute, version: 7 });
        expect(explainCall({ ...question, organisation: "none" }, knowledge))
            .toEqual({ kind: CallExplanationKind.NoOrganisation, version: 7 });
    });
});
