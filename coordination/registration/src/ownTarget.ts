/**
 * Belief of a node about the target beside it, from heartbeats, departures and the fate of calls.
 *
 * Messages may be late: a target that was replaced or that has said it leaves is never taken for ready again, however
 * many of its earlier heartbeats still arrive.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { type AnnouncedTarget, TargetAvailability, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import {
    type HeartbeatOutcome,
    HeartbeatOutcomeKind,
    type TargetDeparture,
    type TargetHeartbeat,
} from "./types";

/** What an `OwnTarget` is created from. */
export interface OwnTargetOptions {
    readonly clock: Clock;
    /** Service and address of the target that belongs to this host. */
    readonly service: string;
    readonly address: string;
    readonly heartbeatIntervalMs: Milliseconds;
}

/** Heartbeats that may be missing before a target that also answers no call counts as down. */
const missingHeartbeats = 3;
/** Incarnations that are remembered as ended. */
const maxEnded = 32;

interface KnownTarget {
    readonly announced: AnnouncedTarget;
    readonly sequence: number;
}

/** The target of one host. */
export class OwnTarget {
    private known: KnownTarget | undefined;
    private heardAt: Milliseconds = Number.NEGATIVE_INFINITY;
    private isDown = false;
    private readonly ended: string[] = [];

    constructor(private readonly options: OwnTargetOptions) {}

    /** The target as it is announced to other nodes. */
    get announced(): AnnouncedTarget | undefined {
        return this.known?.announced;
    }

    /** Whether calls may be sent to the target. */
    get availability(): TargetAvailability {
        if (this.known === undefined) {
            return TargetAvailability.Down;
        }
        if (this.known.announced.phase === TargetPhase.Draining) {
            return TargetAvailability.Leaving;
        }
        const silentMs = this.options.clock.now() - this.heardAt;
        const isSilent = silentMs > missingHeartbeats * this.options.heartbeatIntervalMs;
        return this.isDown || isSilent ? TargetAvailability.Down : TargetAvailability.Serving;
    }

    /** Takes a heartbeat. */
    heartbeat(heartbeat: TargetHeartbeat): HeartbeatOutcome {
        if (heartbeat.service !== this.options.service || heartbeat.address !== this.options.address) {
            return { kind: HeartbeatOutcomeKind.Foreign };
        }
        if (this.isOutdated(heartbeat)) {
            return { kind: HeartbeatOutcomeKind.Outdated };
        }
        const before = this.known?.announced;
        const availabilityBefore = this.availability;
        const announced = this.createAnnounced(heartbeat, before);
        if (before !== undefined && !isSameIncarnation(before, announced)) {
            this.rememberEnded(before.id, before.startedAt);
        }
        if (announced.phase === TargetPhase.Draining) {
            this.rememberEnded(announced.id, announced.startedAt);
        }
        this.known = { announced, sequence: heartbeat.sequence };
        this.heardAt = this.options.clock.now();
        this.isDown = false;
        const isSame = isSameIncarnation(before, announced)
            && before?.phase === announced.phase && before.slots === announced.slots
            && availabilityBefore === this.availability;
        return { kind: isSame ? HeartbeatOutcomeKind.Refreshed : HeartbeatOutcomeKind.Changed };
    }

    /** Takes a departure; from now on the target counts as leaving. */
    departed(departure: TargetDeparture): HeartbeatOutcome {
        const before = this.known;
        this.rememberEnded(departure.id, departure.startedAt ?? before?.announced.startedAt);
        if (before === undefined || before.announced.id !== departure.id) {
            return { kind: HeartbeatOutcomeKind.Outdated };
        }
        const { startedAt } = departure;
        if (startedAt !== undefined && startedAt < before.announced.startedAt) {
            return { kind: HeartbeatOutcomeKind.Outdated };
        }
        if (before.announced.phase === TargetPhase.Draining) {
            return { kind: HeartbeatOutcomeKind.Refreshed };
        }
        this.known = { ...before, announced: { ...before.announced, phase: TargetPhase.Draining } };
        return { kind: HeartbeatOutcomeKind.Changed };
    }

    /** Takes what an earlier process of this node had announced, so that its word on a leaving target still binds. */
    restore(announced: AnnouncedTarget): void {
        if (announced.phase === TargetPhase.Draining) {
            this.rememberEnded(announced.id, announced.startedAt);
        }
    }

    /** The target answered a call. */
    answered(): void {
        this.heardAt = this.options.clock.now();
    }

    /** Nothing listens at the target's address: its process is gone. It counts as down until its next heartbeat. */
    connectionRefused(): void {
        this.isDown = true;
    }

    private isOutdated(heartbeat: TargetHeartbeat): boolean {
        const startedAt = heartbeat.startedAt ?? 0;
        const isKnown = this.known?.announced.id === heartbeat.id && this.known.announced.startedAt === startedAt;
        if (this.known !== undefined && isKnown) {
            return heartbeat.sequence <= this.known.sequence;
        }
        if (this.hasEnded(heartbeat.id, startedAt)) {
            return true;
        }
        if (this.known === undefined) {
            return false;
        }
        const { announced } = this.known;
        // A clock that was set back gives a new incarnation an earlier start, but then the known one is not heard.
        return startedAt < announced.startedAt && this.availability === TargetAvailability.Serving;
    }

    private createAnnounced(heartbeat: TargetHeartbeat, before: AnnouncedTarget | undefined): AnnouncedTarget {
        const { id, service, slots, startedAt = 0, coldLeftMs, phase } = heartbeat;
        if (before !== undefined && before.id === id && before.startedAt === startedAt) {
            const hasLeft = before.phase === TargetPhase.Draining;
            return { ...before, slots, phase: hasLeft ? TargetPhase.Draining : phase };
        }
        const coldUntil = coldLeftMs > 0 ? Math.round(this.options.clock.wallTime() + coldLeftMs) : 0;
        return { id, service, slots, phase, startedAt, coldUntil };
    }

    private rememberEnded(id: string, startedAt: Milliseconds | undefined): void {
        if (this.hasEnded(id, startedAt)) {
            return;
        }
        this.ended.push(incarnationKey(id, startedAt));
        if (this.ended.length > maxEnded) {
            this.ended.shift();
        }
    }

    private hasEnded(id: string, startedAt: Milliseconds | undefined): boolean {
        return this.ended.includes(incarnationKey(id, startedAt));
    }
}

function incarnationKey(id: string, startedAt: Milliseconds | undefined): string {
    return `${startedAt ?? 0} ${id}`;
}

function isSameIncarnation(before: AnnouncedTarget | undefined, after: AnnouncedTarget): boolean {
    return before !== undefined && before.id === after.id && before.startedAt === after.startedAt;
}
