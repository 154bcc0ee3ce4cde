import { describe, expect, it } from "vitest";
import { explainRequest, ExitCode } from "../src/index";

const formatLine = (
    node: string,
    second: number,
    event: string,
    fields: Readonly<Record<string, unknown>> = {},
): string =>
    JSON.stringify({ time: `2026-12-04T10:00:0${second}.000Z`, uptimeMs: second * 1_000, level: "info", event, node, ...fields });

const callerLog = [
    formatLine("n1", 0, "started"),
    formatLine("n1", 1, "configuration-activated", { version: 3, from: "n9" }),
    formatLine("n1", 2, "configuration-activated", { version: 4, from: "n9" }),
    formatLine("n1", 5, "call-not-answered", { call: "r1", outcome: "not-run", reason: "overloaded" }),
    formatLine("n1", 5, "call-answered", { call: "r2" }),
    formatLine("n1", 6, "configuration-activated", { version: 5, from: "n9" }),
].join("\n");
const targetLog = `collector: ${formatLine("n2", 3, "target-availability", { availability: "serving" })}
not a log line {
${formatLine("n2", 4, "offer-refused", { call: "r1", running: 6, queued: 9 })}
${formatLine("n2", 4, "offer-refused", { call: "r1.inner", running: 6 })}
${formatLine("n2", 4, "offer-refused", { call: "r11" })}`;
const files = [{ name: "n1.log", text: callerLog }, { name: "n2.log", text: targetLog }];

describe("explainRequest", () => {
    it("shows the lines of the request and of its inner calls from all nodes, in order of time", () => {
        const { exitCode, data } = explainRequest("r1", files);
        expect(exitCode).toBe(ExitCode.Done);
        expect(data).toMatchObject({
            lines: [
                { node: "n2", fields: { call: "r1" } },
                { node: "n2", fields: { call: "r1.inner" } },
                { node: "n1", event: "call-not-answered" },
            ],
        });
    });

    it("shows the state of each node before its first line, without later lines or lines of an earlier process", () => {
        const restarted = `${formatLine("n1", 0, "store-lost")}\n${callerLog}`;
        const { data } = explainRequest("r1", [{ name: "n1.log", text: restarted }, ...files.slice(1)]);
        expect(data).toMatchObject({
            believed: [
                { node: "n1", event: "started" },
                { node: "n1", event: "configuration-activated", fields: { version: 4 } },
                { node: "n2", event: "target-availability" },
            ],
        });
    });

    it("reports that no line is about the request", () => {
        const { exitCode, lines } = explainRequest("other", files);
        expect(exitCode).toBe(ExitCode.Refused);
        expect(lines[0]).toBe("no log line for request other in 2 files");
    });
});
