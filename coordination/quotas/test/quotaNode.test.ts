import { NoReplyCause, QuotaNode, selectAccountingNode, hashNode } from "@bilberrycroft/coordination.quotas";
import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { type AllowanceAsk, AllowanceGrantKind } from "@bilberrycroft/protocol.forwarding";
import { describe, expect, it } from "vitest";
import { bound } from "./quotaPlay";

const organisation = "org";
const limit = { callsPerSecond: 100, burst: 50 };
const names = ["a", "b", "c"];
const accountingNode = selectAccountingNode(organisation, names.map(hashNode)) as string;
const others = names.filter(name => name !== accountingNode) as [string, string];

function createNode(node: string) {
    const clock = new ManualClock();
    const quota = new QuotaNode({ clock, random: createSeededRandom(1), node, bound });
    quota.setNodes(names.map(name => ({ node: name, zone: "z" })));
    quota.setLimits(1, new Map([[organisation, limit]]));
    const pass = (durationMs: number): void => {
        for (let elapsed = 0; elapsed < durationMs; elapsed += 50) {
            clock.advance(50);
            quota.advance();
        }
    };
    const request = (configurationVersion: number, fields: Partial<AllowanceAsk> = {}) => {
        const ask = { organisation, tokens: 1_000, demand: 0, returned: 0, limit, ...fields };
        return quota.handleRequest({ node: others[0], configurationVersion, asks: [ask] }).grants[0];
    };
    return { clock, quota, pass, request };
}

describe("a node with quotas", () => {
    describe("that is asked for tokens", () => {
        it("declines if another node is the accounting node, so that no two nodes keep an account", () => {
            const { quota, request } = createNode(others[1]);
            expect(request(1)).toEqual({ kind: AllowanceGrantKind.Declined, organisation });
            expect(quota.accounts).toBe(0);
        });

        it("uses the limit of the newest version that it was told, not its own older one", () => {
            const { pass, request } = createNode(accountingNode);
            const lowered = { callsPerSecond: 10, burst: 5 };
            request(2, { limit: lowered });
            request(1);
            pass(5_000);
            expect(request(1)).toMatchObject({ kind: AllowanceGrantKind.Granted, tokens: 15 });
        });
    });

    // Guards against a process that replaces the accounting node under its name and grants the same tokens again.
    it("tells the accounting node what it granted before a request to it failed", () => {
        const { clock, quota } = createNode(others[0]);
        const decide = (): void => undefined;
        const takeAsk = () => {
            quota.acquire(organisation, decide);
            const [outgoing] = quota.takeRequests();
            return { id: outgoing?.id ?? 0, ask: outgoing?.message.asks[0] };
        };
        const first = takeAsk();
        const kind = AllowanceGrantKind.Granted;
        const grant = { kind, organisation, tokens: 0, validMs: 300, pauseMs: 0, retryAfterMs: 0 } as const;
        const grants = [{ ...grant, bucket: { tokens: -3, heldMs: 900 } }];
        quota.handleReply(first.id, { grants, reachesReceiver: true });
        const [second] = quota.takeRequests();
        expect(second?.message.asks[0]?.previous).toBeUndefined();
        clock.advance(20);
        quota.handleNoReply(second?.id ?? 0, NoReplyCause.Broken);
        const [third] = quota.takeRequests();
        expect(third).toMatchObject({ to: accountingNode });
        expect(third?.message.asks[0]?.previous).toEqual({ tokens: -3, heldMs: 900, ageMs: 20 });
    });
});
