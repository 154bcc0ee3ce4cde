import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build } from "esbuild";
import { afterAll, beforeAll, describe, expect, it } from "vitest";

const host = "127.0.0.1";
const shim = "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);";
let folder: string;
let binary: string;

beforeAll(async () => {
    folder = mkdtempSync(join(tmpdir(), "bilberrycroft-node-test-"));
    binary = join(folder, "node.mjs");
    await build({
        entryPoints: [join(import.meta.dirname, "../src/main.ts")],
        outfile: binary,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "esm",
        banner: { js: shim },
        logLevel: "warning",
    });
});

afterAll(() => rmSync(folder, { recursive: true, force: true }));

describe("bilberrycroft-node", () => {
    it("exits with the usage code when the control address is in use", async () => {
        // Guards against a process that keeps running without a control listener: no supervisor would restart it.
        const blocker = createServer().listen(0, host);
        await once(blocker, "listening");
        const { port } = blocker.address() as AddressInfo;
        const settings = join(folder, "node.yaml");
        writeFileSync(settings, JSON.stringify({
            host: "a",
            zone: "z",
            region: "r",
            control: { host, port },
            calls: { host, port: 0 },
            store: `${host}:9`,
        }));
        const child = spawn(process.execPath, [binary, "--settings", settings], { stdio: "ignore" });
        try {
            const [exitCode] = await once(child, "exit") as [number];
            expect(exitCode).toBe(2);
        }
        finally {
            child.kill("SIGKILL");
            blocker.close();
        }
    }, 60_000);
});
