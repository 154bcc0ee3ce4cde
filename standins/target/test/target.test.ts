import { once } from "node:events";
import { connect } from "node:net";
import { CallHeader, CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { TargetState } from "@bilberrycroft/coordination.membership";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { until } from "../../../protocol/store/test/virtualTime";
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

    /** Sends a call and waits until the target has it. */
    const callAndWait = async (path: string, headers: Record<string, string> = {}): Promise<TestCall> => {
        const received = target.counters().received;
        const sent = call(target.address, path, headers);
        await until(() => target.counters().received === received + 1);
        return sent;
    };

    describe("slots", () => {
        it("runs one call, queues one and sheds the next as not run, so that overload costs no work", async () => {
            const first = await callAndWait("/a");
            const second = await callAndWait("/b");
            const third = await (await callAndWait("/c")).response;
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

        it("drops a queued call at its deadline as not run, so that nobody waits for work that is too late", async () => {
            await callAndWait("/history");
            const queued = await callAndWait("/b", { [CallHeader.Timeout]: "20" });
            time.advance(20);
            expect((await queued.response).headers[CallHeader.Reason]).toBe(CallReason.DeadlinePassed);
            expect(target.counters().started).toBe(1);
        });

        it("does not start a call without time left", async () => {
            const late = await callAndWait("/a", { [CallHeader.Timeout]: "0" });
            expect((await late.response).headers[CallHeader.Outcome]).toBe(CallOutcome.NotRun);
        });

        it("stops a run whose caller left and starts the next, so that a cancelled call holds no slot", async () => {
            const left = await callAndWait("/history");
            await callAndWait("/b");
            left.leave();
            await until(() => target.counters().started === 2);
            expect(target.counters()).toMatchObject({ cancelled: 1, completed: 0 });
        });

        it("never starts a queued call whose caller left", async () => {
            const running = await callAndWait("/a");
            (await callAndWait("/b")).leave();
            await until(() => target.counters().cancelled === 1);
            time.advance(5);
            await running.response;
            expect(target.counters().started).toBe(1);
        });
    });

    describe("responses", () => {
        it("streams a long response in pieces that begin and end with the request's id, so that mix-ups show", async () => {
            const long = await callAndWait("/history/may", { [requestIdHeader]: "q7" });
            time.advance(25);
            await until(() => long.received() > 0);
            expect(target.counters().completed).toBe(0);
            time.advance(225);
            const { body, complete } = await long.response;
            const lines = body.trimEnd().split("\n");
            expect(complete).toBe(true);
            expect([lines[0], lines.at(-1)].map(line => JSON.parse(line ?? "").request)).toEqual(["q7", "q7"]);
        });

        it("counts runs by idempotency key, so that a call that ran twice shows", async () => {
            for (const key of ["k1", "k1", "k2"]) {
                const sent = await callAndWait("/a", { [CallHeader.IdempotencyKey]: key });
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
            const slow = await callAndWait("/a");
            time.advance(49);
            expect(target.counters().completed).toBe(0);
            time.advance(1);
            await slow.response;
            time.advance(50);
            const usual = await callAndWait("/a");
            time.advance(5);
            expect((await usual.response).status).toBe(200);
        });

        it("reports a false load on request, so that tests can mislead routing", async () => {
            target.inject({ lieAboutLoad: 0 });
            await callAndWait("/a");
            await callAndWait("/b");
            expect((await (await callAndWait("/c")).response).headers[CallHeader.Load]).toBe("0/1");
        });

        it("refuses every call as not run on request", async () => {
            target.inject({ refuse: true });
            const refused = await (await callAndWait("/a")).response;
            expect(refused.headers[CallHeader.Reason]).toBe(CallReason.TargetRefused);
            expect(target.counters().started).toBe(0);
        });

        it.each(["/a", "/history"])("cuts one response of %s, so that callers see a truncated one", async path => {
            target.inject({ cutResponses: 1 });
            const cut = await callAndWait(path);
            expect((await time.advanceUntilSettled(cut.response)).complete).toBe(false);
            const whole = await callAndWait(path);
            expect((await time.advanceUntilSettled(whole.response)).complete).toBe(true);
        });

        it("crashes on the named call: every connection breaks, new ones are refused, then it returns cold", async () => {
            await target.close();
            target = await startTestTarget(time, { coldStartMs: 1_000, crashOn: "x" });
            const innocent = await callAndWait("/history");
            const crashing = call(target.address, "/a", { [crashHeader]: "x", [CallHeader.IdempotencyKey]: "k" });
            await expect(innocent.response).rejects.toThrow();
            await expect(crashing.response).rejects.toThrow();
            await expect(call(target.address, "/a").response).rejects.toThrow("ECONNREFUSED");
            time.advance(2_000);
            await until(() => target.state() === TargetState.Warming);
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
        it("takes calls during the grace, sheds later ones as not run and finishes those in flight", async () => {
            await target.close();
            target = await startTestTarget(time, { slots: 2, longMs: 10_000 });
            const long = await callAndWait("/history");
            // A connection that never carried a request must not hold up the end of the drain.
            const [host, port] = target.address.split(":");
            await once(connect(Number(port), host), "connect");
            const drained = target.drain();
            expect(target.state()).toBe(TargetState.Draining);
            const inGrace = await callAndWait("/a");
            time.advance(5);
            expect((await inGrace.response).headers[CallHeader.Draining]).toBe("1");
            time.advance(2_995);
            const late = await (await callAndWait("/a")).response;
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
