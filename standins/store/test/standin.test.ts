import { maxObjectBytes, StoreOutcomeKind, WriteConditionKind } from "@bilberrycroft/protocol.store";
import { HttpStore } from "@bilberrycroft/transport.store";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CommandLineKind, parseStoreCommand, startStoreStandin, type StoreStandin } from "../src";

describe("store stand-in", () => {
    describe("HTTP API", () => {
        let standin: StoreStandin;
        beforeEach(async () => {
            standin = await startStoreStandin({ port: 0 });
        });
        afterEach(() => standin.close());

        const create = { "if-none-match": "*" };
        const cases = [
            { name: "the creation of an object", method: "PUT", path: "/objects/a", headers: create, body: "1", status: 204 },
            { name: "a write without a condition", method: "PUT", path: "/objects/a", body: "1", status: 428 },
            { name: "a weak entity tag", method: "PUT", path: "/objects/a", headers: { "if-match": "W/\"r1\"" }, body: "1", status: 428 },
            { name: "a condition that does not hold", method: "PUT", path: "/objects/a", headers: { "if-match": "\"r1\"" }, body: "1", status: 412 },
            { name: "two conditions", method: "PUT", path: "/objects/a", headers: { ...create, "if-match": "\"r1\"" }, body: "1", status: 428 },
            { name: "a body over the size limit", method: "PUT", path: "/objects/a", headers: create, body: " ".repeat(maxObjectBytes + 1), status: 413 },
            { name: "a value that is not JSON", method: "PUT", path: "/objects/a", headers: create, body: "{", status: 400 },
            { name: "a missing object", method: "GET", path: "/objects/a", status: 404 },
            { name: "a list without objects", method: "GET", path: "/objects?prefix=a/", status: 200 },
            { name: "an escaped key", method: "GET", path: "/objects/a%2Fb", status: 400 },
            { name: "a removal without a condition", method: "DELETE", path: "/objects/a", status: 428 },
            { name: "an unknown method", method: "PATCH", path: "/objects/a", body: "1", status: 405 },
            { name: "a watch that ends unchanged", method: "GET", path: "/watch/a?wait=0", status: 204 },
            { name: "a watch without a wait time", method: "GET", path: "/watch/a", status: 400 },
            { name: "a watch with a wait time over the limit", method: "GET", path: "/watch/a?wait=99999999", status: 400 },
            { name: "an unknown fault", method: "PUT", path: "/faults", body: "{\"kind\":\"x\"}", status: 400 },
            { name: "a fault", method: "PUT", path: "/faults", body: "{\"kind\":\"slow\",\"delayMs\":0}", status: 204 },
            { name: "an unknown path", method: "GET", path: "/x", status: 404 },
        ];
        it.each(cases)("responds with $status to $name", async ({ method, path, headers, body, status }) => {
            const response = await fetch(`http://${standin.address}${path}`, { method, headers, body });
            expect(response.status).toBe(status);
        });

        it("reports its calls, so that benchmarks can count them from another process", async () => {
            await fetch(`http://${standin.address}/objects/a`);
            const counts = await (await fetch(`http://${standin.address}/calls`)).json();
            expect(counts).toMatchObject({ calls: { read: 1, write: 0 }, waitingWatches: 0 });
        });
    });

    it("keeps the objects of a store across a restart of the server, so that refused connections can be tested", async () => {
        const first = await startStoreStandin({ port: 0 });
        const client = new HttpStore({ address: first.address });
        const port = Number(first.address.split(":")[1]);
        await client.write("a", "1", { kind: WriteConditionKind.Absent });
        await first.close();
        expect((await client.read("a")).kind).toBe(StoreOutcomeKind.Unavailable);
        const second = await startStoreStandin({ port, store: first.store });
        expect((await client.read("a")).kind).toBe(StoreOutcomeKind.Done);
        client.close();
        await second.close();
    });

    it("uses new revisions after a restart, so that an old revision cannot match a new object", async () => {
        const first = await startStoreStandin({ port: 0, revisionPrefix: "1-" });
        const second = await startStoreStandin({ port: 0, revisionPrefix: "2-" });
        const outcomes = await Promise.all([first, second].map(standin =>
            standin.store.write("a", "1", { kind: WriteConditionKind.Absent })));
        expect(outcomes).toMatchObject([{ revision: "1-1" }, { revision: "2-1" }]);
        await first.close();
        await second.close();
    });

    describe("command line", () => {
        const parse = (...flags: string[]): ReturnType<typeof parseStoreCommand> =>
            parseStoreCommand(["node", "bilberrycroft-store", ...flags]);

        it("lets flags override defaults", () => {
            expect(parse("--port", "0", "--max-connections", "9")).toEqual({
                kind: CommandLineKind.Run,
                settings: { host: "127.0.0.1", port: 0, maxConnections: 9 },
            });
        });

        it.each([["--port", "x"], ["--prot", "1"], ["--settings", "/does/not/exist.yaml"], ["--port", "70000"], ["start", ""]])(
            "refuses %s %s",
            (...flags) => {
                expect(parse(...flags).kind).toBe(CommandLineKind.Refused);
            },
        );
    });
});
