import { describe, expect, it } from "vitest";
import { ManualClock } from "@bilberrycroft/core.clock";
import {
    maxFingerprints,
    maxReportsPerExchange,
    Quarantine,
    QuarantineDecisionKind as Kind,
    QuarantineReportKind,
} from "@bilberrycroft/coordination.quarantine";

const minute = 60_000;

/** Two nodes that exchange reports only when `exchange` is called. */
function createNodes() {
    const clock = new ManualClock();
    const [one, two] = ["one", "two"].map(node => new Quarantine({ node, clock })) as [Quarantine, Quarantine];
    /** Advances the clock by 100 ms and reports a crash of a target with calls of the given age in flight. */
    const crash = (target: string, fingerprints = ["bad"], options: { by?: Quarantine; ageMs?: number } = {}) => {
        clock.advance(100);
        const inFlight = fingerprints.map(fingerprint => ({ fingerprint, ageMs: options.ageMs ?? 50 }));
        (options.by ?? one).recordTargetCrash({ target, inFlight, at: clock.wallTime() });
    };
    const exchange = () => {
        const fromTwo = two.reportsToShare();
        two.mergeReports(one.reportsToShare());
        one.mergeReports(fromTwo);
    };
    const kindOf = (fingerprint = "bad", node = one) => node.check(fingerprint).kind;
    /** Time until a trial is allowed, with a resolution of 100 ms. */
    const timeToTrial = (node = one) => {
        const start = clock.now();
        while (kindOf("bad", node) === Kind.Held) {
            clock.advance(100);
        }
        return clock.now() - start;
    };
    return { clock, one, two, crash, exchange, kindOf, timeToTrial };
}

