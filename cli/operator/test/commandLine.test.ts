import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "@bilberrycroft/core.clock";
import { currentConfigurationKey } from "@bilberrycroft/protocol.store";
import type { Snapshot } from "@bilberrycroft/state.snapshots";
import { type CommandEnvironment, ExitCode, type NodeClient, runCommandLine } from "../src/index";
import { response, fakeNode, member, unreachable } from "./fakeNode";
import { Fault, FakeStore } from "./fakeStore";

const files: Readonly<Record<string, string>> = {
    one: "service a # Aiko: first",
    two: "service a # Aiko: first\nroute r path=/r to=a class=short timeout=1s repeat=yes # Ken\u00a0K: why",
    bad: "service a needs=b # Aiko",
};
const flags = ["--store", "s:1", "--operator", "mao", "--node", "a:1"];

let store: FakeStore;
let node: NodeClient;
let interrupt: AbortController;
let output: string;
let errors: string;
let fetched: string;
/** What the operators' listener of a node responds; `undefined` if it cannot be reached. */
let operatorResponse: unknown;

async function run(...argv: readonly string[]): Promise<ExitCode> {
    output = "";
    errors = "";
    const clock = new ManualClock();
    const environment: CommandEnvironment = {
        clock,
        signal: interrupt.signal,
        connectStore: () => store,
        connectNode: () => node,
        fetchJson: url => {
            fetched = url;
            return operatorResponse === undefined ? Promise.reject(new Error("refused")) : Promise.resolve(operatorResponse);
        },
        readText: file => files[file] ?? (() => {
            throw new Error("no such file");
        })(),
        createChangeId: () => `change-${store.calls.length}`,
        sleep: async duration => clock.advance(duration),
        print: text => void (output += text),
        printError: text => void (errors += text),
    };
    return await runCommandLine(argv, environment);
}

function getAccepted(): Snapshot {
    return JSON.parse(store.objects.get(currentConfigurationKey)?.value ?? "{}") as Snapshot;
}

beforeEach(() => {
    store = new FakeStore();
    node = fakeNode("a:1", unreachable("a:1"));
    interrupt = new AbortController();
    operatorResponse = undefined;
});

describe("the explanation of a call", () => {
    const costs = { linkMs: 2, waitMs: 30, runMs: 50, failureMs: 0, zoneMs: 8 };
    const target = { node: "n1", target: "t1", zone: "z1", standing: "considered", costMs: 90, costs, occupancy: 5, slots: 4 };
    const routed = {
        kind: "routed",
        version: 3,
        route: "r",
        priority: 1,
        latencyObjectiveMs: 400,
        timeoutMs: 1_000,
        repeatable: false,
        needsKey: true,
        services: [{ service: "s", share: 1, chosen: "n1", targets: [target] }],
    };

    it("is asked of one node, and shows the route, the choice and the costs of each target", async () => {
        operatorResponse = routed;
        expect(await run("explain-call", "shop.example", "/a b", "--metrics", "10.0.0.1:9")).toBe(ExitCode.Done);
        expect(fetched).toBe("http://10.0.0.1:9/explain-call?host=shop.example&path=%2Fa+b");
        expect(output).toContain("route r of version 3: priority 1, objective 400 ms, timeout 1000 ms, not repeated");
        expect(output).toContain("gets 401");
        expect(output).toContain("service s, 100 % of the calls: goes to n1");
        expect(output).toContain("90 ms  n1 (t1, z1), considered: link 2, wait 30, run 50, failures 0, zone 8");
        expect(await run("explain-call", "shop.example", "/a", "--metrics", "10.0.0.1:9", "--json")).toBe(ExitCode.Done);
        expect(JSON.parse(output)).toEqual(routed);
    });

    it("says if the call would be refused, and when it may return", async () => {
        operatorResponse = { ...routed, services: [{ service: "s", share: 1, retryAfterMs: 250, targets: [] }] };
        await run("explain-call", "shop.example", "/a", "--metrics", "n:1", "--organisation", "acme");
        expect(fetched).toContain("&organisation=acme");
        expect(output).toContain("refused, to return after 250 ms");
        expect(output).not.toContain("401");
    });

    it.each([
        ["an unreachable node", undefined, ["--metrics", "n:1"], ExitCode.Refused],
        ["a response that cannot be read", { kind: "routed" }, ["--metrics", "n:1"], ExitCode.Refused],
        ["no route", { kind: "no-route", version: 3 }, ["--metrics", "n:1"], ExitCode.Refused],
        ["no node", routed, [], ExitCode.Usage],
    ])("fails with %s", async (_case, response, options, expected) => {
        operatorResponse = response;
        expect(await run("explain-call", "shop.example", "/a", ...options)).toBe(expected);
    });
});

