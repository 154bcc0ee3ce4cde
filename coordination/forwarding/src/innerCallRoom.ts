/**
 * Decides which calls a target should not start because the inner calls that they make find no room.
 *
 * A call whose inner calls are refused fails after it has held a slot, and its inner calls have crowded out those of
 * others. The node of a target sees the inner calls of its target and how they end. It refuses a share of the calls of
 * a route, so that the inner calls of the others are about as many as are accepted. The share counts the inner calls
 * that refused calls would have made; otherwise it would fall as soon as it takes effect.
 */
import { createHash } from "node:crypto";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { evictOldestIfFull } from "./boundedMap";

/** Time constant of the counts. */
const memoryMs: Milliseconds = 2_000;
/**
 * Inner calls that are let through for each accepted one, so that more room is noticed. With 1.1 the load model served
 * fewer calls than without any refusal, with 2 hardly more.
 */
const attemptsPerAccepted = 1.4;
/** Fewer inner calls say little. */
const minRequests = 10;
const maxRefusedShare = 0.95;
/** Weight of the latest call in the mean number of inner calls. */
const ewmaWeight = 0.05;
/** Bounds memory use when routes are added and removed. */
const maxRoutes = 512;

interface RouteRoom {
    requests: number;
    accepted: number;
    /** Inner calls of a call that was started. */
    innerCalls: number;
    updatedAt: Milliseconds;
}

export class InnerCallRoom {
    private readonly routes = new Map<string, RouteRoom>();

    constructor(private readonly clock: Clock) {}

    /** Forgets what was learned, because the target was replaced. */
    reset(): void {
        this.routes.clear();
    }

    /** Records the end of an inner call of a call on the route; `isRefused` if there was no room for it. */
    recordInnerCall(route: string, isRefused: boolean): void {
        const room = this.update(route) ?? this.create(route);
        room.requests++;
        room.accepted += isRefused ? 0 : 1;
    }

    /** Records the end of a call and the number of inner calls that it made. */
    recordCall(route: string, innerCalls: number): void {
        const room = this.update(route);
        if (room !== undefined) {
            room.innerCalls += ewmaWeight * (innerCalls - room.innerCalls);
        }
    }

    /**
     * Whether to refuse a call on the route. `draw` returns a number from 0 to 1 that belongs to the call, so that all
     * targets of the service decide alike.
     */
    refuses(route: string, draw: () => number): boolean {
        const room = this.update(route);
        if (room === undefined || room.requests < minRequests) {
            return false;
        }
        const share = Math.min(maxRefusedShare, 1 - attemptsPerAccepted * room.accepted / room.requests);
        if (share <= 0 || draw() >= share) {
            return false;
        }
        room.requests += room.innerCalls;
        return true;
    }

    private update(route: string): RouteRoom | undefined {
        const room = this.routes.get(route);
        if (room !== undefined) {
            const now = this.clock.now();
            const weight = Math.exp((room.updatedAt - now) / memoryMs);
            room.requests *= weight;
            room.accepted *= weight;
            room.updatedAt = now;
        }
        return room;
    }

    private create(route: string): RouteRoom {
        evictOldestIfFull(this.routes, route, maxRoutes);
        const room = { requests: 0, accepted: 0, innerCalls: 1, updatedAt: this.clock.now() };
        this.routes.set(route, room);
        return room;
    }
}

/** Number from 0 to 1 that every node computes alike for a call. */
export function drawOf(callId: string): number {
    return createHash("sha256").update(callId).digest().readUInt32BE(0) / 2 ** 32;
}
