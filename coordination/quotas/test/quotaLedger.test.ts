import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { AllowanceGrantKind, type AllowanceAsk, type PreviousBucket } from "@bilberrycroft/protocol.forwarding";
import {
    computeCapacity,
    hashNode,
    NodeContacts,
    QuotaAllowances,
    QuotaDecisionKind,
    QuotaLedger,
    selectAccountingNode,
} from "@bilberrycroft/coordination.quotas";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { bound } from "./quotaPlay";

const organisation = "org";
const limit = { callsPerSecond: 100, burst: 50 };
const validMs = 300;

function createAsk(fields: Partial<AllowanceAsk> = {}): AllowanceAsk {
    return { organisation, tokens: 1, demand: 0, returned: 0, limit, ...fields };
}

function createLedger(respondingShare = 1) {
    const clock = new ManualClock();
    const ledger = new QuotaLedger({ clock, bound, respondingShare: () => respondingShare });
    ledger.open(organisation, limit, false);
    const pass = (durationMs: number): void => {
        for (let elapsed = 0; elapsed < durationMs; elapsed += 250) {
            clock.advance(Math.min(250, durationMs - elapsed));
            ledger.advance();
        }
    };
    return { clock, ledger, pass };
}

describe("ledger", () => {
    it("begins empty, so that a restart gives no second burst", () => {
        expect(createLedger().ledger.grant("a", createAsk()).tokens).toBe(0);
    });

    it("never grants more than its capacity and rate, whatever is asked and returned", () => {
        const step = fc.record({
            node: fc.constantFrom("a", "b", "c"),
            tokens: fc.nat(200),
            demand: fc.nat(1_000),
            returned: fc.nat(200),
            pauseMs: fc.nat(1_500),
        });
        fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
            const { clock, ledger } = createLedger();
            let granted = 0;
            // Each node returns at most what it was granted, as a truthful one would.
            const held = new Map<string, number>();
            for (const { node, tokens, demand, returned, pauseMs } of steps) {
                clock.advance(pauseMs);
                const given = Math.min(returned, held.get(node) ?? 0);
                const grant = ledger.grant(node, createAsk({ tokens, demand, returned: given }));
                granted += grant.tokens - given;
                held.set(node, (held.get(node) ?? 0) - given + grant.tokens);
                expect(Number.isInteger(grant.tokens)).toBe(true);
            }
            const earned = clock.now() * limit.callsPerSecond / 1_000;
            const returnedAtMost = [...held.values()].reduce((sum, count) => sum + count, 0);
            expect(granted).toBeLessThanOrEqual(earned + 1e-6);
            expect(returnedAtMost).toBe(granted);
        }), { seed: 1, numRuns: 300 });
    });

    it("accepts a return only of tokens that it granted to the same node and that have not expired", () => {
        const { clock, ledger, pass } = createLedger();
        pass(400);
        const { tokens } = ledger.grant("a", createAsk({ tokens: 100 }));
        expect(ledger.grant("b", createAsk({ tokens: 0, returned: tokens })).tokens).toBe(0);
        expect(ledger.grant("b", createAsk({ tokens })).tokens).toBe(0);
        expect(ledger.grant("a", createAsk({ tokens, returned: tokens })).tokens).toBe(tokens);
        clock.advance(600);
        const earned = 60;
        expect(ledger.grant("a", createAsk({ tokens: 1_000, returned: tokens })).tokens).toBeLessThanOrEqual(earned);
    });

    it("begins anew after a freeze, because another node granted meanwhile", () => {
        const { clock, ledger, pass } = createLedger();
        pass(2_000);
        clock.advance(800);
        expect(ledger.grant("a", createAsk()).tokens).toBe(0);
    });

    it("lowers its bucket with the limit", () => {
        const { ledger, pass } = createLedger();
        pass(2_000);
        const lowered = { callsPerSecond: 1, burst: 0 };
        ledger.open(organisation, lowered, false);
        expect(ledger.grant("a", createAsk({ tokens: 1_000 })).tokens).toBeLessThanOrEqual(computeCapacity(lowered, bound));
    });

    // Guards against accounting nodes that each grant the same part of the quota after one another.
    describe("that continues the bucket of another accounting node", () => {
        const small = { callsPerSecond: 5, burst: 5 };
        const createSmall = () => {
            const { ledger, pass } = createLedger();
            const rival = "small";
            ledger.open(rival, small, false);
            const ask = (tokens: number, previous?: PreviousBucket) => {
                const fields = { organisation: rival, tokens, demand: 0, returned: 0, limit: small };
                return ledger.grant("a", previous === undefined ? fields : { ...fields, previous }).tokens;
            };
            return { ledger, pass, ask };
        };

        it("grants no part of the reserve again", () => {
            expect(createSmall().ask(100)).toBeGreaterThan(0);
            expect(createSmall().ask(100, { tokens: 0, heldMs: 1_000, ageMs: 10 })).toBe(0);
        });

        it("grants what was earned since the report", () => {
            const { pass, ask } = createSmall();
            pass(400);
            expect(ask(100, { tokens: 0, heldMs: 1_000, ageMs: 400 })).toBe(2);
        });

        it("takes back what both have granted, as soon as it is told", () => {
            const { pass, ask } = createSmall();
            const granted = ask(100);
            pass(100);
            expect(ask(1, { tokens: 0, heldMs: 1_000, ageMs: 0 })).toBe(0);
            pass(1_000 * granted / small.callsPerSecond - 100);
            expect(ask(1)).toBe(0);
            pass(400);
            expect(ask(1)).toBe(1);
        });

        it.each([
            ["that became responsible later", { tokens: -100, heldMs: 10, ageMs: 10 }, 1_000],
            ["of an earlier window", { tokens: -100, heldMs: 9_000, ageMs: 10 }, bound.windowMs + 1_000],
        ])("ignores a node %s", (_, previous, responsibleMs) => {
            const { ledger, pass, ask } = createSmall();
            for (let at = 0; at < responsibleMs; at += 250) {
                pass(250);
                ledger.advance();
            }
            expect(ask(1, previous)).toBe(1);
        });

        it("tells of its bucket while that holds less than another node would begin with", () => {
            const { ledger, pass } = createSmall();
            const fields = { organisation: "small", tokens: 1, demand: 0, returned: 0, limit: small };
            expect(ledger.grant("a", { ...fields, tokens: 100 }).bucket).toMatchObject({ tokens: 0, heldMs: 0 });
            for (let at = 0; at < 4_000; at += 250) {
                pass(250);
                ledger.advance();
            }
            expect(ledger.grant("a", fields).bucket).toBeUndefined();
        });
    });

    it("withholds the parts of nodes that do not respond once the bucket is tight", () => {
        const { ledger, pass } = createLedger(0.5);
        ledger.grant("a", createAsk());
        pass(1_000);
        ledger.grant("a", createAsk({ tokens: 1_000 }));
        pass(500);
        expect(ledger.grant("a", createAsk({ tokens: 1_000 })).tokens).toBeLessThan(0.35 * limit.callsPerSecond);
    });
});