describe("quarantine", () => {
    describe("fingerprint", () => {
        const request = { method: "GET", path: "/a", tenant: "b", bodyDigest: "c" };
        const { one } = createNodes();

        it.each([
            { ...request, method: "PUT" },
            { ...request, path: "/ab", tenant: "" },
            { ...request, tenant: "bc", bodyDigest: "" },
        ])("differs for %o, so that it is not held because of another request", other => {
            expect(one.computeFingerprint({ ...request })).toBe(one.computeFingerprint(request));
            expect(one.computeFingerprint(other)).not.toBe(one.computeFingerprint(request));
        });
    });

    describe("hold", () => {
        it("starts with the second target that a call crashes, which bounds the targets that one request can crash", () => {
            const { crash, kindOf } = createNodes();
            crash("a");
            expect(kindOf()).toBe(Kind.Allowed);
            crash("a");
            expect(kindOf()).toBe(Kind.Allowed);
            crash("b");
            expect([kindOf(), kindOf("other")]).toEqual([Kind.Held, Kind.Allowed]);
        });

        // Guards against a request that crashes one target for ever, because those of the other one are forgotten.
        it("starts however often one target crashes, before and after the other one", () => {
            const { one, crash, kindOf } = createNodes();
            crash("a");
            crash("a");
            crash("b");
            expect(kindOf("bad", one)).toBe(Kind.Held);
            for (let count = 0; count < 20; count++) {
                crash("a");
            }
            expect(kindOf("bad", one)).toBe(Kind.Held);
        });

        // Guards against a request that crashes the only target of its service for ever.
        it("starts with the third crash of one target that starts again under its identifier", () => {
            const { crash, kindOf } = createNodes();
            crash("a");
            crash("a");
            expect(kindOf()).toBe(Kind.Allowed);
            crash("a");
            expect([kindOf(), kindOf("other")]).toEqual([Kind.Held, Kind.Allowed]);
        });

        it("doubles with each failed trial on one target up to 15 min", () => {
            const { crash, timeToTrial } = createNodes();
            crash("a");
            crash("a");
            const holds = Array.from({ length: 8 }, () => {
                crash("a");
                return Math.floor(timeToTrial() / minute);
            });
            expect(holds).toEqual([1, 2, 4, 8, 15, 15, 15, 15]);
        });

        it("does not start with crashes of one target between which the call completes", () => {
            const { clock, one, crash, kindOf } = createNodes();
            crash("a");
            crash("a");
            clock.advance(10);
            one.recordCompletion("bad");
            crash("a");
            crash("a");
            expect(kindOf()).toBe(Kind.Allowed);
        });

        it("does not start with three connections that break in one crash", () => {
            const { one, clock, crash, kindOf } = createNodes();
            crash("a", ["bad", "bad", "bad"]);
            one.recordTargetCrash({ target: "a", inFlight: [{ fingerprint: "bad", ageMs: 90 }], at: clock.wallTime() + 10 });
            expect(kindOf()).toBe(Kind.Allowed);
        });

        it("doubles with each failed trial up to 15 min, and allows one trial each time", () => {
            const { crash, kindOf, timeToTrial } = createNodes();
            crash("a");
            const holds = ["b", "c", "b", "b", "b", "b", "b", "b", "b", "b", "b"].map(target => {
                crash(target);
                const hold = timeToTrial();
                expect(kindOf()).toBe(Kind.Held);
                return Math.floor(hold / minute);
            });
            expect(holds).toEqual([1, 2, 4, 8, 15, 15, 15, 15, 15, 15, 15]);
        });

        it("ends when the trial completes, and allows another trial 30 s after one without a reported end", () => {
            const { clock, one, crash, kindOf, timeToTrial } = createNodes();
            crash("a");
            crash("b");
            timeToTrial();
            clock.advance(29_999);
            expect(kindOf()).toBe(Kind.Held);
            clock.advance(1);
            expect(kindOf()).toBe(Kind.Trial);
            one.recordCompletion("bad");
            expect(kindOf()).toBe(Kind.Allowed);
            crash("c");
            crash("d");
            expect(timeToTrial()).toBeLessThanOrEqual(3_000);
        });
    });

    describe("harmless calls", () => {
        it("are cleared when they complete on another target after being in flight with the crashing call", () => {
            const { one, crash, kindOf } = createNodes();
            crash("a", ["bad", "good"]);
            one.recordCompletion("good");
            crash("b", ["bad", "good"]);
            expect([kindOf("bad"), kindOf("good")]).toEqual([Kind.Held, Kind.Allowed]);
        });

        it("counts targets that fail together once, so that a rack failure does not block the calls that ran on it", () => {
            const { one, crash, kindOf } = createNodes();
            crash("a", ["bad"], { ageMs: 500 });
            crash("b", ["bad"], { ageMs: 500 });
            one.recordTargetCrash({ target: "c", inFlight: [{ fingerprint: "bad", ageMs: 400 }], at: 1_700_000_000_210 });
            expect(kindOf()).toBe(Kind.Allowed);
        });

        it("are held for a few seconds at most if they complete often but were in flight at every crash", () => {
            const { clock, one, crash, kindOf, timeToTrial } = createNodes();
            one.recordCompletion("bad");
            crash("a");
            crash("b");
            expect(kindOf()).toBe(Kind.Held);
            expect(timeToTrial()).toBeLessThanOrEqual(3_000);
            clock.advance(10);
            one.recordCompletion("bad");
            expect(kindOf()).toBe(Kind.Allowed);
        });

        it("holds for minutes a call that completed once and now crashes every target", () => {
            const { one, crash, timeToTrial } = createNodes();
            one.recordCompletion("bad");
            crash("a");
            crash("b");
            timeToTrial();
            crash("c");
            expect(timeToTrial()).toBeGreaterThanOrEqual(2 * minute);
        });

        it("are held for the regular time when their last completion is 10 min old", () => {
            const { clock, one, crash, timeToTrial } = createNodes();
            one.recordCompletion("bad");
            clock.advance(10 * minute);
            crash("a");
            crash("b");
            expect(timeToTrial()).toBeGreaterThanOrEqual(minute);
        });

        it("are cleared on a node that holds them when a call completes on another node", () => {
            const { clock, two, crash, exchange, kindOf } = createNodes();
            crash("a");
            crash("b");
            exchange();
            expect(kindOf("bad", two)).toBe(Kind.Held);
            clock.advance(10);
            two.recordCompletion("bad");
            exchange();
            expect(kindOf()).toBe(Kind.Allowed);
        });

        it.each([["completion", true], ["crashes", false]])(
            "are allowed when the report of the %s arrives last",
            (_name, completionLast) => {
                const { clock, one, two, crash, kindOf } = createNodes();
                crash("a");
                crash("b");
                const crashes = one.reportsToShare();
                clock.advance(10);
                one.recordCompletion("bad");
                const [completion] = one.reportsToShare();
                const reports = completion === undefined ? [] : [completion];
                two.mergeReports(completionLast ? crashes : reports);
                two.mergeReports(completionLast ? reports : crashes);
                expect(kindOf("bad", two)).toBe(Kind.Allowed);
            },
        );

        it("are cleared by a completion that happened before the crash report arrived", () => {
            const { clock, one, two, crash, exchange, kindOf } = createNodes();
            crash("a");
            crash("b");
            clock.advance(10);
            two.recordCompletion("bad");
            exchange();
            exchange();
            expect([kindOf(), kindOf("bad", two)]).toEqual([Kind.Allowed, Kind.Allowed]);
            expect(one.reportsToShare().length).toBeGreaterThan(0);
        });
    });

    // Guards against ordinary requests that are refused by nodes which know the crashes only, as restarted ones do.
    describe("crash reports that name the last completion before the crash", () => {
        /** Reports of crashes of three targets, between which an equal call completed elsewhere. */
        const createReports = () => {
            const { clock, one, two, crash } = createNodes();
            const reports = ["a", "b", "c"].flatMap(target => {
                two.recordCompletion("bad");
                clock.advance(1_000);
                crash(target, ["bad"], { by: two });
                return two.reportsToShare().filter(report => "target" in report && report.target === target);
            });
            return { clock, one, reports };
        };

        it("start no hold, in whatever order they arrive", () => {
            for (const order of [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]]) {
                const { one, reports } = createReports();
                one.mergeReports(order.flatMap(index => reports[index] ?? []));
                expect(one.check("bad").kind).toBe(Kind.Allowed);
            }
        });

        it("start a hold without the completions, as those of a request that crashes its targets", () => {
            const { one, reports } = createReports();
            one.mergeReports(reports.map(report => ({ ...report, completedAt: undefined })));
            expect(one.check("bad").kind).toBe(Kind.Held);
        });

        it("shorten the first hold after crashes without a completion between them", () => {
            const { clock, one, two, crash, timeToTrial } = createNodes();
            two.recordCompletion("bad");
            clock.advance(100);
            crash("a", ["bad"], { by: two });
            crash("b", ["bad"], { by: two });
            one.mergeReports(two.reportsToShare().filter(report => "target" in report));
            expect(one.check("bad").kind).toBe(Kind.Held);
            expect(timeToTrial()).toBeLessThanOrEqual(3_000);
        });

        it("name none that is 10 min old", () => {
            const { clock, one, crash } = createNodes();
            one.recordCompletion("bad");
            clock.advance(10 * minute);
            crash("a");
            expect(one.reportsToShare()[0]).toMatchObject({ target: "a", completedAt: undefined });
        });
    });

    describe("completions to report", () => {
        /** Two crashes that one observes, and a completion between them that only two knows. */
        const createCrashes = () => {
            const nodes = createNodes();
            const { clock, one, two, crash } = nodes;
            const learnCrash = (target: string) => {
                crash(target);
                two.mergeReports(one.reportsToShare().filter(report => "target" in report));
            };
            learnCrash("a");
            clock.advance(10);
            two.recordCompletion("bad");
            return { ...nodes, learnCrash };
        };

        it("are none while no node holds the fingerprint, so that single crashes cost no writes", () => {
            const { two } = createCrashes();
            expect(two.completionsToReport(0)).toEqual([]);
        });

        it("end the hold of a node that knows the crashes only, and are returned once", () => {
            const { one, two, learnCrash, kindOf } = createCrashes();
            learnCrash("b");
            expect([kindOf("bad", one), kindOf("bad", two)]).toEqual([Kind.Held, Kind.Allowed]);
            const reports = two.completionsToReport(0);
            expect(reports).toMatchObject([{ fingerprint: "bad" }]);
            expect(two.completionsToReport(0)).toEqual([]);
            one.mergeReports(reports);
            expect(kindOf("bad", one)).toBe(Kind.Allowed);
        });

        it("are spread over time, and needless once another node has reported one", () => {
            const { clock, two, learnCrash } = createCrashes();
            learnCrash("b");
            expect(two.completionsToReport(minute)).toEqual([]);
            const at = clock.wallTime() - 50;
            two.mergeReports([{ kind: QuarantineReportKind.Completion, fingerprint: "bad", at }]);
            clock.advance(minute);
            expect(two.completionsToReport(minute)).toEqual([]);
        });
    });

    describe("reports", () => {
        it("combine crashes that different nodes observed, because a caller may retry through any node", () => {
            const { one, two, crash, exchange, kindOf } = createNodes();
            crash("a", ["bad"], { by: one });
            crash("b", ["bad"], { by: two });
            exchange();
            expect([kindOf(), kindOf("bad", two)]).toEqual([Kind.Held, Kind.Held]);
        });

        it("count a crash that several nodes observed once", () => {
            const { clock, one, two, crash, exchange, timeToTrial } = createNodes();
            crash("a");
            crash("b");
            two.recordTargetCrash({ target: "b", inFlight: [{ fingerprint: "bad", ageMs: 20 }], at: clock.wallTime() + 5 });
            exchange();
            expect(timeToTrial(one)).toBeLessThan(2 * minute);
        });

        it("delay trials on nodes that observed no crash, so that not every node crashes a target with its trial", () => {
            const { clock, one, crash, timeToTrial } = createNodes();
            crash("a");
            crash("b");
            const late = Array.from({ length: 20 }, (_unused, index) => new Quarantine({ node: `n${index}`, clock }));
            late.forEach(node => node.mergeReports(one.reportsToShare()));
            timeToTrial();
            const trials = late.filter(node => node.check("bad").kind === Kind.Trial);
            expect(trials.length).toBeLessThanOrEqual(2);
        });

        it("are shared for 10 s, newest first and in bounded number, and are merged once", () => {
            const { clock, two, one, crash, exchange } = createNodes();
            crash("a", Array.from({ length: 40 }, (_unused, index) => `f${index}`));
            expect(one.reportsToShare()).toHaveLength(maxReportsPerExchange);
            expect(one.reportsToShare()[0]).toMatchObject({ fingerprint: "f39", target: "a", node: "one" });
            exchange();
            clock.advance(9_999);
            exchange();
            expect(two.reportsToShare()).toHaveLength(maxReportsPerExchange);
            clock.advance(1);
            expect([one, two].map(node => node.reportsToShare())).toEqual([[], []]);
        });

        it("expire after 30 min and are not merged after that", () => {
            const { clock, one, two, crash, kindOf } = createNodes();
            crash("a");
            crash("b");
            const reports = one.reportsToShare();
            clock.advance(30 * minute);
            two.mergeReports(reports);
            expect([kindOf(), kindOf("bad", two), two.reportsToShare().length]).toEqual([Kind.Allowed, Kind.Allowed, 0]);
        });

        it("are kept for the 1,024 fingerprints with the newest reports", () => {
            const { crash, kindOf } = createNodes();
            crash("a");
            crash("b");
            expect(kindOf()).toBe(Kind.Held);
            crash("c", Array.from({ length: maxFingerprints - 1 }, (_unused, index) => `f${index}`));
            expect(kindOf()).toBe(Kind.Held);
            crash("d", ["one more"]);
            expect(kindOf()).toBe(Kind.Allowed);
        });
    });
});
