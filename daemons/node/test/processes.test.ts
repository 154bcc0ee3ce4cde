import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { v7 as createKey } from "uuid";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Processes, type StartedProcess } from "./processSupport";
import { send, waitUntil } from "./support";

const loopback = "127.0.0.1";
const unreachable = `${loopback}:1`;
const rules = [
    "service svc slots=8 connections=50  # Test",
    "route read path=/read to=svc class=short timeout=20s repeat=yes  # Test",
    "route write path=/write to=svc class=short timeout=20s repeat=no  # Test",
    "route history path=/history to=svc class=long timeout=60s repeat=yes  # Test",
].join("\n");

describe("separate processes", () => {
    let processes: Processes;
    let store: StartedProcess;
    let storeAddress: string;
    let nodes: StartedProcess[];
    let controlAddresses: string[];
    let callAddresses: string[];
    let clientFlags: string[];

    const startNode = (host: string, peers: readonly string[], storeOfNode = storeAddress): StartedProcess =>
        processes.start("bilberrycroft-node", "--settings", processes.write(`${host}.yaml`, {
            host,
            zone: "z1",
            region: "r1",
            control: { host: loopback, port: 0 },
            calls: { host: loopback, port: 0 },
            store: storeOfNode,
            peers,
        }));

    const call = async (node: number, path: string): Promise<string | undefined> => {
        const headers = { "idempotency-key": createKey() };
        return (await send(callAddresses[node] ?? "", path, { headers }).catch(() => undefined))?.outcome;
    };
    const waitUntilServing = (node: number, path: string): Promise<void> =>
        waitUntil(async () => await call(node, path) === "done");

    beforeAll(async () => {
        processes = new Processes();
        store = processes.start("bilberrycroft-store", "--port", "0");
        storeAddress = await store.waitForField("address");
        nodes = [];
        controlAddresses = [];
        callAddresses = [];
        for (const host of ["h1", "h2", "h3"]) {
            const node = startNode(host, controlAddresses.slice(0, 1));
            nodes.push(node);
            controlAddresses.push(await node.waitForField("control"));
            callAddresses.push(await node.waitForField("calls"));
        }
        for (const index of [0, 1]) {
            const settings = processes.write(`t${index}.yaml`, {
                id: `t${index}`,
                service: "svc",
                coldStartMs: 0,
                longMs: 3_000,
                nodeControl: controlAddresses[index],
            });
            await processes.start("bilberrycroft-target", "--settings", settings).waitForField("address");
        }
        clientFlags = ["--store", storeAddress, "--operator", "Test", "--node", controlAddresses[0] ?? "", "--node", controlAddresses[1] ?? ""];
    });
    afterAll(() => processes.endAll());

    it("activates a version on every node, and every node routes calls", async () => {
        const file = processes.write("first.rules", rules);
        const applied = await processes.runOperatorClient("apply", file, "--wait", ...clientFlags);
        expect(applied).toMatchObject({ code: 0 });
        for (const node of [0, 1, 2]) {
            await waitUntilServing(node, "/read");
            await waitUntilServing(node, "/write");
        }
        await waitUntil(async () => (await processes.runOperatorClient("status", ...clientFlags)).output.includes("on 3 of 3"));
    });

    it("SIGKILL of a node: the others serve, and status reports it as unknown or no longer counts it", async () => {
        await nodes[2]?.end("SIGKILL");
        await waitUntilServing(0, "/read");
        await waitUntilServing(1, "/write");
        await waitUntil(async () => !(await processes.runOperatorClient("status", ...clientFlags)).output.includes("on 3 of 3"));
    });

    it("store killed and restarted: calls with a key are refused while it is down, and no node lowers its version", async () => {
        const port = storeAddress.split(":")[1] ?? "";
        await store.end("SIGKILL");
        expect(await call(0, "/read")).toBe("done");
        expect(await call(1, "/write")).toBe("not-run");
        const statusDuringOutage = await processes.runOperatorClient("status", ...clientFlags);
        expect(statusDuringOutage.output).toMatch(/store/i);
        expect(statusDuringOutage.output).toMatch(/on 2 of \d/);
        expect((await processes.runOperatorClient("history", ...clientFlags)).code).toBe(4);
        expect((await processes.runOperatorClient("apply", processes.write("a.rules", rules), ...clientFlags)).code).toBe(4);
        store = processes.start("bilberrycroft-store", "--port", port);
        await store.waitForField("address");
        await waitUntilServing(0, "/write");
        await waitUntilServing(1, "/write");
        const status = await processes.runOperatorClient("status", ...clientFlags);
        expect(status.output).toMatch(/^Version 1,/);
    });

    it("SIGTERM of a node with a call in flight: the call completes and the exit code is 0", async () => {
        const long = send(callAddresses[1] ?? "", "/history");
        const metrics = async (): Promise<string> => (await send(controlAddresses[1] ?? "", "/metrics")).body;
        await waitUntil(async () => /calls_in_flight(\{[^}]*\})? [1-9]/.test(await metrics()));
        const ended = nodes[1]?.end("SIGTERM");
        expect(await long).toMatchObject({ outcome: "done", complete: true });
        expect(await ended).toBe(0);
        await waitUntilServing(0, "/read");
    });

    describe("exit codes of the operator client", () => {
        /** Control address of a node that never gets a version: its store is unreachable and it has no peers. */
        let isolatedNode: string;

        beforeAll(async () => {
            isolatedNode = await startNode("h9", [], unreachable).waitForField("control");
        });

        interface ExitRow {
            readonly name: string;
            readonly code: number;
            run(): readonly string[];
        }

        const rows: readonly ExitRow[] = [
            { name: "0 done", code: 0, run: () => ["apply", processes.write("b.rules", rules), ...clientFlags] },
            { name: "1 failed check", code: 1, run: () => ["check", processes.write("bad.rules", "route")] },
            { name: "1 refused", code: 1, run: () => ["apply", processes.write("bad.rules", "route"), ...clientFlags] },
            { name: "2 usage", code: 2, run: () => ["no-such-command"] },
            { name: "2 settings", code: 2, run: () =>
                ["status", "--settings", processes.write("op.yaml", "stoer: x\n")] },
            { name: "3 conflict", code: 3, run: () =>
                ["apply", processes.write("c.rules", `${rules}\n# changed`), "--base", "0", ...clientFlags] },
            { name: "4 store unavailable", code: 4, run: () => ["history", "--store", unreachable] },
            { name: "6 not in force in time", code: 6, run: () =>
                ["apply", processes.write("d.rules", `${rules}\nservice d  # Test`), "--wait", "--wait-seconds", "1", "--store", storeAddress, "--operator", "Test", "--node", isolatedNode] },
        ];
        it.each(rows)("$name", async ({ code, run }) => {
            const result = await processes.runOperatorClient(...run());
            expect(result.code, result.output).toBe(code);
        });

        it("5 outcome unknown: the connection breaks after the write was sent", async () => {
            let written = false;
            const broken = createServer((request, response) => {
                written ||= request.method === "PUT";
                if (written) {
                    request.resume().once("end", () => response.destroy());
                    return;
                }
                const isList = request.url?.includes("?prefix=") === true;
                response.writeHead(isList ? 200 : 404).end(isList ? '{"objects":[]}' : "{}");
            });
            await new Promise<void>(resolve => broken.listen(0, loopback, resolve));
            const address = `${loopback}:${(broken.address() as AddressInfo).port}`;
            const file = processes.write("e.rules", rules);
            const result = await processes.runOperatorClient("apply", file, "--store", address, "--operator", "Test");
            broken.close();
            expect(result.code, result.output).toBe(5);
        });

        it("SIGINT during apply --wait ends the wait and reports that the version is accepted", async () => {
            const file = processes.write("f.rules", `${rules}\nservice interrupted  # Test`);
            const waiting = processes.start("bilberrycroft", "apply", file, "--wait", "--wait-seconds", "3600", "--store", storeAddress, "--operator", "Test", "--node", isolatedNode);
            await waitUntil(async () =>
                (await send(storeAddress, "/objects/config/current")).body.includes("service interrupted"));
            expect(await waiting.end("SIGINT"), waiting.getOutput()).toBe(6);
            expect(waiting.getOutput()).toMatch(/interrupted/i);
        });
    });

    describe("invalid settings exit with code 2 and name the file, line and key", () => {
        const rows = [
            { name: "node", binary: "bilberrycroft-node", text: "host: h\nzone: z\nregion: r\nstoer: 1\n", position: /:4:\d+: stoer/ },
            { name: "target", binary: "bilberrycroft-target", text: "id: t\nservice: s\nslots: none\n", position: /:3:\d+: slots/ },
            { name: "store", binary: "bilberrycroft-store", text: "port: 70000\n", position: /:1:\d+: port/ },
        ] as const;
        it.each(rows)("$name", async ({ name, binary, text, position }) => {
            const file = processes.write(`${name}-bad.yaml`, text);
            const daemon = processes.start(binary, "--settings", file);
            expect(await daemon.waitForExit()).toBe(2);
            expect(daemon.getOutput()).toContain(file);
            expect(daemon.getOutput()).toMatch(position);
        });

        it("a port in use makes the node exit with an error and code 2", async () => {
            const [host, port] = storeAddress.split(":");
            const file = processes.write("taken.yaml", {
                host: "h8",
                zone: "z1",
                region: "r1",
                store: storeAddress,
                control: { host: loopback, port: 0 },
                calls: { host, port: Number(port) },
            });
            const daemon = processes.start("bilberrycroft-node", "--settings", file);
            expect(await daemon.waitForExit()).toBe(2);
            expect(daemon.getOutput()).toContain("EADDRINUSE");
        });
    });
});