describe("allowances", () => {
    function createAllowances(nodes = 10, callsPerSecond = 100) {
        const clock = new ManualClock();
        const random = createSeededRandom(1);
        const allowances = new QuotaAllowances({ clock, random, bound, countNodes: () => nodes });
        allowances.setLimits(new Map([[organisation, { callsPerSecond, burst: 50 }]]));
        const receive = (tokens: number, askedAt: number, pauseMs = 0): void => allowances.handleGrant(
            { kind: AllowanceGrantKind.Granted, organisation, tokens, validMs, pauseMs, retryAfterMs: 2 * pauseMs },
            { from: "accounting", askedAt },
        );
        return { clock, allowances, receive };
    }

    it("hold tokens from the moment of the request, so that a late grant is shorter or void", () => {
        const { clock, allowances, receive } = createAllowances();
        clock.advance(validMs - 1);
        receive(2, 0);
        expect(allowances.decide(organisation)?.kind).toBe(QuotaDecisionKind.Admitted);
        clock.advance(1);
        expect(allowances.decide(organisation)).toBeUndefined();
        receive(5, 0);
        expect(allowances.decide(organisation)).toBeUndefined();
        expect(allowances.heldTokens).toBe(0);
    });

    it("refuse without a request during the pause that a grant names", () => {
        const { clock, allowances, receive } = createAllowances();
        receive(0, 0, 100);
        expect(allowances.decide(organisation)).toMatchObject({ kind: QuotaDecisionKind.Refused, retryAfterMs: 200 });
        expect(allowances.createAsk(organisation, 1, "accounting")).toBeUndefined();
        // A delay that is rounded to 0 would make callers return at once.
        clock.advance(99.9);
        receive(0, 0, 0.01);
        expect(allowances.decide(organisation)).toMatchObject({ retryAfterMs: 10 });
        clock.advance(0.1);
        expect(allowances.createAsk(organisation, 1, "accounting")).toMatchObject({ tokens: 1 });
    });

    it.each([[10, 100], [72, 3], [670, 3]])("admit the rate together by equal parts: %i nodes, %i calls/s", (nodes, rate) => {
        const random = createSeededRandom(2);
        const clock = new ManualClock();
        const all = Array.from({ length: nodes }, () => {
            const allowances = new QuotaAllowances({ clock, random, bound, countNodes: () => nodes });
            allowances.setLimits(new Map([[organisation, { callsPerSecond: rate, burst: 0 }]]));
            return allowances;
        });
        let admitted = 0;
        const durationMs = 5_000;
        for (let at = 0; at <= durationMs; at += 5) {
            admitted += all.filter(allowances =>
                allowances.decideByEqualPart(organisation).kind === QuotaDecisionKind.Admitted).length;
            clock.advance(5);
        }
        const expected = rate * durationMs / 1_000;
        expect(admitted).toBeGreaterThan(0.6 * expected);
        expect(admitted).toBeLessThan(expected + 20);
    });

    describe("tell of the bucket as the last grant left it", () => {
        const createAllowancesWithBucket = () => {
            const { clock, allowances } = createAllowances();
            const kind = AllowanceGrantKind.Granted;
            const grant = { kind, organisation, tokens: 0, validMs, pauseMs: 0, retryAfterMs: 0 } as const;
            allowances.handleGrant({ ...grant, bucket: { tokens: 2, heldMs: 700 } }, { from: "first", askedAt: 0 });
            clock.advance(40);
            const getPrevious = (to: string) => allowances.createAsk(organisation, 1, to)?.previous;
            return { clock, allowances, grant, getPrevious };
        };

        it("to another accounting node, and to the same one only after a request has failed", () => {
            const { allowances, getPrevious } = createAllowancesWithBucket();
            expect(getPrevious("first")).toBeUndefined();
            expect(getPrevious("second")).toEqual({ tokens: 2, heldMs: 700, ageMs: 40 });
            allowances.markUncertain(organisation);
            expect(getPrevious("first")).toEqual({ tokens: 2, heldMs: 700, ageMs: 40 });
        });

        it("neither after one window nor after a grant that says nothing of it", () => {
            const { clock, allowances, grant, getPrevious } = createAllowancesWithBucket();
            allowances.handleGrant(grant, { from: "first", askedAt: 0 });
            expect(getPrevious("second")).toBeUndefined();
            allowances.handleGrant({ ...grant, bucket: { tokens: 2, heldMs: 700 } }, { from: "first", askedAt: 0 });
            clock.advance(bound.windowMs + 1);
            expect(getPrevious("second")).toBeUndefined();
        });
    });

    it("drop the state of organisations that are gone", () => {
        const { allowances, receive } = createAllowances();
        receive(5, 0);
        allowances.setLimits(new Map());
        expect(allowances.heldTokens).toBe(0);
        expect(allowances.decide(organisation)?.kind).toBe(QuotaDecisionKind.Admitted);
    });
});

