import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock, type Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import {
    chooseCandidates,
    Lease,
    LeaseConditionKind,
    LeaseInputKind,
    LeaseOutcomeKind,
    LeaseOutputKind,
    StopReason,
    summarizeZone,
    type LeaseInput,
    type LeaseMember,
    type LeaseOutput,
    type LeaseReadOutcome,
    type LeaseRecord,
    type LeaseWriteOutcome,
} from "../src/index";

const tickMs = 250;
const seeds = [1, 2, 3];

enum WriteFault {
    None,
    /** The write takes effect, but its response is lost. */
    LostResponse,
    /** The write does not take effect, and the caller receives no response. */
    LostRequest,
}

/** Several contenders for one lease, and the object they write. */
class Zone {
    readonly clock = new ManualClock();
    readonly leases = new Map<string, Lease>();
    readonly paused = new Set<string>();
    readonly outputs: { readonly at: Milliseconds; readonly node: string; readonly output: LeaseOutput }[] = [];
    isStoreUp = true;
    fault = WriteFault.None;
    stored: { readonly revision: string; readonly record: LeaseRecord } | undefined;
    private writes = 0;

    constructor(count: number, seed: number) {
        for (let index = 0; index < count; index++) {
            const node = `n${index}`;
            // The first random numbers of adjacent small seeds are almost equal; the factor spreads the seeds.
            const random = createSeededRandom(Math.imul(seed * 100 + index, 0x9e3779b1));
            const options = { clock: this.clock, random, zone: "a", node, controlAddress: addressOf(node) };
            this.leases.set(node, new Lease(options));
        }
    }

    announceMembers(): void {
        const members: LeaseMember[] = [...this.leases.keys()].map(node => ({ node, controlAddress: addressOf(node) }));
        const summary = summarizeZone(members.map(() => ({ version: 4, refusal: undefined })));
        for (const node of this.leases.keys()) {
            this.send(node, { kind: LeaseInputKind.MembersChanged, members, summary });
        }
    }

    advance(duration: Milliseconds): void {
        for (let passed = 0; passed < duration; passed += tickMs) {
            this.clock.advance(tickMs);
            this.leases.forEach((_, node) => this.send(node, { kind: LeaseInputKind.Tick }));
            expect(this.acting().length).toBeLessThanOrEqual(1);
        }
    }

    send(node: string, input: LeaseInput): void {
        if (this.paused.has(node)) {
            return;
        }
        for (const output of this.leases.get(node)?.handle(input) ?? []) {
            this.outputs.push({ at: this.clock.now(), node, output });
            this.respond(node, output);
        }
    }

    acting(): readonly string[] {
        return [...this.leases].filter(([, lease]) => lease.isActing()).map(([node]) => node);
    }

    private respond(node: string, output: LeaseOutput): void {
        if (output.kind === LeaseOutputKind.ReadLease) {
            const { stored } = this;
            const outcome = !this.isStoreUp
                ? { kind: LeaseOutcomeKind.Unavailable } as const
                : stored === undefined
                    ? { kind: LeaseOutcomeKind.Absent } as const
                    : { kind: LeaseOutcomeKind.Done, ...stored } as const;
            this.send(node, { kind: LeaseInputKind.LeaseRead, call: output.call, outcome });
        }
        if (output.kind === LeaseOutputKind.WriteLease) {
            const outcome = this.write(output);
            this.send(node, { kind: LeaseInputKind.LeaseWritten, call: output.call, outcome });
        }
    }

    private write(output: Extract<LeaseOutput, { kind: LeaseOutputKind.WriteLease }>): LeaseWriteOutcome {
        const { fault } = this;
        this.fault = WriteFault.None;
        const { condition, record } = output;
        const revision = condition.kind === LeaseConditionKind.Absent ? undefined : condition.revision;
        if (!this.isStoreUp) {
            return { kind: LeaseOutcomeKind.Unavailable };
        }
        if (fault === WriteFault.LostRequest) {
            return { kind: LeaseOutcomeKind.Unknown };
        }
        if (revision !== this.stored?.revision) {
            return { kind: LeaseOutcomeKind.Conflict };
        }
        this.stored = { revision: `r${++this.writes}`, record: JSON.parse(JSON.stringify(record)) as LeaseRecord };
        return fault === WriteFault.LostResponse
            ? { kind: LeaseOutcomeKind.Unknown }
            : { kind: LeaseOutcomeKind.Done, revision: this.stored.revision };
    }
}

