import { readFileSync } from "node:fs";
import { type IncomingMessage, request } from "node:http";
import { splitAddress } from "@bilberrycroft/transport.calls";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Processes, type StartedProcess } from "./processSupport";
import { Cleanup, echo, type FakeTarget, send, startFakeTarget, type TargetBehaviour, waitUntil } from "./support";

const loopback = "127.0.0.1";
/** The default of a process whose settings name none. */
const maxMegabytes = 256;
const kilobytesPerMegabyte = 1_024;
const callsAtOnce = 40;
const rounds = 3;
const callTimeoutMs = 1_500;
const chunks = Buffer.from("1\r\nn\r\n".repeat(500));

/** Sends a chunked body without end, in chunks of one byte, as fast as the node reads. */
const respondInSmallChunks: TargetBehaviour = ({ socket }) => {
    const writeMore = (): void => {
        while (socket?.destroyed === false && socket.write(chunks)) {
            // The socket asks for a pause.
        }
    };
    socket?.on("drain", () => setImmediate(writeMore));
    socket?.on("error", () => socket.destroy());
    socket?.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    setImmediate(writeMore);
};

// Guards against a process whose heap fills with one object for each chunk of a response.
describe("a node whose target responds without end in chunks of one byte", () => {
    let cleanup: Cleanup;
    let processes: Processes;
    let node: StartedProcess;
    let callAddress: string;
    let target: FakeTarget;

    beforeEach(async () => {
        cleanup = new Cleanup();
        processes = new Processes();
        const store = await processes.start("bilberrycroft-store", "--port", "0").waitForField("address");
        node = processes.start("bilberrycroft-node", "--settings", processes.write("node.yaml", {
            host: "h1",
            zone: "z1",
            region: "r1",
            control: { host: loopback, port: 0 },
            calls: { host: loopback, port: 0 },
            store,
        }));
        const controlAddress = await node.waitForField("control");
        callAddress = await node.waitForField("calls");
        const rules = processes.write("first.rules", [
            "service svc slots=64 connections=100  # Test",
            `route ready path=/ready to=svc class=short timeout=${callTimeoutMs}ms repeat=yes  # Test`,
            `route read path=/read to=svc class=short timeout=${callTimeoutMs}ms repeat=yes  # Test`,
        ].join("\n"));
        await processes.runOperatorClient("apply", rules, "--wait", "--store", store, "--operator", "Test", "--node", controlAddress);
        target = await startFakeTarget(cleanup, { callAddress, controlAddress }, { slots: 64 });
    });
    afterEach(async () => {
        await cleanup.run();
        await processes.endAll();
    });

    const call = (isReading: boolean): Promise<void> => new Promise(resolve => {
        const outgoing = request({ ...splitAddress(callAddress), path: "/read/1", agent: false });
        outgoing.on("response", (response: IncomingMessage) => {
            response.on("error", () => undefined);
            if (isReading) {
                response.resume();
            }
        });
        outgoing.on("error", () => undefined);
        outgoing.on("close", resolve);
        setTimeout(() => outgoing.destroy(), 2 * callTimeoutMs);
        outgoing.end();
    });

    it.each([true, false])("lives, keeps to its memory and serves (callers read: %s)", async isReading => {
        target.behaviour = respondInSmallChunks;
        for (let round = 0; round < rounds; round++) {
            await Promise.all(Array.from({ length: callsAtOnce }, () => call(isReading)));
        }
        const { pid } = node.process;
        const peak = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
        console.info(`${Math.round(Number(peak) / kilobytesPerMegabyte)} of ${maxMegabytes} MB, ${target.receivedCalls.length} calls`);
        expect(target.receivedCalls.length).toBeGreaterThan(0);
        expect(Number(peak) / kilobytesPerMegabyte).toBeLessThan(maxMegabytes);
        target.behaviour = echo;
        await waitUntil(async () => (await send(callAddress, "/read/2").catch(() => undefined))?.status === 200);
    });
});
