import { once } from "node:events";
import { connect } from "node:net";
import { CallHeader, CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { TargetState } from "@bilberrycroft/coordination.membership";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { waitUntil } from "../../../protocol/store/test/virtualTime";
import { crashHeader, requestIdHeader, type TargetStandin } from "../src";
import { call, startTestTarget, type TestCall, VirtualTime } from "./support";

describe("target", () => {
    let time: VirtualTime;
    let target: TargetStandin;

    beforeEach(async () => {
        time = new VirtualTime();
        target = await startTestTarget(time, { slots: 1, queue: 1 });
    });
    afterEach(() => target.close());

    /** Sends a call and waits until the target has received it. */
    const sendCall = async (path: string, headers: Record<string, string> = {}): Promise<TestCall> => {
        const received = target.counters().received;
        const sent = call(target.address, path, headers);
        await waitUntil(() => target.counters().received === received + 1);
        return sent;
    };

    describe("slots", () => {
        it("runs one call, queues one and sheds the next as not run, so that overload wastes no work", async () => {
            const first = await sendCall("/a");
            const second = await sendCall("/b");
            const third = await (await sendCall("/c")).response;
            expect(third.status).toBe(503);
            expect(third.headers).toMatchObject({
                [CallHeader.Outcome]: CallOutcome.NotRun,
                [CallHeader.Reason]: CallReason.Overloaded,
                [CallHeader.Load]: "2/1",
                "retry-after": "1",
            });
            expect(target.counters()).toMatchObject({ started: 1, shed: { overloaded: 1 } });
            time.advance(5);
            expect((await first.response).body).toContain("\"path\":\"/a\"");
            expect(target.counters().started).toBe(2);
            time.advance(5);
            expect((await second.response).status).toBe(200);
            expect(target.counters()).toMatchObject({ completed: 2, maxRunning: 1 });
        });

        it("sheds a queued call at its deadline as not run, so that no slot is used for an expired call", async () => {
            await sendCall("/history");
            const queued = await sendCall("/b", { [CallHeader.Timeout]: "20" });
            time.advance(20);
            expect((await queued.response).headers[CallHeader.Reason]).toBe(CallReason.DeadlinePassed);
            expect(target.counters().started).toBe(1);
        });

        it("does not start a call without remaining time", async () => {
            const late = await sendCall("/a", { [CallHeader.Timeout]: "0" });
            expect((await late.response).headers[CallHeader.Outcome]).toBe(CallOutcome.NotRun);
        });

        it("stops a call whose caller disconnected and starts the next, so that a cancelled call holds no slot", async () => {
            const cancelled = await sendCall("/history");
            await sendCall("/b");
            cancelled.cancel();
            await waitUntil(() => target.counters().started === 2);
            expect(target.counters()).toMatchObject({ cancelled: 1, completed: 0 });
        });

        it("never starts a queued call whose caller disconnected", async () => {
            const running = await sendCall("/a");
            (await sendCall("/b")).cancel();
            await waitUntil(() => target.counters().cancelled === 1);
            time.advance(5);
            await running.response;
            expect(target.counters().started).toBe(1);
        });
    });

    describe("responses", () => {
        it("streams a long response that starts and ends with the request id, so that swapped responses are detected", async () => {
            const long = await sendCall("/history/may", { [requestIdHeader]: "q7" });
            time.advance(25);
            await waitUntil(() => long.receivedLength() > 0);
            expect(target.counters().completed).toBe(0);
            time.advance(225);
            const { body, complete } = await long.response;
            const lines = body.trimEnd().split("\n");
            expect(complete).toBe(true);
            expect([lines[0], lines.at(-1)].map(line => JSON.parse(line ?? "").request)).toEqual(["q7", "q7"]);
        });

        it("counts runs by idempotency key, so that a call that ran twice is detected", async () => {
            for (const key of ["k1", "k1", "k2"]) {
                const sent = await sendCall("/a", { [CallHeader.IdempotencyKey]: key });
                time.advance(5);
                await sent.response;
            }
            const runs = await (await fetch(`http://${target.address}/runs`)).json();
            expect(runs).toEqual({ runs: { k1: 2, k2: 1 }, forgotten: 0 });
        });
    });

    describe("faults", () => {
        it("slows calls until the fault ends", async () => {
            target.inject({ slowFactor: 10, forMs: 100 });
            const slow = await sendCall("/a");
            time.advance(49);
            expect(target.counters().completed).toBe(0);
            time.advance(1);
            await slow.response;
            time.advance(50);
            const normal = await sendCall("/a");
            time.advance(5);
            expect((await normal.response).status).toBe(200);
        });

        it("reports a false load on request, so that tests can mislead routing", async () => {
            target.inject({ lieAboutLoad: 0 });
            await sendCall("/a");
            await sendCall("/b");
            expect((await (await sendCall("/c")).response).headers[CallHeader.Load]).toBe("0/1");
        });

        it("refuses every call as not run on request", async () => {
            target.inject({ refuse: true });
            const refused = await (await sendCall("/a")).response;
            expect(refused.headers[CallHeader.Reason]).toBe(CallReason.TargetRefused);
            expect(target.counters().started).toBe(0);
        });

        it.each(["/a", "/history"])("truncates one response of %s, so that tests can check how callers detect it", async path => {
            target.inject({ cutResponses: 1 });
            const truncated = await sendCall(path);
            expect((await time.advanceUntilSettled(truncated.response)).complete).toBe(false);
            const complete = await sendCall(path);
            expect((await time.advanceUntilSettled(complete.response)).complete).toBe(true);
        });

        it("crashes on the given call: all connections close, new ones are refused, then it restarts cold", async () => {
            await target.close();
            target = await startTestTarget(time, { coldStartMs: 1_000, crashOn: "x" });
            const concurrent = await sendCall("/history");
            const crashing = call(target.address, "/a", { [crashHeader]: "x", [CallHeader.IdempotencyKey]: "k" });
            await expect(concurrent.response).rejects.toThrow();
            await expect(crashing.response).rejects.toThrow();
            await expect(call(target.address, "/a").response).rejects.toThrow("ECONNREFUSED");
            time.advance(2_000);
            await waitUntil(() => target.state() === TargetState.Warming);
            expect(target.runs().get("k")).toBe(1);
            const after = call(target.address, "/a");
            expect((await time.advanceUntilSettled(after.response)).status).toBe(200);
        });

        it.each(["{\"slowFactor\":0}", "{\"slow\":2}", "{"])("refuses the control request %s", async body => {
            const response = await fetch(`http://${target.address}/faults`, { method: "PUT", body });
            expect(response.status).toBe(400);
        });
    });

    describe("drain", () => {
        it("accepts calls in the grace period, sheds later ones as not run and completes calls in flight", async () => {
            await target.close();
            target = await startTestTarget(time, { slots: 2, longMs: 10_000 });
            const long = await sendCall("/history");
            // A connection without any request must not delay the end of the drain.
            const [host, port] = target.address.split(":");
            await once(connect(Number(port), host), "connect");
            const drained = target.drain();
            expect(target.state()).toBe(TargetState.Draining);
            const inGracePeriod = await sendCall("/a");
            time.advance(5);
            expect((await inGracePeriod.response).headers[CallHeader.Draining]).toBe("1");
            time.advance(2_995);
            const late = await (await sendCall("/a")).response;
            expect(late.headers).toMatchObject({
                [CallHeader.Outcome]: CallOutcome.NotRun,
                [CallHeader.Reason]: CallReason.Draining,
                connection: "close",
            });
            expect((await time.advanceUntilSettled(long.response, 100)).complete).toBe(true);
            await time.advanceUntilSettled(drained);
            expect(target.state()).toBe(TargetState.Gone);
            await expect(call(target.address, "/a").response).rejects.toThrow("ECONNREFUSED");
        });
    });
});
