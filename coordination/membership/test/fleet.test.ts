import { describe, expect, it } from "vitest";
import { Liveness, MembershipInputKind, TargetState } from "../src/index";
import { Fleet, isAcceptedJoin, tableOf, type Process } from "./fleet";

const seeds = [1, 2, 3];

function startFleet(seed: number, sizes: Readonly<Record<string, number>>): Fleet {
    const fleet = new Fleet(seed);
    Object.entries(sizes).forEach(([zone, count]) => fleet.startZone(zone, count));
    fleet.advance(30_000);
    return fleet;
}

function expectSameTable(processes: readonly Process[], size: number): void {
    const tables = new Set(processes.map(tableOf));
    expect(tables.size).toBe(1);
    expect(processes[0]?.membership.entries().length).toBe(size);
}

describe("fleet of 40 nodes", () => {
    describe("joining", () => {
        it.each(seeds)("gives every node the same table, so that no join is lost, seed %i", seed => {
            const fleet = startFleet(seed, { a: 20, b: 10, c: 10 });
            expectSameTable(fleet.running(), 40);
            expect(fleet.running().every(process => process.membership.isJoined())).toBe(true);
        });

        it.each(seeds)("limits the joins of a restarted zone to 4 per member and second, seed %i", seed => {
            const fleet = startFleet(seed, { a: 20, b: 10, c: 10 });
            fleet.running("a").forEach(process => fleet.kill(process));
            fleet.advance(1_000);
            const restartedAt = fleet.clock.now();
            fleet.startZone("a", 20);
            fleet.advance(30_000);
            expectSameTable(fleet.running(), 40);
            const joins = fleet.outputs.filter(({ at, output }) => at >= restartedAt && isAcceptedJoin(output));
            for (const join of joins) {
                const sameSecond = joins
                    .filter(other => other.node === join.node && other.at >= join.at && other.at < join.at + 1_000);
                expect(sameSecond.length).toBeLessThanOrEqual(4);
            }
        });

        it("refuses a fifth join within a second and names another member, so that joins do not accumulate", () => {
            const fleet = startFleet(4, { a: 3 });
            const member = fleet.running()[0] as Process;
            const entry = member.membership.localEntry();
            const replies = Array.from({ length: 6 }, (_, index) => member.membership.handle({
                kind: MembershipInputKind.JoinRequested,
                token: index,
                entry: { ...entry, node: `new-${index}`, host: `new-${index}`, incarnation: entry.incarnation + 1 },
            }));
            expect(replies.flat().filter(isAcceptedJoin).length).toBe(4);
            const busy = JSON.stringify(replies[5]);
            expect(busy).toContain('"busy"');
            expect(busy).toContain('"other":"10.0.0.1:');
        });
    });

    describe("failure detection", () => {
        it.each(seeds)("detects a failed node within 5 s on every node of its zone, seed %i", seed => {
            const fleet = startFleet(seed, { a: 40 });
            const [victim, ...others] = fleet.running() as [Process, ...Process[]];
            fleet.kill(victim);
            fleet.advance(5_000);
            const undetected = others.filter(other => fleet.livenessAt(other, victim) === Liveness.Alive);
            expect(undetected.map(process => process.node)).toEqual([]);
            fleet.advance(10_000);
            expect(others.every(other => fleet.livenessAt(other, victim) === Liveness.Dead)).toBe(true);
            expectSameTable(others, 39);
        });

        it.each(seeds)("does not mark a node as dead that only one observer fails to reach, seed %i", seed => {
            const fleet = startFleet(seed, { a: 40 });
            const [observer, subject] = fleet.running() as [Process, Process];
            fleet.isLost = (from, to) => from === observer && to === subject;
            for (let second = 0; second < 120; second++) {
                fleet.advance(1_000);
                const views = fleet.running().map(process => fleet.livenessAt(process, subject));
                expect(views).not.toContain(Liveness.Dead);
            }
        });

        it.each(seeds)("restores a node that was paused and marked as dead, seed %i", seed => {
            const fleet = startFleet(seed, { a: 20, b: 10, c: 10 });
            const paused = fleet.running()[0] as Process;
            paused.paused = true;
            fleet.advance(30_000);
            const others = fleet.running().filter(process => process !== paused);
            expect(others.every(other => fleet.livenessAt(other, paused) === Liveness.Dead)).toBe(true);
            paused.paused = false;
            fleet.advance(45_000);
            expectSameTable(fleet.running(), 40);
        });

        it.each(seeds)("resumes a paused node without marking its peers as dead, seed %i", seed => {
            const fleet = startFleet(seed, { a: 40 });
            const paused = fleet.running()[0] as Process;
            paused.paused = true;
            fleet.advance(1_200);
            paused.paused = false;
            fleet.advance(10_000);
            expectSameTable(fleet.running(), 40);
            expect(fleet.running().every(process => fleet.livenessAt(paused, process) === Liveness.Alive)).toBe(true);
        });

        it("does not let an isolated node mark its zone as dead", () => {
            const fleet = startFleet(5, { a: 12, b: 6 });
            const isolated = fleet.running("a")[0] as Process;
            fleet.isLost = (from, to) => from === isolated || to === isolated;
            fleet.advance(60_000);
            const views = fleet.running().map(process => fleet.livenessAt(isolated, process));
            expect(views).not.toContain(Liveness.Dead);
            fleet.isLost = () => false;
            fleet.advance(60_000);
            expectSameTable(fleet.running(), 18);
        });

        it("lets the last live node of a zone decide alone while it reaches other zones", () => {
            const fleet = startFleet(6, { a: 3, b: 6 });
            const [survivor, ...victims] = fleet.running("a") as [Process, Process, Process];
            victims.forEach(victim => fleet.kill(victim));
            fleet.advance(15_000);
            expect(victims.map(victim => fleet.livenessAt(survivor, victim))).toEqual([Liveness.Dead, Liveness.Dead]);
        });
    });

    describe("partition", () => {
        it.each(seeds)("keeps the entries of an unreachable zone and merges both tables afterwards, seed %i", seed => {
            const fleet = startFleet(seed, { a: 14, b: 13, c: 13 });
            fleet.isLost = (from, to) => (from.zone === "a") !== (to.zone === "a");
            fleet.advance(60_000);
            for (const process of fleet.running()) {
                const expected = process.zone === "a" ? ["b", "c"] : ["a"];
                expect([...process.membership.unreachableZones()].sort()).toEqual(expected);
                expect(process.membership.entries().length).toBe(40);
            }
            const changing = fleet.running("a")[0] as Process;
            const head = { version: 7, digest: "seven" };
            fleet.send(changing, { kind: MembershipInputKind.VersionActivated, head });
            fleet.isLost = () => false;
            fleet.advance(60_000);
            expectSameTable(fleet.running(), 40);
            for (const process of fleet.running()) {
                expect(process.membership.unreachableZones()).toEqual([]);
                expect(process.membership.entryOf(changing.node)?.version).toBe(7);
            }
        });
    });

    describe("graceful shutdown", () => {
        it("spreads Draining to every zone within 3 s, so that callers stop sending in time", () => {
            const fleet = startFleet(7, { a: 14, b: 13, c: 13 });
            const stopping = fleet.running("a")[0] as Process;
            const announcement = {
                id: "readings-1",
                service: "readings",
                address: "10.0.0.1:1",
                state: TargetState.Ready,
                slots: 6,
                connections: 100,
            };
            fleet.send(stopping, { kind: MembershipInputKind.TargetAnnounced, announcement });
            fleet.send(stopping, { kind: MembershipInputKind.Drain });
            fleet.advance(3_000);
            for (const process of fleet.running()) {
                const states = process.membership.targetsOf("readings").map(({ target }) => target.state);
                expect(states).toEqual([TargetState.Draining]);
            }
            fleet.send(stopping, { kind: MembershipInputKind.Leave });
            fleet.advance(5_000);
            fleet.kill(stopping);
            const others = fleet.running();
            expect(others.every(other => fleet.livenessAt(other, stopping) === Liveness.Left)).toBe(true);
        });
    });

    describe("remembered versions", () => {
        it.each(seeds)("are sent to a restarted host, seed %i", seed => {
            const fleet = startFleet(seed, { a: 20, b: 10, c: 10 });
            const first = fleet.running("a")[0] as Process;
            fleet.send(first, { kind: MembershipInputKind.VersionActivated, head: { version: 9, digest: "nine" } });
            fleet.advance(30_000);
            fleet.kill(first);
            fleet.advance(30_000);
            const second = fleet.start("a", first.host);
            fleet.advance(10_000);
            const received = fleet.outputs.filter(({ node, output }) =>
                node === second.node && output.kind === "head heard" && output.rememberedVersion === 9);
            expect(received.length).toBeGreaterThan(0);
            fleet.advance(20_000);
            expectSameTable(fleet.running(), 40);
        });
    });
});