describe("accounting node", () => {
    const nodes = Array.from({ length: 72 }, (_, index) => hashNode(`sidecar-fukuoka-${index}`));
    const organisations = Array.from({ length: 1_000 }, (_, index) => `tenant-${index}`);

    it("moves only the organisations of a node that is lost", () => {
        const lost = nodes[7]?.node;
        const remaining = nodes.filter(({ node }) => node !== lost);
        const moved = organisations.filter(name =>
            selectAccountingNode(name, nodes) !== selectAccountingNode(name, remaining));
        expect(moved).toEqual(organisations.filter(name => selectAccountingNode(name, nodes) === lost));
    });

    it("is spread over all nodes, so that none carries the requests of many organisations", () => {
        const counts = new Map<string | undefined, number>();
        organisations.forEach(name => {
            const selected = selectAccountingNode(name, nodes);
            counts.set(selected, (counts.get(selected) ?? 0) + 1);
        });
        expect(Math.max(...counts.values())).toBeLessThan(3 * organisations.length / nodes.length);
    });
});

describe("contacts", () => {
    it("count a zone as cut off after two silent nodes, until one of its nodes replies", () => {
        const clock = new ManualClock();
        const contacts = new NodeContacts({ clock, node: "a0" });
        contacts.setNodes(["a0", "a1", "b0", "b1", "b2", "b3"].map(node => ({ node, zone: node.slice(0, 1) })));
        const sentAt = clock.now();
        clock.advance(150);
        // Several requests that fail together, after a pause of this process, are one failure.
        [1, 2, 3].forEach(() => contacts.recordFailure("b0", sentAt));
        expect(contacts.isResponding("b0")).toBe(true);
        for (const node of ["b0", "b1"]) {
            contacts.recordFailure(node, clock.now());
        }
        expect(contacts.isResponding("b0")).toBe(false);
        expect(contacts.isResponding("b2")).toBe(true);
        contacts.recordFailure("b1", clock.now());
        expect(contacts.isResponding("b2")).toBe(false);
        expect(contacts.computeRespondingShare(false)).toBeCloseTo(1 / 3);
        contacts.recordRequest("b3");
        expect(contacts.isResponding("b2")).toBe(false);
        contacts.recordReply("b3", true);
        expect(contacts.isResponding("b2")).toBe(true);
    });
});
