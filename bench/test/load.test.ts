import { type AddressInfo, createServer, type Server } from "node:net";
import { once } from "node:events";
import { startTargetStandin, type TargetStandin } from "@bilberrycroft/standins.target";
import { afterEach, describe, expect, it } from "vitest";
import {
    type Arrival,
    type ArrivalOptions,
    type CallRecord,
    drawArrivals,
    LoadOutcome,
    type RateProfile,
    RateProfileKind,
    type RequestKind,
    runLoad,
} from "../src/load";
import { startBaselineProxy } from "../src/baseline";

const short: RequestKind = { className: "short", weight: 3, path: "/now", timeoutMs: 30_000 };
const long: RequestKind = { className: "long", weight: 1, path: "/history/may", timeoutMs: 30_000 };
const baseOptions: ArrivalOptions = {
    targets: ["a:1", "b:2"],
    profile: { kind: RateProfileKind.Constant, ratePerSecond: 200 },
    requests: [short, long],
    seed: 5,
    durationMs: 10_000,
};
const cleanups: (() => unknown)[] = [];

async function startTarget(): Promise<TargetStandin> {
    const target = await startTargetStandin({ id: "t", service: "s", coldStartMs: 0, longMs: 20, slots: 100 });
    cleanups.push(() => target.close());
    return target;
}

/** Starts a server that responds to every request with the same bytes and closes the connection. */
async function startFixedServer(bytes: string): Promise<string> {
    const server: Server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => socket.end(bytes));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    cleanups.push(() => server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function countBetween(arrivals: readonly Arrival[], from: number, to: number): number {
    return arrivals.filter(arrival => arrival.dueMs >= from && arrival.dueMs < to).length;
}

describe("load", () => {
    afterEach(async () => {
        await Promise.all(cleanups.splice(0).map(cleanup => cleanup()));
    });

    describe("arrivals", () => {
        it("repeat for the same seed, so that two versions receive the same load", () => {
            const first = [...drawArrivals(baseOptions)];
            expect([...drawArrivals(baseOptions)]).toEqual(first);
            expect([...drawArrivals({ ...baseOptions, seed: 6 })]).not.toEqual(first);
        });

        interface ProfileCase {
            readonly name: string;
            readonly profile: RateProfile;
            readonly from: number;
            readonly to: number;
            readonly expected: number;
        }
        const profiles: readonly ProfileCase[] = [
            { name: "a constant rate", profile: baseOptions.profile, from: 0, to: 10_000, expected: 2_000 },
            {
                name: "a later step",
                profile: {
                    kind: RateProfileKind.Steps,
                    steps: [{ durationMs: 5_000, ratePerSecond: 10 }, { durationMs: 1, ratePerSecond: 400 }],
                },
                from: 5_000,
                to: 10_000,
                expected: 2_000,
            },
            {
                name: "the time between bursts",
                profile: {
                    kind: RateProfileKind.Bursts,
                    ratePerSecond: 200,
                    burstRatePerSecond: 1_000,
                    periodMs: 10_000,
                    burstMs: 5_000,
                },
                from: 5_000,
                to: 10_000,
                expected: 1_000,
            },
        ];
        it.each(profiles)("follow $name", ({ profile, from, to, expected }) => {
            const count = countBetween([...drawArrivals({ ...baseOptions, profile })], from, to);
            // Five standard deviations of a Poisson count.
            expect(Math.abs(count - expected)).toBeLessThan(5 * Math.sqrt(expected));
        });

        it("are empty at rate 0", () => {
            const profile: RateProfile = { kind: RateProfileKind.Constant, ratePerSecond: 0 };
            expect([...drawArrivals({ ...baseOptions, profile })]).toEqual([]);
        });
    });

    describe("runs", () => {
        const smallRun = { ...baseOptions, durationMs: 200 };

        it("count every short and long call through the baseline proxy", async () => {
            const target = await startTarget();
            const proxy = await startBaselineProxy({ targets: [target.address], timeoutMs: 30_000 });
            cleanups.push(() => proxy.close());
            const records: CallRecord[] = [];
            const requests = [{ ...short, idempotencyKey: true }, long];
            const result = await runLoad({
                ...smallRun,
                requests,
                targets: [proxy.address],
                onCallEnd: record => records.push(record),
            });
            const offered = [...drawArrivals(smallRun)].length;
            expect(result.total).toMatchObject({ offered, done: offered, errors: 0, goodput: offered * 5 });
            expect(target.counters().completed).toBe(offered);
            const keys = records.flatMap(record => record.idempotencyKey ?? []);
            expect([...target.runs().keys()].sort()).toEqual(keys.sort());
            expect(result.classes.map(({ className }) => className)).toEqual(["short", "long"]);
        });

        it("exclude warm-up calls from all results, so that connection setup does not count as latency", async () => {
            const target = await startTarget();
            const { total } = await runLoad({ ...smallRun, targets: [target.address], warmupMs: 100 });
            const due = [...drawArrivals(smallRun)];
            expect(target.counters().completed).toBe(due.length);
            expect(total.offered).toBe(countBetween(due, 100, 200));
            expect(total.goodput).toBe(total.offered * 10);
        });

        // The server closes each connection and announces it, so that no call uses a stale connection.
        const createHead = (status: string): string => `HTTP/1.1 ${status}\r\nconnection: close\r\n`;
        const ok = createHead("200 OK");
        const responses = [
            { name: "not run", bytes: `${createHead("503 No")}x-mesh-outcome: not-run\r\ncontent-length: 0\r\n\r\n`, field: "notRun" },
            { name: "unknown", bytes: `${createHead("504 No")}x-mesh-outcome: unknown\r\ncontent-length: 0\r\n\r\n`, field: "unknown" },
            { name: "another call's response", bytes: `${ok}content-length: 15\r\n\r\n{"request":"x"}`, field: "errors" },
            { name: "a truncated response", bytes: `${ok}content-length: 90\r\n\r\n{}`, field: "errors" },
            { name: "an error status", bytes: `${createHead("500 No")}content-length: 0\r\n\r\n`, field: "errors" },
            { name: "a broken connection", bytes: "", field: "errors" },
        ] as const;
        it.each(responses)("count $name as $field, never as done", async ({ bytes, field }) => {
            const target = await startFixedServer(bytes);
            const { total } = await runLoad({ ...smallRun, targets: [target] });
            expect(total.offered).toBeGreaterThan(0);
            expect(total).toMatchObject({ done: 0, goodput: 0, [field]: total.offered });
        });

        it("abandon calls to a target that does not respond, so that a run always ends", async () => {
            const server = createServer(() => undefined).listen(0, "127.0.0.1");
            await once(server, "listening");
            cleanups.push(() => server.close());
            const targets = [`127.0.0.1:${(server.address() as AddressInfo).port}`];
            const records: CallRecord[] = [];
            const requests = [{ ...short, timeoutMs: 1 }];
            const onCallEnd = (record: CallRecord): number => records.push(record);
            const { total } = await runLoad({ ...smallRun, targets, requests, onCallEnd, maxInFlight: 2 });
            expect(total.failures).toMatchObject({ abandoned: expect.any(Number), none: 0 });
            expect(records.every(record => record.outcome === LoadOutcome.Failed)).toBe(true);
            expect(total.failures["not-sent"] + total.failures.abandoned).toBe(total.offered);
        });
    });
});
