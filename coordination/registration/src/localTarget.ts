/**
 * Tracks the availability of a node's local target from heartbeats, departures and the results of calls.
 *
 * Messages may arrive late. An incarnation that was replaced or has announced its departure never becomes ready again,
 * even if earlier heartbeats of it arrive afterwards.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { type AnnouncedTarget, TargetAvailability, type TargetIncarnation, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import {
    type HeartbeatOutcome,
    HeartbeatOutcomeKind,
    type TargetDeparture,
    type TargetHeartbeat,
} from "./types";

export interface LocalTargetOptions {
    readonly clock: Clock;
    /** Service and address of the target that belongs to this host. */
    readonly service: string;
    readonly address: string;
    readonly heartbeatIntervalMs: Milliseconds;
}

/** A target is down after more than this many heartbeat intervals without a heartbeat or an answered call. */
const maxMissedHeartbeats = 3;
/** Maximum number of ended incarnations to keep. */
const maxEndedIncarnations = 32;

/**
 * A start further ahead of the local clock is refused: clocks differ by seconds, and every heartbeat of the real target
 * would count as outdated.
 */
const maxStartLeadMs: Milliseconds = 86_400_000;

interface CurrentTarget {
    readonly announced: AnnouncedTarget;
    readonly sequence: number;
}

export class LocalTarget {
    private current: CurrentTarget | undefined;
    private lastSeenAt: Milliseconds = Number.NEGATIVE_INFINITY;
    private isDown = false;
    private readonly endedIncarnations: string[] = [];

    constructor(private readonly options: LocalTargetOptions) {}

    /** The target as it is announced to other nodes. */
    get announced(): AnnouncedTarget | undefined {
        return this.current?.announced;
    }

    /** The target if it has announced that it leaves. */
    get leaving(): TargetIncarnation | undefined {
        const { announced } = this.current ?? {};
        return announced?.phase === TargetPhase.Draining
            ? { id: announced.id, startedAt: announced.startedAt }
            : undefined;
    }

    /** Whether the target accepts calls. */
    get availability(): TargetAvailability {
        if (this.current === undefined) {
            return TargetAvailability.Down;
        }
        if (this.current.announced.phase === TargetPhase.Draining) {
            return TargetAvailability.Leaving;
        }
        const silenceMs = this.options.clock.now() - this.lastSeenAt;
        const isSilent = silenceMs > maxMissedHeartbeats * this.options.heartbeatIntervalMs;
        return this.isDown || isSilent ? TargetAvailability.Down : TargetAvailability.Serving;
    }

    handleHeartbeat(heartbeat: TargetHeartbeat): HeartbeatOutcome {
        const { clock, service, address } = this.options;
        const isFromFuture = (heartbeat.startedAt ?? 0) > clock.wallTime() + maxStartLeadMs;
        if (heartbeat.service !== service || heartbeat.address !== address || isFromFuture) {
            return { kind: HeartbeatOutcomeKind.Foreign };
        }
        if (this.isOutdated(heartbeat)) {
            return { kind: HeartbeatOutcomeKind.Outdated };
        }
        const before = this.current?.announced;
        const availabilityBefore = this.availability;
        const announced = this.createAnnouncement(heartbeat, before);
        if (before !== undefined && !isSameIncarnation(before, announced)) {
            this.addEndedIncarnation(before.id, before.startedAt);
        }
        if (announced.phase === TargetPhase.Draining) {
            this.addEndedIncarnation(announced.id, announced.startedAt);
        }
        this.current = { announced, sequence: heartbeat.sequence };
        this.lastSeenAt = this.options.clock.now();
        this.isDown = false;
        const isSame = isSameIncarnation(before, announced)
            && before?.phase === announced.phase && before.slots === announced.slots
            && availabilityBefore === this.availability;
        return { kind: isSame ? HeartbeatOutcomeKind.Refreshed : HeartbeatOutcomeKind.Changed };
    }