function addressOf(node: string): string {
    return `10.0.0.1:${node}`;
}

/** Creates the lease state machine of one node in a zone of two nodes, which are both candidates. */
function createSingle(): { readonly lease: Lease; readonly clock: ManualClock } {
    const clock = new ManualClock();
    const random = createSeededRandom(7);
    const lease = new Lease({ clock, random, zone: "a", node: "n", controlAddress: addressOf("n") });
    const members = ["n", "other"].map(node => ({ node, controlAddress: addressOf(node) }));
    lease.handle({ kind: LeaseInputKind.MembersChanged, members, summary: summarizeZone([]) });
    return { lease, clock };
}

describe("lease", () => {
    let zone: Zone;
    let holder: string;

    beforeEach(() => {
        zone = new Zone(6, 1);
        zone.announceMembers();
        zone.advance(5_000);
        holder = zone.acting()[0] as string;
    });

    describe("contenders", () => {
        it.each(seeds)("elect one reader among the two of highest rank, seed %i", seed => {
            const fresh = new Zone(20, seed);
            fresh.announceMembers();
            fresh.advance(5_000);
            const members = [...fresh.leases.keys()].map(node => ({ node, controlAddress: "" }));
            expect(chooseCandidates("a", members)).toContain(fresh.acting()[0]);
            const callers = new Set(fresh.outputs.map(({ node }) => node));
            expect(callers.size).toBeLessThanOrEqual(2);
        });

        it("wait a random time if they have no peer, so that a cold start of the fleet spreads its reads", () => {
            const fresh = new Zone(30, 2);
            fresh.advance(3_500);
            expect(fresh.acting().length).toBe(1);
            const firstReads = [...fresh.leases.keys()]
                .map(node => fresh.outputs.find(entry => entry.node === node)?.at);
            expect(new Set(firstReads).size).toBeGreaterThan(5);
        });

        it("agree on the candidates regardless of the order of members", () => {
            const members = ["x", "y", "z", "w"].map(node => ({ node, controlAddress: "" }));
            expect(chooseCandidates("a", members)).toEqual(chooseCandidates("a", [...members].reverse()));
        });
    });

    describe("renewal", () => {
        it("writes once every 3 s, which limits the store load to a third of a write per second and zone", () => {
            const before = zone.outputs.length;
            zone.advance(30_000);
            const writes = zone.outputs.slice(before)
                .filter(({ output }) => output.kind === LeaseOutputKind.WriteLease);
            expect(writes.length).toBe(10);
            expect(zone.stored?.record).toMatchObject({ holder, term: 1, summary: { nodes: 6 } });
            expect(zone.stored?.record.members.length).toBe(6);
        });

        it.each([WriteFault.LostResponse, WriteFault.LostRequest])("reads the record back after write fault %i and keeps the lease", fault => {
            zone.fault = fault;
            zone.advance(30_000);
            expect(zone.acting()).toEqual([holder]);
            expect(zone.stored?.record.term).toBe(1);
        });

        it("recognizes a takeover whose response was lost, so that the zone does not wait another 9 s", () => {
            const fresh = new Zone(6, 3);
            fresh.fault = WriteFault.LostResponse;
            fresh.announceMembers();
            fresh.advance(500);
            expect(fresh.acting().length).toBe(1);
            expect(fresh.stored?.record.term).toBe(1);
        });
    });

    describe("expiry", () => {
        it("lets another node take over 9 to 12 s after the last renewal, and not before", () => {
            zone.advance(3_000);
            const renewedAt = zone.outputs.findLast(({ node, output }) =>
                node === holder && output.kind === LeaseOutputKind.WriteLease)?.at ?? 0;
            zone.paused.add(holder);
            zone.advance(renewedAt + 8_750 - zone.clock.now());
            expect(zone.stored?.record.holder).toBe(holder);
            zone.advance(12_000 + tickMs - 8_750);
            expect(zone.stored?.record.holder).not.toBe(holder);
            expect(zone.stored?.record.term).toBe(2);
        });

        it("stops the holder 6 s after it sent its last confirmed renewal, even if it is paused", () => {
            zone.paused.add(holder);
            zone.advance(6_250);
            expect(zone.leases.get(holder)?.isActing()).toBe(false);
        });

        it("makes a resumed holder yield to its successor", () => {
            zone.paused.add(holder);
            zone.advance(15_000);
            zone.paused.delete(holder);
            zone.advance(5_000);
            expect(zone.acting()).toEqual([zone.stored?.record.holder]);
            expect(zone.acting()).not.toEqual([holder]);
        });

        it("stops the reader while the store is unavailable, so that it does not act on an expired lease", () => {
            zone.isStoreUp = false;
            zone.advance(6_500);
            const last = zone.outputs.findLast(({ output }) => output.kind === LeaseOutputKind.StopReading);
            expect(last).toMatchObject({ node: holder, output: { reason: StopReason.Expired } });
        });

        it("counts from the time a renewal was sent, not from its late response", () => {
            const { lease, clock } = createSingle();
            lease.handle({ kind: LeaseInputKind.Tick });
            const absent = { kind: LeaseOutcomeKind.Absent } as const;
            lease.handle({ kind: LeaseInputKind.LeaseRead, call: 1, outcome: absent });
            clock.advance(3_000);
            const outcome = { kind: LeaseOutcomeKind.Done, revision: "r1" } as const;
            lease.handle({ kind: LeaseInputKind.LeaseWritten, call: 2, outcome });
            expect(lease.isActing()).toBe(true);
            clock.advance(3_000);
            expect(lease.isActing()).toBe(false);
        });

        it("does not count a store outage as missed renewals of the holder", () => {
            const { lease, clock } = createSingle();
            const record: LeaseRecord = {
                holder: "other",
                address: "",
                term: 1,
                renewal: 1,
                members: [],
                summary: summarizeZone([]),
            };
            const readAgain = (outcome: LeaseReadOutcome): readonly LeaseOutputKind[] => {
                const read = lease.handle({ kind: LeaseInputKind.Tick })[0];
                expect(read?.kind).toBe(LeaseOutputKind.ReadLease);
                const call = read?.kind === LeaseOutputKind.ReadLease ? read.call : 0;
                return lease.handle({ kind: LeaseInputKind.LeaseRead, call, outcome }).map(output => output.kind);
            };
            const unchanged = { kind: LeaseOutcomeKind.Done, revision: "r1", record } as const;
            readAgain(unchanged);
            for (let second = 0; second < 20; second++) {
                clock.advance(3_000);
                readAgain({ kind: LeaseOutcomeKind.Unavailable });
            }
            clock.advance(3_000);
            expect(readAgain(unchanged)).toEqual([]);
            clock.advance(3_000);
            expect(readAgain(unchanged)).toEqual([]);
        });

        it("lets the holder renew first after a store outage", () => {
            zone.isStoreUp = false;
            zone.advance(60_000);
            expect(zone.acting()).toEqual([]);
            zone.isStoreUp = true;
            zone.advance(5_000);
            expect(zone.acting()).toEqual([holder]);
            expect(zone.stored?.record.term).toBe(1);
        });
    });

    describe("graceful shutdown", () => {
        it("hands the lease over, so that the next reader starts within one read interval", () => {
            zone.send(holder, { kind: LeaseInputKind.Stop });
            expect(zone.stored?.record.holder).toBeUndefined();
            expect(zone.acting()).toEqual([]);
            zone.advance(3_250);
            expect(zone.acting().length).toBe(1);
            expect(zone.acting()).not.toEqual([holder]);
        });

        it("releases the lease immediately while the store is down, so that the shutdown does not wait for it", () => {
            zone.isStoreUp = false;
            zone.send(holder, { kind: LeaseInputKind.Stop });
            expect(zone.outputs.map(({ output }) => output.kind)).toContain(LeaseOutputKind.Released);
        });
    });

    describe("summary", () => {
        it("counts versions and refusals, so that status can report a zone that it cannot reach", () => {
            const refusal = { version: 5, line: 3, requester: "aya", reason: "dangling" };
            const summary = summarizeZone([
                { version: 5, refusal: undefined },
                { version: 4, refusal },
                { version: 4, refusal },
            ]);
            expect(summary.versions).toEqual([{ version: 5, nodes: 1 }, { version: 4, nodes: 2 }]);
            expect(summary.refusals).toEqual([{ ...refusal, nodes: 2 }]);
        });
    });
});