describe("exit codes", () => {
    it.each([
        [["check", "one"], ExitCode.Done],
        [["check", "bad"], ExitCode.Refused],
        [["check", "missing"], ExitCode.Usage],
        [["check"], ExitCode.Usage],
        [["explain-request", "r", "one", "two"], ExitCode.Refused],
        [["explain-request", "r"], ExitCode.Usage],
        [["explain-request", "r", "missing"], ExitCode.Usage],
        [["check", "one", "--unknown"], ExitCode.Usage],
        [["bogus"], ExitCode.Usage],
        [["diff", "one"], ExitCode.Usage],
        [["apply", "one", "--store", "s:1"], ExitCode.Usage],
        [["apply", "one", "--store", "s:1", "--operator", "mao", "--wait"], ExitCode.Usage],
        [["apply", "one", ...flags, "--base", "x"], ExitCode.Usage],
        [["apply", "one", ...flags, "--base", "3"], ExitCode.Conflict],
        [["status", "--store", "no-port", "--node", "a:1"], ExitCode.Usage],
        [["apply", "one", ...flags], ExitCode.Done],
        [["apply", "bad", ...flags], ExitCode.Refused],
        [["undo", ...flags], ExitCode.Refused],
        [["history", ...flags], ExitCode.Done],
        [["explain", "a", ...flags], ExitCode.Refused],
        [["status", ...flags], ExitCode.Refused],
        [["drain", "a:1"], ExitCode.Done],
        [["drain", "nobody", ...flags], ExitCode.Refused],
        [["metrics", ...flags], ExitCode.Done],
    ])("%j", async (argv, code) => {
        expect(await run(...argv)).toBe(code);
        expect(code === ExitCode.Usage ? errors : output).not.toBe("");
    });

    it.each(["diff one", "apply one", "undo", "history", "status", "nodes", "explain a"])(
        "%s exits with StoreUnavailable if the store is down",
        async command => {
            store.onCall = () => Fault.Down;
            expect(await run(...command.split(" "), ...flags)).toBe(ExitCode.StoreUnavailable);
        },
    );

    it("reports an unknown outcome", async () => {
        await run("apply", "one", ...flags);
        store.onCall = call => call === `write ${currentConfigurationKey}` ? Fault.LostRequest : undefined;
        expect(await run("apply", "two", ...flags)).toBe(ExitCode.OutcomeUnknown);
        expect(output).toContain("unknown");
    });
});

describe("settings", () => {
    it("reads a file, lets flags override it and reports the position of a problem", async () => {
        const file = join(mkdtempSync(join(tmpdir(), "operator-")), "settings.yaml");
        writeFileSync(file, "store: s:1\nnodes: [a:1]\noperator: ken\n");
        expect(await run("apply", "one", "--settings", file)).toBe(ExitCode.Done);
        expect(getAccepted().operator).toBe("ken");
        await run("apply", "two", "--settings", file, "--operator", "yui");
        expect(getAccepted().operator).toBe("yui");
        writeFileSync(file, "store: s:1\nnode: a:1\n");
        expect(await run("status", "--settings", file)).toBe(ExitCode.Usage);
        expect(errors).toContain(`${file}:2:1: node: unknown key`);
    });
});

describe("commands", () => {
    beforeEach(async () => {
        await run("apply", "one", ...flags);
        await run("apply", "two", ...flags);
        const { version, digest } = getAccepted();
        const old = { version: 1, digest: "d1" };
        node = fakeNode("a:1", response("a", [member("b", old), member("c", {}, true)], { version, digest }));
    });

    it("diff prints the base and the changed rules", async () => {
        await run("diff", "one", ...flags, "--json");
        expect(JSON.parse(output)).toMatchObject({ base: 2, changes: [{ kind: "removed", name: "r" }] });
    });

    it("history lists versions with their changes, and prints the text of one version", async () => {
        await run("history", ...flags, "--limit", "1", "--json");
        expect(JSON.parse(output)).toMatchObject({ entries: [{ version: 2, current: true, changes: [{ name: "r" }] }] });
        await run("history", ...flags);
        expect(output).toContain("Version 1 by mao");
        await run("history", "1", ...flags);
        expect(output).toBe(files.one);
        expect(await run("history", "7", ...flags)).toBe(ExitCode.Refused);
    });

    it.each(["r", "route r", "/r/7"])("explain %s prints line, requester, origin and nodes", async query => {
        expect(await run("explain", query, ...flags, "--json")).toBe(ExitCode.Done);
        expect(JSON.parse(output)).toMatchObject({
            explanations: [{
                rule: { line: 2, requester: "Ken\u00a0K", reason: "why" },
                attribution: { version: 2, operator: "mao", exact: true },
                presence: { inForce: ["a"], notInForce: ["b"], unknown: ["c"] },
            }],
        });
    });

    it("explain reports a line from an earlier version as in force on nodes that still have that version", async () => {
        await run("explain", "a", ...flags);
        expect(output).toContain("introduced by version 1");
        expect(output).toContain("in force on 2: a, b");
    });

    it("drain finds a node by its host", async () => {
        expect(await run("drain", "host-b", ...flags)).toBe(ExitCode.Done);
    });

    it("does not print control characters in an operator's name", async () => {
        await run("undo", ...flags.with(3, "x"), "--operator", "\u202emao");
        await run("history", ...flags);
        expect(output).not.toContain("\u202e");
    });

    it("apply --wait lists the nodes that are behind or unknown", async () => {
        expect(await run("apply", "two", ...flags, "--wait", "--wait-seconds", "2")).toBe(ExitCode.NotInForce);
        expect(output).toContain("b (east): behind, version 1");
        expect(output).toContain("c (east): unknown");
    });

    it("prints the last known state when --wait is interrupted", async () => {
        interrupt.abort();
        expect(await run("undo", ...flags, "--wait")).toBe(ExitCode.NotInForce);
        expect(output).toContain("Applied version 3");
        expect(output).toContain("Interrupted. Version 3 stays accepted");
    });
});
