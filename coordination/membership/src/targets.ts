/**
 * Targets of the local host, according to their announcements. Each target announces itself every second; a target
 * that stops announcing is marked Gone.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { goneTargetRetentionMs, maxTargetsPerHost, announcementTimeoutMs } from "./limits";
import type { Announcement } from "./messages";
import { TargetState, type Target } from "./types";

interface LocalTarget {
    target: Target;
    announcedAt: Milliseconds;
}

export class LocalTargets {
    private readonly clock: Clock;
    private readonly targets = new Map<string, LocalTarget>();
    private isDraining = false;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Records an announcement; returns the target if it is new or changed. */
    handleAnnouncement(announcement: Announcement): Target | undefined {
        const existing = this.targets.get(announcement.id);
        if (existing === undefined && !this.ensureCapacity()) {
            return undefined;
        }
        const next = this.toTarget(announcement, existing?.target);
        this.targets.set(announcement.id, { target: next, announcedAt: this.clock.now() });
        return existing !== undefined && isSame(existing.target, next) ? undefined : next;
    }

    /** Sets every target in use to Draining because the node stops; returns the changed targets. */
    drain(): readonly Target[] {
        this.isDraining = true;
        const changed = [...this.targets.values()].filter(local => isInUse(local.target));
        changed.forEach(local => this.setState(local, TargetState.Draining));
        return changed.map(local => local.target);
    }

    /** Marks targets without recent announcements as Gone; returns the changed targets. */
    markSilentAsGone(): readonly Target[] {
        const now = this.clock.now();
        const silent = [...this.targets.values()]
            .filter(local => local.target.state !== TargetState.Gone
                && now - local.announcedAt >= announcementTimeoutMs);
        silent.forEach(local => this.setState(local, TargetState.Gone));
        return silent.map(local => local.target);
    }

    /** Removes targets whose retention as Gone has expired; returns whether there were any. */
    removeGone(): boolean {
        const oldest = this.clock.now() - goneTargetRetentionMs;
        const removed = [...this.targets.values()]
            .filter(local => local.target.state === TargetState.Gone && local.announcedAt < oldest);
        removed.forEach(local => this.targets.delete(local.target.id));
        return removed.length > 0;
    }

    list(): readonly Target[] {
        return [...this.targets.values()].map(local => local.target);
    }

    /** Removes a Gone target if the limit is reached; false if there is still no capacity. */
    private ensureCapacity(): boolean {
        if (this.targets.size < maxTargetsPerHost) {
            return true;
        }
        const gone = [...this.targets.values()].find(local => local.target.state === TargetState.Gone);
        return gone !== undefined && this.targets.delete(gone.target.id);
    }

    private toTarget(announcement: Announcement, existing: Target | undefined): Target {
        const { id, service, address, slots, connections } = announcement;
        const announced = announcement.state;
        const isDrainForced = this.isDraining && announced !== TargetState.Gone;
        const state = isDrainForced ? TargetState.Draining : announced;
        const since = existing?.state === state ? existing.since : this.clock.wallTime();
        return { id, service, address, state, slots, connections, since };
    }

    private setState(local: LocalTarget, state: TargetState): void {
        local.target = { ...local.target, state, since: this.clock.wallTime() };
    }
}

function isInUse(target: Target): boolean {
    return target.state === TargetState.Ready || target.state === TargetState.Warming;
}

function isSame(left: Target, right: Target): boolean {
    return left.service === right.service
        && left.address === right.address
        && left.state === right.state
        && left.slots === right.slots
        && left.connections === right.connections;
}
