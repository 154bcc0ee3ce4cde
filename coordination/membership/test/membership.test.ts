import { QuarantineReportKind } from "@bilberrycroft/coordination.quarantine";
import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import {
    endedRetentionMs,
    HostVersions,
    JoinReplyKind,
    Liveness,
    Membership,
    MembershipInputKind,
    MembershipOutputKind,
    TargetState,
    type Announcement,
    type Entry,
    type Exchange,
    type MembershipInput,
    type MembershipOutput,
} from "../src/index";

/** Limit of the message schema. */
const maxUpdatesPerExchange = 64;
/** More than the number of messages in which an entry is passed on. */
const exchangesUntilForgotten = 50;
const maxIdleExchangeBytes = 1_000;
const tickMs = 100;
const joinTimeoutMs = 10_000;
const hourMs = 60 * 60 * 1_000;

describe("membership", () => {
    let clock: ManualClock;
    let membership: Membership;

    beforeEach(() => {
        clock = new ManualClock();
        membership = createMembership("self", "zone-0");
    });

    function createMembership(node: string, zone: string): Membership {
        return new Membership({
            clock,
            random: createSeededRandom(11),
            identity: {
                node,
                host: `host-of-${node}`,
                zone,
                region: "south",
                controlAddress: "10.0.0.1:7000",
                callAddress: "10.0.0.1:7001",
                incarnation: 1_000,
            },
            peers: [],
        });
    }

    function createEntry(node: string, change: Partial<Entry> = {}): Entry {
        return {
            ...membership.localEntry(),
            node,
            host: `host-of-${node}`,
            controlAddress: `10.0.0.2:${node}`,
            ...change,
        };
    }

    /** Delivers updates in an exchange from a peer and returns the reply. */
    function receive(updates: readonly Entry[], change: Partial<Exchange> = {}): Exchange {
        const peer = createEntry("peer");
        const outputs = membership.handle({
            kind: MembershipInputKind.ExchangeRequested,
            token: 1,
            exchange: {
                from: peer,
                head: { version: 0, digest: "" },
                digests: [],
                updates,
                versions: [],
                suspicions: [],
                crashReports: [],
                unreachableZones: [],
                rememberedVersion: 0,
                receiverUnknown: false,
                ...change,
            },
        });
        const reply = outputs.find(output => output.kind === MembershipOutputKind.ReplyExchange);
        return (reply as Extract<MembershipOutput, { kind: MembershipOutputKind.ReplyExchange }>).exchange;
    }

    function run(input: MembershipInput): readonly MembershipOutput[] {
        return membership.handle(input);
    }

    describe("an exchange with a node that is marked as ended", () => {
        it("holds no more updates than its receiver accepts, the mark included", () => {
            receive([createEntry("peer", { liveness: Liveness.Dead })]);
            for (let count = 0; count < exchangesUntilForgotten; count++) {
                receive([]);
            }
            const others = Array.from({ length: maxUpdatesPerExchange }, (_, index) => createEntry(`n-${index}`));
            const { updates } = receive(others);
            expect(updates).toHaveLength(maxUpdatesPerExchange);
            expect(updates.map(({ node }) => node)).toContain("peer");
        });
    });

    describe("a join to another zone, after the node has joined", () => {
        const otherZone = { zone: "zone-1", controlAddress: "10.0.1.1:7000" };
        let call: number;

        beforeEach(() => {
            receive([createEntry("peer")]);
            run({ kind: MembershipInputKind.Start });
            join();
            const outputs = run({ kind: MembershipInputKind.ZonesDiscovered, members: [otherZone] });
            ({ call } = outputs.find(output => output.kind === MembershipOutputKind.SendJoin) as JoinCall);
        });

        type JoinCall = Extract<MembershipOutput, { kind: MembershipOutputKind.SendJoin }>;

        function join(): void {
            const table = {
                from: createEntry("peer"),
                head: { version: 0, digest: "" },
                entries: [],
                ended: [],
                remembered: [],
                rememberedVersion: 0,
                complete: true,
            };
            const reply = { kind: JoinReplyKind.Joined, table } as const;
            const members = [{ zone: "zone-0", controlAddress: "10.0.0.2:1" }];
            for (let elapsed = 0; elapsed < joinTimeoutMs && !membership.isJoined(); elapsed += tickMs) {
                clock.advance(tickMs);
                for (const output of run({ kind: MembershipInputKind.Tick })) {
                    if (output.kind === MembershipOutputKind.ReadRoster) {
                        run({ kind: MembershipInputKind.RosterRead, members });
                    }
                    else if (output.kind === MembershipOutputKind.SendJoin) {
                        run({ kind: MembershipInputKind.JoinReplied, call: output.call, reply });
                    }
                }
            }
        }

        it("leaves the node joined if it fails, and if the other node is busy", () => {
            expect(membership.isJoined()).toBe(true);
            run({ kind: MembershipInputKind.JoinFailed, call });
            expect(membership.isJoined()).toBe(true);
            const outputs = run({ kind: MembershipInputKind.ZonesDiscovered, members: [otherZone] });
            ({ call } = outputs.find(output => output.kind === MembershipOutputKind.SendJoin) as JoinCall);
            const reply = { kind: JoinReplyKind.Busy, other: undefined, retryAfterMs: 100 } as const;
            run({ kind: MembershipInputKind.JoinReplied, call, reply });
            expect(membership.isJoined()).toBe(true);
        });
    });

    describe("merge", () => {
        it("keeps the higher revision in any order of arrival, so that delayed messages change nothing", () => {
            receive([createEntry("n", { revision: 5, version: 2 })]);
            receive([createEntry("n", { revision: 4, version: 1 })]);
            expect(membership.entryOf("n")?.version).toBe(2);
        });

        it("prefers Dead at the same revision and restores the node at a higher revision", () => {
            receive([createEntry("n", { revision: 5 })]);
            receive([createEntry("n", { revision: 5, liveness: Liveness.Dead })]);
            receive([createEntry("n", { revision: 5 })]);
            expect(membership.entries().map(entry => entry.node)).not.toContain("n");
            receive([createEntry("n", { revision: 6 })]);
            expect(membership.entries().map(entry => entry.node)).toContain("n");
        });

        it("replaces a host's earlier process and ignores its delayed entries", () => {
            receive([createEntry("first", { host: "h", incarnation: 1_000 })]);
            receive([createEntry("second", { host: "h", incarnation: 2_000 })]);
            receive([createEntry("first", { host: "h", incarnation: 1_000, revision: 9 })]);
            const nodes = membership.entries().filter(entry => entry.host === "h").map(entry => entry.node);
            expect(nodes).toEqual(["second"]);
        });

        it("refutes a claim that this node is dead, so that a wrongly marked node is restored", () => {
            const before = membership.localEntry();
            const reply = receive([{ ...before, liveness: Liveness.Dead }]);
            expect(membership.localEntry().revision).toBeGreaterThan(before.revision);
            expect(reply.updates.map(entry => entry.node)).toContain("self");
        });

        it("sends a node its entry that is marked as dead, so that the node can refute it", () => {
            const dead = createEntry("n", { revision: 5, liveness: Liveness.Dead });
            receive([dead]);
            const digests = [{ zone: "zone-0", digest: receive([]).digests[0]?.digest ?? "" }];
            expect(receive([], { from: createEntry("n"), digests }).updates).toContainEqual(dead);
        });

        it("raises its incarnation above that of an earlier process of its host whose clock was ahead", () => {
            receive([createEntry("earlier", { host: "host-of-self", incarnation: 9_000 })]);
            expect(membership.localEntry().incarnation).toBeGreaterThan(9_000);
        });

        it("does not apply a version report after a missed revision, so that missed target changes are not hidden", () => {
            receive([createEntry("n", { revision: 3 })]);
            const versions = [{ version: 8, digest: "d", nodes: [{ node: "n", since: 5, revision: 6 }] }];
            receive([], { versions });
            expect(membership.entryOf("n")).toMatchObject({ revision: 3, version: 0 });
            receive([createEntry("n", { revision: 5 })]);
            receive([], { versions });
            expect(membership.entryOf("n")).toMatchObject({ revision: 6, version: 8 });
        });
    });

    describe("suspicion", () => {
        const start = { kind: MembershipInputKind.Start } as const;

        beforeEach(() => {
            run(start);
            receive([createEntry("suspect"), createEntry("peer"), createEntry("other"), createEntry("third")]);
        });

        function suspect(observers: readonly string[], confirmers: readonly string[] = []): void {
            receive([], { suspicions: [{ node: "suspect", revision: 1, observers, confirmers }] });
        }

        /** Advances the clock while every call of this node receives a reply. */
        function advanceWithReplies(duration: number): void {
            const exchange = receive([]);
            for (let passed = 0; passed < duration; passed += 250) {
                clock.advance(250);
                for (const output of run({ kind: MembershipInputKind.Tick })) {
                    if (output.kind === MembershipOutputKind.SendExchange) {
                        const from = createEntry(output.node);
                        const { call } = output;
                        const reply = { ...exchange, updates: [], suspicions: [], from };
                        run({ kind: MembershipInputKind.ExchangeReplied, call, exchange: reply });
                    }
                }
            }
        }

        it("of one observer never marks the suspect as dead", () => {
            suspect(["peer"]);
            advanceWithReplies(20_000);
            expect(membership.entryOf("suspect")?.liveness).toBe(Liveness.Suspect);
        });

        it("of two observers marks the suspect as dead after 2 s, so that it has time to refute", () => {
            suspect(["peer"]);
            suspect(["other"]);
            advanceWithReplies(1_750);
            expect(membership.entryOf("suspect")?.liveness).toBe(Liveness.Suspect);
            advanceWithReplies(500);
            expect(membership.entryOf("suspect")?.liveness).toBe(Liveness.Dead);
        });

        it("ends when the suspect increments its revision", () => {
            suspect(["peer", "other"]);
            receive([createEntry("suspect", { revision: 2 })]);
            advanceWithReplies(5_000);
            expect(membership.entryOf("suspect")?.liveness).toBe(Liveness.Alive);
        });

        it("does not follow from calls that were in flight while this process was paused", () => {
            run({ kind: MembershipInputKind.Tick });
            const sent = run({ kind: MembershipInputKind.PushRequested, node: "peer" })
                .find(output => output.kind === MembershipOutputKind.SendExchange);
            clock.advance(10_000);
            run({ kind: MembershipInputKind.ExchangeFailed, call: sent?.call ?? 0 });
            expect(membership.entryOf("peer")?.liveness).toBe(Liveness.Alive);
            const next = run({ kind: MembershipInputKind.PushRequested, node: "peer" })
                .find(output => output.kind === MembershipOutputKind.SendExchange);
            run({ kind: MembershipInputKind.ExchangeFailed, call: next?.call ?? 0 });
            expect(membership.entryOf("peer")?.liveness).toBe(Liveness.Suspect);
        });

        it("makes only the named confirmers call the suspect", () => {
            const exchange = receive([]);
            const calls = (confirmers: readonly string[]): readonly string[] => run({
                kind: MembershipInputKind.ExchangeReplied,
                call: 0,
                exchange: {
                    ...exchange,
                    from: createEntry("peer"),
                    suspicions: [{ node: "suspect", revision: 1, observers: ["peer"], confirmers }],
                },
            }).filter(output => output.kind === MembershipOutputKind.SendExchange).map(output => output.node);
            expect(calls(["other"])).not.toContain("suspect");
            expect(calls(["self"])).toContain("suspect");
        });
    });

    describe("remembered versions of hosts", () => {
        it("keep the highest version for 24 h after its process has failed", () => {
            receive([createEntry("n", { revision: 5, version: 4 })]);
            receive([createEntry("n", { revision: 5, version: 4, liveness: Liveness.Dead })]);
            clock.advance(23 * hourMs);
            expect(membership.rememberedVersion("host-of-n")).toBe(4);
            clock.advance(2 * hourMs);
            expect(membership.rememberedVersion("host-of-n")).toBe(0);
        });

        it("are sent to a joining host even if the table holds its new process", () => {
            receive([createEntry("n", { revision: 5, version: 4 })]);
            const entry = createEntry("n2", { host: "host-of-n", incarnation: 2_000 });
            const outputs = run({ kind: MembershipInputKind.JoinRequested, token: 3, entry });
            const reply = outputs.find(output => output.kind === MembershipOutputKind.ReplyJoin);
            expect(reply).toMatchObject({ reply: { kind: JoinReplyKind.Joined, table: { rememberedVersion: 4 } } });
        });

        it("are bounded and keep the age of received copies", () => {
            const hosts = new HostVersions(clock);
            Array.from({ length: 5_000 }, (_, index) => hosts.record(`h${index}`, 1));
            expect(hosts.listAbove(() => 0).length).toBeLessThanOrEqual(2_048);
            hosts.record("late", 1, endedRetentionMs - 1_000);
            clock.advance(2_000);
            expect(hosts.versionOf("late")).toBe(0);
        });
    });

    describe("local targets", () => {
        const announcement: Announcement = {
            id: "t",
            service: "readings",
            address: "10.0.0.1:9",
            state: TargetState.Ready,
            slots: 6,
            connections: 100,
        };

        it("become Gone after three missed announcements and not before", () => {
            run({ kind: MembershipInputKind.TargetAnnounced, announcement });
            clock.advance(2_900);
            run({ kind: MembershipInputKind.Tick });
            expect(membership.localEntry().targets[0]?.state).toBe(TargetState.Ready);
            clock.advance(100);
            const outputs = run({ kind: MembershipInputKind.Tick });
            expect(membership.localEntry().targets[0]?.state).toBe(TargetState.Gone);
            expect(outputs.map(output => output.kind)).toContain(MembershipOutputKind.TargetChanged);
        });

        it("increment the revision only on a change, so that repeated announcements cause no gossip", () => {
            run({ kind: MembershipInputKind.TargetAnnounced, announcement });
            const { revision } = membership.localEntry();
            run({ kind: MembershipInputKind.TargetAnnounced, announcement });
            expect(membership.localEntry().revision).toBe(revision);
        });

        it("stay Draining after a graceful shutdown has begun, even if a target still announces Ready", () => {
            run({ kind: MembershipInputKind.TargetAnnounced, announcement });
            run({ kind: MembershipInputKind.Drain });
            run({ kind: MembershipInputKind.TargetAnnounced, announcement });
            expect(membership.localEntry().targets[0]?.state).toBe(TargetState.Draining);
        });
    });

    describe("traffic", () => {
        function receiveFleet(): void {
            const entries = Array.from({ length: 669 }, (_, index) => createEntry(`node-${index}`, {
                zone: `zone-${index % 10}`,
                revision: 3,
                version: 123,
                digest: "d".repeat(64),
            }));
            receive(entries);
        }

        it("stays under 1 KB for an idle exchange at 670 nodes in 10 zones", () => {
            receiveFleet();
            run({ kind: MembershipInputKind.VersionActivated, head: { version: 123, digest: "d".repeat(64) } });
            let last: Exchange | undefined;
            for (let sent = 0; sent < 1_000; sent++) {
                run({ kind: MembershipInputKind.PushRequested, node: "node-7" }).forEach(output => {
                    last = output.kind === MembershipOutputKind.SendExchange ? output.exchange : last;
                });
            }
            expect(last?.updates).toEqual([]);
            expect(JSON.stringify(last).length).toBeLessThan(maxIdleExchangeBytes);
        });

        it("pushes a withdrawn target immediately to 3 peers of the zone and 1 of another", () => {
            receiveFleet();
            run({ kind: MembershipInputKind.Drain });
            const announcement: Announcement = {
                id: "t",
                service: "readings",
                address: "10.0.0.1:9",
                state: TargetState.Ready,
                slots: 6,
                connections: 100,
            };
            const pushes = run({ kind: MembershipInputKind.TargetAnnounced, announcement })
                .filter(output => output.kind === MembershipOutputKind.SendExchange);
            const zones = pushes.map(push => membership.entryOf(push.node)?.zone === "zone-0");
            expect(zones).toEqual([true, true, true, false]);
        });

        it("carries at most 64 full entries, so that many simultaneous changes do not fill exchanges", () => {
            receiveFleet();
            expect(receive([]).updates.length).toBeLessThanOrEqual(64);
        });

        it("pulls a zone's table only after three exchanges with a persistent digest mismatch", () => {
            receive([createEntry("peer")]);
            const other = { digests: [{ zone: "zone-5", digest: "0123456789ab" }] };
            const exchange = receive([], other);
            const pulls = (): number => run({
                kind: MembershipInputKind.ExchangeReplied,
                call: 0,
                exchange: { ...exchange, ...other, from: createEntry("peer") },
            }).filter(output => output.kind === MembershipOutputKind.PullZone).length;
            expect([pulls(), pulls(), pulls()]).toEqual([0, 1, 0]);
        });

        it("reports a received crash report only once, so that quarantine does not count it twice", () => {
            const kind = QuarantineReportKind.Crash as const;
            const crashReports = [{ kind, fingerprint: "f", target: "t", at: 5, startedAt: 4, node: "peer" }];
            const exchange = { ...receive([]), crashReports, from: createEntry("peer") };
            const countReports = (): number => run({ kind: MembershipInputKind.ExchangeReplied, call: 0, exchange })
                .filter(output => output.kind === MembershipOutputKind.CrashReportsReceived).length;
            expect([countReports(), countReports()]).toEqual([1, 0]);
            expect(receive([]).crashReports).toEqual(crashReports);
        });
    });
});
