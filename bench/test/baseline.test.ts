import { setImmediate } from "node:timers/promises";
import { startTargetStandin, type TargetStandin } from "@bilberrycroft/standins.target";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type BaselineProxy, startBaselineProxy } from "../src/baseline";

describe("baseline proxy", () => {
    let targets: readonly TargetStandin[];
    let proxy: BaselineProxy;

    /** Longer than any test, so that a slow machine does not cause timeouts. */
    const longTimeoutMs = 120_000;
    const startProxy = (timeoutMs: number): Promise<BaselineProxy> =>
        startBaselineProxy({ targets: targets.map(({ address }) => address), timeoutMs });

    beforeEach(async () => {
        targets = await Promise.all(["t1", "t2"].map(id =>
            startTargetStandin({ id, service: "s", coldStartMs: 0, longMs: 100_000 })));
        proxy = await startProxy(longTimeoutMs);
    });
    afterEach(async () => {
        await proxy.close();
        await Promise.all(targets.map(target => target.close()));
    });

    const send = (path: string, options: RequestInit = {}): Promise<Response> =>
        fetch(`http://${proxy.address}${path}`, options);

    it("selects the targets in turn, so that the comparison is with plain round robin", async () => {
        for (let calls = 0; calls < 4; calls++) {
            expect((await send("/a", { method: "POST", body: "x" })).status).toBe(200);
        }
        expect(targets.map(target => target.counters().completed)).toEqual([2, 2]);
    });

    it("returns 504 after its timeout and cancels the run", async () => {
        await proxy.close();
        proxy = await startProxy(50);
        const [first] = targets;
        // On a busy machine the timeout may expire before the run starts, so calls are repeated until a run starts.
        while (first?.counters().started === 0) {
            expect((await send("/history")).status).toBe(504);
        }
        while (first?.counters().cancelled !== first?.counters().started) {
            await setImmediate();
        }
    });

    it("returns 502 for an unreachable target and does not retry", async () => {
        await targets[0]?.close();
        expect([(await send("/a")).status, (await send("/a")).status]).toEqual([502, 200]);
    });

    it("forwards a truncated response as truncated, so that callers do not mistake it for a complete one", async () => {
        targets[0]?.inject({ cutResponses: 1 });
        const response = await send("/a");
        await expect(response.text()).rejects.toThrow();
    });

    it("cancels the run when the caller disconnects", async () => {
        const abort = new AbortController();
        const sent = send("/history", { signal: abort.signal });
        while (targets[0]?.counters().started !== 1) {
            await setImmediate();
        }
        abort.abort();
        await expect(sent).rejects.toThrow();
        while (targets[0]?.counters().cancelled !== 1) {
            await setImmediate();
        }
    });
});
