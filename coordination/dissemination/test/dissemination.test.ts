import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import type { Snapshot } from "@bilberrycroft/state.snapshots";
import {
    ConfigurationSourceKind,
    Dissemination,
    DisseminationInputKind,
    DisseminationOutputKind,
    FetchReplyKind,
    fetchTimeoutMs,
    peerRetryDelayMs,
    StartBlocker,
    type DisseminationInput,
    type DisseminationOutput,
} from "../src/index";
import { createFakeSnapshot, fakeSnapshotFunctions, peerNamed } from "./fakes";

type OutputOf<Kind extends DisseminationOutputKind> = Extract<DisseminationOutput, { kind: Kind }>;

describe("dissemination", () => {
    let clock: ManualClock;
    let node: Dissemination;

    beforeEach(() => {
        clock = new ManualClock();
        node = new Dissemination({
            clock,
            random: createSeededRandom(0x9e3779b1),
            node: "self",
            zone: "a",
            snapshots: fakeSnapshotFunctions,
        });
    });

    function run<Kind extends DisseminationOutputKind>(
        input: DisseminationInput,
        kind: Kind,
    ): readonly OutputOf<Kind>[] {
        return node.handle(input).filter((output): output is OutputOf<Kind> => output.kind === kind);
    }

    function readStore(snapshot: Snapshot): void {
        const source = { kind: ConfigurationSourceKind.Store } as const;
        node.handle({ kind: DisseminationInputKind.SnapshotReceived, snapshot, source });
    }

    function fromPeer(name: string, snapshot: Snapshot, call?: number): DisseminationInput {
        const source = { kind: ConfigurationSourceKind.Peer, peer: peerNamed(name) } as const;
        return { kind: DisseminationInputKind.SnapshotReceived, snapshot, source, call };
    }

    function headOf(
        name: string,
        version: number,
        rememberedVersion: number = 0,
        inReply: boolean = true,
    ): DisseminationInput {
        const { digest } = createFakeSnapshot(version);
        const head = { version, digest: version === 0 ? "" : digest };
        return { kind: DisseminationInputKind.HeadReceived, from: peerNamed(name), head, rememberedVersion, inReply };
    }

    const storeUnavailable = { kind: DisseminationInputKind.StoreUnavailable } as const;

    describe("start", () => {
        it("with the store available activates its version immediately", () => {
            readStore(createFakeSnapshot(5));
            expect(node.head().version).toBe(5);
        });

        it("waits for the store until a read fails, even with peers", () => {
            [headOf("p", 5), headOf("q", 5), fromPeer("p", createFakeSnapshot(5))].forEach(input => node.handle(input));
            expect(node.inForce()).toBeUndefined();
            expect(node.startBlocker()).toBe(StartBlocker.StoreNotRead);
            node.handle(storeUnavailable);
            expect(node.head().version).toBe(5);
        });

        it("with the store unavailable waits for two peers that have a version in force", () => {
            [storeUnavailable, headOf("p", 5), headOf("fresh", 0), fromPeer("p", createFakeSnapshot(5))]
                .forEach(input => node.handle(input));
            expect(node.startBlocker()).toBe(StartBlocker.TooFewPeers);
            node.handle(headOf("q", 4));
            expect(node.head().version).toBe(5);
        });

        it("does not count requests from peers, which may have been written for the host's earlier process", () => {
            [storeUnavailable, headOf("p", 4, 0, false), headOf("q", 4, 0, false), fromPeer("p", createFakeSnapshot(4))]
                .forEach(input => node.handle(input));
            expect(node.startBlocker()).toBe(StartBlocker.TooFewPeers);
        });

        it("with the store unavailable accepts one peer if the roster lists only one", () => {
            node.handle({ kind: DisseminationInputKind.RosterLearned, otherMembers: 1 });
            [storeUnavailable, headOf("p", 5), fromPeer("p", createFakeSnapshot(5))].forEach(input => node.handle(input));
            expect(node.head().version).toBe(5);
        });

        it("with only stale peers activates nothing, so that the host does not activate a lower version", () => {
            [storeUnavailable, headOf("p", 4, 6), headOf("q", 4), fromPeer("p", createFakeSnapshot(4))]
                .forEach(input => node.handle(input));
            expect(node.inForce()).toBeUndefined();
            expect(node.startBlocker()).toBe(StartBlocker.BelowFloor);
            expect(node.floorVersion()).toBe(6);
        });

        it("in a partitioned zone waits for the highest version that its peers have in force", () => {
            [storeUnavailable, headOf("p", 5), headOf("q", 6), fromPeer("p", createFakeSnapshot(5))]
                .forEach(input => node.handle(input));
            expect(node.inForce()).toBeUndefined();
            node.handle(fromPeer("q", createFakeSnapshot(6)));
            expect(node.head().version).toBe(6);
        });

        it("requires the store's version even if peers have a lower one", () => {
            node.handle({
                kind: DisseminationInputKind.FloorLearned,
                version: 7,
                source: ConfigurationSourceKind.Store,
            });
            node.handle(fromPeer("p", createFakeSnapshot(6)));
            expect(node.inForce()).toBeUndefined();
            node.handle(fromPeer("p", createFakeSnapshot(7)));
            expect(node.head().version).toBe(7);
        });
    });

    describe("activation", () => {
        it("never repeats or lowers the version in force", () => {
            readStore(createFakeSnapshot(5));
            const again = [createFakeSnapshot(5), createFakeSnapshot(4)]
                .flatMap(snapshot => run(fromPeer("p", snapshot), DisseminationOutputKind.Activate));
            expect(again).toEqual([]);
            expect(node.head().version).toBe(5);
        });

        it("skips versions below a floor that was raised later", () => {
            readStore(createFakeSnapshot(5));
            node.handle({
                kind: DisseminationInputKind.FloorLearned,
                version: 7,
                source: ConfigurationSourceKind.Peer,
            });
            node.handle(fromPeer("p", createFakeSnapshot(6)));
            expect(node.head().version).toBe(5);
            node.handle(fromPeer("p", createFakeSnapshot(7)));
            expect(node.head().version).toBe(7);
        });

        it("rejects a corrupt copy without refusing the version", () => {
            readStore(createFakeSnapshot(5));
            const intact = createFakeSnapshot(6);
            const corrupt = { ...intact, text: `${intact.text}!` };
            expect(run(fromPeer("p", corrupt), DisseminationOutputKind.ReportCorrupt).length).toBe(1);
            expect(node.head().version).toBe(5);
            node.handle(fromPeer("p", intact));
            expect(node.head().version).toBe(6);
        });

        it("refuses a version with bad rules, reports it once and does not fetch it again", () => {
            readStore(createFakeSnapshot(5));
            const bad = createFakeSnapshot(6, "bad rules");
            expect(run(fromPeer("p", bad), DisseminationOutputKind.ReportRefused).length).toBe(1);
            expect(run(fromPeer("q", bad), DisseminationOutputKind.ReportRefused).length).toBe(0);
            const head = { version: 6, digest: bad.digest };
            const headReceived = { ...headOf("p", 6), head } as DisseminationInput;
            expect(run(headReceived, DisseminationOutputKind.Fetch)).toEqual([]);
            expect(node.head().version).toBe(5);
        });

        it("keeps its copy when two digests have the same version, and reports the conflict once", () => {
            readStore(createFakeSnapshot(5));
            const other = createFakeSnapshot(5, "other rules");
            const reports = [fromPeer("p", other), fromPeer("q", other)]
                .flatMap(input => run(input, DisseminationOutputKind.ReportConflict));
            expect(reports.length).toBe(1);
            expect(node.head().digest).toBe(createFakeSnapshot(5).digest);
            node.handle(fromPeer("p", createFakeSnapshot(6)));
            expect(node.head().version).toBe(6);
        });
    });

    describe("push", () => {
        it("is sent to 3 peers of the zone and 1 of another that lack the version", () => {
            const peers = ["a", "b"].flatMap(zone =>
                Array.from({ length: 8 }, (_, index) => ({ ...peerNamed(`${zone}${index}`), zone })));
            node.handle({ kind: DisseminationInputKind.PeersChanged, peers });
            node.handle(headOf("a1", 6));
            readStore(createFakeSnapshot(5));
            const source = { kind: ConfigurationSourceKind.Store } as const;
            const snapshot = createFakeSnapshot(6);
            const input = { kind: DisseminationInputKind.SnapshotReceived, snapshot, source } as const;
            const [announcement] = run(input, DisseminationOutputKind.Announce);
            const zones = announcement?.to.map(peer => peer.node.charAt(0));
            expect(zones).toEqual(["a", "a", "a", "b"]);
            expect(announcement?.to.map(peer => peer.node)).not.toContain("a1");
            expect(announcement?.delta?.base.version).toBe(5);
        });
    });

    describe("fetch", () => {
        beforeEach(() => readStore(createFakeSnapshot(5)));

        it("is sent to one peer at a time, and to the next one after a failure", () => {
            const [first] = run(headOf("p", 6), DisseminationOutputKind.Fetch);
            expect(first).toMatchObject({ from: { node: "p" }, baseVersion: 5 });
            expect(run(headOf("q", 6), DisseminationOutputKind.Fetch)).toEqual([]);
            const failure = { kind: DisseminationInputKind.FetchFailed, call: first?.call ?? 0 } as const;
            expect(run(failure, DisseminationOutputKind.Fetch)[0]?.from.node).toBe("q");
        });

        it("continues after a fetch whose end was never reported", () => {
            node.handle(headOf("p", 6));
            node.handle(headOf("q", 6));
            clock.advance(2 * fetchTimeoutMs);
            const tick = { kind: DisseminationInputKind.Tick } as const;
            expect(run(tick, DisseminationOutputKind.Fetch)[0]?.from.node).toBe("q");
        });

        it("backs off from a peer that replies with nothing new", () => {
            const [first] = run(headOf("p", 6), DisseminationOutputKind.Fetch);
            const reply = fromPeer("p", createFakeSnapshot(5), first?.call);
            expect(run(reply, DisseminationOutputKind.Fetch)).toEqual([]);
            clock.advance(peerRetryDelayMs);
            expect(run({ kind: DisseminationInputKind.Tick }, DisseminationOutputKind.Fetch).length).toBe(1);
        });

        it("requests a full snapshot after a delta that does not match its base", () => {
            const [first] = run(headOf("p", 6), DisseminationOutputKind.Fetch);
            const otherBase = createFakeSnapshot(5, "other base");
            const delta = fakeSnapshotFunctions.encodeDelta(otherBase, createFakeSnapshot(6));
            const from = peerNamed("p");
            const reply = { kind: DisseminationInputKind.DeltaReceived, delta, from, call: first?.call } as const;
            expect(run(reply, DisseminationOutputKind.Fetch)[0]).toMatchObject({ from, baseVersion: 0 });
        });

        it("returns a delta while the base is cached, and a snapshot otherwise", () => {
            for (let version = 6; version <= 20; version++) {
                readStore(createFakeSnapshot(version));
            }
            expect(node.cachedVersions().length).toBe(8);
            const replyTo = (baseVersion: number): FetchReplyKind | undefined => {
                const input = { kind: DisseminationInputKind.FetchRequested, token: 1, baseVersion } as const;
                return run(input, DisseminationOutputKind.ReplyFetch)[0]?.reply.kind;
            };
            expect(replyTo(19)).toBe(FetchReplyKind.Delta);
            expect(replyTo(5)).toBe(FetchReplyKind.Snapshot);
            expect(replyTo(0)).toBe(FetchReplyKind.Snapshot);
            expect(replyTo(20)).toBe(FetchReplyKind.Nothing);
        });
    });
});