    /** Handles a departure; from now on the target is leaving. */
    handleDeparture(departure: TargetDeparture): HeartbeatOutcome {
        const before = this.current;
        this.addEndedIncarnation(departure.id, departure.startedAt ?? before?.announced.startedAt);
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
        this.current = { ...before, announced: { ...before.announced, phase: TargetPhase.Draining } };
        return { kind: HeartbeatOutcomeKind.Changed };
    }

    /**
     * Restores the announcement of a previous process of this node: a draining target does not become ready again, and
     * is leaving from now on if one of its late heartbeats was taken for that of a ready one.
     */
    restore(announced: AnnouncedTarget): HeartbeatOutcome {
        const { current } = this;
        if (announced.phase !== TargetPhase.Draining) {
            return { kind: HeartbeatOutcomeKind.Outdated };
        }
        this.addEndedIncarnation(announced.id, announced.startedAt);
        if (current === undefined || !isSameIncarnation(current.announced, announced)
            || current.announced.phase === TargetPhase.Draining) {
            return { kind: HeartbeatOutcomeKind.Refreshed };
        }
        this.current = { ...current, announced: { ...current.announced, phase: TargetPhase.Draining } };
        return { kind: HeartbeatOutcomeKind.Changed };
    }

    /** The target answered a call, which counts like a heartbeat for its availability. */
    recordResponse(): void {
        this.lastSeenAt = this.options.clock.now();
    }

    /** Nothing listens at the target's address, so its process has exited. It is down until its next heartbeat. */
    recordConnectionRefused(): void {
        this.isDown = true;
    }

    private isOutdated(heartbeat: TargetHeartbeat): boolean {
        const startedAt = heartbeat.startedAt ?? 0;
        const isCurrent = this.current?.announced.id === heartbeat.id && this.current.announced.startedAt === startedAt;
        if (this.current !== undefined && isCurrent) {
            return heartbeat.sequence <= this.current.sequence;
        }
        if (this.hasEnded(heartbeat.id, startedAt)) {
            return true;
        }
        if (this.current === undefined) {
            return false;
        }
        const { announced } = this.current;
        // After a clock was set back, a new incarnation may have an earlier start time. The current one then sends no
        // more heartbeats and is not serving.
        return startedAt < announced.startedAt && this.availability === TargetAvailability.Serving;
    }

    private createAnnouncement(heartbeat: TargetHeartbeat, before: AnnouncedTarget | undefined): AnnouncedTarget {
        const { id, service, slots, startedAt = 0, remainingColdMs, phase, version } = heartbeat;
        if (before !== undefined && before.id === id && before.startedAt === startedAt) {
            const wasDraining = before.phase === TargetPhase.Draining;
            return { ...before, slots, phase: wasDraining ? TargetPhase.Draining : phase };
        }
        const coldUntil = remainingColdMs > 0 ? Math.round(this.options.clock.wallTime() + remainingColdMs) : 0;
        const announced = { id, service, slots, phase, startedAt, coldUntil };
        return version === undefined ? announced : { ...announced, version };
    }

    private addEndedIncarnation(id: string, startedAt: Milliseconds | undefined): void {
        if (this.hasEnded(id, startedAt)) {
            return;
        }
        this.endedIncarnations.push(incarnationKey(id, startedAt));
        if (this.endedIncarnations.length > maxEndedIncarnations) {
            this.endedIncarnations.shift();
        }
    }

    private hasEnded(id: string, startedAt: Milliseconds | undefined): boolean {
        return this.endedIncarnations.includes(incarnationKey(id, startedAt));
    }
}

function incarnationKey(id: string, startedAt: Milliseconds | undefined): string {
    return `${startedAt ?? 0} ${id}`;
}

function isSameIncarnation(before: AnnouncedTarget | undefined, after: AnnouncedTarget): boolean {
    return before !== undefined && before.id === after.id && before.startedAt === after.startedAt;
}
